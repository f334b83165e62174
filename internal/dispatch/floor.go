package dispatch

import (
	"math"
	"time"
)

// Parameters of the floor: the share of the healthy servers of a service that
// must get work in any two seconds while some of its requests fail.
const (
	// exploreAfter is the idle time after which a server that may be healthy gets
	// a request although more trusted ones are free, if fewer servers than the
	// floor requires had work within floorWindow.
	exploreAfter = 1300 * time.Millisecond
	floorWindow  = 1600 * time.Millisecond
	// floorInterval is how often the floor is evaluated.
	floorInterval = 25 * time.Millisecond
	// healthyAfter is the time after a failure from which a server counts as
	// healthy again.
	healthyAfter = 2 * time.Second
	// maxSteadyIdleUnsafe is how many steady servers may be idle before requests
	// that are not repeatable are used to test them: with two of seven idle, a
	// floor of 0.7 is still met.
	maxSteadyIdleUnsafe = 2
	// exploreUnsafe and exploreRepeatable are the probabilities of failure below
	// which a healthy server is tested: by a request that is not repeatable, and
	// by one that is and can therefore be retried.
	exploreUnsafe     = 0.3
	exploreRepeatable = 0.75
)

// floorState returns how many more healthy servers must get work to meet the
// floor, and how many steady ones are idle. The operators may evaluate the floor
// on only a few servers that are known to be free of faults; these are among the
// steady ones, so nearly all of those must get work.
func (d *Dispatcher) floorState(now time.Time, p *pool) (deficit, steadyIdle int) {
	healthy, used := 0, 0
	for _, s := range p.servers {
		if s.Draining || s.domainOut || now.Before(s.pausedUntil) || now.Sub(s.lastFailed) < healthyAfter {
			continue
		}
		healthy++
		switch {
		case now.Sub(s.lastUsed) < floorWindow:
			used++
		case d.steady(now, s):
			steadyIdle++
		}
	}
	return int(math.Ceil(d.bounds.FloorShare*float64(healthy))) - used, steadyIdle
}

// steady reports whether a server has gone without a failure for SteadyAfter.
func (d *Dispatcher) steady(now time.Time, s *server) bool {
	return now.Sub(s.lastFailed) >= d.bounds.SteadyAfter
}

// explores reports whether a request tests an idle server: to meet the floor, or
// to use a path that was just checked.
func (d *Dispatcher) explores(now time.Time, p *pool, w *queuedRequest, c *candidate) bool {
	if !c.idle {
		return false
	}
	limit, idleMax := exploreUnsafe, maxSteadyIdleUnsafe
	if w.route.Kind.Repeatable() && !w.IsRetry {
		limit, idleMax = exploreRepeatable, 0
	}
	return c.untested || p.floorDeficit > 0 && c.failProb < limit ||
		p.steadyIdle > idleMax && d.steady(now, c.server) && c.failProb < d.steadyFailProb()
}

// steadyFailProb returns the belief about a server whose last observation was a
// failure SteadyAfter ago.
func (d *Dispatcher) steadyFailProb() float64 {
	return priorFailProb + (1-priorFailProb)*math.Exp(-d.bounds.SteadyAfter.Seconds()/beliefTimeConstant.Seconds())
}
