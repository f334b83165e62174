package dispatch

import (
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/rendezvous"
)

// A server that does not answer to the instance that sends to it may hang, or the
// path between the two may be lost while other instances reach the server. The
// dispatcher has the path checked by a connection from that instance and from
// others, since a request that cannot be tried again is too dear a test.
const (
	// pathMemory is how long an instance that could not connect to a server is
	// not asked to send to it.
	pathMemory = 5 * time.Second
	// checkedMemory is how long the result of a path check holds. Each return
	// to a path that is still lost costs a request.
	checkedMemory = 10 * time.Second
	// checkInterval is the least time between checks of one server's paths.
	checkInterval = 2 * time.Second
	// furtherPaths is how many more instances connect when neither of the first
	// two did. With a third of the instances cut off, one check in 240 finds
	// none besides the sender.
	furtherPaths = 4
	// pathDoubt is the probability of failure that is left to a server while
	// its path is in doubt: the path is as likely the cause.
	pathDoubt = 0.5
)

// PathCheck asks for connections from instances to a server.
type PathCheck struct {
	Server, Address string
	// Via are the instances. The first check of a server begins with the one
	// whose requests are overdue.
	Via []string
	// Further says that no instance of the first check reached the server.
	Further bool
}

// PathChecks returns the checks that are due since the last call.
func (d *Dispatcher) PathChecks() []PathCheck {
	out := d.checks
	d.checks = nil
	return out
}

// unanswered notes that a request got no answer in time. If others were answered
// since it was sent, the server failed it. If none was, the server or the path is
// in doubt; when nothing else runs that could tell, the path is checked.
func (d *Dispatcher) unanswered(now time.Time, s *server, pm *permit) {
	if !s.lastServed.Before(pm.at) {
		s.observe(now, true)
		return
	}
	s.bad, s.at, s.cachedAt = max(s.badness(now), pathDoubt), now, time.Time{}
	if s.running > s.overdue || now.Sub(s.pathCheckedAt) < checkInterval {
		return
	}
	s.pathCheckedAt = now
	check := PathCheck{Server: s.ID, Address: s.Address, Via: []string{pm.via}}
	other := d.ranked(now, s, func(name string, m member) bool { return name != pm.via && s.away(m) })
	if other != "" {
		check.Via = append(check.Via, other)
	}
	d.checks = append(d.checks, check)
}

// checkFurther asks for connections from more instances, of all failure domains.
func (d *Dispatcher) checkFurther(now time.Time, s *server) {
	check := PathCheck{Server: s.ID, Address: s.Address, Further: true}
	for len(check.Via) < furtherPaths {
		next := d.ranked(now, s, func(name string, _ member) bool { return !slices.Contains(check.Via, name) })
		if next == "" {
			break
		}
		check.Via = append(check.Via, next)
	}
	if len(check.Via) == 0 {
		d.down(now, s)
		return
	}
	d.checks = append(d.checks, check)
}

// PathsChecked takes the result of a check: the instances that connected and
// those that did not. The instances that were not reached themselves are in
// neither list.
func (d *Dispatcher) PathsChecked(now time.Time, c PathCheck, reached, lost []string) []Decision {
	s := d.servers[c.Server]
	if s == nil || s.Address != c.Address || len(c.Via) == 0 {
		return nil
	}
	for _, via := range lost {
		s.lostPath[via] = now.Add(checkedMemory)
	}
	suspect := false
	for _, via := range reached {
		delete(s.lostPath, via)
		suspect = suspect || !c.Further && via == c.Via[0]
	}
	switch {
	case suspect:
		// The path is sound, so the server itself does not answer.
		s.observe(now, true)
	case len(reached) > 0:
		s.checkedVia, s.checkedUntil, s.untested = reached[0], now.Add(checkedMemory), true
		d.serve(now, s.Service)
	case len(lost) > 0 && !c.Further:
		d.checkFurther(now, s)
	case len(lost) > 1:
		d.down(now, s)
	}
	return d.flush()
}

func (s *server) atHome(m member) bool { return m.domain == s.Domain }

func (s *server) away(m member) bool { return m.domain != s.Domain }

// via returns the instance that sends to a server: one whose path was checked,
// else the first of the ranked instances of the server's failure domain that has
// not lost the path to it. Without one the asking member itself sends, and without
// its path any other.
func (d *Dispatcher) via(now time.Time, s *server, asker string) string {
	if m, ok := d.members[s.checkedVia]; ok && !m.leaving && now.Before(s.checkedUntil) && s.reachedBy(now, s.checkedVia) {
		return s.checkedVia
	}
	if best := d.ranked(now, s, func(_ string, m member) bool { return s.atHome(m) }); best != "" {
		return best
	}
	if s.reachedBy(now, asker) {
		return asker
	}
	if best := d.ranked(now, s, func(string, member) bool { return true }); best != "" {
		return best
	}
	return asker
}

// reachedBy reports whether an instance has not lost the path to the server.
func (s *server) reachedBy(now time.Time, instance string) bool {
	return !now.Before(s.lostPath[instance])
}

// ranked returns the first of the matching instances for a server by weighted
// rendezvous hashing, or "".
func (d *Dispatcher) ranked(now time.Time, s *server, match func(string, member) bool) string {
	best, bestRank := "", 0.0
	for name, m := range d.members {
		if m.leaving || !match(name, m) || !s.reachedBy(now, name) {
			continue
		}
		if r := rendezvous.Weighted(name, s.ID, max(m.capacity, minCapacity)); best == "" || r > bestRank {
			best, bestRank = name, r
		}
	}
	return best
}

// minCapacity stands for the capacity of an instance that names none, in cores.
const minCapacity = 0.01

// unreachable notes that an instance could not connect. A server that a second
// instance does not reach either is taken for down.
func (d *Dispatcher) unreachable(now time.Time, s *server, via string) {
	others := 0
	for name, until := range s.lostPath {
		if name != via && now.Before(until) {
			others++
		}
	}
	s.lostPath[via] = now.Add(pathMemory)
	if others > 0 {
		d.down(now, s)
	}
}

// down keeps requests away from a server that instances do not reach, and takes
// it for cold when it comes back.
func (d *Dispatcher) down(now time.Time, s *server) {
	s.downPause = min(max(2*s.downPause, downPause), downPauseMax)
	s.pausedUntil = later(s.pausedUntil, now.Add(s.downPause))
	s.coldUntil = later(s.coldUntil, now.Add(s.downPause+d.index.Config.Services[s.Service].ColdStart))
	clear(s.lostPath)
}
