package dispatch

import (
	"time"
)

// Report tells how a permitted request ended.
type Report struct {
	Permit uint64
	// Member and Server find the request if the permit was given by an
	// earlier coordinator.
	Member, Server string
	Fingerprint    uint64
	Outcome        Outcome
	// Took is the time from the send to the end of the answer.
	Took time.Duration
	// Bytes is the size of request and answer.
	Bytes int64
}

// Done takes the report on a permitted request.
func (d *Dispatcher) Done(now time.Time, r Report) []Decision {
	number := r.Permit
	if d.permits[number] == nil {
		number = d.adopted(r)
	}
	if pm := d.permits[number]; pm != nil {
		pm.fingerprint, pm.bytes = r.Fingerprint, r.Bytes
	}
	if pm := d.finish(now, number, r.Outcome, r.Took); pm != nil {
		d.serve(now, pm.service)
	}
	return d.flush()
}

// adopted returns the permit that stands for a request from before this
// coordinator began, or 0.
func (d *Dispatcher) adopted(r Report) uint64 {
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
	d.learn(now, s, pm, o, took)
	return pm
}

// learn updates what is known of a server with the outcome of a request.
func (d *Dispatcher) learn(now time.Time, s *server, pm *permit, o Outcome, took time.Duration) {
	p := d.pool(s.Service)
	switch o {
	case Served:
		s.observe(now, false)
		s.downPause, s.lastServed = 0, now
		delete(s.lostPath, pm.via)
		d.suspects.answered(pm.fingerprint)
		p.mean += time.Duration(meanWeight * float64(took-p.mean))
		d.stats(pm.route).served(took, pm.bytes)
	case Failed:
		s.observe(now, true)
		d.suspects.answered(pm.fingerprint)
	case Dropped:
		d.suspects.dropped(now, pm.fingerprint)
		if !pm.overdue {
			s.observe(now, true)
		}
	case Stalled:
		if !pm.overdue {
			d.unanswered(now, s, pm)
		}
	case Unreachable:
		d.unreachable(now, s, pm.via)
	case Shed:
		s.pausedUntil = later(s.pausedUntil, now.Add(shedPause))
	case Misdirected:
		// The directory is behind; the entry that replaces it has a new Born.
		s.Draining = true
	case Unsent:
		s.lostPath[pm.via] = now.Add(pathMemory)
	case Cancelled:
	}
	d.noteTransition(s, o)
}

// permitInterval is how often the running requests are looked at.
const permitInterval = 50 * time.Millisecond

// checkPermits learns from requests that should have been answered by now, and
// forgets those that nobody reports. A request that cannot be tried again keeps
// its caller waiting until its deadline, which is too late to learn from.
func (d *Dispatcher) checkPermits(now time.Time) {
	if now.Sub(d.permitsCheckedAt) < permitInterval {
		return
	}
	d.permitsCheckedAt = now
	for n, pm := range d.permits {
		age := now.Sub(pm.at)
		if age > permitExpiry {
			d.finish(now, n, Cancelled, 0)
			continue
		}
		s := d.servers[pm.server]
		if s == nil || pm.overdue || pm.adopted || age <= d.stallTime(pm.route) {
			continue
		}
		pm.overdue = true
		s.overdue++
		d.unanswered(now, s, pm)
		d.noteTransition(s, Stalled)
	}
}
