package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/memory"
)

// listenBounded starts a server with an account of total bytes.
func listenBounded(t *testing.T, h *handler, total int64, connections int) (*Server, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h)
	s.Memory = memory.NewAccount(memory.Limits{Total: total, Large: total / 4 * 3}, nil)
	s.MaxConnections = connections
	go s.Serve(l)
	t.Cleanup(func() { _ = l.Close() })
	return s, l
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// upload returns a request with a body of n bytes, of which some are missing at its end.
func upload(n, missing int) string {
	return fmt.Sprintf("POST /u HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n-missing))
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

// Guards against memory that stays counted although its connection has gone, which would end
// in refusing everybody.
func TestMemoryIsReleasedHoweverAConnectionEnds(t *testing.T) {
	limits := catalog.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	stream := func(ctx context.Context, _ *Request, w *Response) {
		w.HoldBody(1 << 10)
		w.Start(http.StatusOK, http.Header{}, -1)
		for range 200 {
			if w.WritePart(ctx, make([]byte, 32<<10)) != nil {
				w.Finish(false)
				return
			}
		}
		w.Finish(true)
	}
	hold := func(ctx context.Context, r *Request, w *Response) {
		_ = w.Hold(1 << 10)
		w.HoldBody(1 << 10)
		echo(ctx, r, w)
	}
	wait := func(ctx context.Context, _ *Request, w *Response) {
		_ = w.Hold(1 << 10)
		<-ctx.Done()
	}
	get := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		serve func(context.Context, *Request, *Response)
		send  string
		reads bool
	}{
		"answered":                      {hold, upload(100_000, 0) + get, true},
		"leaves without a request":      {hold, "", false},
		"leaves in the head":            {hold, "GET / HTTP/1.1\r\nHo", false},
		"leaves in the body":            {hold, upload(100_000, 1), false},
		"leaves in a chunk":             {hold, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\nab", false},
		"head in time-out":              {hold, "GET / HTTP/1.1\r\nHo", true},
		"idle in time-out":              {hold, get, true},
		"bad request":                   {hold, "nonsense\r\n\r\n", true},
		"head too large":                {hold, "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:b\r\n", 10_000), true},
		"body too large":                {hold, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n", true},
		"chunks too large":              {hold, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1fffff\r\n" + strings.Repeat("x", 0x1fffff), true},
		"last request":                  {hold, "GET / HTTP/1.0\r\n\r\n" + get, true},
		"leaves while it is served":     {wait, upload(100_000, 0) + get + get, false},
		"leaves without reading":        {hold, strings.Repeat(upload(100_000, 0), 16), false},
		"leaves in a stream":            {stream, get, false},
		"leaves with streams behind it": {stream, strings.Repeat(get, 16), false},
		"reads streams":                 {stream, get + get, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, l := listenBounded(t, &handler{serve: c.serve, limits: limits}, 16<<20, 0)
			for range 3 {
				conn, r := dial(t, l)
				_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
				_, _ = io.WriteString(conn, c.send)
				if c.reads {
					_, _ = io.Copy(io.Discard, r)
				} else {
					time.Sleep(50 * time.Millisecond)
				}
				_ = conn.Close()
			}
			eventually(t, "all memory is released", func() bool { return s.Memory.Used() == 0 && s.Active() == 0 })
		})
	}
}

// Guards against refusing the caller that comes next, while others hold memory and send no
// more.
func TestStalledUploadsGiveWay(t *testing.T) {
	s, l := listenBounded(t, &handler{serve: echo, limits: catalog.Limits{BodyBytes: 1 << 20}}, 5<<20, 0)
	stalled, r := dial(t, l)
	_, _ = io.WriteString(stalled, upload(1<<20, 1))
	// The first one has to be read before the others, since it is to give way.
	eventually(t, "the first upload is read", func() bool { return s.Memory.Used() > 1<<20 })
	time.Sleep(50 * time.Millisecond)
	for range 2 {
		c, _ := dial(t, l)
		_, _ = io.WriteString(c, upload(1<<20, 1))
	}
	eventually(t, "the stalled uploads are read", func() bool { return s.Memory.Used() > 3<<20 })
	time.Sleep(50 * time.Millisecond)
	c, answers := dial(t, l)
	_, _ = io.WriteString(c, upload(1<<20, 0))
	if resp, body := readResponse(t, answers); resp.StatusCode != http.StatusOK || len(body) != len("/u")+1<<20 {
		t.Errorf("status %d, body %.200q; want that of the upload", resp.StatusCode, body)
	}
	if s.Memory.Used() > s.Memory.Limits().Total {
		t.Errorf("%d bytes are held of %d", s.Memory.Used(), s.Memory.Limits().Total)
	}
	resp, body := readResponse(t, r)
	wantRefusal(t, resp, body, errkind.InstanceFull)
}

// Guards against holding a request back, or accepting its body, that can never be served.
func TestBodyAboveTheMemoryIsRefusedAtOnce(t *testing.T) {
	_, l := listenBounded(t, &handler{serve: echo, limits: catalog.Limits{BodyBytes: 64 << 20}}, 4<<20, 0)
	c, r := dial(t, l)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 33554432\r\n\r\n")
	resp, body := readResponse(t, r)
	wantRefusal(t, resp, body, errkind.InstanceFull)
}

// Guards against callers that do not read their responses and keep the memory.
func TestStalledReadersGiveWay(t *testing.T) {
	large := func(ctx context.Context, r *Request, w *Response) {
		if r.URI == "/u" {
			echo(ctx, r, w)
			return
		}
		if !w.HoldBody(256 << 10) {
			w.Refuse(errkind.Errorf(errkind.Internal, "no memory"))
			return
		}
		w.Respond(http.StatusOK, http.Header{}, make([]byte, 256<<10))
	}
	s, l := listenBounded(t, &handler{serve: large, limits: catalog.Limits{BodyBytes: 4 << 20}}, 4<<20, 0)
	c, _ := dial(t, l)
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	for range 40 {
		// What the kernel buffers is not held by the server.
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	eventually(t, "the responses wait", func() bool { return s.Memory.Used() > 2<<20 })
	time.Sleep(stalledAfter + 100*time.Millisecond)
	other, answers := dial(t, l)
	_, _ = io.WriteString(other, upload(2<<20, 0))
	if resp, body := readResponse(t, answers); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, body %.200q beside a caller that does not read", resp.StatusCode, body)
	}
}

// Guards against a new connection that waits while others are idle, and against closing one
// whose request has been read.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	_, l := listenBounded(t, &handler{serve: func(ctx context.Context, r *Request, w *Response) {
		if r.URI == "/slow" {
			<-release
		}
		echo(ctx, r, w)
	}}, 16<<20, 4)
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

