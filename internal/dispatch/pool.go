package dispatch

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Parameters of a service's queue.
const (
	// initialServiceTime is the service time assumed before the first sample.
	initialServiceTime = 200 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the moving average.
	serviceTimeWeight = 0.05
	// permitExpiry frees the slot of a request whose end was never reported.
	permitExpiry = 20 * time.Second
	// responseMargin is the part of a request's time reserved for returning the
	// response.
	responseMargin = 20 * time.Millisecond
)

// pool is the queue, the servers and the statistics of a service.
type pool struct {
	queue []*queuedRequest
	// servers are sorted by ID.
	servers []*server
	// candidateBuf is the reused buffer of candidates.
	candidateBuf []candidate
	// floorDeficit is how many more servers must get work to meet the floor.
	floorDeficit int
	// steadyIdle is how many steady servers are idle.
	steadyIdle     int
	floorCheckedAt time.Time
	// shortfallCheckedAt is when the servers without work were last counted.
	shortfallCheckedAt time.Time
	// orderBuf is the reused buffer of serveOrder.
	orderBuf        []int
	meanServiceTime time.Duration
	arrivals        rateEstimator
	retries         retryBudget
	promptness      promptness
}

// enqueue inserts a request behind those of a higher priority and those of the same
// priority that arrived no later.
func (p *pool) enqueue(w *queuedRequest) {
	at := sort.Search(len(p.queue), func(i int) bool {
		q := p.queue[i]
		if q.priority != w.priority {
			return q.priority > w.priority
		}
		return q.ArrivedAt.After(w.ArrivedAt)
	})
	p.queue = append(p.queue, nil)
	copy(p.queue[at+1:], p.queue[at:])
	p.queue[at] = w
}

// removeIf removes the requests that match. They will not be sent.
func (p *pool) removeIf(match func(*queuedRequest) bool) {
	kept := p.queue[:0]
	for _, w := range p.queue {
		switch {
		case !match(w):
			kept = append(kept, w)
		case w.IsRetry:
			p.retries.drop()
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// serveQueue grants permits to queued requests by priority. While no server is
// free it does not go through the queue, so its cost then grows only with the
// number of servers.
func (d *Dispatcher) serveQueue(now time.Time, service string) {
	p := d.pool(service)
	if len(p.queue) == 0 {
		return
	}
	free := d.candidates(now, p)
	if len(free) == 0 {
		return
	}
	granted := 0
	o := d.offerOf(now, p, free)
	for _, i := range d.serveOrder(now, p) {
		if len(free) == 0 {
			break
		}
		w := p.queue[i]
		at, reason := d.choose(now, p, w, free, &o)
		if at < 0 {
			continue
		}
		if free[at].idle {
			p.floorDeficit--
			p.steadyIdle--
		}
		d.grant(now, p, w, &free[at], reason)
		p.queue[i] = nil
		granted++
		if d.usable(now, free[at].server) {
			free[at].idle = false
		} else {
			free = slices.Delete(free, at, at+1)
		}
		o = d.offerOf(now, p, free)
	}
	if granted > 0 {
		p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool { return w == nil })
	}
}

// serveOrder returns the indexes of the queue in the order in which requests are
// served: by priority, and within a priority first those that can still meet
// their latency objective. The others get the capacity that remains; otherwise a
// queue would make every response late.
func (d *Dispatcher) serveOrder(now time.Time, p *pool) []int {
	out := p.orderBuf[:0]
	for from := 0; from < len(p.queue); {
		to := from
		for to < len(p.queue) && p.queue[to].priority == p.queue[from].priority {
			to++
		}
		for i := from; i < to; i++ {
			if d.servedFirst(now, p.queue[i]) {
				out = append(out, i)
			}
		}
		for i := from; i < to; i++ {
			if !d.servedFirst(now, p.queue[i]) {
				out = append(out, i)
			}
		}
		from = to
	}
	p.orderBuf = out
	return out
}

// servedFirst reports whether a request is served before the late ones.
func (d *Dispatcher) servedFirst(now time.Time, w *queuedRequest) bool {
	return d.policy.Admission.IgnoreObjective || d.onTime(now, w)
}

// onTime reports whether a request can still meet its latency objective.
func (d *Dispatcher) onTime(now time.Time, w *queuedRequest) bool {
	return now.Sub(w.ArrivedAt)+w.stats.meanServiceTime < w.route.Objective
}

// minSlotWeight is the least weight of a slot of a suspect server, since the
// server may be healthy again before the wait is over.
const minSlotWeight = 0.25

// expectedSlots returns the number of slots that are expected to serve, each
// weighted by the probability that its server works.
func (d *Dispatcher) expectedSlots(now time.Time, service string) float64 {
	n := 0.0
	p := d.pool(service)
	for _, s := range p.servers {
		if !s.Draining && !s.domainOut && !now.Before(s.pausedUntil) {
			n += s.usableSlots(p.meanServiceTime) * max(minSlotWeight, 1-s.failureProbability(now))
		}
	}
	return n
}

// grant gives a request a permit to run on a server.
func (d *Dispatcher) grant(now time.Time, p *pool, w *queuedRequest, c *candidate, reason Reason) {
	s := c.server
	basis := Basis{Reason: reason, FailureProbability: c.failProb, OutcomeAge: -1}
	if !s.lastOutcome.IsZero() {
		basis.OutcomeAge = now.Sub(s.lastOutcome)
	}
	d.permitSeq++
	s.running++
	s.lastUsed, s.untested = now, false
	s.recordPaced(now)
	if w.IsRetry {
		p.retries.send(now, d.bounds)
	}
	pm := &permit{
		number: d.permitSeq, member: w.Member, server: s.ID, service: w.Service, incarnation: s.Incarnation, via: d.sendingInstance(now, s, w.Member),
		fingerprint: w.Fingerprint, route: w.Route, grantedAt: now, repeatable: w.route.Kind.Repeatable(),
	}
	d.permits[pm.number] = pm
	p.promptness.unproven = append(p.promptness.unproven, pm)
	out := &Permit{Number: pm.number, Server: s.Server, Service: w.Service, Via: pm.via, Basis: basis}
	if pm.repeatable && !w.IsRetry && w.route.MaxAttempts > 1 {
		out.StallTimeout = d.stallTimeout(w.Route)
	}
	d.pendingDecisions = append(d.pendingDecisions, Decision{Member: w.Member, RequestNumber: w.Number, Permit: out})
}

// stallTimeout returns the time after which a request of a route counts as
// stalled.
func (d *Dispatcher) stallTimeout(route string) time.Duration {
	return max(d.policy.Admission.StallMin, time.Duration(d.policy.Admission.StallFactor*float64(d.stats(route).meanServiceTime)))
}

// add adds a server to the pool, replacing an earlier one with the same ID.
func (p *pool) add(s *server) {
	at, found := p.find(s.ID)
	if found {
		p.servers[at] = s
		return
	}
	p.servers = slices.Insert(p.servers, at, s)
}

// remove removes a server from the pool.
func (p *pool) remove(id string) {
	if at, found := p.find(id); found {
		p.servers = slices.Delete(p.servers, at, at+1)
	}
}

func (p *pool) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.servers, id, func(s *server, id string) int { return strings.Compare(s.ID, id) })
}
