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
		s.observe(now, p.prior, false)
		s.downPause, s.lastServed = 0, now
		delete(s.lostPath, pm.via)
		delete(s.mutePath, pm.via)
		d.suspects.answered(pm.fingerprint)
		p.mean += time.Duration(meanWeight * float64(took-p.mean))
		d.stats(pm.route).served(took, pm.bytes)
	case Failed:
		s.lastFailed = now
		s.observe(now, p.prior, true)
		d.suspects.answered(pm.fingerprint)
	case Dropped:
		d.suspects.dropped(now, pm.fingerprint)
		if !pm.overdue {
			s.lastFailed = now
			s.observe(now, p.prior, true)
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

// unreachable notes that an instance could not connect. A server that a second
// instance does not reach either is taken for down, and for cold when it
// comes back.
func (d *Dispatcher) unreachable(now time.Time, s *server, via string) {
	others := 0
	for name, until := range s.lostPath {
		if name != via && now.Before(until) {
			others++
		}
	}
	s.lostPath[via] = now.Add(pathMemory)
	if others == 0 {
		return
	}
	s.downPause = min(max(2*s.downPause, downPause), downPauseMax)
	s.pausedUntil = later(s.pausedUntil, now.Add(s.downPause))
	s.coldUntil = later(s.coldUntil, now.Add(s.downPause+d.index.Config.Services[s.Service].ColdStart))
	clear(s.lostPath)
	clear(s.mutePath)
}

const (
	// permitInterval is how often the running requests are looked at.
	permitInterval = 100 * time.Millisecond
	// mutePathMemory is how long an instance to which a server did not answer
	// is not asked to send to it. Each return to a path that is still lost
	// costs a request.
	mutePathMemory = 10 * time.Second
	// muteRequests is how many overdue requests in a row make a path lost. One
	// in a hundred requests is overdue since it takes long.
	muteRequests = 2
	// pathDoubt is the probability of failure that is left to a server that
	// did not answer on one path: the path is as likely the cause.
	pathDoubt = 0.5
)

// checkPermits learns from requests that should have been answered by now, and
// forgets those that nobody reports. A request that cannot be tried again keeps
// its caller waiting until its deadline, which is too late to learn from.
func (d *Dispatcher) checkPermits(now time.Time) {
	if now.Sub(d.checkedAt) < permitInterval {
		return
	}
	d.checkedAt = now
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

// unanswered notes that a request got no answer in time. If the server answered
// nothing since it was sent, the request may be a long one, or the path from the
// sending instance may be lost while others reach the server: it becomes suspect.
// With a second such request the path is taken for lost, and the next request
// tests another. Requests that were sent on that path before tell nothing more.
func (d *Dispatcher) unanswered(now time.Time, s *server, pm *permit) {
	p := d.pool(s.Service)
	if !s.lastServed.Before(pm.at) || s.hasMutePath(now, pm.via) {
		s.lastFailed = now
		s.observe(now, p.prior, true)
		return
	}
	s.bad, s.at, s.cachedAt = max(s.badness(now, p.prior), pathDoubt), now, time.Time{}
	if s.overdue >= min(muteRequests, s.Slots) && !now.Before(s.mutePath[pm.via]) {
		s.mutePath[pm.via] = now.Add(mutePathMemory)
		s.untested = true
	}
}

// hasMutePath reports whether the server did not answer to another instance.
func (s *server) hasMutePath(now time.Time, than string) bool {
	for name, until := range s.mutePath {
		if name != than && now.Before(until) {
			return true
		}
	}
	return false
}
