package dispatch

import (
	"fmt"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// limitedLoad sends more than the servers of a fixture take: bookings and lookups, some
// of them retries. Each runs for 60 ms.
type limitedLoad struct {
	*fixture
	// failures is how many requests there are for each one that fails; 0 means none.
	failures int
	running  []*Permit
	endsAt   []time.Time
	// limit is what server s00 names in each response; negative for none.
	limit float64
	// granted are the times of the permits for server s00.
	granted     []time.Time
	sent, ended int
}

func (l *limitedLoad) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(20 * time.Millisecond)
		for len(l.running) > 0 && !l.now.Before(l.endsAt[0]) {
			p := l.running[0]
			l.running, l.endsAt = l.running[1:], l.endsAt[1:]
			o := Served
			if l.ended++; l.failures > 0 && l.ended%l.failures == 0 {
				o = Failed
			}
			if p.Server.ID == "s00" && l.limit >= 0 {
				l.d.SetServerLimit(l.now, "s00", l.limit)
			}
			l.note(l.d.Done(l.now, Report{Permit: p.Number, Outcome: o, Took: 60 * time.Millisecond}))
		}
		l.sent++
		l.note(l.request([]string{"book", "look"}[l.sent%2], func(r *PermitRequest) { r.IsRetry = l.sent%5 == 0 }))
		l.note(l.d.Tick(l.now))
	}
}

// note starts the requests that got a permit.
func (l *limitedLoad) note(decisions []Decision) {
	for _, d := range decisions {
		if d.Permit == nil {
			continue
		}
		l.running, l.endsAt = append(l.running, d.Permit), append(l.endsAt, l.now.Add(60*time.Millisecond))
		if d.Permit.Server.ID == "s00" {
			l.granted = append(l.granted, l.now)
		}
	}
}

// most returns the largest number of permits for s00 in a window since a time.
func (l *limitedLoad) most(since time.Time, window time.Duration) int {
	most := 0
	for i, from := range l.granted {
		n := 0
		for _, at := range l.granted[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if !from.Before(since) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against a server that gets more than the rate limit that it named: by first
// attempts, retries, tests of idle servers, while others are better or worse, and as the
// limit rises and falls.
func TestLimitedServerGetsNoMoreThanItsLimit(t *testing.T) {
	const window = 4 * time.Second
	for _, rates := range [][]float64{{0}, {0.3}, {1.3}, {5.4}, {12, 1.5, 12}, {2, 20, 0.5}} {
		for _, others := range []int{0, 3} {
			t.Run(fmt.Sprint(rates, " with ", others, " others"), func(t *testing.T) {
				l := &limitedLoad{fixture: newFixture(t, 1+others), failures: 7 * others, limit: -1}
				l.run(2 * time.Second)
				for _, rate := range rates {
					l.limit = rate
					l.d.SetServerLimit(l.now, "s00", rate)
					since := l.now
					l.run(12 * time.Second)
					allowed := max(rate, minUsableLimit)*window.Seconds() + 1
					got := l.most(since, window)
					if float64(got) > allowed {
						t.Errorf("limit %g/s: %d requests in %v, want at most %.1f", rate, got, window, allowed)
					}
					if others == 0 && rate >= 1 && float64(got) < 0.75*allowed {
						t.Errorf("limit %g/s: only %d requests in %v from more than it takes", rate, got, window)
					}
				}
			})
		}
	}
}

// Guards against a limit that outlasts what the server says, or its restart.
func TestLimitEndsWithItsServerOrAResponse(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"response": func(f *fixture) { f.d.ClearServerLimit(f.now, "s00") },
		"response through an instance that was not told": func(f *fixture) {},
		"restart": func(f *fixture) { f.server(0, func(s *catalog.Server) { s.Incarnation++ }) },
	} {
		l := &limitedLoad{fixture: newFixture(t, 1), limit: 1}
		l.d.SetServerLimit(l.now, "s00", 1)
		l.run(4 * time.Second)
		l.limit = -1
		end(l.fixture)
		l.run(time.Second)
		since := l.now
		l.run(4 * time.Second)
		if got := l.most(since, time.Second); got < 20 {
			t.Errorf("%s: only %d requests a second after the limit has ended", name, got)
		}
	}
}

// Guards against requests that wait for servers whose limits leave no room: what can
// not be served in time is refused on arrival, with a time to come back.
func TestRequestsBeyondTheLimitsAreRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 2)
	for i := range 2 {
		f.d.SetServerLimit(f.now, fmt.Sprintf("s%02d", i), 2)
	}
	refused, atOnce := 0, 0
	arrived := make(map[uint64]time.Time)
	start := f.now
	note := func(decisions []Decision) (permits []*Permit) {
		for _, d := range decisions {
			switch {
			case d.Permit != nil:
				permits = append(permits, d.Permit)
			case f.now.Sub(start) < 3*time.Second:
				// The load of the first seconds is not known yet.
			default:
				refused++
				if f.now.Equal(arrived[d.RequestNumber]) {
					atOnce++
				}
				if d.Refusal.Kind != errkind.Overloaded || d.Refusal.RetryAfter <= 0 {
					t.Fatalf("refused as %s, retry after %v", d.Refusal.Kind, d.Refusal.RetryAfter)
				}
			}
		}
		return permits
	}
	var running []*Permit
	for range 500 {
		f.now = f.now.Add(20 * time.Millisecond)
		ended := running
		running = nil
		for _, p := range ended {
			f.d.SetServerLimit(f.now, p.Server.ID, 2)
			running = append(running, note(f.d.Done(f.now, Report{Permit: p.Number, Outcome: Served, Took: 20 * time.Millisecond}))...)
		}
		arrived[f.next+1] = f.now
		running = append(running, note(f.request("book", nil))...)
		running = append(running, note(f.d.Tick(f.now))...)
	}
	if refused < 250 || 10*atOnce < 9*refused {
		t.Errorf("%d refused, %d of them on arrival; want nine tenths", refused, atOnce)
	}
}
