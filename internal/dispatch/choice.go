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
	// idle is set if the server got no request within exploreAfter. It may get
	// one to meet the floor (Bounds.FloorShare).
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
			out = append(out, candidate{server: s, failProb: s.failureProbability(now), idle: now.Sub(s.lastUsed) >= exploreAfter})
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
	crossing := crossDomainCost + crossByteCost*d.stats(w.Route).bytes
	tolerated := d.tolerated(now, p, w)
	for i := range free {
		c := &free[i]
		explore := d.explores(now, p, w, c)
		trySuspect := allowSuspects && c.failProb > toleratedLate && now.Sub(c.lastUsed) >= lastResortPause
		if c.failProb > tolerated && !explore && !trySuspect || slices.Contains(w.ExcludedServers, c.ID) {
			continue
		}
		if cost := cost(w, c, explore, crossing); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Weights in the cost of a server, relative to its probability of failure.
const (
	// crossDomainCost is the cost of a hop between failure domains, and
	// crossByteCost that of each byte of request and response. The platform
	// prices 250 KB between failure domains like one request that is not served;
	// half of that is used, so that a nearby server that may fail is not preferred
	// to a healthy one in another failure domain.
	crossDomainCost = 0.005
	crossByteCost   = 2e-6
	// repeatableCost is the weight of a failure that can be retried.
	repeatableCost = 0.5
	// busyCost is multiplied by the share of occupied slots, so that servers with
	// more free slots are preferred.
	busyCost = 0.02
	// newServerBonus attracts a first request to servers that never had one.
	newServerBonus = 0.3
	// exploreBonus attracts a request to an idle server to meet the floor.
	exploreBonus = 0.6
)

// cost ranks servers for a request; the lowest is chosen. crossing is the
// additional cost of a server in another failure domain.
func cost(w *queuedRequest, c *candidate, explore bool, crossing float64) float64 {
	x := c.failProb
	if w.route.Kind.Repeatable() && !w.IsRetry {
		x *= repeatableCost
	}
	x += busyCost * float64(c.running) / float64(max(c.Slots, 1))
	if c.Domain != w.Domain {
		x += crossing
	}
	if c.lastUsed.IsZero() && w.route.Kind.Repeatable() {
		x -= newServerBonus
	}
	if explore {
		x -= exploreBonus
	}
	return x
}

// Probabilities of failure that a request accepts, by the share of its latency
// objective that it has waited. A late response is worth less, so a request that
// has waited accepts more risk, but not a server that has just failed: it fails
// quickly, so its slots are free again first and it would attract the whole queue.
const (
	toleratedAtOnce = trustThreshold
	toleratedSoon   = 0.6
	toleratedLate   = 0.75
	// lastResortPause is the time between requests to a server while all servers
	// of its service fail.
	lastResortPause = 300 * time.Millisecond
)

// tolerated returns the probability of failure that a request accepts.
func (d *Dispatcher) tolerated(now time.Time, p *pool, w *queuedRequest) float64 {
	waited := now.Sub(w.ArrivedAt)
	switch {
	case waited < w.route.Objective/4:
		return toleratedAtOnce
	case waited < w.route.Objective/2:
		return toleratedSoon
	case p.allFailing(now):
		return 1
	default:
		return toleratedLate
	}
}

const (
	// suspectWait is how long a repeatable request waits for a trusted server
	// before its first attempt may go to a suspect one. Suspect servers have free
	// slots and fail quickly, so the attempt costs only a part of the retry budget.
	suspectWait = 100 * time.Millisecond
	// suspectBudget is the share of the retry budget that such attempts leave
	// for requests that fail on trusted servers.
	suspectBudget = 0.5
)

// mayTrySuspects reports whether the first attempt of a request may go to a server
// that has failed recently.
func (d *Dispatcher) mayTrySuspects(now time.Time, p *pool, w *queuedRequest) bool {
	return w.route.Kind.Repeatable() && !w.IsRetry && w.route.MaxAttempts > 1 &&
		now.Sub(w.ArrivedAt) >= suspectWait && p.retries.remaining(now, d.bounds, d.connectedShare) > suspectBudget
}

// allFailing reports whether every server of the service is more likely to fail
// than toleratedLate, and none had a request within lastResortPause.
func (p *pool) allFailing(now time.Time) bool {
	for _, s := range p.servers {
		if s.Draining {
			continue
		}
		if s.failureProbability(now) <= toleratedLate || now.Sub(s.lastUsed) < lastResortPause {
			return false
		}
	}
	return true
}
