package dispatch

import (
	"slices"
	"time"
)

// candidate is a server with a free slot.
type candidate struct {
	*server
	// bad is the probability that it fails a request now.
	bad float64
	// idle servers may get a request for the sake of the floor.
	idle bool
}

// candidates returns the servers of a service that can get a request now.
func (d *Dispatcher) candidates(now time.Time, p *pool) []candidate {
	out := p.free[:0]
	if now.Sub(p.floorAt) >= floorInterval {
		p.missing, p.steadyIdle = d.belowFloor(now, p)
		p.floorAt = now
	}
	for _, s := range p.servers {
		if d.usable(now, s) {
			out = append(out, candidate{server: s, bad: s.badness(now), idle: now.Sub(s.lastUsed) >= exploreAfter})
		}
	}
	p.free = out
	return out
}

// choose returns the index of the server for an ask, or -1 if it has to wait.
func (d *Dispatcher) choose(now time.Time, p *pool, w *waiting, free []candidate) int {
	best, bestCost := -1, 0.0
	tries := d.triesSuspects(now, p, w)
	crossing := crossDomainCost + crossByteCost*d.stats(w.Route).bytes
	tolerated := d.tolerated(now, p, w)
	for i := range free {
		c := &free[i]
		explore := d.explores(now, p, w, c)
		risk := tries && c.bad > toleratedLate && now.Sub(c.lastUsed) >= lastResortPause
		if c.bad > tolerated && !explore && !risk || slices.Contains(w.Avoid, c.ID) {
			continue
		}
		if cost := cost(w, c, explore, crossing); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Weights of the cost of a server beside the probability that it fails.
const (
	// crossDomainCost stands for a hop between failure domains, and
	// crossByteCost for each byte of request and answer. The platform prices
	// 250 KB between failure domains like a request that is not served; half
	// of that is used, so that a server that may fail is not preferred.
	crossDomainCost = 0.005
	crossByteCost   = 2e-6
	// repeatableCost is the weight of a failure that another try may mend.
	repeatableCost = 0.5
	// busyCost prefers servers with free slots.
	busyCost = 0.02
	// newServerBonus sends a first request to servers that never had one.
	newServerBonus = 0.3
	// exploreBonus sends a request to an idle server for the sake of the floor.
	exploreBonus = 0.6
)

// cost ranks servers for an ask; the lowest is chosen. Crossing is the cost of
// a server in another failure domain.
func cost(w *waiting, c *candidate, explore bool, crossing float64) float64 {
	x := c.bad
	if w.route.Kind.Repeatable() && !w.Repeat {
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

// Probabilities of failure that an ask accepts, by the share of its latency
// objective that it has waited. A late answer is worth less, but a server that
// has just failed is worth least: its slots are free again first, and it would
// draw the whole queue.
const (
	toleratedAtOnce = trusted
	toleratedSoon   = 0.6
	toleratedLate   = 0.75
	// lastResortPause is the time between requests to a server when all
	// servers of its service fail.
	lastResortPause = 300 * time.Millisecond
)

// tolerated returns the probability of failure that an ask accepts.
func (d *Dispatcher) tolerated(now time.Time, p *pool, w *waiting) float64 {
	waited := now.Sub(w.Since)
	switch {
	case waited < w.route.Objective/4:
		return toleratedAtOnce
	case waited < w.route.Objective/2:
		return toleratedSoon
	case p.allBad(now):
		return 1
	default:
		return toleratedLate
	}
}

const (
	// suspectWait is how long a repeatable request waits for a trusted server
	// before its first try may go to a suspect one. Suspect servers have free
	// slots and fail quickly, so the try costs a part of the retry budget only.
	suspectWait = 100 * time.Millisecond
	// suspectBudget is the share of the retry budget that such tries leave
	// for requests that fail on trusted servers.
	suspectBudget = 0.5
)

// triesSuspects reports whether the first try of an ask may go to a server that
// has failed lately.
func (d *Dispatcher) triesSuspects(now time.Time, p *pool, w *waiting) bool {
	return w.route.Kind.Repeatable() && !w.Repeat && w.route.MaxAttempts > 1 &&
		now.Sub(w.Since) >= suspectWait && p.repeats.left(now, d.bounds, d.share) > suspectBudget
}

// allBad reports whether every server of the service is past what late asks
// accept, and the last request to a server is a while ago.
func (p *pool) allBad(now time.Time) bool {
	for _, s := range p.servers {
		if s.Draining {
			continue
		}
		if s.badness(now) <= toleratedLate || now.Sub(s.lastUsed) < lastResortPause {
			return false
		}
	}
	return true
}
