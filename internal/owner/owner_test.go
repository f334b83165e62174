package owner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/health"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/slots"
	"trefoilstream.example/trefoilstream/internal/standin"
)

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Guards against a partially failing server that keeps its traffic, and against
// the ejection of healthy servers of its service: one of three servers fails
// half of its requests, another returns 404, 429 and 503 responses.
func TestGrayServerIsEjected(t *testing.T) {
	var gray atomic.Bool
	f := newFleet(t, 4,
		serve(t, func(w http.ResponseWriter, _ *http.Request) {
			if gray.Load() && rand.IntN(2) == 0 {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}),
		serve(t, ok),
		serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader([]int{200, 404, 429, 503}[rand.IntN(4)])
		}))
	stop := f.load(40, "s1", "s2", "s3")
	defer stop()
	time.Sleep(time.Second)
	gray.Store(true)
	e, after := f.waitEvent("server_ejected", "s1", 5*time.Second)
	if e == nil {
		t.Fatal("the failing server was not ejected in 5 s")
	}
	t.Logf("ejected after %v: %v", after, e.Fields)
	if e.Fields["evidence"] == "" {
		t.Error("the log line has no evidence")
	}
	for _, s := range []string{"s2", "s3"} {
		if e := f.event("server_failing", s); e != nil {
			t.Errorf("healthy server %s: %v", s, e.Fields)
		}
	}
	if r := f.get("s1", "a", "/"); r.refusal == nil || !r.refusal.NotRun || !r.refusal.RetryElsewhere || !r.load.Avoid {
		t.Errorf("response for an ejected server: %+v", r)
	}
	gray.Store(false)
	if e, _ := f.waitEvent("server_in_service", "s1", 10*time.Second); e == nil {
		t.Error("the server did not return after it had recovered")
	}
}

// Guards against a request that crashes one server after another through
// retries, and against counting these crashes as failures of the servers.
func TestCrashRequestRunsOnTwoServersAtMost(t *testing.T) {
	var crashes [3]atomic.Int32
	var addresses []string
	for i := range crashes {
		addresses = append(addresses, serve(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/crash" {
				crashes[i].Add(1)
				panic(http.ErrAbortHandler)
			}
			ok(w, r)
		}))
	}
	f := newFleet(t, 4, addresses...)
	stop := f.load(20, "s1", "s2", "s3")
	defer stop()
	time.Sleep(500 * time.Millisecond)
	crash := request{team: "a", route: "b", method: "POST", uri: "/crash", timeout: time.Second, body: "x"}
	for i, server := range []string{"s1", "s2", "s3", "s1"} {
		crash.server = server
		r := f.send(t.Context(), crash)
		want, notRun := errkind.BackendFailed, false
		if i >= 2 {
			want, notRun = errkind.QuarantinedRequest, true
		}
		if r.refusal == nil || r.refusal.Kind != string(want) || r.refusal.NotRun != notRun {
			t.Errorf("attempt %d: refusal %+v, want %s", i, r.refusal, want)
		}
	}
	if a, b, c := crashes[0].Load(), crashes[1].Load(), crashes[2].Load(); a != 1 || b != 1 || c != 0 {
		t.Errorf("the request ran %d, %d and %d times", a, b, c)
	}
	if e := f.event("server_failing", ""); e != nil {
		t.Errorf("a crash was counted against a server: %v", e.Fields)
	}
	if f.event("request_quarantined", "") == nil {
		t.Error("the quarantine was not logged")
	}
}

// Guards against overloading a cold server: it declares itself cold at its
// start, and again after it was warm.
func TestColdServerIsRamped(t *testing.T) {
	var running, most atomic.Int32
	var cold atomic.Bool
	f := newFleet(t, 4, serve(t, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		if n > most.Load() {
			most.Store(n)
		}
		time.Sleep(2 * time.Millisecond)
		if cold.Load() {
			w.Header().Set("Trefoilstream-Cold", "true")
		}
		ok(w, r)
	}))
	burst := func(n int) {
		var group sync.WaitGroup
		for i := range n {
			group.Go(func() { f.get("s1", teams[i%4], "/") })
		}
		group.Wait()
	}
	cold.Store(true)
	for range 3 {
		burst(8)
	}
	if n := most.Load(); n != 1 {
		t.Errorf("%d requests at once on a cold server", n)
	}
	cold.Store(false)
	for range 3 {
		burst(8)
	}
	if n := most.Load(); n != 4 {
		t.Errorf("%d requests at once on a warm server, want all 4 slots", n)
	}
	cold.Store(true)
	burst(1)
	most.Store(0)
	burst(8)
	if n := most.Load(); n != 1 {
		t.Errorf("%d requests at once on a server that turned cold", n)
	}
	if f.event("server_turned_cold", "s1") == nil {
		t.Error("the cold start was not logged")
	}
}

