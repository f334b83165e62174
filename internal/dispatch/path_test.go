package dispatch

import (
	"testing"
	"time"
)

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

// Guards against a sound server that gets nothing since the instance that sends
// to it is cut off from it: its requests hold all slots until their deadlines,
// and the next ones would take the same path.
func TestMutePathIsReplaced(t *testing.T) {
	f := newFixture(t, 4)
	var hung []*Permit
	for range 2 {
		out := f.onlyServer("s00")
		if len(out) != 1 || out[0].Permit == nil {
			t.Fatalf("no permit at first: %+v", out)
		}
		hung = append(hung, out[0].Permit)
	}
	for range 60 {
		f.now = f.now.Add(tickStep)
		f.d.Tick(f.now)
	}
	f.done(hung[0], Dropped)
	p := f.d.pool("desk")
	if bad := f.d.servers["s00"].badness(f.now, p.prior); bad < trusted || bad > pathDoubt {
		t.Errorf("probability of failure %.2f after one mute path, want one of a suspect server that may be sound", bad)
	}
	out := f.onlyServer("s00")
	if len(out) != 1 || out[0].Permit == nil {
		t.Fatalf("the server is not tested at once on another path: %+v", out)
	}
	if out[0].Permit.Via == hung[0].Via {
		t.Errorf("request sent through %s again, to which the server did not answer", hung[0].Via)
	}
	f.done(out[0].Permit, Served)
	if bad := f.d.servers["s00"].badness(f.now, p.prior); bad > trusted {
		t.Errorf("probability of failure %.2f after the server answered on another path", bad)
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

// tickStep is the time between looks at the queue.
const tickStep = 25 * time.Millisecond
