package dispatch

import (
	"fmt"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// fixture drives a dispatcher with a simulated clock.
type fixture struct {
	t    *testing.T
	d    *Dispatcher
	now  time.Time
	next uint64
}

var testBounds = Bounds{
	RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second,
	QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 20, FloorShare: 0.7, SteadyAfter: 6 * time.Second,
}

var testPolicy = DefaultPolicy()

func testConfig() *catalog.Config {
	return &catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			{Name: "book", Host: "h", Prefix: "/b/", Kind: catalog.Unsafe, Timeout: 2500 * time.Millisecond, Objective: 800 * time.Millisecond,
				Priority: 1, MaxAttempts: 2, Services: []catalog.Share{{Service: "desk", Weight: 1}}},
			{Name: "look", Host: "h", Prefix: "/l/", Kind: catalog.Safe, Timeout: 2 * time.Second, Objective: 800 * time.Millisecond,
				Priority: 2, MaxAttempts: 2, Services: []catalog.Share{{Service: "desk", Weight: 1}}},
		},
		Services: map[string]catalog.Service{"desk": {Name: "desk", ColdStart: 3 * time.Second, ColdRate: 2.6}},
		Teams:    []catalog.Team{{Name: "t", Keys: []string{"k"}, Rate: 20, Burst: 20}},
	}
}

// newFixture returns a dispatcher with two instances in each of two failure
// domains and n backend servers of two slots.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	f := &fixture{t: t, d: New(time.Unix(1000, 0), testBounds, &testPolicy, 1), now: time.Unix(1000, 0)}
	f.d.SetConfig(f.now, testConfig())
	for _, domain := range []string{"a", "b"} {
		for i := range 2 {
			f.d.SetMember(fmt.Sprintf("%s%d", domain, i), domain, 1, false)
		}
	}
	for i := range n {
		f.server(i, func(*catalog.Server) {})
	}
	return f
}

func (f *fixture) server(i int, change func(*catalog.Server)) {
	s := catalog.Server{ID: fmt.Sprintf("s%02d", i), Service: "desk", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: []string{"a", "b"}[i%2], Slots: 2}
	change(&s)
	f.d.SetServer(f.now, s)
}

// request requests a permit for a route from instance a0 and returns the decisions of
// the call.
func (f *fixture) request(route string, change func(*PermitRequest)) []Decision {
	f.next++
	req := PermitRequest{Member: "a0", Number: f.next, Domain: "a", Route: route, Deadline: f.now.Add(2 * time.Second), ArrivedAt: f.now}
	if change != nil {
		change(&req)
	}
	return f.d.RequestPermit(f.now, req)
}

// permit requests a permit and expects it at once.
func (f *fixture) permit(route string) *Permit {
	f.t.Helper()
	out := f.request(route, nil)
	if len(out) != 1 || out[0].Permit == nil {
		f.t.Fatalf("no permit for %s: %+v", route, out)
	}
	return out[0].Permit
}

func (f *fixture) done(p *Permit, o Outcome) []Decision {
	return f.d.Done(f.now, Report{Permit: p.Number, Member: "a0", Server: p.Server.ID, Outcome: o, Took: 200 * time.Millisecond})
}

// Guards against a failing server that stays in use until many requests failed.
func TestFailingServerLosesWork(t *testing.T) {
	f := newFixture(t, 6)
	failed := 0
	for range 400 {
		f.now = f.now.Add(20 * time.Millisecond)
		p := f.permit("book")
		o := Served
		if p.Server.ID == "s03" {
			o = Failed
			failed++
		}
		f.done(p, o)
	}
	// 8 s with one bad server of six: one failure to detect it, and a few to probe
	// whether it is still bad.
	if failed > 5 {
		t.Errorf("%d requests failed at one bad server in 8 s", failed)
	}
}

// Guards against refusing all requests when every server is suspect: the one least
// likely to fail is better than none.
func TestLeastBadServerServes(t *testing.T) {
	f := newFixture(t, 2)
	for range 6 {
		for _, s := range []string{"s00", "s01"} {
			f.d.servers[s].observe(f.now, true)
		}
	}
	out := f.request("book", nil)
	for range 40 {
		f.now = f.now.Add(25 * time.Millisecond)
		out = append(out, f.d.Tick(f.now)...)
	}
	if len(out) != 1 || out[0].Permit == nil {
		t.Fatalf("no permit within a second although servers are free: %+v", out)
	}
}

// Guards against sending an unsafe request to a suspect server while a trusted one
// has a free slot.
func TestUnsafeRequestsAvoidSuspects(t *testing.T) {
	f := newFixture(t, 4)
	f.d.servers["s00"].observe(f.now, true)
	for range 6 {
		if p := f.permit("book"); p.Server.ID == "s00" {
			t.Fatal("an unsafe request went to a server that had just failed")
		}
	}
}