// Guards against a queued request that is sent although, while it waited, its
// key was withdrawn, its server was taken out of service, the owner lost its
// lease or an up-to-date configuration, or its deadline passed.
func TestQueuedRequestIsCheckedBeforeTheSend(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fleet)
		kind   errkind.Kind
	}{
		{"key", func(f *fleet) { f.reconfigure(func(d *document.Document) { d.Keys = d.Keys[:1] }) }, errkind.UnknownKey},
		{"server", func(f *fleet) { f.reconfigure(func(d *document.Document) { d.Servers[0].Out = true }) }, errkind.NoServer},
		{"domain", func(f *fleet) { f.reconfigure(func(d *document.Document) { d.Domains[0].Out = true }) }, errkind.NoServer},
		{"fresh", func(f *fleet) { f.board.SetFresh(false) }, errkind.StaleConfiguration},
		{"lease", func(f *fleet) { f.rights.mu.Lock(); f.rights.lost = true; f.rights.mu.Unlock() }, errkind.NoServer},
		{"deadline", func(*fleet) { time.Sleep(400 * time.Millisecond) }, errkind.DeadlineExceededQueued},
	} {
		t.Run(c.name, func(t *testing.T) {
			var ran atomic.Int32
			release := make(chan struct{})
			f := newFleet(t, 1, serve(t, func(w http.ResponseWriter, r *http.Request) {
				ran.Add(1)
				<-release
				ok(w, r)
			}))
			first := make(chan response, 1)
			go func() { first <- f.get("s1", "a", "/first") }()
			for ran.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			second := make(chan response, 1)
			timeout := 5 * time.Second
			if c.kind == errkind.DeadlineExceededQueued {
				timeout = 300 * time.Millisecond
			}
			go func() {
				second <- f.send(context.Background(), request{server: "s1", team: "b", route: "b", method: "POST", uri: "/second", timeout: timeout})
			}()
			time.Sleep(50 * time.Millisecond)
			c.change(f)
			close(release)
			if r := <-first; !r.ended || r.body != "ok" {
				t.Errorf("running request was cut off: %+v", r)
			}
			if r := <-second; r.refusal == nil || r.refusal.Kind != string(c.kind) || !r.refusal.NotRun {
				t.Errorf("queued request: %+v, want %s", r, c.kind)
			}
			if ran.Load() != 1 {
				t.Errorf("%d requests ran", ran.Load())
			}
		})
	}
}

func (f *fleet) reconfigure(change func(*document.Document)) {
	change(f.doc)
	f.board.SetConfig(document.NewSnapshot(f.board.Config().Revision+1, f.doc))
}

// Guards against an owner that loses its lease for a moment, forgets its running
// requests and then fills their slots a second time.
func TestRegainedServerRemembersRunningRequests(t *testing.T) {
	release := make(chan struct{})
	var ran atomic.Int32
	f := newFleet(t, 1, serve(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		<-release
		ok(w, r)
	}))
	first := make(chan response, 1)
	go func() { first <- f.get("s1", "a", "/first") }()
	for ran.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, lost := range []bool{true, false} {
		f.rights.mu.Lock()
		f.rights.lost = lost
		f.rights.mu.Unlock()
		time.Sleep(2 * scanInterval)
	}
	r := f.send(t.Context(), request{server: "s1", team: "a", route: "q", method: "GET", uri: "/second", timeout: 200 * time.Millisecond})
	if r.refusal == nil || !r.refusal.NotRun || ran.Load() != 1 {
		t.Errorf("second request %+v, %d ran on one slot", r, ran.Load())
	}
	close(release)
	<-first
}

// Guards against the ejection of a server that fails probes but serves its
// requests, and against probes that take its slots.
func TestProbesAreAdvisory(t *testing.T) {
	var probes atomic.Int32
	f := newFleet(t, 1, serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/probe" {
			probes.Add(1)
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	f.reconfigure(func(d *document.Document) { d.Services[0].ProbePath = "/probe" })
	stop := f.load(40, "s1")
	defer stop()
	for start := time.Now(); probes.Load() < 2; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 3*probeInterval {
			t.Fatal("the server was not probed")
		}
	}
	if e := f.event("server_failing", ""); e != nil {
		t.Errorf("a probe alone made the server fail: %v", e.Fields)
	}
}

