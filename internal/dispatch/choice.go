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
	d.recordOutlasting(now, p)
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

// Reason says why a server was acceptable for a request.
type Reason string

// The reasons of a choice.
const (
	// Trusted servers are below the trust threshold.
	Trusted Reason = "trusted"
	// Explored servers may be healthy and were idle; the floor requires the test.
	Explored Reason = "explored"
	// PathChecked servers were just reached by another instance.
	PathChecked Reason = "path_checked"
	// LateRequest means that the request had waited too long for a trusted server.
	LateRequest Reason = "late"
	// SuspectTried means that a request that may be repeated tries a suspect server.
	SuspectTried Reason = "suspect_tried"
)

// Basis is what was believed of a server when a request was sent to it.
type Basis struct {
	Reason Reason
	// FailureProbability is the probability that the server fails the request.
	FailureProbability float64
	// OutcomeAge is the time since the last outcome of the server; negative without one.
	OutcomeAge time.Duration
}

// offer is what the free servers offer to any request, until one of them gets a permit.
// It spares most of a long queue a look at each server.
type offer struct {
	// minFailProb is the least probability of failure.
	minFailProb float64
	// exploredByFirst is set if a server is to be tested by the first attempt of a request
	// that may be repeated, explored if it is by another one.
	explored, exploredByFirst bool
	// suspects is set if a suspect server may be tried.
	suspects bool
	// allFailing is as the method of that name, once a request has asked for it.
	allFailing, allFailingKnown bool
	// retryRoom is the unused share of the retry budget.
	retryRoom float64
}

func (d *Dispatcher) offerOf(now time.Time, p *pool, free []candidate) offer {
	o := offer{minFailProb: 1, retryRoom: p.retries.remaining(now, d.bounds, d.retryShare(now))}
	for i := range free {
		c := &free[i]
		o.minFailProb = min(o.minFailProb, c.failProb)
		o.explored = o.explored || d.explores(now, p, false, c)
		o.exploredByFirst = o.exploredByFirst || d.explores(now, p, true, c)
		o.suspects = o.suspects || d.suspectReady(now, c)
	}
	return o
}

// suspectReady reports whether a suspect server may get a request that can be retried.
func (d *Dispatcher) suspectReady(now time.Time, c *candidate) bool {
	return c.failProb > d.policy.Choice.ToleratedLate && now.Sub(c.lastUsed) >= d.policy.Choice.LastResortPause
}

// choose returns the index of the server for a request and the reason, or -1 if the
// request has to wait.
func (d *Dispatcher) choose(now time.Time, p *pool, w *queuedRequest, free []candidate, o *offer) (int, Reason) {
	best, bestCost, bestReason := -1, 0.0, Trusted
	allowSuspects := o.suspects && d.mayTrySuspects(now, w, o)
	tolerated := d.tolerated(now, p, w, o)
	explored := o.explored
	if w.firstAttempt() {
		explored = o.exploredByFirst
	}
	if o.minFailProb > tolerated && !explored && !allowSuspects {
		return -1, Trusted
	}
	weight := d.failureWeight(p, w, o)
	crossing := d.policy.Choice.CrossDomainCost + d.policy.Choice.CrossByteCost*w.stats.bytes
	for i := range free {
		c := &free[i]
		if slices.Contains(w.ExcludedServers, c.ID) {
			continue
		}
		explore := d.explores(now, p, w.firstAttempt(), c)
		reason := Trusted
		switch {
		case explore && c.untested:
			reason = PathChecked
		case explore:
			reason = Explored
		case c.failProb <= d.policy.Belief.Trust:
		case c.failProb <= tolerated:
			reason = LateRequest
		case allowSuspects && d.suspectReady(now, c):
			reason = SuspectTried
		default:
			continue
		}
		if cost := d.cost(now, w, c, explore, weight, crossing); best < 0 || cost < bestCost {
			best, bestCost, bestReason = i, cost, reason
		}
	}
	return best, bestReason
}

// cost ranks servers for a request; the lowest is chosen. crossing is the
// additional cost of a server in another failure domain, weight that of its probability
// of failure.
func (d *Dispatcher) cost(now time.Time, w *queuedRequest, c *candidate, explore bool, weight, crossing float64) float64 {
	x := weight * c.failProb
	x += d.policy.Choice.BusyCost * float64(c.running) / float64(max(c.Slots, 1))
	if c.Domain != w.Domain {
		x += crossing
	}
	if c.lastUsed.IsZero() && w.route.Kind.Repeatable() {
		x -= d.policy.Choice.NewServerBonus
	}
	if explore {
		x -= d.policy.Choice.ExploreBonus + d.policy.Choice.IdleBonus*min(now.Sub(c.lastUsed), maxIdleBonus).Seconds()
	}
	return x
}

// failureWeight returns the weight of the probability of failure for a request.
func (d *Dispatcher) failureWeight(p *pool, w *queuedRequest, o *offer) float64 {
	c := &d.policy.Choice
	switch {
	case !w.firstAttempt():
		return 1
	case w.route.MaxAttempts <= 1 || o.retryRoom <= c.CanaryBudget:
		return c.RepeatableWeight
	default:
		prompt := p.promptness.share()
		return prompt*c.CanaryWeight + (1-prompt)*c.RepeatableWeight
	}
}

// maxIdleBonus is the idle time up to which ChoicePolicy.IdleBonus grows: the floor
// asks for work in any two seconds.
const maxIdleBonus = 2 * time.Second

// tolerated returns the probability of failure that a request accepts.
func (d *Dispatcher) tolerated(now time.Time, p *pool, w *queuedRequest, o *offer) float64 {
	waited := now.Sub(w.ArrivedAt)
	switch {
	case waited < w.route.Objective/4:
		return d.policy.Belief.Trust
	case waited < w.route.Objective/2:
		return d.policy.Choice.ToleratedSoon
	}
	if !o.allFailingKnown {
		o.allFailing, o.allFailingKnown = d.allFailing(now, p), true
	}
	if o.allFailing {
		return 1
	}
	return d.policy.Choice.ToleratedLate
}

// firstAttempt reports whether this is the first attempt of a request that may be
// repeated.
func (w *queuedRequest) firstAttempt() bool { return w.route.Kind.Repeatable() && !w.IsRetry }

// mayTrySuspects reports whether the first attempt of a request may go to a server
// that has failed recently.
func (d *Dispatcher) mayTrySuspects(now time.Time, w *queuedRequest, o *offer) bool {
	return w.firstAttempt() && w.route.MaxAttempts > 1 &&
		now.Sub(w.ArrivedAt) >= d.policy.Choice.SuspectWait && o.retryRoom > d.policy.Choice.SuspectBudget
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
