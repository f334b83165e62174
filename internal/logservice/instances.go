package logservice

import (
	"context"
	"fmt"
	"net/http"
	"strings"
)

// Values of Instance.Kind and Instance.State.
const (
	KindProxy    = "proxy"
	KindBackend  = "backend"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	// ID is the instance ID of a proxy or the server ID of a backend server.
	ID   string `json:"id"`
	Kind string `json:"kind"`
	// Address is the peer address of a proxy.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// InstanceList reads the platform's list of instances, which lags behind their
// actual state.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// InstanceListClient reads the instance list over HTTP.
type InstanceListClient struct {
	base string
	http *http.Client
}

// NewInstanceListClient returns a client for the instance list at a base URL.
func NewInstanceListClient(base string) *InstanceListClient {
	return &InstanceListClient{base: strings.TrimRight(base, "/"), http: &http.Client{Transport: newTransport()}}
}

// Instances implements InstanceList. The error wraps ErrUnavailable.
func (c *InstanceListClient) Instances(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/instances", nil)
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	var response struct {
		Instances []Instance `json:"instances"`
	}
	if err := doJSON(c.http, req, &response); err != nil {
		return nil, fmt.Errorf("instance list: %w: %w", ErrUnavailable, err)
	}
	return response.Instances, nil
}
