package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/delivery"
	"trefoilstream.example/trefoilstream/internal/sockopt"
)

// largeBytes is more than what the kernels of both sides take before the caller reads.
const largeBytes = 900_000

// lateReader is a caller that reads its responses some time after it has sent its requests.
type lateReader struct {
	net.Conn
	r *bufio.Reader
}

func dialLate(t *testing.T, l net.Listener) *lateReader {
	t.Helper()
	d := net.Dialer{}
	c, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	// With a fixed size, the kernel does not enlarge the buffer by itself.
	_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &lateReader{c, bufio.NewReader(c)}
}

// send sends a request for a response of largeBytes, or a short one.
func (c *lateReader) send(path string, fields ...string) {
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, strings.Join(fields, ""))
}

// wantWhole checks that the next response is whole.
func (c *lateReader) wantWhole(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != largeBytes {
		t.Fatalf("%d bytes of %d, %v", n, largeBytes, err)
	}
	return resp
}

// serveLarge responds with largeBytes, or with a short body below /short.
func serveLarge(_ context.Context, r *Request, w *Response) {
	n := largeBytes
	if strings.HasPrefix(r.URI, "/short") {
		n = 10
	}
	w.Respond(http.StatusOK, http.Header{}, make([]byte, n))
}

// Guards against closing a connection whose caller has not received all of its responses yet: what
// the caller sends afterwards is answered with a reset, which discards the rest of them (LOST).
func TestLateReadersGetTheirWholeResponses(t *testing.T) {
	const pause = 100 * time.Millisecond
	for name, play := range map[string]func(t *testing.T, s *Server, c *lateReader){
		"sends more behind the last response of a server that drains": func(t *testing.T, s *Server, c *lateReader) {
			s.Drain()
			c.send("/1")
			time.Sleep(pause)
			c.send("/2")
		},
		"sends more behind a response that became the last one": func(t *testing.T, s *Server, c *lateReader) {
			c.send("/1")
			time.Sleep(pause)
			s.Drain()
			c.send("/short")
			time.Sleep(pause)
			c.send("/2")
		},
		"sends more behind a request that closes": func(_ *testing.T, _ *Server, c *lateReader) {
			c.send("/1", "Connection: close\r\n")
			time.Sleep(pause)
			c.send("/2")
		},
		"sends no request behind the first one": func(_ *testing.T, _ *Server, c *lateReader) {
			c.send("/1")
			time.Sleep(pause)
			_, _ = io.WriteString(c, "nonsense\r\n\r\n")
			time.Sleep(pause)
			_, _ = io.WriteString(c, "more nonsense\r\n\r\n")
		},
		"keeps sending until it reads": func(_ *testing.T, s *Server, c *lateReader) {
			s.Drain()
			for range 8 {
				c.send("/1")
				time.Sleep(pause)
			}
		},
		"reads after the server closed its idle connections": func(_ *testing.T, s *Server, c *lateReader) {
			c.send("/1")
			time.Sleep(pause)
			s.Drain()
			s.CloseIdle()
			time.Sleep(pause)
			c.send("/2")
		},
		"reads after the idle timeout": func(_ *testing.T, _ *Server, c *lateReader) {
			c.send("/1")
			time.Sleep(600 * time.Millisecond)
			c.send("/2")
		},
		"reads after others needed room": func(_ *testing.T, s *Server, c *lateReader) {
			c.send("/1")
			time.Sleep(pause)
			s.makeRoom(time.Now())
			time.Sleep(pause)
			c.send("/2")
		},
		"closes its own side first": func(_ *testing.T, _ *Server, c *lateReader) {
			c.send("/1")
			time.Sleep(pause)
			_ = c.Conn.(*net.TCPConn).CloseWrite()
		},
		"reads after the linger": func(_ *testing.T, s *Server, c *lateReader) {
			s.Drain()
			c.send("/1")
			time.Sleep(2 * delivery.CallerLimits.Linger)
			c.send("/2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, l := listen(t, &handler{serve: serveLarge, limits: catalog.Limits{IdleTimeout: 500 * time.Millisecond}})
			c := dialLate(t, l)
			play(t, s, c)
			time.Sleep(pause)
			if s.Active() == 0 {
				t.Errorf("no response counts as awaited although the caller has read none")
			}
			c.wantWhole(t)
			_ = c.Close()
			eventually(t, "the connection ends", func() bool { return s.Active() == 0 && s.Open() == 0 })
		})
	}
}

// Guards against a broken response that takes those before it along.
func TestBrokenResponseLeavesThoseBeforeItWhole(t *testing.T) {
	s, l := listen(t, &handler{serve: func(ctx context.Context, r *Request, w *Response) {
		if r.URI != "/broken" {
			serveLarge(ctx, r, w)
			return
		}
		w.Start(http.StatusOK, http.Header{}, 100)
		_ = w.WritePart(ctx, []byte("part"))
		w.Finish(false)
	}})
	c := dialLate(t, l)
	c.send("/1")
	c.send("/broken")
	time.Sleep(100 * time.Millisecond)
	c.send("/2")
	time.Sleep(100 * time.Millisecond)
	c.wantWhole(t)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("the broken response looks complete: %q", body)
	}
	_ = c.Close()
	eventually(t, "the connection ends", func() bool { return s.Open() == 0 })
}

// Guards against connections that are kept, and delay the end of the process, for callers that
// have left without reading.
func TestCallersThatLeaveUnreadAreLetGo(t *testing.T) {
	for name, leave := range map[string]func(c *lateReader){
		"closes": func(c *lateReader) { _ = c.Close() },
		"resets": func(c *lateReader) { _ = c.Conn.(*net.TCPConn).SetLinger(0); _ = c.Close() },
		"ends its side, resets": func(c *lateReader) {
			tcp := c.Conn.(*net.TCPConn)
			_ = tcp.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, drain := range []bool{false, true} {
				s, l := listen(t, &handler{serve: serveLarge})
				if drain {
					s.Drain()
				}
				c := dialLate(t, l)
				c.send("/1")
				time.Sleep(100 * time.Millisecond)
				leave(c)
				start := time.Now()
				eventually(t, "the connection ends", func() bool { return s.Active() == 0 && s.Open() == 0 })
				if took := time.Since(start); took > time.Second {
					t.Errorf("draining %v: the connection is kept for %v", drain, took)
				}
			}
		})
	}
}

// Guards against taking a caller for gone that reads nothing for some seconds: its kernel
// acknowledges what arrives, and probes of its window (LOST).
func TestCallerThatReadsSecondsLaterIsNotCutOff(t *testing.T) {
	const responses = 20
	l, err := sockopt.CallerListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go NewServer(&handler{serve: serveLarge}).Serve(l)
	c := dialLate(t, l)
	// More than what the kernels take, so that a write waits for the caller.
	for range responses {
		c.send("/1")
	}
	time.Sleep(2500 * time.Millisecond)
	for range responses {
		c.wantWhole(t)
	}
}

// Guards against a new connection that waits until callers are given up that read nothing.
func TestCallersThatReadNothingMakeRoom(t *testing.T) {
	_, l := listenBounded(t, &handler{serve: serveLarge}, 64<<20, 2)
	for range 2 {
		c := dialLate(t, l)
		for range maxPipelined {
			c.send("/1")
		}
	}
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	c := dialLate(t, l)
	c.send("/1")
	c.wantWhole(t)
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("the response took %v", took)
	}
}
