package dispatch

import (
	"testing"
	"time"
)

// Guards against a log that says nothing about servers that get no work although they
// have not failed for long: idle servers write no line of their own.
func TestIdleSteadyServersAreReported(t *testing.T) {
	f := newFixture(t, 10)
	noTests := DefaultPolicy()
	noTests.Floor.ExploreAfter = time.Hour
	f.d.policy = &noTests
	var found []FloorShortfall
	for range 400 {
		f.now = f.now.Add(25 * time.Millisecond)
		f.done(f.permit("book"), Served)
		f.d.Tick(f.now)
		found = append(found, f.d.FloorShortfalls()...)
	}
	if len(found) == 0 {
		t.Fatal("no shortfall reported although one request at a time runs and idle servers are not tested")
	}
	last := found[len(found)-1]
	if last.Service != "desk" || last.Steady != 10 || last.Required != 7 || last.Used >= 7 || len(last.Idle) == 0 || !last.Idle[0].Usable {
		t.Errorf("unexpected report %+v", last)
	}
}

// Guards against reports while there are fewer requests than servers, in which no
// choice could give each server work.
func TestFewRequestsAreNoShortfall(t *testing.T) {
	f := newFixture(t, 10)
	for range 10 {
		f.now = f.now.Add(time.Second)
		f.done(f.permit("book"), Served)
		f.d.Tick(f.now)
		if found := f.d.FloorShortfalls(); len(found) > 0 {
			t.Fatalf("shortfall reported at one request a second: %+v", found)
		}
	}
}
