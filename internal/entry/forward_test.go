package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/memory"
	"trefoilstream.example/trefoilstream/internal/peer"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
	"trefoilstream.example/trefoilstream/internal/standin"
)

// fakeOwner is an owner that handles each Execute call with a function.
type fakeOwner struct {
	peerpb.DRPCOwnerUnimplementedServer
	mu   sync.Mutex
	seen []string
	// serve is called with the server and the number of calls so far.
	serve func(s peerpb.DRPCOwner_ExecuteStream, server string, n int) error
}

func (o *fakeOwner) Execute(s peerpb.DRPCOwner_ExecuteStream) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.seen = append(o.seen, first.Head.Server)
	n := len(o.seen)
	o.mu.Unlock()
	if err := o.serve(s, first.Head.Server, n); err != nil {
		return err
	}
	for { // as package node does, so that the connection can be reused
		if frame, err := s.Recv(); err != nil || frame.End {
			return nil
		}
	}
}

func (o *fakeOwner) calls() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.seen...)
}

type pings struct{}

func (pings) Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{}, nil
}

// view is a rights.View with a fixed owner per server.
type view struct {
	rights.View
	owners map[string]string
}

func (v view) Self() roster.Member { return roster.Member{ID: "self", FailureDomain: "astoria"} }

func (v view) Holder(key string, _ roster.Scope) (roster.Member, bool) {
	address, ok := v.owners[key]
	return roster.Member{ID: address, PeerAddress: address}, ok
}

