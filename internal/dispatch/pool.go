package dispatch

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Figures of a service's queue.
const (
	// initialMean is the service time assumed before any was measured.
	initialMean = 200 * time.Millisecond
	// meanWeight is the weight of a new service time in the mean.
	meanWeight = 0.05
	// stallFactor times the mean service time of the route is when a
	// repeatable request counts as stalled; stallMin is the least. One in a
	// hundred requests takes three to five times the mean.
	stallFactor = 4
	stallMin    = 500 * time.Millisecond
	// leastTime times the mean service time of the route has to be left for a
	// request to be sent. With less, it takes a slot and is cut off.
	leastTime = 0.5
	// permitExpiry frees the slot of a request that nobody reported.
	permitExpiry = 20 * time.Second
	// answerMargin is the part of a request's time kept for the way back.
	answerMargin = 20 * time.Millisecond
)

// pool is the state of a service: its queue and its measures.
type pool struct {
	queue []*waiting
	// servers are those of the service in order of their IDs.
	servers []*server
	// free is the space of candidates.
	free []candidate
	// missing is how many more servers have to get work for the floor.
	missing int
	// steadyIdle is how many steady servers are idle.
	steadyIdle int
	floorAt    time.Time
	// order is the space of serveOrder.
	order   []int
	mean    time.Duration
	load    arrivals
	repeats retryBudget
}

// push inserts an ask behind those of the same or a higher rank.
func (p *pool) push(w *waiting) {
	at := sort.Search(len(p.queue), func(i int) bool {
		q := p.queue[i]
		if q.priority != w.priority {
			return q.priority > w.priority
		}
		return q.Since.After(w.Since)
	})
	p.queue = append(p.queue, nil)
	copy(p.queue[at+1:], p.queue[at:])
	p.queue[at] = w
}

// drop removes the asks that match.
func (p *pool) drop(match func(*waiting) bool) {
	kept := p.queue[:0]
	for _, w := range p.queue {
		if !match(w) {
			kept = append(kept, w)
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// serve gives permits to waiting asks in order of rank. Its cost is that of the
// servers of the service, and of the asks that can get one.
func (d *Dispatcher) serve(now time.Time, service string) {
	p := d.pool(service)
	if len(p.queue) == 0 {
		return
	}
	free := d.candidates(now, p)
	if len(free) == 0 {
		return
	}
	granted := 0
	for _, i := range d.serveOrder(now, p) {
		if len(free) == 0 {
			break
		}
		w := p.queue[i]
		at := d.choose(now, p, w, free)
		if at < 0 {
			continue
		}
		if free[at].idle {
			p.missing--
			p.steadyIdle--
		}
		d.grant(now, p, w, free[at].server)
		p.queue[i] = nil
		granted++
		if d.usable(now, free[at].server) {
			free[at].idle = false
		} else {
			free = slices.Delete(free, at, at+1)
		}
	}
	if granted > 0 {
		p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool { return w == nil })
	}
}

// serveOrder returns the places of the queue in the order in which they are served:
// by rank, and within a rank first the asks that can still be answered within
// their latency objective. Those that have missed it are served from what is
// left, so that a queue does not make all answers late.
func (d *Dispatcher) serveOrder(now time.Time, p *pool) []int {
	out := p.order[:0]
	for from := 0; from < len(p.queue); {
		to := from
		for to < len(p.queue) && p.queue[to].priority == p.queue[from].priority {
			to++
		}
		for i := from; i < to; i++ {
			if d.onTime(now, p.queue[i]) {
				out = append(out, i)
			}
		}
		for i := from; i < to; i++ {
			if !d.onTime(now, p.queue[i]) {
				out = append(out, i)
			}
		}
		from = to
	}
	p.order = out
	return out
}

// onTime reports whether an ask can still be answered within its objective.
func (d *Dispatcher) onTime(now time.Time, w *waiting) bool {
	return now.Sub(w.Since)+d.stats(w.Route).mean < w.route.Objective
}

// leastSlotShare is what a slot of a suspect server counts, since it may be
// sound again before the wait is over.
const leastSlotShare = 0.25

// slots returns the number of slots that are expected to serve.
func (d *Dispatcher) slots(now time.Time, service string) float64 {
	n := 0.0
	p := d.pool(service)
	for _, s := range p.servers {
		if !s.Draining && !s.out && !now.Before(s.pausedUntil) {
			n += float64(s.Slots) * max(leastSlotShare, 1-s.badness(now))
		}
	}
	return n
}

// grant permits an ask to run on a server.
func (d *Dispatcher) grant(now time.Time, p *pool, w *waiting, s *server) {
	d.next++
	s.running++
	s.lastUsed, s.untested = now, false
	if now.Before(s.coldUntil) {
		s.coldTokens--
	}
	pm := &permit{
		number: d.next, member: w.Member, server: s.ID, service: w.Service, via: d.via(now, s, w.Member),
		fingerprint: w.Fingerprint, route: w.Route, at: now, repeatable: w.route.Kind.Repeatable(),
	}
	d.permits[pm.number] = pm
	out := &Permit{Number: pm.number, Server: s.Server, Service: w.Service, Via: pm.via}
	if pm.repeatable && !w.Repeat && w.route.MaxAttempts > 1 {
		out.Stall = d.stallTime(w.Route)
	}
	d.out = append(d.out, Decision{Member: w.Member, Ask: w.Number, Permit: out})
}

// stallTime is the time after which a request of a route counts as stalled.
func (d *Dispatcher) stallTime(route string) time.Duration {
	return max(stallMin, stallFactor*d.stats(route).mean)
}

// add puts a server into the pool in place of an earlier one with its ID.
func (p *pool) add(s *server) {
	at, found := p.find(s.ID)
	if found {
		p.servers[at] = s
		return
	}
	p.servers = slices.Insert(p.servers, at, s)
}

// remove takes a server out of the pool.
func (p *pool) remove(id string) {
	if at, found := p.find(id); found {
		p.servers = slices.Delete(p.servers, at, at+1)
	}
}

func (p *pool) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.servers, id, func(s *server, id string) int { return strings.Compare(s.ID, id) })
}