// Guards against requests that are refused while they are read and leave no trace: their IDs lead
// to nothing.
func TestRefusalsWhileReadingAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		id      string
		kind    errkind.Kind
	}{
		"body too large":       {"POST / HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 2000000\r\n\r\n", "r1", errkind.BodyTooLarge},
		"body above memory":    {"POST / HTTP/1.1\r\nHost: h\r\nId: r2\r\nContent-Length: 900000\r\n\r\n", "r2", errkind.InstanceFull},
		"target without path":  {"OPTIONS * HTTP/1.1\r\nHost: h\r\nId: r3\r\n\r\n", "r3", errkind.BadRequest},
		"caller disconnects":   {"POST / HTTP/1.1\r\nHost: h\r\nId: r4\r\nContent-Length: 10\r\n\r\n", "", ""},
		"head without a colon": {"GET / HTTP/1.1\r\nHost: h\r\nId r5\r\n\r\n", "", errkind.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			s := NewServer(&handler{serve: echo, limits: catalog.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20, HeaderTimeout: time.Second}})
			s.Memory = memory.NewAccount(memory.Limits{Total: 512 << 10, Large: 512 << 10}, nil)
			refusals := make(chan Refusal, 2)
			s.OnRefused = func(r Refusal) { refusals <- r }
			go s.Serve(l)
			conn, r := dial(t, l)
			_, _ = io.WriteString(conn, c.request)
			if c.kind == "" {
				_ = conn.Close()
				eventually(t, "the connection ends", func() bool { return s.Active() == 0 && s.Memory.Used() == 0 })
				if len(refusals) > 0 {
					t.Errorf("%+v", <-refusals)
				}
				return
			}
			readResponse(t, r)
			got := <-refusals
			if errkind.From(got.Err).Kind != c.kind || got.Header.Get("Id") != c.id || len(refusals) > 0 {
				t.Errorf("%+v, and %d others; want %s of %q", got, len(refusals), c.kind, c.id)
			}
		})
	}
}
