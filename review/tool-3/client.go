package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// answer is the result of one client attempt.
type answer struct {
	id         string
	sent, got  time.Time
	status     int
	retryAfter string
	signed     bool
	err        error
}

// ask sends one request over a client that keeps its connections, and waits for the answer.
func ask(c *http.Client, address, method, path string, deadline time.Duration) answer {
	return send(c, address, method, path, nil, deadline)
}

// send is ask with a body.
func send(c *http.Client, address, method, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "shop.example"
	req.Header.Set(headerID, a.id)
	req.Header.Set(headerKey, "key-1")
	req.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.Do(req)
	if err != nil {
		a.got, a.err = time.Now(), err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	_, a.err = io.Copy(io.Discard, resp.Body)
	a.got, a.status, a.retryAfter, a.signed = time.Now(), resp.StatusCode, resp.Header.Get("Retry-After"), resp.Header.Get(headerSignature) != ""
	return a
}

// newClient returns a client with connections of its own.
func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
}
