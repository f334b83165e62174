package dispatch

import (
	"slices"
	"testing"
	"time"
)

// tickStep is the time between ticks of the dispatcher.
const tickStep = 25 * time.Millisecond

// onlyServer requests a permit for an unsafe request that has tried every server but
// one.
func (f *fixture) onlyServer(id string) []Decision {
	var others []string
	for other := range f.d.servers {
		if other != id {
			others = append(others, other)
		}
	}
	return f.request("book", func(req *PermitRequest) { req.ExcludedServers = others })
}

// hang fills a server with unsafe requests that get no response in time, and returns
// their permits with the resulting path check.
func (f *fixture) hang(id string) ([]*Permit, PathCheck) {
	f.t.Helper()
	var hung []*Permit
	for range 2 {
		out := f.onlyServer(id)
		if len(out) != 1 || out[0].Permit == nil {
			f.t.Fatalf("no permit at first: %+v", out)
		}
		hung = append(hung, out[0].Permit)
	}
	for range 60 {
		f.now = f.now.Add(tickStep)
		f.d.Tick(f.now)
	}
	checks := f.d.PathChecks()
	if len(checks) != 1 || checks[0].Server != id || len(checks[0].Via) < 2 || checks[0].Via[0] != hung[0].Via {
		f.t.Fatalf("checks %+v, want one of the path from %s and from others", checks, hung[0].Via)
	}
	return hung, checks[0]
}

func (f *fixture) failProb(id string) float64 {
	return f.d.servers[id].failureProbability(f.now)
}

// Guards against a healthy server that gets no work because the instance that sends
// to it is cut off: its requests hold all slots until their deadlines, the next ones
// would take the same path, and the connections that close count as failures of the
// server.
func TestLostPathIsReplaced(t *testing.T) {
	f := newFixture(t, 4)
	hung, check := f.hang("s00")
	f.done(hung[0], Dropped)
	f.d.PathsChecked(f.now, check, check.Via[1:2], check.Via[:1])
	if failProb := f.failProb("s00"); failProb < testPolicy.Belief.Trust || failProb > testPolicy.Path.DoubtFailProb {
		t.Errorf("probability of failure %.2f, want one of a suspect server that may be healthy", failProb)
	}
	out := f.onlyServer("s00")
	if len(out) != 1 || out[0].Permit == nil {
		t.Fatalf("the server is not tested at once on the path that was found: %+v", out)
	}
	if out[0].Permit.Via != check.Via[1] {
		t.Errorf("request sent through %s, but %s reaches the server", out[0].Permit.Via, check.Via[1])
	}
	f.done(out[0].Permit, Served)
	if failProb := f.failProb("s00"); failProb > testPolicy.Belief.Trust {
		t.Errorf("probability of failure %.2f after the server responded on another path", failProb)
	}
}

// Guards against treating a hung server as one whose path is lost: each further path
// would cost an unsafe request.
func TestHungServerIsNotTriedOnOtherPaths(t *testing.T) {
	f := newFixture(t, 4)
	_, check := f.hang("s00")
	f.d.PathsChecked(f.now, check, check.Via, nil)
	if failProb := f.failProb("s00"); failProb < 0.9 {
		t.Errorf("probability of failure %.2f although the path to the server works", failProb)
	}
	if out := f.onlyServer("s00"); len(out) != 0 {
		t.Errorf("an unsafe request was sent at once: %+v", out)
	}
}

// Guards against marking a server down when two instances cannot reach it but others
// can, and against requests to a server that no instance reaches.
func TestServerThatNobodyReachesIsDown(t *testing.T) {
	f := newFixture(t, 4)
	_, check := f.hang("s00")
	f.d.PathsChecked(f.now, check, nil, check.Via)
	further := f.d.PathChecks()
	if len(further) != 1 || len(further[0].Via) != 2 || slices.Contains(further[0].Via, check.Via[0]) || slices.Contains(further[0].Via, check.Via[1]) {
		t.Fatalf("checks %+v after those from %v, want one from the two other instances", further, check.Via)
	}
	f.d.PathsChecked(f.now, further[0], nil, further[0].Via)
	f.now = f.now.Add(downPause / 2)
	if out := f.onlyServer("s00"); len(out) != 0 {
		t.Errorf("an unsafe request was sent to a server that is down: %+v", out)
	}
}

// Guards against a path check that changes the state of a server although the
// instances could not be queried, or although the address now belongs to another
// server.
func TestCheckWithoutResultChangesNothing(t *testing.T) {
	f := newFixture(t, 4)
	_, check := f.hang("s00")
	before := *f.d.servers["s00"]
	f.d.PathsChecked(f.now, check, nil, nil)
	f.d.PathsChecked(f.now, PathCheck{Server: "s00", Address: "10.0.9.9:80", Via: check.Via}, nil, check.Via)
	after := *f.d.servers["s00"]
	if after.failProb != before.failProb || after.pausedUntil != before.pausedUntil || len(after.unreachableFrom) != 0 {
		t.Errorf("state changed without a result: %+v", after)
	}
}

// Guards against path checks caused by long requests while the server responds to
// others.
func TestLongRequestCausesNoPathCheck(t *testing.T) {
	f := newFixture(t, 1)
	f.permit("book")
	for range 80 {
		f.now = f.now.Add(tickStep)
		f.d.Tick(f.now)
		if out := f.request("look", nil); len(out) == 1 && out[0].Permit != nil {
			f.done(out[0].Permit, Served)
		}
	}
	if checks := f.d.PathChecks(); len(checks) != 0 {
		t.Errorf("checks %+v, want none while the server responds to other requests", checks)
	}
}

// Guards against a hung server that gets further unsafe requests because its overdue
// ones no longer occupy its slots.
func TestHungServerGetsFewUnsafeRequests(t *testing.T) {
	f := newFixture(t, 4)
	hangs := 0
	for range 160 {
		f.now = f.now.Add(tickStep)
		f.d.Tick(f.now)
		p := f.permit("book")
		if p.Server.ID == "s02" {
			hangs++
			continue
		}
		f.done(p, Served)
	}
	if hangs == 0 || hangs > 3 {
		t.Errorf("%d unsafe requests in 4 s to a hung server, want those that fill its two slots and one probe", hangs)
	}
}
