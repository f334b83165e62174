package dispatch

import (
	"math"
	"sort"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// Outcome is how a permitted request ended.
type Outcome uint8

// The outcomes of a permit.
const (
	// Served means that the server responded without a failure of its own.
	Served Outcome = iota + 1
	// Failed means that the server responded with a failure.
	Failed
	// Dropped means that the connection closed before a complete response.
	Dropped
	// Unreachable means that no connection could be made, so nothing was sent.
	Unreachable
	// Shed means that the server refused the request before running it.
	Shed
	// Misdirected means that the address now belongs to another server.
	Misdirected
	// Stalled means that no response came in time.
	Stalled
	// Cancelled means that the caller disconnected, or that the outcome is
	// unknown.
	Cancelled
	// Unsent means that the sending instance could not be reached.
	Unsent
	// Leaving means that nothing was sent, since the server has said that it leaves.
	Leaving
)

var outcomeNames = [...]string{
	Served: "served", Failed: "failed", Dropped: "dropped", Unreachable: "unreachable", Shed: "shed",
	Misdirected: "misdirected", Stalled: "stalled", Cancelled: "cancelled", Unsent: "unsent", Leaving: "leaving",
}

// String returns the name of the outcome as logged.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) && outcomeNames[o] != "" {
		return outcomeNames[o]
	}
	return "unknown"
}

// Back-off from servers that cannot be reached or shed load.
const (
	// downPause is the first pause before a server that no instance could reach
	// is tried again; it doubles up to downPauseMax.
	downPause    = 500 * time.Millisecond
	downPauseMax = 3 * time.Second
)

// server is the state of a backend server.
type server struct {
	catalog.Server
	// policy is that of the dispatcher.
	policy *BeliefPolicy
	// failProb is the belief at failProbAt: the probability that the server is
	// in the bad state, in which it fails most requests.
	failProb   float64
	failProbAt time.Time
	running    int
	// overdue is how many of the running requests are past their stall timeout.
	overdue int
	// domainOut is set while operators have taken the failure domain out of
	// service.
	domainOut bool
	// cachedFailProb is the belief at cachedAt.
	cachedFailProb float64
	cachedAt       time.Time
	// knownSince is when this dispatcher first knew the server.
	knownSince time.Time
	// lastUsed is when a permit was last granted; zero if never.
	lastUsed time.Time
	// failedSentAt is when the last of the failed requests was sent.
	failedSentAt time.Time
	// unconfirmed is the last outcome if it was a late failure.
	unconfirmed suspicion
	// outlasted is set if a request in flight has counted since the last response.
	outlasted bool
	// silent is set if a request got no response in time since the last response.
	silent bool
	// lastOutcome is when the belief was last updated with an outcome; zero if never.
	lastOutcome time.Time
	// lastFailed is when a request last failed; zero if never.
	lastFailed time.Time
	// suspected is set if the last observation left the server suspect.
	suspected bool
	// pausedUntil is when the server may get requests again.
	pausedUntil time.Time
	downPause   time.Duration
	coldUntil   time.Time
	coldPace    pace
	// limited is set while the server names a rate limit; limit is in requests per
	// second from all instances.
	limited   bool
	limit     float64
	limitPace pace
	// limitNamedAt is when a response last named the limit.
	limitNamedAt time.Time
	// lastServed is when a response last arrived; zero if never.
	lastServed time.Time
	// unreachableFrom holds the instances that could not reach the server, with
	// the time until which they are not used to send to it.
	unreachableFrom map[string]time.Time
	// checkedVia is an instance that connected to the server in a path check;
	// the result holds until checkedUntil. While untested is set, no request
	// was sent through it yet.
	checkedVia   string
	checkedUntil time.Time
	untested     bool
	// pathCheckedAt is when a path check was last requested.
	pathCheckedAt time.Time
}

// failureProbability returns the probability that the server fails a request now.
func (s *server) failureProbability(now time.Time) float64 {
	dt := now.Sub(s.failProbAt)
	if dt <= 0 {
		return s.failProb
	}
	if age := now.Sub(s.cachedAt); age < 0 || age >= beliefCacheTime || s.cachedAt.Before(s.failProbAt) {
		s.cachedFailProb = s.policy.Prior + (s.failProb-s.policy.Prior)*math.Exp(-dt.Seconds()/s.policy.TimeConstant.Seconds())
		s.cachedAt = now
	}
	return s.cachedFailProb
}

// beliefCacheTime is how long a computed belief is reused. A belief changes by 1% in
// that time.
const beliefCacheTime = 50 * time.Millisecond

// observe updates the belief with one outcome.
func (s *server) observe(now time.Time, failed bool) {
	if failed {
		s.failed(now, now)
		s.update(now, s.policy.FailWhenGood, s.policy.FailWhenBad)
		return
	}
	s.update(now, 1-s.policy.FailWhenGood, 1-s.policy.FailWhenBad)
}

// failed notes the time of a failure and when its request was sent.
func (s *server) failed(now, sentAt time.Time) {
	s.lastFailed = now
	s.failedSentAt = later(s.failedSentAt, sentAt)
}

// update updates the belief by Bayes' rule with an observation that has the given
// probabilities on a good and on a bad server.
func (s *server) update(now time.Time, good, bad float64) {
	p := s.failureProbability(now)
	s.failProb = p * bad / (p*bad + (1-p)*good)
	s.failProbAt, s.lastOutcome, s.cachedAt = now, now, time.Time{}
}

