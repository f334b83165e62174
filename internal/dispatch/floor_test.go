package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against using only a few trusted servers: the agreed floor requires that
// most healthy servers get work in any two seconds.
func TestEveryHealthyServerGetsWorkWithinTwoSeconds(t *testing.T) {
	f := newFixture(t, 19)
	last := make(map[string]time.Time)
	var running []*Permit
	start := f.now
	for f.now.Sub(start) < 20*time.Second {
		f.now = f.now.Add(25 * time.Millisecond)
		if len(running) >= 9 {
			f.done(running[0], Served)
			running = running[1:]
		}
		p := f.permit("book")
		last[p.Server.ID] = f.now
		running = append(running, p)
		if f.now.Sub(start) < 4*time.Second {
			continue
		}
		used := 0
		for _, at := range last {
			if f.now.Sub(at) <= 2*time.Second {
				used++
			}
		}
		if used < 14 {
			t.Fatalf("after %v only %d of 19 healthy servers had work in two seconds", f.now.Sub(start), used)
		}
	}
}

// Guards against servers that failed once, have recovered, and get no work because
// enough others are trusted: the agreed floor is evaluated on servers that have been
// healthy for some time, which may be few.
func TestRecoveredServersGetWork(t *testing.T) {
	for _, c := range []struct {
		route string
		idle  int // servers that may be idle for two seconds
	}{{"book", 2}, {"look", 0}} {
		f := newFixture(t, 60)
		last := make(map[string]time.Time)
		var running []*Permit
		start := f.now
		for f.now.Sub(start) < 16*time.Second {
			f.now = f.now.Add(10 * time.Millisecond)
			if len(running) >= 20 {
				o := Served
				if f.now.Sub(start) < time.Second && running[0].Server.ID < "s30" {
					o = Failed
				}
				f.done(running[0], o)
				running = running[1:]
			}
			p := f.permit(c.route)
			last[p.Server.ID] = f.now
			running = append(running, p)
			if f.now.Sub(start) < 10*time.Second {
				continue
			}
			idle := 0
			for i := range 60 {
				if f.now.Sub(last[fmt.Sprintf("s%02d", i)]) > 2*time.Second {
					idle++
				}
			}
			if idle > c.idle {
				t.Fatalf("%s: %d of 60 healthy servers idle after %v, want at most %d", c.route, idle, f.now.Sub(start), c.idle)
			}
		}
	}
}

// Guards against a new coordinator that treats its predecessor's suspect servers as
// steady and tests them with unsafe requests.
func TestSuccessorDoesNotTestSuspects(t *testing.T) {
	f := newFixture(t, 8)
	var suspects []Suspicion
	for i := range 5 {
		suspects = append(suspects, Suspicion{Server: fmt.Sprintf("s%02d", i), FailureProbability: 0.45})
	}
	f.d.RestoreSuspicions(f.now, suspects)
	for range 100 {
		f.now = f.now.Add(20 * time.Millisecond)
		p := f.permit("book")
		if p.Server.ID < "s05" {
			t.Fatalf("an unsafe request went to the suspect server %s after %v", p.Server.ID, f.now.Sub(time.Unix(1000, 0)))
		}
		f.done(p, Served)
	}
}

// Guards against a change of coordinator after which servers that have recovered get no
// work, since the time without a failure begins anew for each of them.
func TestSuccessorGivesRecoveredServersWork(t *testing.T) {
	f := newFixture(t, 60)
	last := make(map[string]time.Time)
	var running []*Permit
	start := f.now
	run := func(until time.Duration) {
		for f.now.Sub(start) < until {
			f.now = f.now.Add(10 * time.Millisecond)
			if len(running) >= 20 {
				o := Served
				if f.now.Sub(start) < time.Second && running[0].Server.ID < "s30" {
					o = Failed
				}
				f.done(running[0], o)
				running = running[1:]
			}
			p := f.permit("book")
			last[p.Server.ID] = f.now
			running = append(running, p)
		}
	}
	run(5 * time.Second)
	suspicions := f.d.Suspicions(f.now)
	successor := newFixture(t, 60)
	f.d, running = successor.d, nil
	f.d.RestoreSuspicions(f.now, suspicions)
	run(10 * time.Second)
	idle := 0
	for i := range 60 {
		if f.now.Sub(last[fmt.Sprintf("s%02d", i)]) > 2*time.Second {
			idle++
		}
	}
	if idle > 2 {
		t.Errorf("%d of 60 servers that have not failed for 9 s had no work in two seconds, want at most 2", idle)
	}
}
