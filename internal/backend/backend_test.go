package backend

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// rawServer passes each connection to serve and counts the requests that
// readRequest reads.
type rawServer struct {
	address  string
	requests atomic.Int32
	accepted atomic.Int32
}

func listen(t *testing.T, serve func(s *rawServer, c net.Conn, r *bufio.Reader)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				serve(s, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readRequest reads one complete request.
func (s *rawServer) readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	s.requests.Add(1)
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

const responseOK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func request(s *rawServer, idempotent bool) *Request {
	r := &Request{Address: s.address, Method: "POST", URI: "/x", Host: "h", Idempotent: idempotent,
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: strings.NewReader("body"), ContentLength: 4}
	return r
}

func send(ctx context.Context, c *Client, r *Request) (string, error) {
	resp, err := c.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against resending a request automatically when the server closes an
// idle connection as the request arrives: the server reads each request after
// the first, counts it and closes without a response. http.Transport sends such
// a request twice if it has an Idempotency-Key or no body.
func TestLostIdleConnectionNeverResends(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		for _, idempotent := range []bool{true, false} {
			s := listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
				for s.readRequest(r) {
					if s.requests.Load() > 1 {
						return
					}
					_, _ = io.WriteString(c, responseOK)
				}
			})
			c := New()
			if body, err := send(t.Context(), c, request(s, true)); err != nil || body != "ok" {
				t.Fatalf("first response %q, %v", body, err)
			}
			r := request(s, idempotent)
			if r.Method = method; method == "GET" {
				r.Body, r.ContentLength = nil, 0
			}
			_, err := send(t.Context(), c, r)
			if !errors.Is(err, ErrDropped) || errors.Is(err, ErrNotSent) {
				t.Errorf("%s idempotent=%v: error %v, want ErrDropped", method, idempotent, err)
			}
			if n := s.requests.Load(); n != 2 {
				t.Errorf("%s idempotent=%v: server read %d requests, want 2", method, idempotent, n)
			}
			if want := map[bool]int32{true: 1, false: 2}[idempotent]; s.accepted.Load() != want {
				t.Errorf("%s idempotent=%v: %d connections, want %d", method, idempotent, s.accepted.Load(), want)
			}
		}
	}
}

// Guards against taking unsolicited bytes for a response, and against using a
// closed idle connection.
func TestIdleConnectionWithUnexpectedBytesIsNotUsed(t *testing.T) {
	for _, extra := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray", ""} {
		s := listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
			first := s.accepted.Load() == 1
			for s.readRequest(r) {
				_, _ = io.WriteString(c, responseOK)
				if first {
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(c, extra)
					if extra == "" {
						return
					}
				}
			}
		})
		c := New()
		for i := range 2 {
			if body, err := send(t.Context(), c, request(s, true)); err != nil || body != "ok" {
				t.Fatalf("extra %q: response %d is %q, %v", extra, i, body, err)
			}
			time.Sleep(60 * time.Millisecond)
		}
		if s.accepted.Load() != 2 {
			t.Errorf("extra %q: %d connections, want 2", extra, s.accepted.Load())
		}
	}
}

// Guards against accepting truncated responses, responses without a length or
// headers of unlimited size, and against reusing connections after them.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, raw := range map[string]string{
		"short body":     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"short chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no length":      "HTTP/1.1 200 OK\r\n\r\nok",
		"two lengths":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"large headers":  "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeaderBytes) + "\r\nContent-Length: 2\r\n\r\nok",
		"half of a head": "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		s := listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
			if s.readRequest(r) {
				_, _ = io.WriteString(c, raw)
			}
		})
		c := New()
		body, err := send(t.Context(), c, request(s, true))
		if err == nil || errors.Is(err, ErrNotSent) || errors.Is(err, ErrDropped) {
			t.Errorf("%s: body %q, error %v", name, body, err)
		}
		if n := c.Connections(s.address); n != 0 {
			t.Errorf("%s: %d connections stay open", name, n)
		}
	}
}