// Guards against the ejection of a server to which only this instance cannot
// connect, and against a dead server that stays in service.
func TestBrokenPathIsNoEvidence(t *testing.T) {
	for _, dials := range []bool{true, false} {
		f := newFleet(t, 4, unusedAddress(t), serve(t, ok), serve(t, ok))
		f.network.dials = dials
		stop := f.load(40, "s1", "s2", "s3")
		event := map[bool]string{true: "own_path_broken", false: "server_ejected"}[dials]
		if e, _ := f.waitEvent(event, "s1", 5*time.Second); e == nil {
			t.Errorf("another instance connects %v: no event %s", dials, event)
		}
		time.Sleep(1500 * time.Millisecond)
		if e := f.event("server_ejected", "s1"); (e != nil) == dials {
			t.Errorf("another instance connects %v: ejected %v", dials, e != nil)
		}
		stop()
	}
}

// Guards against a truncated response that ends like a complete one, a malformed one
// that is believed, a Trefoilstream-Not-Run refusal that is passed on as a response, and a caller's
// key that reaches a backend server.
func TestAnswers(t *testing.T) {
	var seen bytes.Buffer
	f := newFleet(t, 4, serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/short":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "ok")
		case "/malformed":
			standin.RawResponse{Bytes: "HTTP/1.1 503 X\r\nTrefoilstream-Not-Run: true\r\nBad Name: 1\r\nContent-Length: 0\r\n\r\n"}.ServeHTTP(w, r)
		case "/refused":
			w.Header().Set("Trefoilstream-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/large":
			_, _ = io.WriteString(w, strings.Repeat("x", 300_000))
		default:
			_ = r.Header.Write(&seen)
			seen.WriteString(r.URL.String())
		}
	}))
	if r := f.get("s1", "a", "/short"); r.ended || r.refusal == nil || r.refusal.NotRun {
		t.Errorf("truncated response: %+v", r)
	}
	if r := f.get("s1", "a", "/malformed"); r.status != 0 || r.refusal == nil || r.refusal.NotRun || r.refusal.Kind != string(errkind.BackendFailed) {
		t.Errorf("malformed response: %+v", r)
	}
	if r := f.get("s1", "a", "/refused"); r.status != 0 || r.refusal == nil || !r.refusal.NotRun || !r.refusal.RetryElsewhere {
		t.Errorf("refusal before the request ran: %+v", r)
	}
	if r := f.get("s1", "a", "/"); r.load == nil || r.load.InUse != 0 || r.load.Limit != 1 {
		t.Errorf("an idle cold server looks busy to entries: %+v", r.load)
	}
	seen.Reset()
	if r := f.get("s1", "a", "/large"); !r.ended || len(r.body) != 300_000 {
		t.Errorf("large response: %d bytes, ended %v", len(r.body), r.ended)
	}
	key := teamKey + "a"
	r := f.send(t.Context(), request{server: "s1", team: "a", route: "b", method: "POST", uri: "/?k=" + key + "&x=1", timeout: 2 * time.Second,
		headers: []*peerpb.Header{{Name: "Authorization", Value: "Bearer " + key}, {Name: "X-Copy", Value: key}}})
	if !r.ended || strings.Contains(seen.String(), key) || !strings.Contains(seen.String(), "x=1") {
		t.Errorf("server saw %q", seen.String())
	}
	if !strings.Contains(seen.String(), "Request-Timeout: 1.9") && !strings.Contains(seen.String(), "Request-Timeout: 2.0") {
		t.Errorf("server got no remaining time: %q", seen.String())
	}
}

// Guards against a handover without the running requests: the next owner would
// fill their slots a second time.
func TestHandoverCarriesLimitAndRunningRequests(t *testing.T) {
	release := make(chan struct{})
	var ran atomic.Int32
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		if r.URL.Path == "/slow" {
			<-release
		}
		ok(w, r)
	})
	f := newFleet(t, 2, address)
	for i := range 4 {
		f.get("s1", "a", fmt.Sprintf("/warm/%d", i))
	}
	running := make(chan response, 1)
	go func() { running <- f.get("s1", "a", "/slow") }()
	for ran.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	f.o.HandOverAll(t.Context())
	if len(f.network.handed) != 1 || f.network.handed[0].Limit != 2 || len(f.network.handed[0].RunningMs) != 1 {
		t.Fatalf("handed over %+v", f.network.handed)
	}
	if r := f.get("s1", "a", "/after"); r.refusal == nil || !r.refusal.NotRun || !r.refusal.RetryElsewhere {
		t.Errorf("request after the handover: %+v", r)
	}
	next := newFleet(t, 2, address)
	// The scan may have created the server's state before the handover.
	next.o.mu.Lock()
	clear(next.o.servers)
	next.o.mu.Unlock()
	if reply, err := next.o.Handover(t.Context(), f.network.handed[0]); err != nil || !reply.Accepted {
		t.Fatalf("handover not accepted: %v", err)
	}
	next.get("s1", "a", "/next")
	if l := next.o.load("s1"); l.InUse != 1 || l.Limit != 2 {
		t.Errorf("load of the next owner %+v, want 1 of 2 slots in use", l)
	}
	close(release)
	if r := <-running; !r.ended {
		t.Errorf("running request was cut off: %+v", r)
	}
}

