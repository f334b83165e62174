package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

const openRequest = "GET /open/x HTTP/1.1\r\nHost: a\r\n\r\n"

// drain shuts the fixture's server down gracefully.
func (f *fixture) drain(grace time.Duration) {
	f.State.SetStopping()
	f.server.IdleGrace = grace
	go func() {
		f.server.Drain()
		close(f.drained)
	}()
}

// Guards against a graceful shutdown that resets a request in flight on an idle
// connection: the request must be served, and the connection closed after it.
func TestDrainServesIdleConnections(t *testing.T) {
	f := newFixture(t)
	c, r := f.dial(t)
	for i, stopping := range []bool{false, true} {
		if stopping {
			f.drain(5 * time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		if _, err := io.WriteString(c, openRequest); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close != stopping {
			t.Errorf("request %d: told to close: %v", i, resp.Close)
		}
	}
	select {
	case <-f.drained:
	case <-time.After(2 * time.Second):
		t.Error("the shutdown waits for a connection that was told to close")
	}
}

// Guards against a shutdown that waits forever for a caller that sends nothing.
func TestDrainClosesSilentConnections(t *testing.T) {
	f := newFixture(t)
	_, r := f.dial(t)
	// A connection that is not yet accepted is reset when the listener closes.
	// An instance therefore waits for the load balancer before it drains.
	for accepted := 0; accepted == 0; time.Sleep(time.Millisecond) {
		f.server.mu.Lock()
		accepted = len(f.server.conns)
		f.server.mu.Unlock()
	}
	f.drain(100 * time.Millisecond)
	start := time.Now()
	<-f.drained
	if took := time.Since(start); took < 100*time.Millisecond || took > 2*time.Second {
		t.Errorf("took %v", took)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("got %v", err)
	}
}

// Guards against a graceful shutdown that cuts off a long download, and against
// readiness that does not fail before it.
func TestDrainFinishesDownloads(t *testing.T) {
	f := newFixture(t)
	more := make(chan struct{})
	f.dispatcher.run = func(ctx context.Context, _ *Request) (*Response, error) {
		body := io.MultiReader(strings.NewReader("begin "), &slowBody{ctx: ctx, wait: more, rest: []byte("end")})
		return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(body)}, nil
	}
	c, r := f.dial(t)
	if _, err := io.WriteString(c, openRequest); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	f.State.SetStopping()
	if ready, _ := f.raw(t, "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n"); ready.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness: %d", ready.StatusCode)
	}
	if live, _ := f.raw(t, "GET /livez HTTP/1.1\r\nHost: a\r\n\r\n"); live.StatusCode != http.StatusOK {
		t.Errorf("liveness: %d", live.StatusCode)
	}
	f.drain(50 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	select {
	case <-f.drained:
		t.Fatal("the shutdown did not wait for the download")
	default:
	}
	close(more)
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "begin end" {
		t.Errorf("%q %v", body, err)
	}
	<-f.drained
}
