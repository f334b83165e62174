// Package backend is an HTTP/1.1 client for backend servers. It writes and
// parses messages with net/http but pools connections itself: http.Transport
// may resend a request when an idle connection is lost, and it does not report
// whether any byte was written.
package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"trefoilstream.example/trefoilstream/internal/httphead"
)

// Limits of the client.
const (
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept. It is below the
	// idle timeouts that servers commonly use (15 s and more).
	idleTimeout = 10 * time.Second
	// MaxConnections bounds the connections per server, in use and idle.
	// Servers accept about 360, and a handover between instances temporarily
	// doubles the connections to a server.
	MaxConnections = 128
	// maxHeaderBytes bounds the status line and headers of a response.
	maxHeaderBytes = 64 << 10
	// writeWait is how long the end of a response waits for the end of the
	// request's write, which the writer may report a moment after the server
	// has responded. The connection of a server that responds before it has
	// read the request is not reused.
	writeWait = 5 * time.Millisecond
	// maxInterim bounds the 1xx responses, and the responses to other
	// requests, before the final one.
	maxInterim = 8
)

// Errors of Do and of the response's body.
var (
	// ErrNotSent says that no byte of the request was written.
	ErrNotSent = errors.New("request not sent")
	// ErrConnect says that no connection could be made. Do wraps it together
	// with ErrNotSent.
	ErrConnect = errors.New("no connection")
	// ErrDropped says that the server closed the connection before the
	// first byte of a response, after bytes of the request were written.
	ErrDropped = errors.New("connection closed without a response")
	// ErrNoLength says that the end of the response cannot be told from a
	// broken connection: it has neither a Content-Length nor chunked encoding.
	ErrNoLength       = errors.New("response has no length")
	errBrokenInWrite  = errors.New("connection broke while the request was being written")
	errOtherRequest   = errors.New("response belongs to another request")
	errUnknownRequest = errors.New("response does not say to which request it belongs")
	errHeaderTooLarge = errors.New("response headers are too large")
)

// Request is one request to a backend server.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    io.Reader
	// ContentLength is in bytes, or -1 if unknown.
	ContentLength int64
	// Idempotent requests may use an idle connection. Others use a new one:
	// if an idle connection were lost, it would be unknown whether they ran.
	Idempotent bool
	// UntilClose accepts a response whose end is the end of its connection.
	// A connection reset still counts as a truncated response.
	UntilClose bool
	// Match, if set, says to which request a response belongs.
	Match func(h http.Header) Match
}

// Match says to which request of a connection a response belongs.
type Match uint8

const (
	// ThisRequest is the one that was sent last.
	ThisRequest Match = iota
	// OtherRequest is an earlier one. The response is read and discarded.
	OtherRequest
	// UnknownRequest means that the response does not say. On a connection that served
	// an earlier request it may be one that the server has written once more, so it
	// proves nothing about this request.
	UnknownRequest
)

// Do sends a request once and returns the response once its headers are read.
// An error that wraps ErrNotSent proves that the request did not run. The
// caller must close the body. The context also covers reading the body.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	req, err := newRequest(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	cn, err := c.get(ctx, r.Address, r.Idempotent)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x := &exchange{client: c, conn: cn, writeDone: make(chan error, 1), first: !cn.used}
	cn.used = true
	x.stopWatch = context.AfterFunc(ctx, cn.closeAndRelease)
	go func() { x.writeDone <- x.write(req) }()
	resp, err := x.read(req, r)
	if err == nil {
		return resp, nil
	}
	x.finish(false)
	// The connection is closed now, so a write that has not started will fail.
	if cn.written.Load() == 0 {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if cn.received.Load() == x.receivedBefore && ctx.Err() == nil {
		return nil, fmt.Errorf("%w: %w", ErrDropped, err)
	}
	return nil, err
}

