// Package logservice provides HTTP clients for the append-only log and the
// instance list, two services outside the fleet.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"trefoilstream.example/trefoilstream/internal/httphead"
)

// ErrUnavailable means that the service could not be reached or refused the
// request, so the request had no effect.
var ErrUnavailable = errors.New("service unavailable")

// ErrUnknown means that a request was sent but no valid response was received, so
// it may or may not have taken effect.
var ErrUnknown = errors.New("outcome unknown")

// maxPageBytes limits the size of one response.
const maxPageBytes = 64 << 20

// Record is one record of the log.
type Record struct {
	Offset     uint64 `json:"offset"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Data       []byte `json:"data"`
}

// Page is a sequence of consecutive records.
type Page struct {
	Records []Record `json:"records"`
	// FirstOffset is the oldest offset that the log still keeps.
	FirstOffset uint64 `json:"first_offset"`
	// LastOffset is the newest offset of the log.
	LastOffset uint64 `json:"last_offset"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. The error wraps
	// ErrUnavailable or ErrUnknown.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns up to limit records after an offset. If there are none, it
	// waits up to wait for one.
	Read(ctx context.Context, after uint64, wait time.Duration, limit int) (Page, error)
}

// LogClient is an HTTP client of the log service.
type LogClient struct {
	base string
	http *http.Client
}

// NewLogClient returns a client for the log service at a base URL.
func NewLogClient(base string) *LogClient {
	return &LogClient{base: strings.TrimRight(base, "/"), http: &http.Client{Transport: newTransport()}}
}

func newTransport() http.RoundTripper {
	return httphead.Transport{Base: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
}

// Append implements Log.
func (c *LogClient) Append(ctx context.Context, data []byte) (uint64, error) {
	body, err := json.Marshal(map[string][]byte{"data": data})
	if err != nil {
		return 0, fmt.Errorf("encode record: %w", err)
	}
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+"/v1/records", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("append: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	var response struct {
		Offset uint64 `json:"offset"`
	}
	if err := c.do(req, &response); err != nil {
		if written.Load() && !errors.Is(err, ErrUnavailable) {
			return 0, fmt.Errorf("append: %w: %w", ErrUnknown, err)
		}
		return 0, fmt.Errorf("append: %w: %w", ErrUnavailable, err)
	}
	return response.Offset, nil
}

// Read implements Log.
func (c *LogClient) Read(ctx context.Context, after uint64, wait time.Duration, limit int) (Page, error) {
	url := c.base + "/v1/records?after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10) + "&limit=" + strconv.Itoa(limit)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, fmt.Errorf("read log: %w", err)
	}
	var page Page
	if err := c.do(req, &page); err != nil {
		return Page{}, fmt.Errorf("read log: %w: %w", ErrUnavailable, err)
	}
	return page, nil
}

func (c *LogClient) do(req *http.Request, response any) error {
	return doJSON(c.http, req, response)
}

func doJSON(client *http.Client, req *http.Request, response any) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(body, response); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
