package health

import (
	"testing"
	"time"
)

func failing(reason string) Assessment { return Assessment{Failing: true, Score: 1, Reason: reason} }

// Guards against a flapping server whose backoff stays constant, and against a
// server that gets its full traffic back at once.
func TestBackoffDoublesAndHalfOpenAdmitsOneRequest(t *testing.T) {
	now := simStart
	e := NewEjection(now)
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
		want *= time.Second
		if c := e.ApplyAssessment(now, failing("errors")); c == nil || c.To != Failing || !e.Avoid() {
			t.Fatalf("change %+v on failing evidence", c)
		}
		if c := e.ApplyPermit(now, now, time.Hour); c == nil || c.To != Ejected || c.Backoff != want {
			t.Fatalf("change %+v, want ejection for %v", c, want)
		}
		if e.Advance(now.Add(want-1)) != nil || e.Admit() {
			t.Fatal("admitted a request before the backoff elapsed")
		}
		now = now.Add(want)
		if c := e.Advance(now); c == nil || c.To != HalfOpen {
			t.Fatalf("change %+v after the backoff", c)
		}
		for i := range halfOpenSuccesses {
			if !e.Admit() || e.Admit() {
				t.Fatal("half-open state admits other than one request at a time")
			}
			if c := e.Done(now, Success); (c != nil) != (i == halfOpenSuccesses-1) {
				t.Fatalf("change %+v after %d successes", c, i+1)
			}
		}
	}
	now = now.Add(backoffResetAfter)
	e.ApplyAssessment(now, failing("errors"))
	if c := e.ApplyPermit(now, now, PermitTTL); c.Backoff != minBackoff {
		t.Fatalf("backoff %v after %v in service, want %v", c.Backoff, backoffResetAfter, minBackoff)
	}
}

// Guards against a slow server that returns because its responses are complete,
// and against one that stays ejected for good because its workload has changed.
func TestSlowServerFailsWhileHalfOpen(t *testing.T) {
	now := simStart
	e := NewEjection(now)
	e.ApplyAssessment(now, Assessment{Failing: true, Slow: true})
	e.ApplyPermit(now, now, time.Hour)
	for want := minBackoff; want < acceptSlowBackoff; want *= 2 {
		now = now.Add(want)
		if e.Advance(now); !e.RejectsSlow() {
			t.Fatalf("a slow response counts as success after a backoff of %v", want)
		}
		e.Done(now, Failure)
	}
	now = now.Add(acceptSlowBackoff)
	if e.Advance(now); e.State() != HalfOpen || e.RejectsSlow() {
		t.Fatalf("state %v, a slow response counts as failure after a backoff of %v", e.State(), acceptSlowBackoff)
	}
}

// Guards against an ejection that outlives its permit.
func TestServerServesAgainWhenItsPermitLapses(t *testing.T) {
	e := NewEjection(simStart)
	e.backoff = 30 * time.Second
	e.ApplyAssessment(simStart, failing("errors"))
	e.ApplyPermit(simStart, simStart, PermitTTL)
	now := simStart.Add(PermitTTL)
	if c := e.Advance(now); c == nil || c.To != Failing || !e.Admit() {
		t.Fatalf("change %+v when the permit expired", c)
	}
	if c := e.ApplyPermit(now, now, PermitTTL); c == nil || c.Backoff != 60*time.Second {
		t.Fatalf("change %+v: a renewed permit raised the backoff", c)
	}
}

func arbiter(floor float64, capacity map[string]Capacity) *Arbiter {
	a := NewArbiter(simStart, true)
	a.Configure(floor, capacity)
	return a
}

func capacity(out ...string) map[string]Capacity {
	m := make(map[string]Capacity)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		m[id] = Capacity{Slots: 2, ColdSlots: 1, InService: true}
	}
	for _, id := range out {
		m[id] = Capacity{Slots: 2, ColdSlots: 1}
	}
	return m
}

func reportAll(a *Arbiter, now time.Time, cold map[string]bool, scores map[string]float64) []PermitDecision {
	var list []Report
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		list = append(list, Report{Server: id, Cold: cold[id], Score: scores[id], WantsPermit: scores[id] >= 1})
	}
	return a.Report(now, list)
}

// Guards against ejections below the floor. Servers that operators took out of
// service don't count, cold servers count with their cold slots, and the servers
// with the lowest scores keep serving.
func TestArbiterKeepsTheFloor(t *testing.T) {
	for _, c := range []struct {
		name    string
		out     []string
		cold    map[string]bool
		scores  map[string]float64
		permits int
		first   string
	}{
		{"all wanted", nil, nil, map[string]float64{"a": 1, "b": 2, "c": 3, "d": 4, "e": 5, "f": 6}, 3, "d"},
		{"two out by operators", []string{"e", "f"}, nil, map[string]float64{"a": 1, "b": 2}, 1, "b"},
		{"two cold", nil, map[string]bool{"c": true, "d": true}, map[string]float64{"a": 1, "b": 2, "e": 3}, 2, "b"},
		{"half out", []string{"d", "e", "f"}, nil, map[string]float64{"a": 9}, 0, ""},
	} {
		a := arbiter(0.5, capacity(c.out...))
		reportAll(a, simStart, c.cold, c.scores)
		for i := range 4 {
			now := simStart.Add(time.Duration(i) * time.Second)
			reportAll(a, now, c.cold, c.scores)
			if remaining := a.ServingSlots(now); remaining < 6 && c.permits > 0 {
				t.Errorf("%s: %d slots remain, floor is 6", c.name, remaining)
			}
		}
		got := a.Permits(simStart.Add(3 * time.Second))
		if len(got) != c.permits || (len(got) > 0 && got[0] != c.first) {
			t.Errorf("%s: permits %v, want %d from %s", c.name, got, c.permits, c.first)
		}
	}
}

