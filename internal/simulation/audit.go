package simulation

import (
	"fmt"
	"math"
	"time"
)

// auditStep is the resolution of the windows in which bounds are checked.
const auditStep = 100 * time.Millisecond

// counter counts events in steps of the day.
type counter []int

func (c *counter) count(at time.Duration) {
	i := int(at / auditStep)
	for len(*c) <= i {
		*c = append(*c, 0)
	}
	(*c)[i]++
}

// sum returns the events of the window that ends before step to.
func (c counter) sum(to int, window time.Duration) int {
	n := 0
	for i := max(0, to-int(window/auditStep)); i < min(to, len(c)); i++ {
		n += c[i]
	}
	return n
}

// audit checks the agreed bounds from what servers and callers see.
type audit struct {
	e *Environment
	// limited are the requests of the team with a rate limit that arrived at a server, retries
	// the arrivals beyond the first of each request.
	requests, retries, limited counter
	answered, unanswered       counter
	// seen holds the attempts that reached a server.
	seen           map[uint64]bool
	cold           map[*server]bool
	floorCheckedAt time.Duration
	// sound sums the sound servers over all checks of the floor, idle those without
	// work, whatever share of the requests was served.
	sound, idle int
	breaches    []string
}

func newAudit(e *Environment) *audit {
	return &audit{e: e, seen: make(map[uint64]bool), cold: make(map[*server]bool)}
}

// arrived records a request that reached a server.
func (a *audit) arrived(at time.Duration, s *server, c *call) {
	if a.seen[c.number] {
		a.retries.count(at)
	} else if c.team == limitedTeam {
		a.limited.count(at)
	}
	a.seen[c.number] = true
	a.checkCold(s, at)
}

// checkCold checks the rate of a cold server over the last second.
func (a *audit) checkCold(s *server, at time.Duration) {
	const overshoot, slack = 1.5, 5
	n := 0
	for _, x := range s.arrivals {
		if at-x < time.Second {
			n++
		}
	}
	if float64(n) > a.e.ColdRate*overshoot+slack && !a.cold[s] {
		a.cold[s] = true
		a.breaches = append(a.breaches, fmt.Sprintf("cold server %s got %d requests in the second before %v, bears %.1f/s", s.ID, n, at, a.e.ColdRate))
	}
}

func (a *audit) ended(at time.Duration, answered bool) {
	if answered {
		a.answered.count(at)
	} else {
		a.unanswered.count(at)
	}
}

// floorWindow is the time in which the share of sound servers must get work.
const floorWindow = 2 * time.Second

// checkFloor checks that enough of the sound servers got work while some, but under
// half, of the requests were not served. A server is sound without a disruption for
// twice the longest time a bound may be late, and two seconds after it was last bad.
func (a *audit) checkFloor(at time.Duration, servers []*server) {
	if at > a.e.Length || at-a.floorCheckedAt < floorWindow/4 {
		return
	}
	a.floorCheckedAt = at
	a.countIdle(at, servers)
	step := int(at / auditStep)
	lost, kept := a.unanswered.sum(step, floorWindow), a.answered.sum(step, floorWindow)
	if 10*lost <= lost+kept || 2*lost >= lost+kept {
		return
	}
	sound, used := 0, 0
	for _, s := range servers {
		s.advance(a.e, at)
		if s.bad || at-s.turnedGoodAt < 2*floorWindow || s.disrupted(a.e, at, bounds().SteadyAfter) {
			continue
		}
		sound++
		if at-s.lastUsed < floorWindow {
			used++
		}
	}
	if used > 0 && float64(used) < bounds().FloorShare*float64(sound) {
		a.breaches = append(a.breaches, fmt.Sprintf("%d of %d sound servers got work in the %v before %v, while %d of %d requests were not served", used, sound, floorWindow, at, lost, lost+kept))
	}
}

// countIdle counts the servers that have been good for floorWindow, without a
// disruption, and those of them without work.
func (a *audit) countIdle(at time.Duration, servers []*server) {
	if at < bounds().SteadyAfter {
		return
	}
	for _, s := range servers {
		s.advance(a.e, at)
		if s.bad || at-s.turnedGoodAt < floorWindow || s.disrupted(a.e, at, bounds().SteadyAfter) {
			continue
		}
		a.sound++
		if at-s.lastUsed >= floorWindow {
			a.idle++
		}
	}
}

// finish checks the windows of the day.
func (a *audit) finish(r *Result) {
	b := bounds()
	r.Retries = a.retries.sum(len(a.retries), a.e.Length+a.e.Deadline)
	limit := teamShare * a.e.Rate * teamHeadroom
	quota := (limit*b.QuotaWindow.Seconds()+math.Max(limit, 1))*(1+b.QuotaOvershoot) + b.QuotaSlack
	for to := 1; to <= len(a.requests); to++ {
		// The requests of a window count, or those of the window half of one before.
		requests := max(a.requests.sum(to, b.RetryWindow), a.requests.sum(to-int(b.RetryWindow/auditStep/2), b.RetryWindow))
		if n := a.retries.sum(to, b.RetryWindow); float64(n) > b.RetryRatio*float64(requests)+b.RetrySlack {
			a.breaches = append(a.breaches, fmt.Sprintf("%d retries for %d requests in the %v before %v", n, requests, b.RetryWindow, time.Duration(to)*auditStep))
			break
		}
	}
	for to := 1; to <= len(a.limited); to++ {
		if n := a.limited.sum(to, b.QuotaWindow); float64(n) > quota {
			a.breaches = append(a.breaches, fmt.Sprintf("team %s got %d requests in the %v before %v, allowed %.0f", limitedTeam, n, b.QuotaWindow, time.Duration(to)*auditStep, quota))
			break
		}
	}
	r.Breaches = a.breaches
	r.SoundIdle = share(float64(a.idle), float64(a.sound))
}
