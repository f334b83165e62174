package dispatch

import (
	"math"
	"time"
)

// floorInterval is how often the floor is evaluated.
const floorInterval = 25 * time.Millisecond

// floorState returns how many more healthy servers must get work to meet the
// floor with its margin, and how many steady ones are idle. The operators may evaluate the floor
// on only a few servers that are known to be free of faults; these are among the
// steady ones, so nearly all of those must get work.
func (d *Dispatcher) floorState(now time.Time, p *pool) (deficit, steadyIdle int) {
	healthy, used := 0, 0
	for _, s := range p.servers {
		if s.Draining || s.domainOut || now.Before(s.pausedUntil) || now.Sub(s.lastFailed) < d.policy.Floor.HealthyAfter || d.limitedBelowFloor(s) {
			continue
		}
		healthy++
		switch {
		case now.Sub(s.lastUsed) < d.policy.Floor.Window:
			used++
		case d.steady(now, s):
			steadyIdle++
		}
	}
	return int(math.Ceil(d.floorTarget()*float64(healthy))) - used, steadyIdle
}

// floorTarget returns the share of the healthy servers that get work, 0 without an
// agreed floor.
func (d *Dispatcher) floorTarget() float64 {
	if d.bounds.FloorShare <= 0 {
		return 0
	}
	return min(1, d.bounds.FloorShare+d.policy.Floor.Margin)
}

// limitedBelowFloor reports whether the limit of a server does not even allow the one
// request within FloorPolicy.Window that the floor asks for.
func (d *Dispatcher) limitedBelowFloor(s *server) bool {
	return s.limited && s.usableLimit()*d.policy.Floor.Window.Seconds() < 1
}

// steady reports whether a server has gone without a failure for SteadyAfter.
func (d *Dispatcher) steady(now time.Time, s *server) bool {
	return now.Sub(s.lastFailed) >= d.bounds.SteadyAfter
}

// explores reports whether a request tests an idle server: to meet the floor, or
// to use a path that was just checked. firstAttempt is set for the first attempt of a
// request that may be repeated.
func (d *Dispatcher) explores(now time.Time, p *pool, firstAttempt bool, c *candidate) bool {
	if !c.idle {
		return false
	}
	limit, idleMax := d.policy.Floor.ExploreUnsafe, d.policy.Floor.MaxSteadyIdleUnsafe
	if firstAttempt {
		limit, idleMax = d.policy.Floor.ExploreRepeatable, 0
	}
	return c.untested || p.floorDeficit > 0 && c.failProb < limit ||
		p.steadyIdle > idleMax && d.steady(now, c.server) && c.failProb < d.steadyFailProb()
}

// steadyFailProb returns the belief about a server whose last observation was a
// failure SteadyAfter ago.
func (d *Dispatcher) steadyFailProb() float64 {
	return d.policy.Belief.Prior + (1-d.policy.Belief.Prior)*math.Exp(-d.bounds.SteadyAfter.Seconds()/d.policy.Belief.TimeConstant.Seconds())
}
