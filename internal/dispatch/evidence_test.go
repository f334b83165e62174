package dispatch

import (
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

const serviceTime = 200 * time.Millisecond

// turns lets a server turn bad again and again: each time it serves a request, resets
// the next one at once, and resets a later one too.
func (f *fixture) turns(id string, times int) {
	f.t.Helper()
	for range times {
		for _, o := range []Outcome{Served, Dropped, Dropped} {
			p := f.send("book", id)
			if o == Served {
				f.now = f.now.Add(serviceTime)
			} else {
				f.now = f.now.Add(2 * time.Millisecond)
			}
			f.done(p, o)
			f.now = f.now.Add(2500 * time.Millisecond)
		}
		f.now = f.now.Add(10 * time.Second)
	}
}

// send sends a request to a server of the test's choice.
func (f *fixture) send(route, id string) *Permit {
	f.t.Helper()
	var others []string
	for other := range f.d.servers {
		if other != id {
			others = append(others, other)
		}
	}
	out := f.request(route, func(r *PermitRequest) {
		r.ExcludedServers = others
		r.ArrivedAt = r.ArrivedAt.Add(-500 * time.Millisecond)
	})
	if len(out) != 1 || out[0].Permit == nil {
		f.t.Fatalf("no permit for %s: %+v", id, out)
	}
	return out[0].Permit
}

// Guards against a server that turns bad under load and stays in use, since responses
// to requests that it got before still arrive.
func TestEarlierRequestsDoNotClearAServerThatTurnedBad(t *testing.T) {
	f := newFixture(t, 1)
	f.server(0, func(s *catalog.Server) { s.Slots = 8 })
	var earlier []*Permit
	for range 7 {
		earlier = append(earlier, f.permit("book"))
	}
	f.now = f.now.Add(serviceTime)
	f.done(f.permit("book"), Dropped)
	if p := f.failProb("s00"); p < testPolicy.Belief.Trust {
		t.Fatalf("probability of failure %.2f after a reset", p)
	}
	for _, p := range earlier {
		f.done(p, Served)
	}
	if p := f.failProb("s00"); p < testPolicy.Belief.Trust {
		t.Errorf("probability of failure %.2f after a reset and responses to earlier requests, want the server suspect", p)
	}
	// A request sent after the failure does tell.
	f.now = f.now.Add(2500 * time.Millisecond)
	p := f.send("book", "s00")
	f.now = f.now.Add(serviceTime)
	f.done(p, Served)
	if p := f.failProb("s00"); p > testPolicy.Belief.Trust {
		t.Errorf("probability of failure %.2f after a later request was served", p)
	}
}

// Guards against ejecting a good server for each failure of the application, in a
// service whose servers fail at once while they are bad.
func TestLateFailureSaysLittleWhereFailuresArePrompt(t *testing.T) {
	f := newFixture(t, 2)
	p := f.send("book", "s01")
	f.now = f.now.Add(serviceTime)
	f.done(p, Served)
	f.turns("s01", 12)
	f.served("s00", 3)
	p = f.send("book", "s00")
	f.now = f.now.Add(serviceTime)
	f.done(p, Failed)
	if got := f.failProb("s00"); got > testPolicy.Belief.Trust {
		t.Errorf("probability of failure %.2f after one failure at the end of the work, want the server trusted", got)
	}
	p = f.send("book", "s00")
	f.now = f.now.Add(2 * time.Millisecond)
	f.done(p, Failed)
	if got := f.failProb("s00"); got < testPolicy.Belief.Trust {
		t.Errorf("probability of failure %.2f after a prompt failure, want the server suspect", got)
	}
}

// Guards against waiting for a response to learn what a request in flight tells
// already: where failures are prompt, it has outlasted them.
func TestRequestInFlightProvesAGoodServer(t *testing.T) {
	f := newFixture(t, 2)
	p := f.send("book", "s01")
	f.now = f.now.Add(serviceTime)
	f.done(p, Served)
	f.turns("s01", 12)
	before := f.failProb("s00")
	f.send("book", "s00")
	f.now = f.now.Add(serviceTime / 2)
	f.permit("book")
	if got := f.failProb("s00"); got > before/2 {
		t.Errorf("probability of failure %.2f with a request half done, %.2f before it was sent", got, before)
	}
}

// Guards against a server that hangs and looks the better the more requests wait on it.
func TestRequestsInFlightDoNotVouchForAServerThatHangs(t *testing.T) {
	f := newFixture(t, 1)
	f.server(0, func(s *catalog.Server) { s.Slots = 8 })
	f.served("s00", 1)
	f.now = f.now.Add(2 * time.Second)
	before := f.failProb("s00")
	for range 6 {
		f.permit("book")
		f.now = f.now.Add(100 * time.Millisecond)
	}
	f.permit("book")
	if got := f.failProb("s00"); got < before/2 {
		t.Errorf("probability of failure %.3f with six requests unanswered, %.3f before", got, before)
	}
}

// Guards against a service that hangs or fails late: there a request in flight proves
// nothing.
func TestRequestInFlightProvesNothingWhereFailuresAreLate(t *testing.T) {
	f := newFixture(t, 2)
	f.served("s01", 1)
	for range 12 {
		for range 2 {
			p := f.send("book", "s01")
			f.now = f.now.Add(serviceTime)
			f.done(p, Failed)
			f.now = f.now.Add(2500 * time.Millisecond)
		}
		f.now = f.now.Add(10 * time.Second)
	}
	before := f.failProb("s00")
	f.send("book", "s00")
	f.now = f.now.Add(serviceTime / 2)
	f.permit("book")
	if got := f.failProb("s00"); got < before*3/4 {
		t.Errorf("probability of failure %.2f with a request half done, %.2f before it was sent", got, before)
	}
}

// served lets a server respond to requests.
func (f *fixture) served(id string, times int) {
	for range times {
		p := f.send("book", id)
		f.now = f.now.Add(serviceTime)
		f.done(p, Served)
	}
}

// Guards against bookings that find out which servers turned bad while lookups, which
// could be sent again, go to the servers that are known to be good.
func TestLookupsTestServersForBookings(t *testing.T) {
	f := newFixture(t, 3)
	f.served("s02", 1)
	f.turns("s02", 12)
	f.d.RemoveServer("s02")
	f.served("s01", 3)
	f.served("s00", 3)
	f.now = f.now.Add(300 * time.Millisecond)
	f.served("s01", 3)
	look := f.permit("look")
	if look.Server.ID != "s00" {
		t.Errorf("lookup went to %s, want s00, whose last response is older", look.Server.ID)
	}
	if book := f.permit("book"); book.Server.ID != "s01" {
		t.Errorf("booking went to %s, want s01, which has just served", book.Server.ID)
	}
}

// Guards against lookups that test servers where a failure costs them the time of the
// work: there a retry may come too late.
func TestLookupsTestNothingWhereFailuresAreLate(t *testing.T) {
	f := newFixture(t, 3)
	f.served("s02", 1)
	for range 12 {
		for range 2 {
			p := f.send("book", "s02")
			f.now = f.now.Add(serviceTime)
			f.done(p, Failed)
			f.now = f.now.Add(2500 * time.Millisecond)
		}
		f.now = f.now.Add(10 * time.Second)
	}
	f.d.RemoveServer("s02")
	f.served("s01", 3)
	f.served("s00", 3)
	f.now = f.now.Add(300 * time.Millisecond)
	f.served("s01", 3)
	if look := f.permit("look"); look.Server.ID != "s01" {
		t.Errorf("lookup went to %s, want s01, which has just served", look.Server.ID)
	}
}

// Guards against lookups that test servers when no retry is left for them.
func TestLookupsTestNothingWithoutRetryBudget(t *testing.T) {
	f := newFixture(t, 3)
	f.served("s02", 1)
	f.turns("s02", 12)
	f.d.RemoveServer("s02")
	f.served("s01", 3)
	f.served("s00", 3)
	f.now = f.now.Add(300 * time.Millisecond)
	f.served("s01", 3)
	for range 40 {
		f.d.pool("desk").retries.allow(f.now, testBounds, 1)
	}
	if look := f.permit("look"); look.Server.ID != "s01" {
		t.Errorf("lookup went to %s, want s01: the retry budget is nearly spent", look.Server.ID)
	}
}