func serveOwner(t *testing.T, o *fakeOwner) string {
	t.Helper()
	s := peer.NewServer(nil)
	if err := s.Register(o, peerpb.DRPCOwnerDescription{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Register(pings{}, peerpb.DRPCReachabilityDescription{}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx, l) }()
	return l.Addr().String()
}

// forwarder returns a forwarder for a service with one server per owner
// address; the servers are named s0, s1 and so on.
func forwarder(t *testing.T, addresses ...string) *Forwarder {
	t.Helper()
	d := testDocument()
	owners := make(map[string]string)
	for i, a := range addresses {
		id := fmt.Sprint("s", i)
		d.Servers = append(d.Servers, document.Server{ID: id, Service: "slots", FailureDomain: "astoria", Slots: 2})
		owners[rights.ServerKey(id)] = a
	}
	b := board.New()
	b.SetConfig(document.NewSnapshot(1, d))
	pool := peer.NewPool(nil)
	t.Cleanup(func() { _ = pool.Close() })
	f := NewForwarder(b, view{owners: owners}, pool, 1)
	// These requests fill the retry budget.
	for range 100 {
		f.loads.recordRequest("slots")
	}
	return f
}

func request(idempotent bool) *Request {
	b := &Body{Buffered: memory.NewBuffer([]byte("body")), Length: 4}
	b.digest()
	return &Request{Route: document.Route{ID: "r", Service: "slots", Idempotent: idempotent}, Method: "PUT", URI: "/x", Body: b}
}

func dispatch(t *testing.T, f *Forwarder, idempotent bool, within time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	response, err := f.Dispatch(ctx, request(idempotent))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %s", response.Status, text), err
}

func respond(s peerpb.DRPCOwner_ExecuteStream, status int32, text string, headers ...*peerpb.Header) error {
	for {
		frame, err := s.Recv()
		if err != nil {
			return err
		}
		if frame.End {
			break
		}
	}
	head := &peerpb.AnswerHead{Status: status, ContentLength: int64(len(text)), Headers: headers}
	if err := s.Send(&peerpb.AnswerFrame{Head: head}); err != nil {
		return err
	}
	return s.Send(&peerpb.AnswerFrame{Body: []byte(text), End: true})
}

func refuse(kind errkind.Kind, notRun, elsewhere bool) func(peerpb.DRPCOwner_ExecuteStream) error {
	return func(s peerpb.DRPCOwner_ExecuteStream) error {
		return s.Send(&peerpb.AnswerFrame{Refusal: &peerpb.Refusal{Kind: string(kind), NotRun: notRun, RetryElsewhere: elsewhere}})
	}
}

func shed(header ...*peerpb.Header) func(peerpb.DRPCOwner_ExecuteStream) error {
	return func(s peerpb.DRPCOwner_ExecuteStream) error { return respond(s, 503, "busy", header...) }
}

// Guards against retries of non-idempotent requests that may have run, and
// against a request that fails although another server could have served it.
func TestDispatchRetries(t *testing.T) {
	notRun := &peerpb.Header{Name: "Trefoilstream-Not-Run", Value: "true"}
	breakOff := func(peerpb.DRPCOwner_ExecuteStream) error { return io.ErrUnexpectedEOF }
	malformed := func(s peerpb.DRPCOwner_ExecuteStream) error {
		return respond(s, 503, "none", notRun, &peerpb.Header{Name: "Bad Name", Value: "1"})
	}
	for name, c := range map[string]struct {
		first      func(peerpb.DRPCOwner_ExecuteStream) error
		idempotent bool
		attempts   int
		want       string
	}{
		"refused, not run":              {refuse(errkind.Overloaded, true, true), false, 2, "200 done"},
		"refused by every server":       {refuse(errkind.UnknownKey, true, false), true, 1, "unknown_key not_run"},
		"failed, may have run":          {refuse(errkind.BackendFailed, false, false), false, 1, "backend_failed unknown"},
		"failed, idempotent":            {refuse(errkind.BackendFailed, false, false), true, 2, "200 done"},
		"owner lost":                    {breakOff, false, 1, "peer_lost unknown"},
		"owner lost, idempotent":        {breakOff, true, 2, "200 done"},
		"bare shed is passed on":        {shed(), false, 1, "503 busy"},
		"bare shed, idempotent":         {shed(), true, 2, "200 done"},
		"shed with proof":               {shed(notRun), false, 2, "200 done"},
		"malformed":                     {malformed, false, 1, "backend_failed unknown"},
		"malformed, idempotent":         {malformed, true, 2, "200 done"},
		"status 0":                      {func(s peerpb.DRPCOwner_ExecuteStream) error { return respond(s, 0, "none") }, false, 1, "backend_failed unknown"},
		"status 99, idempotent":         {func(s peerpb.DRPCOwner_ExecuteStream) error { return respond(s, 99, "none") }, true, 2, "200 done"},
		"client error is not retried":   {func(s peerpb.DRPCOwner_ExecuteStream) error { return respond(s, 404, "none") }, true, 1, "404 none"},
		"deadline at the backend":       {refuse(errkind.DeadlineExceeded, false, false), true, 1, "deadline_exceeded unknown"},
		"deadline in the owner's queue": {refuse(errkind.DeadlineExceededQueued, true, false), true, 1, "deadline_exceeded_queued not_run"},
	} {
		o := &fakeOwner{}
		o.serve = func(s peerpb.DRPCOwner_ExecuteStream, _ string, n int) error {
			if n == 1 {
				return c.first(s)
			}
			return respond(s, 200, "done")
		}
		address := serveOwner(t, o)
		got, err := dispatch(t, forwarder(t, address, address), c.idempotent, 3*time.Second)
		if err != nil {
			e := errkind.From(err)
			got = fmt.Sprintf("%s %s", e.Kind, e.EffectiveOutcome())
		}
		calls := o.calls()
		if got != c.want || len(calls) != c.attempts || c.attempts == 2 && calls[0] == calls[1] {
			t.Errorf("%s: %q after %v, want %q after %d attempts on different servers", name, got, calls, c.want, c.attempts)
		}
	}
}

// Guards against the outcome not_run although an earlier attempt may have run.
func TestDispatchRemembersEarlierTries(t *testing.T) {
	o := &fakeOwner{serve: func(s peerpb.DRPCOwner_ExecuteStream, _ string, n int) error {
		if n == 1 {
			return refuse(errkind.BackendFailed, false, false)(s)
		}
		return refuse(errkind.Overloaded, true, true)(s)
	}}
	address := serveOwner(t, o)
	_, err := dispatch(t, forwarder(t, address, address), true, time.Second)
	if e := errkind.From(err); e.Kind != errkind.Overloaded || e.EffectiveOutcome() != errkind.Unknown || len(o.calls()) != 2 {
		t.Errorf("%v with outcome %s after %v", err, e.EffectiveOutcome(), o.calls())
	}
}

// Guards against retries that multiply the load of a failing service.
func TestDispatchKeepsRetryBudget(t *testing.T) {
	o := &fakeOwner{serve: func(s peerpb.DRPCOwner_ExecuteStream, _ string, _ int) error {
		return refuse(errkind.Overloaded, true, true)(s)
	}}
	address := serveOwner(t, o)
	f := forwarder(t, address, address, address)
	const requests = 200
	for range requests {
		if _, err := dispatch(t, f, true, time.Second); errkind.From(err).Kind != errkind.Overloaded {
			t.Fatal(err)
		}
	}
	// The fixture's earlier requests have earned 10 retries.
	if n := len(o.calls()); n < requests+requests/10 || n > requests+requests/10+10 {
		t.Errorf("%d attempts for %d requests", n, requests)
	}
}

// Guards against requests that hang until their deadline because the owner is
// frozen or packets are lost in one direction, and against non-idempotent
// requests that are sent again because their owner does not respond.
func TestDispatchLeavesSilentOwner(t *testing.T) {
	done := func(s peerpb.DRPCOwner_ExecuteStream, _ string, _ int) error { return respond(s, 200, "done") }
	unresponsive, healthy := &fakeOwner{serve: done}, &fakeOwner{serve: done}
	proxy, err := standin.NewFaultProxy("127.0.0.1:0", serveOwner(t, unresponsive))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = proxy.Close() }()
	f := forwarder(t, proxy.Addr(), serveOwner(t, healthy))
	for range 20 {
		if _, err := dispatch(t, f, true, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if len(unresponsive.calls()) == 0 {
		t.Fatal("the owner was not used before it stopped responding")
	}
	if err := proxy.Set(standin.Fault{ToClient: standin.DirectionFault{Cut: true}}); err != nil {
		t.Fatal(err)
	}
	before := len(unresponsive.calls()) + len(healthy.calls())
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if got, err := dispatch(t, f, true, 5*time.Second); err != nil || got != "200 done" {
				t.Errorf("idempotent: %q %v", got, err)
			}
		})
	}
	wg.Wait()
	if sent := len(unresponsive.calls()) + len(healthy.calls()) - before; sent < 8 {
		t.Errorf("%d requests were sent", sent)
	}
	n := len(unresponsive.calls())
	start := time.Now()
	for range 20 {
		if _, err := dispatch(t, f, false, 5*time.Second); err != nil {
			t.Error(err)
		}
	}
	if len(unresponsive.calls()) != n || time.Since(start) > time.Second {
		t.Errorf("%d requests to the unresponsive owner, took %v", len(unresponsive.calls())-n, time.Since(start))
	}
	if err := proxy.Set(standin.Fault{}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); len(unresponsive.calls()) == n; {
		if time.Now().After(end) {
			t.Fatal("the owner is not used again")
		}
		_, _ = dispatch(t, f, true, time.Second)
	}
}

// Guards against a non-idempotent request that is cancelled, or sent again, while
// its owner does not respond: a late response must be passed on.
func TestDispatchWaitsForLateAnswer(t *testing.T) {
	o := &fakeOwner{serve: func(s peerpb.DRPCOwner_ExecuteStream, _ string, _ int) error { return respond(s, 200, "done") }}
	proxy, err := standin.NewFaultProxy("127.0.0.1:0", serveOwner(t, o))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = proxy.Close() }()
	f := forwarder(t, proxy.Addr(), proxy.Addr())
	if _, err := dispatch(t, f, false, time.Second); err != nil {
		t.Fatal(err)
	}
	if err := proxy.Set(standin.Fault{ToClient: standin.DirectionFault{Cut: true}}); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(1500*time.Millisecond, func() { _ = proxy.Set(standin.Fault{}) })
	if got, err := dispatch(t, f, false, 5*time.Second); err != nil || got != "200 done" || len(o.calls()) != 2 {
		t.Errorf("%q %v after %v", got, err, o.calls())
	}
}