// Transition is a change of a server from trusted to suspect or back.
type Transition struct {
	Server, Service string
	// Suspected is false if the server is trusted again.
	Suspected bool
	// FailureProbability is the probability that the server fails requests.
	FailureProbability float64
	Outcome            Outcome
}

// Transitions returns the transitions since the last call.
func (d *Dispatcher) Transitions() []Transition {
	out := d.transitions
	d.transitions = nil
	return out
}

// noteTransition records a transition if the belief crossed the trust threshold.
func (d *Dispatcher) noteTransition(s *server, o Outcome) {
	if suspected := s.failProb > d.policy.Belief.Trust; suspected != s.suspected {
		s.suspected = suspected
		d.transitions = append(d.transitions, Transition{Server: s.ID, Service: s.Service, Suspected: suspected, FailureProbability: s.failProb, Outcome: o})
	}
}

// usable reports whether the server can take a request now, whatever its
// probability of failure.
func (d *Dispatcher) usable(now time.Time, s *server) bool {
	return !s.Draining && !s.domainOut && s.running-s.overdue < s.Slots &&
		!now.Before(s.pausedUntil) && d.paceAllows(now, s)
}

// SetServer adds or changes a backend server.
func (d *Dispatcher) SetServer(now time.Time, in catalog.Server) []Decision {
	s := d.servers[in.ID]
	if s == nil || s.Incarnation != in.Incarnation || s.Service != in.Service {
		fresh := &server{Server: in, policy: &d.policy.Belief, failProb: d.policy.Belief.Prior, failProbAt: now, knownSince: now, coldPace: pace{refilledAt: now}, unreachableFrom: make(map[string]time.Time)}
		if s != nil {
			fresh.running, fresh.overdue = s.running, s.overdue
			d.pool(s.Service).remove(s.ID)
			if s.Incarnation != in.Incarnation {
				d.forgetLeaving(s.Server)
			}
		}
		d.servers[in.ID] = fresh
		d.pool(in.Service).add(fresh)
		s = fresh
	}
	s.Server = in
	s.Draining = s.Draining || d.hasSaidLeaving(incarnationOf(in))
	s.domainOut = d.domainsOut[in.Domain]
	if in.Cold > 0 {
		s.coldUntil = later(s.coldUntil, now.Add(in.Cold))
	}
	d.serveQueue(now, in.Service)
	return d.flush()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RemoveServer removes a backend server.
func (d *Dispatcher) RemoveServer(id string) {
	if s := d.servers[id]; s != nil {
		d.pool(s.Service).remove(id)
		d.forgetLeaving(s.Server)
		delete(d.servers, id)
	}
}

// SetDomainsOut replaces the set of failure domains that are out of service.
func (d *Dispatcher) SetDomainsOut(now time.Time, out []string) []Decision {
	before := d.domainsOut
	d.domainsOut = make(map[string]bool, len(out))
	for _, name := range out {
		d.domainsOut[name] = true
	}
	for _, s := range d.servers {
		s.domainOut = d.domainsOut[s.Domain]
	}
	for name := range before {
		if !d.domainsOut[name] {
			d.markCold(now, func(s *server) bool { return s.Domain == name })
		}
	}
	for name := range d.pools {
		d.serveQueue(now, name)
	}
	return d.flush()
}

// markCold starts the cold-start period of the matching servers, which may have
// lost their warm state while idle or down.
func (d *Dispatcher) markCold(now time.Time, match func(*server) bool) {
	for _, s := range d.servers {
		if match(s) {
			s.coldUntil = later(s.coldUntil, now.Add(d.index.Config.Services[s.Service].ColdStart))
		}
	}
}

// Suspicion is the belief about a server, from which a new coordinator can start.
type Suspicion struct {
	Server             string
	FailureProbability float64
	// SinceFailure is the time since a request last failed; negative if none has.
	SinceFailure time.Duration
}

// Suspicions returns the servers whose belief differs from the prior, and those that
// are not steady.
func (d *Dispatcher) Suspicions(now time.Time) []Suspicion {
	var out []Suspicion
	for id, s := range d.servers {
		b := s.failureProbability(now)
		if math.Abs(b-d.policy.Belief.Prior) <= 0.1 && d.steady(now, s) {
			continue
		}
		x := Suspicion{Server: id, FailureProbability: b, SinceFailure: -1}
		if !s.lastFailed.IsZero() {
			x.SinceFailure = now.Sub(s.lastFailed)
		}
		out = append(out, x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

// RestoreSuspicions takes over the beliefs that the previous coordinator held at a
// time. They include when each server failed last: a server would not count as
// healthy or steady, and stay without work, if that time began anew.
func (d *Dispatcher) RestoreSuspicions(at time.Time, in []Suspicion) {
	for _, x := range in {
		s := d.servers[x.Server]
		if s == nil {
			continue
		}
		s.failProb, s.failProbAt, s.cachedAt = x.FailureProbability, at, time.Time{}
		if x.SinceFailure >= 0 {
			s.lastFailed = at.Add(-x.SinceFailure)
		}
	}
}

// AdoptRunning counts requests of a member that were in flight before this
// coordinator took over.
func (d *Dispatcher) AdoptRunning(now time.Time, memberName, serverID string, count int) {
	s := d.servers[serverID]
	if s == nil {
		return
	}
	for range count {
		d.permitSeq++
		d.permits[d.permitSeq] = &permit{number: d.permitSeq, member: memberName, server: serverID, service: s.Service, incarnation: s.Incarnation, grantedAt: now, adopted: true}
		s.running++
	}
}