// Guards against admitting more than the agreed quota: rate x window + burst, plus a
// tenth, plus the slack.
func TestTeamGetsItsRateAndNoMore(t *testing.T) {
	f := newFixture(t, 19)
	admitted, refused := 0, 0
	for range 500 {
		f.now = f.now.Add(10 * time.Millisecond)
		for _, d := range f.request("look", func(req *PermitRequest) { req.Team = "t" }) {
			if d.Permit != nil {
				admitted++
				f.done(d.Permit, Served)
			} else if d.Refusal.Kind == errkind.RateLimited {
				refused++
				if d.Refusal.RetryAfter <= 0 {
					t.Fatal("refusal has no Retry-After")
				}
			}
		}
	}
	if limit := int(1.1*(20*5+20) + 20); admitted > limit || admitted < 100 {
		t.Errorf("admitted %d in 5 s, bound %d, rate alone 100", admitted, limit)
	}
	if refused == 0 {
		t.Error("nothing was refused at five times the rate")
	}
}

// Guards against a cold server that gets as much work as it has slots.
func TestColdServerIsRateLimited(t *testing.T) {
	f := newFixture(t, 0)
	f.server(0, func(s *catalog.Server) { s.Cold = 3 * time.Second })
	sent := 0
	for range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		for _, d := range f.request("look", nil) {
			if d.Permit != nil {
				sent++
				f.done(d.Permit, Served)
			}
		}
		for _, d := range f.d.Tick(f.now) {
			if d.Permit != nil {
				sent++
				f.done(d.Permit, Served)
			}
		}
	}
	if sent < 1 || sent > 4 {
		t.Errorf("a cold server limited to 2.6 requests/s got %d in one second", sent)
	}
}

// Guards against requests to a draining server or to a failure domain that is out of
// service.
func TestLeavingServersGetNothing(t *testing.T) {
	f := newFixture(t, 4)
	f.server(0, func(s *catalog.Server) { s.Draining = true })
	f.d.SetDomainsOut(f.now, []string{"b"})
	for range 2 {
		if p := f.permit("book"); p.Server.ID != "s02" {
			t.Fatalf("request went to %s", p.Server.ID)
		}
	}
}

// Guards against retries beyond the shared budget.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, 19)
	retries := 0
	for i := range 1000 {
		f.now = f.now.Add(10 * time.Millisecond)
		for _, d := range f.request("look", func(req *PermitRequest) { req.IsRetry = i%2 == 1; req.Admitted = req.IsRetry }) {
			if d.Permit != nil {
				if i%2 == 1 {
					retries++
				}
				f.done(d.Permit, Served)
			}
		}
	}
	if bound := int(0.2*500 + 60); retries > bound || retries == 0 {
		t.Errorf("%d retries for 500 requests in 10 s, bound %d", retries, bound)
	}
}

// Guards against a request that crashes every server that runs it.
func TestCrashingRequestIsContained(t *testing.T) {
	f := newFixture(t, 19)
	sent := 0
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, d := range f.request("book", func(req *PermitRequest) { req.Fingerprint = 42 }) {
			if d.Permit == nil {
				continue
			}
			sent++
			f.d.Done(f.now, Report{Permit: d.Permit.Number, Member: "a0", Server: d.Permit.Server.ID, Fingerprint: 42, Outcome: Dropped})
		}
	}
	if sent != testPolicy.Crash.QuarantineDrops {
		t.Errorf("a request that drops connections was sent %d times, want %d", sent, testPolicy.Crash.QuarantineDrops)
	}
}

// Guards against taking a server out of use for all instances because one cannot
// reach it, and against sending through that instance repeatedly.
func TestLostPathMovesToAnotherInstance(t *testing.T) {
	f := newFixture(t, 1)
	p := f.permit("look")
	f.done(p, Unreachable)
	q := f.permit("look")
	if q.Via == p.Via {
		t.Fatalf("the same instance %s sends again", q.Via)
	}
	f.done(q, Served)
	f.permit("look")
}

// Guards against a new coordinator that does not count the requests already in
// flight: their server would get more requests than it has slots.
func TestSuccessorCountsRunningRequests(t *testing.T) {
	f := newFixture(t, 1)
	f.d.AdoptRunning(f.now, "b0", "s00", 2)
	if out := f.request("book", nil); len(out) != 0 {
		t.Fatalf("decided at once: %+v", out)
	}
	out := f.d.Done(f.now, Report{Permit: 7, Member: "b0", Server: "s00", Outcome: Served})
	if len(out) != 1 || out[0].Permit == nil {
		t.Fatalf("no permit after an adopted request ended: %+v", out)
	}
}

// Guards against a server that fails quickly and thereby attracts the whole queue:
// its slots are free again before those of working servers.
func TestFailingServerDoesNotDrainTheQueue(t *testing.T) {
	f := newFixture(t, 4)
	type job struct {
		p  *Permit
		at time.Time
		o  Outcome
	}
	var jobs []job
	failed, served := 0, 0
	start := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Permit == nil {
				continue
			}
			j := job{p: d.Permit, at: f.now.Add(220 * time.Millisecond), o: Served}
			if d.Permit.Server.ID == "s03" {
				j.at, j.o = f.now.Add(10*time.Millisecond), Failed
			}
			jobs = append(jobs, j)
		}
	}
	// Twice the load that the three good servers can serve, for 4 s.
	for i := range 400 {
		f.now = f.now.Add(10 * time.Millisecond)
		if i%2 == 0 {
			start(f.request("book", func(req *PermitRequest) { req.Deadline = f.now.Add(2500 * time.Millisecond) }))
		}
		due := jobs
		jobs = nil
		for _, j := range due {
			if j.at.After(f.now) {
				jobs = append(jobs, j)
				continue
			}
			if j.o == Failed {
				failed++
			} else {
				served++
			}
			start(f.done(j.p, j.o))
		}
		if i%3 == 0 {
			start(f.d.Tick(f.now))
		}
	}
	if failed > 12 {
		t.Errorf("%d requests failed at one bad server in 4 s, %d were served", failed, served)
	}
}

