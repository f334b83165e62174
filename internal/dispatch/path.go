package dispatch

import (
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/rendezvous"
)

// If a server does not respond to the instance that sends to it, either the server
// hangs, or the network path between the two is lost while other instances still
// reach the server. To tell which, the dispatcher requests a path check: a
// connection to the server from that instance and from others. A request that is
// not repeatable would be too expensive a probe.
const (
	// extraCheckInstances is how many more instances connect if neither of the
	// first two did. With a third of the instances cut off, all five instances
	// besides the sender are among them in one check of 240.
	extraCheckInstances = 4
)

// PathCheck requests connections from instances to a server.
type PathCheck struct {
	Server, Address string
	// Via are the connecting instances. In the first round, the first one is the
	// instance whose requests are overdue.
	Via []string
	// SecondRound is set if no instance of the first round reached the server.
	SecondRound bool
}

// PathChecks returns the checks requested since the last call.
func (d *Dispatcher) PathChecks() []PathCheck {
	out := d.checks
	d.checks = nil
	return out
}

// recordUnanswered records that a request got no response in time. If the server
// responded to another request sent meanwhile, the failure is the server's own. If
// not, either the server or the path is faulty; unless another request in flight
// will tell, a path check is requested.
func (d *Dispatcher) recordUnanswered(now time.Time, s *server, pm *permit) {
	if !s.silent {
		s.silent = true
		d.pool(s.Service).promptness.count(false)
	}
	if !s.lastServed.Before(pm.grantedAt) {
		d.recordFailure(now, d.pool(s.Service), s, pm)
		return
	}
	s.failProb, s.failProbAt, s.cachedAt = max(s.failureProbability(now), d.policy.Path.DoubtFailProb), now, time.Time{}
	if d.policy.Path.Disabled || s.running > s.overdue || now.Sub(s.pathCheckedAt) < d.policy.Path.CheckInterval {
		return
	}
	s.pathCheckedAt = now
	check := PathCheck{Server: s.ID, Address: s.Address, Via: []string{pm.via}}
	other := d.bestInstance(now, s, func(name string, m member) bool { return name != pm.via && s.outsideDomainOf(m) })
	if other != "" {
		check.Via = append(check.Via, other)
	}
	d.checks = append(d.checks, check)
}

// checkMoreInstances requests the second round of a path check, with instances of
// any failure domain.
func (d *Dispatcher) checkMoreInstances(now time.Time, s *server) {
	check := PathCheck{Server: s.ID, Address: s.Address, SecondRound: true}
	for len(check.Via) < extraCheckInstances {
		next := d.bestInstance(now, s, func(name string, _ member) bool { return !slices.Contains(check.Via, name) })
		if next == "" {
			break
		}
		check.Via = append(check.Via, next)
	}
	if len(check.Via) == 0 {
		d.markDown(now, s)
		return
	}
	d.checks = append(d.checks, check)
}

// PathsChecked handles the result of a check: the instances that connected and
// those that did not. Instances that could not be queried are in neither list.
func (d *Dispatcher) PathsChecked(now time.Time, c PathCheck, reached, lost []string) []Decision {
	s := d.servers[c.Server]
	if s == nil || s.Address != c.Address || len(c.Via) == 0 {
		return nil
	}
	for _, via := range lost {
		s.unreachableFrom[via] = now.Add(d.policy.Path.CheckResultTTL)
	}
	senderReached := false
	for _, via := range reached {
		delete(s.unreachableFrom, via)
		senderReached = senderReached || !c.SecondRound && via == c.Via[0]
	}
	switch {
	case senderReached:
		// The path works, so it is the server that does not respond.
		s.observe(now, true)
	case len(reached) > 0:
		s.checkedVia, s.checkedUntil, s.untested = reached[0], now.Add(d.policy.Path.CheckResultTTL), true
		d.serveQueue(now, s.Service)
	case len(lost) > 0 && !c.SecondRound:
		d.checkMoreInstances(now, s)
	case len(lost) > 1:
		d.markDown(now, s)
	}
	return d.flush()
}

func (s *server) inDomainOf(m member) bool { return m.domain == s.Domain }

func (s *server) outsideDomainOf(m member) bool { return m.domain != s.Domain }

// sendingInstance returns the instance that sends to a server: one whose path was
// checked, else the best-ranked instance in the server's failure domain that has a
// path to it, else the requesting member itself, else any other instance that has
// a path.
func (d *Dispatcher) sendingInstance(now time.Time, s *server, requester string) string {
	if m, ok := d.members[s.checkedVia]; ok && !m.leaving && now.Before(s.checkedUntil) && s.reachableFrom(now, s.checkedVia) {
		return s.checkedVia
	}
	if best := d.bestInstance(now, s, func(_ string, m member) bool { return s.inDomainOf(m) }); best != "" {
		return best
	}
	if s.reachableFrom(now, requester) {
		return requester
	}
	if best := d.bestInstance(now, s, func(string, member) bool { return true }); best != "" {
		return best
	}
	return requester
}

// reachableFrom reports whether an instance is not known to have lost the path to
// the server.
func (s *server) reachableFrom(now time.Time, instance string) bool {
	return !now.Before(s.unreachableFrom[instance])
}

// bestInstance returns the matching instance that ranks highest for a server by
// weighted rendezvous hashing, or "".
func (d *Dispatcher) bestInstance(now time.Time, s *server, match func(string, member) bool) string {
	best, bestScore := "", 0.0
	for name, m := range d.members {
		if m.leaving || !match(name, m) || !s.reachableFrom(now, name) {
			continue
		}
		if score := rendezvous.WeightedScore(name, s.ID, max(m.capacity, minCapacity)); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// minCapacity is the assumed capacity, in cores, of an instance that reports
// none.
const minCapacity = 0.01

// recordUnreachable records that an instance could not connect. If a second
// instance could not reach the server either, the server counts as down.
func (d *Dispatcher) recordUnreachable(now time.Time, s *server, via string) {
	others := 0
	for name, until := range s.unreachableFrom {
		if name != via && now.Before(until) {
			others++
		}
	}
	s.unreachableFrom[via] = now.Add(d.policy.Path.UnreachableTTL)
	if others > 0 {
		d.markDown(now, s)
	}
}

// markDown stops requests to a server that instances cannot reach, for a growing
// pause, and treats the server as cold when it comes back.
func (d *Dispatcher) markDown(now time.Time, s *server) {
	s.downPause = min(max(2*s.downPause, downPause), downPauseMax)
	s.pausedUntil = later(s.pausedUntil, now.Add(s.downPause))
	s.coldUntil = later(s.coldUntil, now.Add(s.downPause+d.index.Config.Services[s.Service].ColdStart))
	clear(s.unreachableFrom)
}