// Guards against a new arbiter that grants permits while it may not know all
// valid permits of the previous one, and against one that refuses to renew
// permits because it doesn't know the capacity yet.
func TestNewArbiterWaitsAndRenews(t *testing.T) {
	a := NewArbiter(simStart, false)
	a.Configure(0.5, capacity())
	decisions := a.Report(simStart, []Report{{Server: "a", WantsPermit: true, Ejected: true, Score: 2}, {Server: "b", WantsPermit: true, Score: 5}})
	if !decisions[0].Granted || decisions[1].Granted {
		t.Fatalf("decisions %+v, want a renewed and b refused", decisions)
	}
	now := simStart.Add(PermitTTL - 1)
	if reportAll(a, now, nil, map[string]float64{"a": 2, "b": 5}); len(a.Permits(now)) != 1 {
		t.Fatalf("permits %v before those of the previous arbiter have expired", a.Permits(now))
	}
	now = simStart.Add(PermitTTL)
	if reportAll(a, now, nil, map[string]float64{"a": 2, "b": 5}); len(a.Permits(now)) != 2 {
		t.Fatalf("permits %v after the wait", a.Permits(now))
	}
}

// Guards against a request that still runs on a third server after it crashed
// two, and against the quarantine of requests that servers respond to.
func TestQuarantineAfterTwoServers(t *testing.T) {
	f := FingerprintOf("team", "POST", "/x", []byte{1})
	if f == FingerprintOf("teamP", "OST", "/x", []byte{1}) {
		t.Fatal("fingerprint ignores the boundaries of its parts")
	}
	tracker := NewCrashTracker()
	for range 2 {
		if tracker.Report(simStart, f, "a") {
			t.Fatal("quarantined after one server")
		}
	}
	if !tracker.Report(simStart, f, "b") {
		t.Fatal("not quarantined after two servers")
	}
	q := NewQuarantine()
	for g, until := range tracker.Quarantined(simStart) {
		q.Add(simStart, g, until)
	}
	if !q.Refuses(simStart.Add(QuarantineTTL-1), f) || q.Refuses(simStart.Add(QuarantineTTL), f) {
		t.Fatal("quarantine does not last for QuarantineTTL")
	}
	q.Succeeded(f)
	if !q.KnownSafe(f) {
		t.Fatal("a request with a response is not known to be safe")
	}
}

// Guards against ejections of servers because of the requests that crash them:
// the crashes of a quarantined request are discarded, and one crash with many
// requests in flight counts once.
func TestCrashesOfAQuarantinedRequestAreTakenBack(t *testing.T) {
	d := NewOutlierDetector(NewLatencyBaselines())
	f := FingerprintOf("t0", "POST", "/crash", nil)
	for i := range 4 {
		now := simStart.Add(time.Duration(i) * time.Second)
		for j, team := range teamNames {
			// The request that causes the crash is neither the first nor the last to end.
			fingerprint := FingerprintOf(team, "GET", "/harmless", nil)
			if j == 3 {
				fingerprint = f
			}
			d.End(now, 0, RequestResult{Outcome: Dropped, Team: team, Fingerprint: fingerprint})
		}
		if i == 0 && d.Assess(now).Failing {
			t.Fatal("one crash is enough evidence")
		}
	}
	now := simStart.Add(4 * time.Second)
	if !d.DiscardCrashes(now, f) || d.Assess(now).Failing || d.Assess(now).FailureShare != 0 {
		t.Fatalf("assessment %+v after the crashes were discarded", d.Assess(now))
	}
}

// Guards against a failed probe that alone ejects a healthy server, and against
// failed probes that have no effect.
func TestProbeHalvesTheEvidenceNeeded(t *testing.T) {
	for _, probe := range []bool{false, true} {
		d := NewOutlierDetector(NewLatencyBaselines())
		if probe {
			d.Probe(simStart, false)
		}
		if d.Assess(simStart).Failing {
			t.Fatal("a failed probe alone ejects")
		}
		d.End(simStart, 0, RequestResult{Outcome: Failure, Team: "a"})
		d.End(simStart, 0, RequestResult{Outcome: Failure, Team: "b"})
		if d.End(simStart, 0, RequestResult{Outcome: Success, Team: "b"}); d.Assess(simStart).Failing != probe {
			t.Fatalf("failing %v after two failures, probe failed %v", !probe, probe)
		}
	}
}

// BenchmarkAnswer measures the cost of recording one successful request.
func BenchmarkAnswer(b *testing.B) {
	s := newSim(1, 40)
	s.run(simStart.Add(20 * time.Second))
	now := s.now
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(25 * time.Millisecond)
		s.detector.Begin(now, uint64(i)+1<<40, "t1", "short", false)
		s.detector.End(now, uint64(i)+1<<40, RequestResult{Team: "t1", Route: "short", Latency: 16 * time.Millisecond})
	}
}
