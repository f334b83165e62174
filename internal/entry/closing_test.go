package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// largeBytes is more than what the kernels of both sides take before the caller reads.
const largeBytes = 900_000

// openConns returns the number of connections that the server has open.
func (f *fixture) openConns() int {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	return len(f.server.conns)
}

func (f *fixture) awaitNoConns(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); f.openConns() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d connections are open", f.openConns())
		}
	}
}

// Guards against closing a connection whose caller has not received all of its response yet: what
// the caller sends afterwards is answered with a reset, which discards the rest of it.
func TestLateReadersGetTheirWholeResponses(t *testing.T) {
	const pause = 100 * time.Millisecond
	request := func(c net.Conn, fields ...string) {
		_, _ = fmt.Fprintf(c, "GET /open/x HTTP/1.1\r\nHost: a\r\n%s\r\n", strings.Join(fields, ""))
	}
	for name, play := range map[string]func(f *fixture, c net.Conn){
		"sends more to a server that drains": func(f *fixture, c net.Conn) {
			f.drain(50 * time.Millisecond)
			request(c)
			time.Sleep(pause)
			request(c)
		},
		"sends two requests at once to a server that drains": func(f *fixture, c net.Conn) {
			f.drain(50 * time.Millisecond)
			request(c)
			request(c)
		},
		"sends more behind a request that closes": func(_ *fixture, c net.Conn) {
			request(c, "Connection: close\r\n")
			time.Sleep(pause)
			request(c)
		},
		"sends a body in chunks, and more": func(_ *fixture, c net.Conn) {
			request(c, "Transfer-Encoding: chunked\r\n")
			_, _ = io.WriteString(c, "1\r\nx\r\n0\r\n\r\n")
			time.Sleep(pause)
			request(c)
		},
		"sends no request behind the first one": func(_ *fixture, c net.Conn) {
			request(c)
			time.Sleep(pause)
			_, _ = io.WriteString(c, "nonsense\r\n\r\n")
			time.Sleep(pause)
			_, _ = io.WriteString(c, "more nonsense\r\n\r\n")
		},
		"reads after the server closed its idle connections": func(f *fixture, c net.Conn) {
			request(c)
			time.Sleep(pause)
			f.drain(50 * time.Millisecond)
			time.Sleep(2 * pause)
			request(c)
		},
		"reads after others needed room": func(f *fixture, c net.Conn) {
			request(c)
			time.Sleep(pause)
			f.server.closeLongestIdle()
			time.Sleep(pause)
			request(c)
		},
		"reads after memory was short in its next head": func(f *fixture, c net.Conn) {
			request(c)
			time.Sleep(pause)
			_, _ = io.WriteString(c, "GET /open/y HTTP/1.1\r\nHost")
			time.Sleep(pause)
			f.server.mu.Lock()
			for own := range f.server.conns {
				own.(*callerConn).closeInHead()
			}
			f.server.mu.Unlock()
			time.Sleep(pause)
			_, _ = io.WriteString(c, ": a\r\n\r\n")
		},
		"reads after the linger": func(f *fixture, c net.Conn) {
			f.drain(50 * time.Millisecond)
			request(c)
			time.Sleep(time.Second)
			request(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.dispatcher.run = func(context.Context, *Request) (*Response, error) {
				return &Response{Status: 200, Header: http.Header{}, ContentLength: largeBytes, Body: io.NopCloser(bytes.NewReader(make([]byte, largeBytes)))}, nil
			}
			c, r := f.dial(t)
			// With a fixed size, the kernel does not enlarge the buffer by itself.
			_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
			for f.openConns() == 0 {
				time.Sleep(time.Millisecond)
			}
			play(f, c)
			time.Sleep(pause)
			if f.openConns() != 1 {
				t.Errorf("%d connections count as open although the caller has read nothing, want 1", f.openConns())
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != largeBytes {
				t.Fatalf("%d bytes of %d, %v", n, largeBytes, err)
			}
			_ = c.Close()
			f.awaitNoConns(t)
		})
	}
}

// Guards against connections that are kept, and a stop that they delay, for callers that have left
// without reading, and against an HTTP/1.0 response that ends early and looks complete.
func TestCallersThatLeaveUnreadAreLetGo(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.run = func(context.Context, *Request) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, ContentLength: largeBytes, Body: io.NopCloser(bytes.NewReader(make([]byte, largeBytes)))}, nil
	}
	for _, reset := range []bool{false, true} {
		c, _ := f.dial(t)
		_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
		_, _ = io.WriteString(c, "GET /open/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
		start := time.Now()
		f.awaitNoConns(t)
		if took := time.Since(start); took > time.Second {
			t.Errorf("reset %v: the connection is kept for %v", reset, took)
		}
	}
}

// Guards against a request that is cut off since its connection was about to be ended as idle when
// it arrived.
func TestRequestTakesTheEndOfItsConnectionBack(t *testing.T) {
	f := newFixture(t)
	entered := make(chan struct{})
	f.dispatcher.run = func(ctx context.Context, _ *Request) (*Response, error) {
		close(entered)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(300 * time.Millisecond):
			return responseOf("done"), nil
		}
	}
	c, r := f.dial(t)
	for f.openConns() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.server.mu.Lock()
	for own := range f.server.conns {
		// As if the request had arrived just before end, whose deadline is set last.
		h := own.(*callerConn)
		h.mu.Lock()
		h.ending = true
		h.mu.Unlock()
	}
	f.server.mu.Unlock()
	_, _ = io.WriteString(c, openRequest)
	<-entered
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v, %v", resp, err)
	}
}
