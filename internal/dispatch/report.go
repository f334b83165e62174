package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Report describes how a permitted request ended.
type Report struct {
	Permit uint64
	// Member and Server identify the request if an earlier coordinator granted
	// the permit.
	Member, Server string
	Fingerprint    uint64
	Outcome        Outcome
	// Took is the time from sending the request to the end of the response.
	Took time.Duration
	// Bytes is the size of request and response.
	Bytes int64
}

// Done handles the report on a permitted request.
func (d *Dispatcher) Done(now time.Time, r Report) []Decision {
	number := r.Permit
	if d.permits[number] == nil {
		number = d.adoptedPermit(r)
	}
	if pm := d.permits[number]; pm != nil {
		pm.fingerprint, pm.bytes = r.Fingerprint, r.Bytes
	}
	if pm := d.finish(now, number, r.Outcome, r.Took); pm != nil {
		d.serveQueue(now, pm.service)
	}
	return d.flush()
}

// adoptedPermit returns the number of a permit that stands for a request that was
// in flight when this coordinator took over, or 0.
func (d *Dispatcher) adoptedPermit(r Report) uint64 {
	for n, pm := range d.permits {
		if pm.adopted && pm.member == r.Member && pm.server == r.Server {
			return n
		}
	}
	return 0
}

func (d *Dispatcher) finish(now time.Time, number uint64, o Outcome, took time.Duration) *permit {
	pm := d.permits[number]
	if pm == nil {
		return nil
	}
	delete(d.permits, number)
	s := d.servers[pm.server]
	if s == nil {
		return pm
	}
	s.running = max(0, s.running-1)
	if pm.overdue {
		s.overdue = max(0, s.overdue-1)
	}
	d.recordOutcome(now, s, pm, o, took)
	return pm
}

// recordOutcome updates the state of a server with the outcome of a request.
func (d *Dispatcher) recordOutcome(now time.Time, s *server, pm *permit, o Outcome, took time.Duration) {
	p := d.pool(s.Service)
	if o == Served || o == Failed || o == Shed {
		s.endUnnamedLimit(pm)
	}
	switch o {
	case Served:
		d.recordSuccess(now, p, s, pm)
		s.downPause, s.lastServed = 0, now
		delete(s.unreachableFrom, pm.via)
		d.crashes.forget(pm.fingerprint)
		p.meanServiceTime += time.Duration(serviceTimeWeight * float64(took-p.meanServiceTime))
		d.stats(pm.route).recordServed(took, pm.bytes)
	case Failed:
		d.recordFailure(now, p, s, pm)
		d.crashes.forget(pm.fingerprint)
	case Dropped:
		d.crashes.recordDrop(now, pm.fingerprint)
		if !pm.overdue {
			d.recordFailure(now, p, s, pm)
		}
	case Stalled:
		if !pm.overdue {
			d.recordUnanswered(now, s, pm)
		}
	case Unreachable:
		d.recordUnreachable(now, s, pm.via)
	case Shed:
		s.pausedUntil = later(s.pausedUntil, now.Add(d.policy.Admission.ShedPause))
	case Misdirected:
		// The directory is out of date; the record that replaces this one has a new
		// Incarnation.
		s.Draining = true
	case Leaving:
		d.SetServerLeaving(LeavingServer{s.ID, pm.incarnation})
	case Unsent:
		s.unreachableFrom[pm.via] = now.Add(d.policy.Path.UnreachableTTL)
	case Cancelled:
	}
	d.noteTransition(s, o)
}

// permitCheckInterval is how often the requests in flight are checked.
const permitCheckInterval = 50 * time.Millisecond

// checkPermits records overdue requests as unanswered and drops those that were
// never reported. A request that is not repeatable is reported only at its
// deadline, which is too late to detect a failing server.
func (d *Dispatcher) checkPermits(now time.Time) {
	if now.Sub(d.permitsCheckedAt) < permitCheckInterval {
		return
	}
	d.permitsCheckedAt = now
	var due []*permit
	for _, pm := range d.permits {
		age := now.Sub(pm.grantedAt)
		if age > permitExpiry || !pm.overdue && !pm.adopted && age > d.stallTimeout(pm.route) {
			due = append(due, pm)
		}
	}
	slices.SortFunc(due, func(a, b *permit) int { return cmp.Compare(a.number, b.number) })
	for _, pm := range due {
		s := d.servers[pm.server]
		switch {
		case now.Sub(pm.grantedAt) > permitExpiry:
			d.finish(now, pm.number, Cancelled, 0)
			continue
		case s == nil:
			continue
		}
		pm.overdue = true
		s.overdue++
		d.recordUnanswered(now, s, pm)
		d.noteTransition(s, Stalled)
	}
}
