package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/errkind"
)

// listenBounded starts a server with a limit of connections.
func listenBounded(t *testing.T, h *handler, connections int) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h)
	s.MaxConnections = connections
	go s.Serve(l)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// wantRefusal checks that the response is a refusal that says why, that the request has not
// run, when to come back, and that the connection closes.
func wantRefusal(t *testing.T, resp *http.Response, body string, kind errkind.Kind) {
	t.Helper()
	if resp.StatusCode != errkind.Lookup(kind).Status || !strings.Contains(body, string(kind)) || !strings.Contains(body, "not_run") ||
		resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("status %d, header %v, close announced %v, body %q; want %s", resp.StatusCode, resp.Header, resp.Close, body, kind)
	}
}

// Guards against a new connection that waits while others are idle, and against closing one
// whose request has been read.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	l := listenBounded(t, &handler{serve: func(ctx context.Context, r *Request, w *Response) {
		if r.URI == "/slow" {
			<-release
		}
		echo(ctx, r, w)
	}}, 4)
	busy, busyAnswers := dial(t, l)
	_, _ = io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	kept, keptAnswers := dial(t, l)
	request := func(c net.Conn) { _, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n") }
	request(kept)
	readResponse(t, keptAnswers)
	half, halfAnswers := dial(t, l)
	_, _ = io.WriteString(half, "GET /x HTTP/1.1\r\nHo")
	_, unusedAnswers := dial(t, l)
	time.Sleep(100 * time.Millisecond)
	request(kept)
	readResponse(t, keptAnswers)
	for range 2 {
		time.Sleep(20 * time.Millisecond)
		c, r := dial(t, l)
		request(c)
		readResponse(t, r)
	}
	resp, body := readResponse(t, halfAnswers)
	wantRefusal(t, resp, body, errkind.InstanceFull)
	if _, err := unusedAnswers.ReadByte(); err != io.EOF {
		t.Errorf("the unused connection: %v, want its end", err)
	}
	request(kept)
	if resp, _ := readResponse(t, keptAnswers); resp.StatusCode != http.StatusOK {
		t.Errorf("the kept connection: status %d", resp.StatusCode)
	}
	close(release)
	if resp, _ := readResponse(t, busyAnswers); resp.StatusCode != http.StatusOK {
		t.Errorf("the busy connection: status %d", resp.StatusCode)
	}
}

// exhaustedListener fails like one that has no descriptor left.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a listener that is given up when the descriptors run out (RECOVER).
func TestAcceptingGoesOnAfterDescriptorsRanOut(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &exhaustedListener{Listener: inner}
	l.failures.Store(5)
	done := make(chan struct{})
	go func() {
		defer close(done)
		NewServer(&handler{serve: echo}).Serve(l)
	}()
	c, r := dial(t, l)
	_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	readResponse(t, r)
	_ = inner.Close()
	<-done
}

// Guards against a handler that waits for ever for a caller that has left, while its response
// waits behind another one (LOST).
func TestStreamBehindAnotherEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{}, 4)
	s, l := listen(t, &handler{serve: func(ctx context.Context, r *Request, w *Response) {
		defer func() { ended <- struct{}{} }()
		if r.URI == "/first" {
			<-ctx.Done()
			return
		}
		w.Start(http.StatusOK, http.Header{}, -1)
		// The handler's own context goes on, as that of a request with a long time limit.
		for range 3 {
			_ = w.WritePart(context.Background(), make([]byte, 32<<10))
		}
		w.Finish(false)
	}})
	c, _ := dial(t, l)
	_, _ = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 3))
	eventually(t, "all requests are served", func() bool { return s.Active() >= 4 })
	_ = c.Close()
	for range 4 {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("a handler still waits for its caller")
		}
	}
}

// Guards against a part that is held for longer than its request may last.
func TestPartIsGivenUpWithItsContext(t *testing.T) {
	result := make(chan error, 1)
	release := make(chan struct{})
	_, l := listen(t, &handler{serve: func(ctx context.Context, r *Request, w *Response) {
		if r.URI == "/first" {
			<-release
			echo(ctx, r, w)
			return
		}
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		w.Start(http.StatusOK, http.Header{}, -1)
		result <- w.WritePart(short, []byte("part"))
		w.Finish(false)
	}})
	c, _ := dial(t, l)
	_, _ = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case err := <-result:
		if err == nil {
			t.Error("a part counts as taken that waits behind another response")
		}
	case <-time.After(5 * time.Second):
		t.Error("the part is held although its request has ended")
	}
	close(release)
}