// Guards against reusing a connection after a cancellation or a body that was
// not read to its end: the next request would get the late response.
func TestNoReuseAfterCancellation(t *testing.T) {
	release := make(chan struct{})
	s := listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		for s.readRequest(r) {
			if s.requests.Load() == 1 {
				<-release
			}
			_, _ = io.WriteString(c, responseOK)
		}
	})
	c := New()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := send(ctx, c, request(s, true)); err == nil || errors.Is(err, ErrNotSent) {
		t.Fatalf("error %v after a timeout", err)
	}
	close(release)
	resp, err := c.Do(t.Context(), request(s, true))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if n := c.Connections(s.address); n != 0 {
		t.Errorf("%d connections stay open after an unread body", n)
	}
}

// Guards against reporting not_run although bytes were written, and against not
// reporting it although no connection was made.
func TestNotSentIsAProof(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	r := &Request{Address: address, Method: "POST", URI: "/", ContentLength: 0}
	if _, err := New().Do(t.Context(), r); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrConnect) {
		t.Errorf("error %v without a listener", err)
	}
	for range 200 {
		var got atomic.Int64
		ended := make(chan struct{})
		s := listen(t, func(_ *rawServer, c net.Conn, r *bufio.Reader) {
			n, _ := r.Read(make([]byte, 1))
			got.Add(int64(n))
			close(ended)
		})
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		_, err := New().Do(ctx, request(s, false))
		cancel()
		if !errors.Is(err, ErrNotSent) {
			continue
		}
		select {
		case <-ended:
		case <-time.After(5 * time.Millisecond):
			// No connection was accepted.
		}
		if got.Load() > 0 {
			t.Fatalf("server read bytes of a request reported as not sent: %v", err)
		}
	}
}

// Guards against opening more connections to a server than it accepts.
func TestConnectionsPerServerAreBounded(t *testing.T) {
	s := listen(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = r.ReadByte()
	})
	c := New()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range MaxConnections {
		go func() { _, _ = c.Do(ctx, request(s, false)) }()
	}
	for s.requests.Load() < MaxConnections {
		time.Sleep(time.Millisecond)
	}
	if _, err := c.Do(ctx, request(s, false)); !errors.Is(err, ErrNotSent) {
		t.Fatalf("error %v beyond the bound, want ErrNotSent", err)
	}
}

// Guards against a key that reaches a backend server anywhere else than in the
// Authorization header.
func TestStripKey(t *testing.T) {
	sum := sha256.Sum256([]byte("s3cr3t+key=="))
	isKey := func(s string) bool { return sha256.Sum256([]byte(s)) == sum }
	h := http.Header{
		"Authorization": {"Bearer other"}, "X-Api-Key": {"s3cr3t+key=="}, "Cookie": {"a=b; k=s3cr3t+key=="},
		"X-Copy": {"Bearer s3cr3t+key=="}, "X-Json": {`{"k":"s3cr3t+key=="}`}, "X-Plain": {"kept"}, "X-Two": {"kept", "s3cr3t+key=="},
		"X-Encoded": {"s3cr3t%2Bkey%3D%3D"},
	}
	uri, err := StripKey(h, "/a/b?x=1&key=s3cr3t%2Bkey%3D%3D&auth=Bearer%20s3cr3t%2Bkey%3D%3D&y=2", isKey)
	if err != nil || uri != "/a/b?x=1&y=2" {
		t.Errorf("uri %q, %v", uri, err)
	}
	if got, want := fmt.Sprint(h), fmt.Sprint(http.Header{"X-Plain": {"kept"}, "X-Two": {"kept"}}); got != want {
		t.Errorf("headers %s, want %s", got, want)
	}
	if _, err := StripKey(http.Header{}, "/a/s3cr3t+key==/b", isKey); !errors.Is(err, ErrKeyInPath) {
		t.Errorf("error %v for a key in the path", err)
	}
}