// Guards against a stall timeout that is derived from the short requests of one route
// and applied to the long ones of another.
func TestStallTimeIsThatOfTheRoute(t *testing.T) {
	f := newFixture(t, 4)
	for i := range 400 {
		f.now = f.now.Add(50 * time.Millisecond)
		route, took := "look", 400*time.Millisecond
		if i%4 != 0 {
			route, took = "book", 5*time.Millisecond
		}
		p := f.permit(route)
		f.d.Done(f.now, Report{Permit: p.Number, Member: "a0", Server: p.Server.ID, Outcome: Served, Took: took})
	}
	if p := f.permit("look"); p.StallTimeout < 1200*time.Millisecond {
		t.Errorf("requests that take 400 ms count as stalled after %v", p.StallTimeout)
	}
}

// Guards against large responses that cross failure domains while a server in the
// caller's own domain is free, and against an unsafe request on a suspect server to
// save a few bytes.
func TestLargeAnswersStayInTheirDomain(t *testing.T) {
	f := newFixture(t, 8)
	for i := range 200 {
		f.now = f.now.Add(50 * time.Millisecond)
		route, bytes := "look", int64(90_000)
		if i%2 == 0 {
			route, bytes = "book", 4_000
		}
		p := f.permit(route)
		f.d.Done(f.now, Report{Permit: p.Number, Member: "a0", Server: p.Server.ID, Outcome: Served, Took: 100 * time.Millisecond, Bytes: bytes})
	}
	for i := range 8 {
		f.d.servers[fmt.Sprintf("s%02d", i)].lastUsed = f.now
	}
	for range 4 {
		if p := f.permit("look"); p.Server.Domain != "a" {
			t.Errorf("a large response comes from failure domain %s", p.Server.Domain)
		}
	}
}

// Guards against repeatable requests that wait while suspect servers have free slots
// and the retry budget is unused, and against sending unsafe requests to suspect
// servers in the same way.
func TestRepeatableRequestsTrySuspects(t *testing.T) {
	f := newFixture(t, 3)
	for _, s := range []string{"s00", "s01"} {
		for range 3 {
			f.d.servers[s].observe(f.now, true)
		}
	}
	f.d.pools["desk"].retries = retryBudget{own: retryWindow{stepStartedAt: f.now}}
	f.permit("book")
	f.permit("book")
	if out := append(f.request("look", nil), f.request("book", nil)...); len(out) != 0 {
		t.Fatalf("decided at once: %+v", out)
	}
	f.now = f.now.Add(testPolicy.Choice.SuspectWait + 10*time.Millisecond)
	out := f.d.Tick(f.now)
	if len(out) != 1 || out[0].Permit == nil || out[0].Permit.Server.ID == "s02" {
		t.Fatalf("decisions %+v after suspectWait, want one permit on a suspect server", out)
	}
	if w := f.d.pools["desk"].queue; len(w) != 1 || w[0].Route != "book" {
		t.Errorf("the unsafe request does not wait for the trusted server")
	}
}

// Guards against choosing the service by another version of the configuration than that by
// which the key was checked.
func TestRequestOfAnotherVersionIsResolvedAgain(t *testing.T) {
	f := newFixture(t, 2)
	for version, want := range map[uint64]errkind.Kind{0: "", 1: "", 2: errkind.StaleConfiguration, 7: errkind.StaleConfiguration} {
		out := f.request("book", func(r *PermitRequest) { r.ConfigVersion = version })
		if len(out) != 1 || (out[0].Refusal == nil) != (want == "") || want != "" && out[0].Refusal.Kind != want {
			t.Errorf("resolved by version %d, the coordinator has 1: %+v, want refusal %q", version, out, want)
		}
	}
}

// Measures a request from its permit request to its report, by the number of servers of
// its service.
func BenchmarkAskAndDone(b *testing.B) {
	for _, n := range []int{19, 162, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(&testing.T{}, n)
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Millisecond)
				f.done(f.request("book", nil)[0].Permit, Served)
			}
		})
	}
}

// Guards against reusing a cached belief after an observation has changed it.
func TestObservationChangesTheBeliefAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	s := f.d.servers["s00"]
	before := s.failureProbability(f.now.Add(time.Second))
	f.now = f.now.Add(time.Second)
	s.observe(f.now, true)
	if after := s.failureProbability(f.now.Add(time.Millisecond)); after < before+0.3 {
		t.Errorf("a millisecond after a failure the probability is %.2f, %.2f before", after, before)
	}
}
