package dispatch

import (
	"slices"
	"time"
)

// candidate is a server with a free slot.
type candidate struct {
	*server
	// failProb is the probability that the server fails a request now.
	failProb float64
	// idle is set if the server got no request within FloorPolicy.ExploreAfter. It may
	// get one to meet the floor (Bounds.FloorShare).
	idle bool
}

// candidates returns the servers of a service that can take a request now.
func (d *Dispatcher) candidates(now time.Time, p *pool) []candidate {
	out := p.candidateBuf[:0]
	if now.Sub(p.floorCheckedAt) >= floorInterval {
		p.floorDeficit, p.steadyIdle = d.floorState(now, p)
		p.floorCheckedAt = now
	}
	for _, s := range p.servers {
		if d.usable(now, s) {
			out = append(out, candidate{server: s, failProb: s.failureProbability(now), idle: now.Sub(s.lastUsed) >= d.policy.Floor.ExploreAfter})
		}
	}
	p.candidateBuf = out
	return out
}

// choose returns the index of the server for a request, or -1 if the request has
// to wait.
func (d *Dispatcher) choose(now time.Time, p *pool, w *queuedRequest, free []candidate) int {
	best, bestCost := -1, 0.0
	allowSuspects := d.mayTrySuspects(now, p, w)
	crossing := d.policy.Choice.CrossDomainCost + d.policy.Choice.CrossByteCost*d.stats(w.Route).bytes
	tolerated := d.tolerated(now, p, w)
	for i := range free {
		c := &free[i]
		explore := d.explores(now, p, w, c)
		trySuspect := allowSuspects && c.failProb > d.policy.Choice.ToleratedLate && now.Sub(c.lastUsed) >= d.policy.Choice.LastResortPause
		if c.failProb > tolerated && !explore && !trySuspect || slices.Contains(w.ExcludedServers, c.ID) {
			continue
		}
		if cost := d.cost(w, c, explore, crossing); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost ranks servers for a request; the lowest is chosen. crossing is the
// additional cost of a server in another failure domain.
func (d *Dispatcher) cost(w *queuedRequest, c *candidate, explore bool, crossing float64) float64 {
	x := c.failProb
	if w.route.Kind.Repeatable() && !w.IsRetry {
		x *= d.policy.Choice.RepeatableWeight
	}
	x += d.policy.Choice.BusyCost * float64(c.running) / float64(max(c.Slots, 1))
	if c.Domain != w.Domain {
		x += crossing
	}
	if c.lastUsed.IsZero() && w.route.Kind.Repeatable() {
		x -= d.policy.Choice.NewServerBonus
	}
	if explore {
		x -= d.policy.Choice.ExploreBonus
	}
	return x
}

// tolerated returns the probability of failure that a request accepts.
func (d *Dispatcher) tolerated(now time.Time, p *pool, w *queuedRequest) float64 {
	waited := now.Sub(w.ArrivedAt)
	switch {
	case waited < w.route.Objective/4:
		return d.policy.Belief.Trust
	case waited < w.route.Objective/2:
		return d.policy.Choice.ToleratedSoon
	case d.allFailing(now, p):
		return 1
	default:
		return d.policy.Choice.ToleratedLate
	}
}

// mayTrySuspects reports whether the first attempt of a request may go to a server
// that has failed recently.
func (d *Dispatcher) mayTrySuspects(now time.Time, p *pool, w *queuedRequest) bool {
	return w.route.Kind.Repeatable() && !w.IsRetry && w.route.MaxAttempts > 1 &&
		now.Sub(w.ArrivedAt) >= d.policy.Choice.SuspectWait && p.retries.remaining(now, d.bounds, d.connectedShare) > d.policy.Choice.SuspectBudget
}

// allFailing reports whether every server of the service is more likely to fail
// than ToleratedLate, and none had a request within LastResortPause.
func (d *Dispatcher) allFailing(now time.Time, p *pool) bool {
	for _, s := range p.servers {
		if s.Draining {
			continue
		}
		if s.failureProbability(now) <= d.policy.Choice.ToleratedLate || now.Sub(s.lastUsed) < d.policy.Choice.LastResortPause {
			return false
		}
	}
	return true
}
