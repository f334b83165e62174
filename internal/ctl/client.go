package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"trefoilstream.example/trefoilstream/internal/admin"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/httphead"
)

const (
	// callTimeout is longer than the API takes for a change.
	callTimeout = admin.PublishTimeout + 5*time.Second
	// dialTimeout is short, so that the next address is tried soon.
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds a response body, which may be a whole document.
	maxResponseBytes = 512 << 20
)

// client calls the administration API of the first instance that responds.
type client struct {
	baseURLs []string
	key      string
	http     *http.Client
}

// newClient returns a client of a list of base URLs separated by commas.
func newClient(urls, key string, authority []byte) (*client, error) {
	c := &client{key: key, http: &http.Client{Timeout: callTimeout}}
	for _, u := range strings.Split(urls, ",") {
		if u = strings.TrimRight(strings.TrimSpace(u), "/"); u != "" {
			c.baseURLs = append(c.baseURLs, u)
		}
	}
	if len(c.baseURLs) == 0 {
		return nil, usagef("set --admin or %s to the base URLs of the administration API", EnvAdmin)
	}
	if key == "" {
		return nil, usagef("set %s or --key-file to the operator key", EnvKey)
	}
	transport := &http.Transport{TLSHandshakeTimeout: dialTimeout, DisableKeepAlives: true}
	if len(authority) > 0 {
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(authority) {
			return nil, usagef("the file given by --authority holds no certificate")
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	c.http.Transport = httphead.Transport{Base: transport}
	return c, nil
}

// call sends a request and decodes the response. A problem reported by the API
// is a *problemError. An instance that was not reached is skipped.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	body := []byte(nil)
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	var errs []error
	for _, base := range c.baseURLs {
		sent, err := c.callOne(ctx, method, base+path, body, out)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
		var problem *problemError
		if errors.As(err, &problem) {
			return err
		}
		if sent && method != http.MethodGet {
			return &problemError{admin.Problem{
				Kind: string(errkind.LogUnknown), Outcome: string(errkind.Unknown), Detail: err.Error(),
				Remedy: "Run the same command again; a change is applied once.",
			}}
		}
	}
	return fmt.Errorf("%w: %w", errUnreachable, errors.Join(errs...))
}

// callOne reports whether the request may have reached the instance.
func (c *client) callOne(ctx context.Context, method, url string, body []byte, out any) (sent bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return false, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return sent, err
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return true, fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		p := new(problemError)
		if json.Unmarshal(response, &p.Problem) != nil || p.Kind == "" {
			return true, fmt.Errorf("%s answered with status %d", url, resp.StatusCode)
		}
		return true, p
	}
	if err := json.Unmarshal(response, out); err != nil {
		return true, fmt.Errorf("decode response: %w", err)
	}
	return true, nil
}

var errUnreachable = errors.New("no instance was reached")

// problemError is a problem that the API reported.
type problemError struct{ admin.Problem }

// Error implements error.
func (e *problemError) Error() string {
	text := e.Kind + ": " + e.Detail
	if len(e.Faults) > 0 {
		text = e.Kind + ":\n" + e.Faults.Error()
	}
	return text + "\n" + e.Remedy
}
