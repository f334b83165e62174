package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
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
	a := answer{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
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

// rawRequest returns the bytes of a request.
func rawRequest(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: key-1\r\n%s: %d\r\n\r\n", method, path, headerID, id, headerKey, headerDeadline, deadline.Milliseconds())
}

// rawConn is a connection on which a client writes its own bytes.
type rawConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func dialRaw(address string) (*rawConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &rawConn{TCPConn: c.(*net.TCPConn), reader: bufio.NewReader(c)}, nil
}
