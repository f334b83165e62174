package backend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/delivery"
)

// uploadBytes is more than the buffers of a loopback connection hold while the server does
// not read.
const uploadBytes = 8 << 20

// earlyHead begins a response that ends with its connection.
const earlyHead = "HTTP/1.1 200 OK\r\n\r\n"

// answerEarly makes a server write a response after the head of the request, and then do
// what finish does.
func answerEarly(t *testing.T, finish func(c *net.TCPConn)) *rawServer {
	t.Helper()
	return listen(t, func(_ *rawServer, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, earlyHead+"part")
		finish(c.(*net.TCPConn))
	})
}

// reset closes a connection without an orderly end.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func upload(s *rawServer) *Request {
	return &Request{Address: s.address, Method: "POST", URI: "/", Host: "h", UntilClose: true,
		Body: bytes.NewReader(make([]byte, uploadBytes)), ContentLength: uploadBytes}
}

// awaitWriter waits until the write of the request has ended.
func awaitWriter(t *testing.T, resp *http.Response) {
	t.Helper()
	x := resp.Body.(*responseBody).x
	for until := time.Now().Add(10 * time.Second); len(x.writeDone) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the write of the request does not end")
		}
	}
}

// readBody reads and closes the body of a response.
func readBody(resp *http.Response) (string, error) {
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return string(body), err
}

// Guards against an upload that is broken off at a server which works for some seconds before it
// reads the rest.
func TestServerMayReadLate(t *testing.T) {
	s := listen(t, func(_ *rawServer, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(4 * time.Second)
		n, _ := io.Copy(io.Discard, req.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n%8d", n)
	})
	resp, err := New().Do(t.Context(), upload(s))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := readBody(resp); err != nil || strings.TrimSpace(body) != strconv.Itoa(uploadBytes) {
		t.Errorf("the server got %q bytes of %d, %v", body, uploadBytes, err)
	}
}

// Guards against taking a part of a response for a complete one when the connection is reset
// while the request is being written. The system reports a reset once, to the writer or to the
// reader; if it was the writer, the reader sees an end as of an orderly close.
func TestResetDuringUploadTruncatesTheResponse(t *testing.T) {
	check := func(t *testing.T, c *Client, s *rawServer, resp *http.Response) {
		t.Helper()
		body, err := readBody(resp)
		if err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("body %q, error %v; want an error of a response that was cut off", body, err)
		}
		if n := c.Connections(s.address); n != 0 {
			t.Errorf("%d connections stay open", n)
		}
	}
	t.Run("writer learns of it", func(t *testing.T) {
		s := answerEarly(t, func(c *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			reset(c)
		})
		c := New()
		resp, err := c.Do(t.Context(), upload(s))
		if err != nil {
			t.Fatal(err)
		}
		awaitWriter(t, resp)
		check(t, c, s, resp)
	})
	t.Run("reader learns of it", func(t *testing.T) {
		s := answerEarly(t, func(c *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			reset(c)
		})
		r := upload(s)
		rest, release := io.Pipe()
		defer func() { _ = release.Close() }()
		// The write waits for the rest of the body, so that only the reader uses the connection.
		r.Body = io.MultiReader(strings.NewReader("begin"), rest)
		c := New()
		resp, err := c.Do(t.Context(), r)
		if err != nil {
			t.Fatal(err)
		}
		check(t, c, s, resp)
	})
	t.Run("writer reports it late", func(t *testing.T) {
		s := answerEarly(t, func(c *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			reset(c)
		})
		c := New()
		cn, err := c.get(t.Context(), s.address, false)
		if err != nil {
			t.Fatal(err)
		}
		failed := make(chan struct{})
		cn.Conn = &lateWriter{TCPConn: cn.Conn.(*delivery.Watched).TCPConn, failed: failed}
		cn.maxIdle = time.Minute
		c.put(cn)
		r := upload(s)
		r.Idempotent = true
		resp, err := c.Do(t.Context(), r)
		if err != nil {
			t.Fatal(err)
		}
		<-failed
		check(t, c, s, resp)
	})
	for _, pause := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
		t.Run("race after "+pause.String(), func(t *testing.T) {
			t.Parallel()
			s := answerEarly(t, func(c *net.TCPConn) {
				time.Sleep(pause)
				reset(c)
			})
			c := New()
			const rounds = 60
			complete := 0
			for range rounds {
				resp, err := c.Do(t.Context(), upload(s))
				if err != nil {
					continue
				}
				if _, err := readBody(resp); err == nil {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d responses that were cut off count as complete", complete, rounds)
			}
		})
	}
}

// lateWriter reports the error of a write a while after the write has failed.
type lateWriter struct {
	*net.TCPConn
	// failed is closed when a write has failed and not reported it yet.
	failed chan struct{}
}

// Write implements net.Conn.
func (w *lateWriter) Write(p []byte) (int, error) {
	n, err := w.TCPConn.Write(p)
	if err != nil {
		close(w.failed)
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

// Guards against losing a response that ends with its connection because the server has sent
// it, and the orderly end of its side, before it has read the request.
func TestEarlyResponseThatEndsInOrderIsComplete(t *testing.T) {
	// slow is how long the servers that read slowly, or not at all, take at least; the
	// response must not wait for them.
	const slow = 2 * time.Second
	for name, c := range map[string]struct {
		finish func(c *net.TCPConn)
		// writerFirst reads the body only when the write of the request has ended.
		writerFirst bool
	}{
		"the rest of the request is read": {func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }, true},
		"the request is read slowly": {func(c *net.TCPConn) {
			for {
				if _, err := io.CopyN(io.Discard, c, uploadBytes/100); err != nil {
					return
				}
				time.Sleep(slow / 100)
			}
		}, false},
		"the request is read no further":   {func(*net.TCPConn) { time.Sleep(slow) }, false},
		"reset later, reader learns first": {func(c *net.TCPConn) { time.Sleep(slow); reset(c) }, false},
		"reset later, writer learns first": {func(c *net.TCPConn) { time.Sleep(20 * time.Millisecond); reset(c) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := answerEarly(t, func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				c.finish(conn)
			})
			client := New()
			start := time.Now()
			resp, err := client.Do(t.Context(), upload(s))
			if err != nil {
				t.Fatal(err)
			}
			if c.writerFirst {
				awaitWriter(t, resp)
			}
			if body, err := readBody(resp); err != nil || body != "part" {
				t.Errorf("body %q, error %v", body, err)
			}
			if took := time.Since(start); !c.writerFirst && took > slow/2 {
				t.Errorf("the response took %v, so it waited for the write of the request", took)
			}
			if n := client.Connections(s.address); n != 0 {
				t.Errorf("%d connections stay open", n)
			}
		})
	}
}
