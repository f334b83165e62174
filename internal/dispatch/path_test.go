package dispatch

import (
	"slices"
	"testing"
	"time"
)

// tickStep is the time between looks at the queue.
const tickStep = 25 * time.Millisecond

// onlyServer asks for a booking that every server but one has been tried for.
func (f *fixture) onlyServer(id string) []Decision {
	var others []string
	for other := range f.d.servers {
		if other != id {
			others = append(others, other)
		}
	}
	return f.ask("book", func(a *Ask) { a.Avoid = others })
}

// hang fills a server with bookings that are not answered in time, and returns
// them with the check of the server's paths.
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

func (f *fixture) bad(id string) float64 {
	return f.d.servers[id].badness(f.now)
}

// Guards against a sound server that gets nothing since the instance that sends
// to it is cut off from it: its requests hold all slots until their deadlines, the
// next ones would take the same path, and the connections that end count as
// failures of the server.
func TestLostPathIsReplaced(t *testing.T) {
	f := newFixture(t, 4)
	hung, check := f.hang("s00")
	f.done(hung[0], Dropped)
	f.d.PathsChecked(f.now, check, check.Via[1:2], check.Via[:1])
	if bad := f.bad("s00"); bad < trusted || bad > pathDoubt {
		t.Errorf("probability of failure %.2f, want one of a suspect server that may be sound", bad)
	}
	out := f.onlyServer("s00")
	if len(out) != 1 || out[0].Permit == nil {
		t.Fatalf("the server is not tested at once on the path that was found: %+v", out)
	}
	if out[0].Permit.Via != check.Via[1] {
		t.Errorf("request sent through %s, but %s reaches the server", out[0].Permit.Via, check.Via[1])
	}
	f.done(out[0].Permit, Served)
	if bad := f.bad("s00"); bad > trusted {
		t.Errorf("probability of failure %.2f after the server answered on another path", bad)
	}
}

// Guards against a server that hangs being taken for one whose path is lost: each
// other path would cost a booking.
func TestHungServerIsNotTriedOnOtherPaths(t *testing.T) {
	f := newFixture(t, 4)
	_, check := f.hang("s00")
	f.d.PathsChecked(f.now, check, check.Via, nil)
	if bad := f.bad("s00"); bad < 0.9 {
		t.Errorf("probability of failure %.2f although the path to the server is sound", bad)
	}
	if out := f.onlyServer("s00"); len(out) != 0 {
		t.Errorf("a booking was sent at once: %+v", out)
	}
}

// Guards against giving up a server that two instances do not reach while others
// do, and against requests to one that no instance reaches.
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
		t.Errorf("a booking was sent to a server that is down: %+v", out)
	}
}

// Guards against a check that judges a server when only the instances could not
// be asked, or when the server is another one by now.
func TestCheckWithoutResultChangesNothing(t *testing.T) {
	f := newFixture(t, 4)
	_, check := f.hang("s00")
	before := *f.d.servers["s00"]
	f.d.PathsChecked(f.now, check, nil, nil)
	f.d.PathsChecked(f.now, PathCheck{Server: "s00", Address: "10.0.9.9:80", Via: check.Via}, nil, check.Via)
	after := *f.d.servers["s00"]
	if after.bad != before.bad || after.pausedUntil != before.pausedUntil || len(after.lostPath) != 0 {
		t.Errorf("state changed without a result: %+v", after)
	}
}

// Guards against long requests that make paths be checked while the server
// answers others.
func TestLongRequestAsksForNoCheck(t *testing.T) {
	f := newFixture(t, 1)
	f.permit("book")
	for range 80 {
		f.now = f.now.Add(tickStep)
		f.d.Tick(f.now)
		if out := f.ask("look", nil); len(out) == 1 && out[0].Permit != nil {
			f.done(out[0].Permit, Served)
		}
	}
	if checks := f.d.PathChecks(); len(checks) != 0 {
		t.Errorf("checks %+v", checks)
	}
}

// Guards against a server that hangs and gets more bookings since its overdue
// ones no longer count for its slots.
func TestHungServerGetsFewBookings(t *testing.T) {
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
		t.Errorf("%d bookings in 4 s at a server that hangs, want those that fill its two slots and one test", hangs)
	}
}