func newRequest(r *Request) (*http.Request, error) {
	u, err := url.Parse("http://" + r.Address + r.URI)
	if err != nil {
		return nil, err
	}
	req := &http.Request{Method: r.Method, URL: u, Host: r.Host, Header: r.Header.Clone(), ContentLength: r.ContentLength,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody}
	if r.ContentLength != 0 && r.Body != nil {
		req.Body = io.NopCloser(r.Body)
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// Keeps Request.Write from adding a default User-Agent.
		req.Header["User-Agent"] = []string{""}
	}
	return req, nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	client    *Client
	conn      *conn
	writeDone chan error
	stopWatch func() bool
	// receivedBefore is the connection's byte count before the response.
	receivedBefore int64
	// first is set if the connection served no request before.
	first bool
	done  bool
}

func (x *exchange) write(req *http.Request) error {
	w := bufio.NewWriter(x.conn)
	if err := req.Write(w); err != nil {
		if x.conn.writeErr == nil {
			// The body could not be read. A connection that broke is left to the reader:
			// the server may have responded before.
			x.conn.closeAndRelease()
		}
		return err
	}
	return w.Flush()
}

func (x *exchange) read(req *http.Request, r *Request) (*http.Response, error) {
	x.receivedBefore = x.conn.received.Load()
	for range maxInterim {
		x.conn.beginHead()
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			if x.conn.headerBytesLeft <= 0 {
				err = errHeaderTooLarge
			}
			return nil, fmt.Errorf("read response: %w", err)
		}
		if err := httphead.Check(resp); err != nil {
			return nil, err
		}
		if !resp.ProtoAtLeast(1, 1) {
			if err := httphead.CheckHTTP10(x.conn.recordedHead()); err != nil {
				return nil, err
			}
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, errors.New("server switched protocols")
			}
			continue
		}
		x.conn.headerBytesLeft = unlimited
		unbounded := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
		if unbounded && !r.UntilClose {
			return nil, ErrNoLength
		}
		match := ThisRequest
		if r.Match != nil {
			match = r.Match(resp.Header)
		}
		if match == UnknownRequest && !x.first {
			return nil, errUnknownRequest
		}
		if match == OtherRequest {
			if unbounded {
				return nil, errOtherRequest
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, fmt.Errorf("read the response to another request: %w", err)
			}
			continue
		}
		x.conn.maxIdle = maxIdleTime(resp.Header)
		resp.Body = &responseBody{x: x, body: resp.Body, reuse: !resp.Close && !unbounded, untilClose: unbounded}
		return resp, nil
	}
	return nil, errors.New("too many interim responses or responses to other requests")
}

// finish returns the connection to the pool if it can be reused, and closes it
// otherwise.
func (x *exchange) finish(clean bool) {
	if x.done {
		return
	}
	x.done = true
	// If the context has ended, its AfterFunc closes the connection.
	clean = x.stopWatch() && clean
	if clean {
		select {
		case err := <-x.writeDone:
			clean = err == nil
		case <-time.After(writeWait):
			clean = false
		}
	}
	if clean && x.conn.reader.Buffered() == 0 {
		x.client.put(x.conn)
		return
	}
	x.conn.closeAndRelease()
}

// responseBody is the body of a response. It returns io.EOF only at the end that
// the server announced.
type responseBody struct {
	x     *exchange
	body  io.ReadCloser
	reuse bool
	// untilClose is set if the end of the body is the end of its connection.
	untilClose bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF && b.untilClose {
		if writeErr := b.x.conn.brokenInWrite(); writeErr != nil {
			err = fmt.Errorf("%w: %w", errBrokenInWrite, writeErr)
		}
	}
	if err != nil {
		b.x.finish(err == io.EOF && b.reuse)
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end closes the
// connection.
func (b *responseBody) Close() error {
	b.x.finish(false)
	return nil
}

// keepAliveMargin is the margin by which connections are closed before the
// server's idle timeout, so that no request is sent on a connection that the
// server is closing.
const keepAliveMargin = 1500 * time.Millisecond

// maxIdleTime returns how long the connection may stay idle: the timeout of the
// server's Keep-Alive header less keepAliveMargin, and at most idleTimeout.
func maxIdleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return min(idleTimeout, max(0, time.Duration(seconds)*time.Second-keepAliveMargin))
		}
	}
	return idleTimeout
}