// BenchmarkOwnedServer measures the periodic work for an owned server without
// load.
func BenchmarkOwnedServer(b *testing.B) {
	s := benchServer()
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(advanceInterval)
		s.advance(now)
	}
}

// BenchmarkServerState measures the memory of an owned server.
func BenchmarkServerState(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		benchServer()
	}
}

// BenchmarkRequest measures the accounting for one request: slot, evidence and
// ejection state.
func BenchmarkRequest(b *testing.B) {
	s := benchServer()
	ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		t, err := s.acquire(ctx, "team", document.Route{ID: "q"})
		if err != nil {
			b.Fatal(err)
		}
		t.begin()
		t.progress()
		t.end(outcome{slot: slots.OK, health: health.Success, latency: 20 * time.Millisecond})
	}
}

// BenchmarkReport measures the time and size of a health report about one
// server.
func BenchmarkReport(b *testing.B) {
	s := benchServer()
	var bytes int
	b.ReportAllocs()
	for b.Loop() {
		bytes = proto.Size(&peerpb.ReportRequest{Service: "registration", Instance: "i-0123456789abcdef",
			Servers: []*peerpb.ServerReport{s.report(time.Now())}})
	}
	b.ReportMetric(float64(bytes), "bytes/report")
}

func benchServer() *server {
	return newServer(time.Now(), document.Server{ID: "server-000123", Service: "registration", Slots: 4},
		slots.Config{Slots: 4, ColdSlots: 1, RampStep: 10}, slots.State{}, &serviceBaselines{latencies: health.NewLatencyBaselines()}, func() {})
}

// Guards against a sound server that counts as failing, and is ejected, since callers end their
// uploads midway.
func TestUnfinishedUploadsAreNoFailuresOfTheServer(t *testing.T) {
	f := newFleet(t, 4, serve(t, ok), serve(t, ok))
	for i := range 30 {
		s := &fakeStream{ctx: t.Context(), frames: []*peerpb.ExecuteFrame{
			{Head: &peerpb.ExecuteHead{Server: "s1", Team: "a", Route: "b", Method: "POST", Uri: fmt.Sprintf("/u/%d", i), Host: "h",
				KeyDigest: digest("a"), ExecutionId: "x", DeadlineMs: 5000, ContentLength: 100}},
			{Body: []byte("a part")},
		}}
		_ = f.o.Serve(s)
		if r := s.got.refusal; r == nil || r.NotRun {
			t.Errorf("refusal %+v, want one that does not say that the request has not run", r)
		}
	}
	if e := f.event("server_failing", ""); e != nil {
		t.Errorf("%v", e.Fields)
	}
	if r := f.get("s1", "a", "/"); r.status != 200 {
		t.Errorf("the next request: %+v", r)
	}
}

// stalledStream is an entry whose caller stops sending in the middle of a body.
type stalledStream struct {
	*fakeStream
	stalled chan struct{}
}

func (s *stalledStream) Recv() (*peerpb.ExecuteFrame, error) {
	if len(s.frames) == 0 {
		select {
		case <-s.stalled:
		case <-s.ctx.Done():
		}
	}
	return s.fakeStream.Recv()
}

// Guards against a sound server that counts as failing, and is ejected, since it waits for callers
// who have stopped sending.
func TestStalledUploadsAreNoFailuresOfTheServer(t *testing.T) {
	f := newFleet(t, 4, serve(t, ok), serve(t, ok))
	stop := f.load(50, "s1", "s2")
	time.Sleep(500 * time.Millisecond) // until s1 is warm, and the usual latency is known
	stop()
	ctx, cancel := context.WithCancel(t.Context())
	var uploads sync.WaitGroup
	for i := range 3 {
		s := &stalledStream{stalled: make(chan struct{}), fakeStream: &fakeStream{ctx: ctx, frames: []*peerpb.ExecuteFrame{
			{Head: &peerpb.ExecuteHead{Server: "s1", Team: "a", Route: "b", Method: "POST", Uri: fmt.Sprintf("/u/%d", i), Host: "h",
				KeyDigest: digest("a"), ExecutionId: "x", DeadlineMs: 10_000, ContentLength: 100}},
			{Body: []byte("a part")},
		}}}
		uploads.Go(func() { _ = f.o.Serve(s) })
	}
	time.Sleep(5 * time.Second)
	cancel()
	uploads.Wait()
	if e := f.event("server_failing", ""); e != nil {
		t.Errorf("%v", e.Fields)
	}
}
