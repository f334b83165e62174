package dispatch

import (
	"math"
	"time"
)

// Figures of the floor: the share of sound servers of a service that get work in
// any two seconds while some of its requests fail.
const (
	// exploreAfter is the idle time after which a server that may be sound gets
	// a request although more trusted ones are free, if fewer servers than the
	// floor asks for had work within floorWindow.
	exploreAfter = 1300 * time.Millisecond
	floorWindow  = 1600 * time.Millisecond
	// floorInterval is how often the servers are counted for the floor.
	floorInterval = 25 * time.Millisecond
	// soundAfter is the time after which a server that failed counts as sound
	// again.
	soundAfter = 2 * time.Second
	// steadyIdleUnsafe is how many steady servers may be idle before requests
	// that cannot be tried again are used to test them: two of seven are within
	// a floor of 0.7.
	steadyIdleUnsafe = 2
	// exploreUnsafe and exploreRepeatable are the probabilities of failure up to
	// which such a request tests a sound server. A repeatable one can be tried
	// again.
	exploreUnsafe     = 0.3
	exploreRepeatable = 0.75
)

// belowFloor returns how many more sound servers have to get work for the
// agreed floor, and how many steady ones are idle. The floor may be judged on a
// few servers that are known to be undisturbed; these are among the steady
// ones, so nearly all of those have to get work.
func (d *Dispatcher) belowFloor(now time.Time, p *pool) (missing, steadyIdle int) {
	sound, used := 0, 0
	for _, s := range p.servers {
		if s.Draining || s.out || now.Before(s.pausedUntil) || now.Sub(s.lastFailed) < soundAfter {
			continue
		}
		sound++
		switch {
		case now.Sub(s.lastUsed) < floorWindow:
			used++
		case d.steady(now, s):
			steadyIdle++
		}
	}
	return int(math.Ceil(d.bounds.FloorShare*float64(sound))) - used, steadyIdle
}

// steady reports whether a server has not failed for so long that it is taken
// for undisturbed.
func (d *Dispatcher) steady(now time.Time, s *server) bool {
	return now.Sub(s.lastFailed) >= d.bounds.SteadyAfter
}

// explores reports whether an ask tests an idle server: for the sake of the
// floor, or on a path that was checked.
func (d *Dispatcher) explores(now time.Time, p *pool, w *waiting, c *candidate) bool {
	if !c.idle {
		return false
	}
	limit, idleMax := exploreUnsafe, steadyIdleUnsafe
	if w.route.Kind.Repeatable() && !w.Repeat {
		limit, idleMax = exploreRepeatable, 0
	}
	return c.untested || p.missing > 0 && c.bad < limit ||
		p.steadyIdle > idleMax && d.steady(now, c.server) && c.bad < d.steadyBelief()
}

// steadyBelief is the belief about a server whose last observation was a failure
// as long ago as a server has to be without one to count as steady.
func (d *Dispatcher) steadyBelief() float64 {
	return prior + (1-prior)*math.Exp(-d.bounds.SteadyAfter.Seconds()/relaxation.Seconds())
}
