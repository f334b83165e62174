package dispatch

import (
	"math"
	"sort"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// Outcome says how a permitted request ended.
type Outcome uint8

// The outcomes of a permit.
const (
	// Served means that the server answered without a failure of its own.
	Served Outcome = iota + 1
	// Failed means that the server answered with a failure.
	Failed
	// Dropped means that the connection ended without a whole answer.
	Dropped
	// Unreachable means that nothing was sent since no connection was made.
	Unreachable
	// Shed means that the server refused the request before it ran.
	Shed
	// Misdirected means that another server has the address.
	Misdirected
	// Stalled means that no answer came in time.
	Stalled
	// Cancelled means that the caller left, or that nothing is known.
	Cancelled
	// Unsent means that the sending instance was not reached.
	Unsent
)

var outcomeNames = [...]string{
	Served: "served", Failed: "failed", Dropped: "dropped", Unreachable: "unreachable", Shed: "shed",
	Misdirected: "misdirected", Stalled: "stalled", Cancelled: "cancelled", Unsent: "unsent",
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) && outcomeNames[o] != "" {
		return outcomeNames[o]
	}
	return "unknown"
}

// Figures of the belief that a server fails its requests. A gray failure
// leaves the health check good and ends by itself, so each server is modelled
// as switching between good and bad, and each outcome updates the probability.
const (
	// The figures were measured on a day without other faults: servers are bad
	// three tenths of the time, for about six seconds at a time, and good for
	// about fourteen.
	prior = 0.28
	// failWhenGood and failWhenBad are the shares of requests that fail on a
	// server of either state.
	failWhenGood = 0.015
	failWhenBad  = 0.8
	// relaxation is the time constant with which the belief returns to the
	// prior when nothing is observed: 1/(1/6 s + 1/14 s).
	relaxation = 4500 * time.Millisecond
	// trusted is the probability below which a server counts as good.
	trusted = 0.4
)

// Figures of servers that cannot be reached.
const (
	// downPause is the first pause before a server that no instance reached
	// is tried again; it doubles up to downPauseMax.
	downPause    = 500 * time.Millisecond
	downPauseMax = 3 * time.Second
	// shedPause keeps requests away from a server that has shed one.
	shedPause = 150 * time.Millisecond
)

// server is what the dispatcher knows of a backend server.
type server struct {
	catalog.Server
	// bad is the probability at the time at that the server fails requests.
	bad     float64
	at      time.Time
	running int
	// overdue is how many of the running requests should have been answered.
	overdue int
	// out says that operators have taken the failure domain out.
	out bool
	// cached is the belief at the time cachedAt.
	cached   float64
	cachedAt time.Time
	// lastUsed is when a request was last permitted; zero if never.
	lastUsed time.Time
	// lastFailed is when a request last failed; zero if never.
	lastFailed time.Time
	// suspected says that the last observation left the server suspect.
	suspected bool
	// pausedUntil keeps requests away.
	pausedUntil time.Time
	downPause   time.Duration
	coldUntil   time.Time
	coldTokens  float64
	coldAt      time.Time
	// lastServed is when an answer last arrived; zero if never.
	lastServed time.Time
	// lostPath holds the instances that could not reach the server.
	lostPath map[string]time.Time
	// checkedVia is an instance that connected to the server in a path check,
	// which holds until checkedUntil. Nothing was sent through it yet if the
	// server is untested.
	checkedVia   string
	checkedUntil time.Time
	untested     bool
	// pathCheckedAt is when a path check was last asked for.
	pathCheckedAt time.Time
}

// badness returns the probability that the server fails a request now.
func (s *server) badness(now time.Time) float64 {
	dt := now.Sub(s.at)
	if dt <= 0 {
		return s.bad
	}
	if age := now.Sub(s.cachedAt); age < 0 || age >= beliefInterval || s.cachedAt.Before(s.at) {
		s.cached = prior + (s.bad-prior)*math.Exp(-dt.Seconds()/relaxation.Seconds())
		s.cachedAt = now
	}
	return s.cached
}

const (
	// beliefInterval is how long a computed belief is used again. It changes
	// by 1% in that time.
	beliefInterval = 50 * time.Millisecond
)

// observe updates the belief with one outcome.
func (s *server) observe(now time.Time, failed bool) {
	p := s.badness(now)
	good, bad := 1-failWhenGood, 1-failWhenBad
	if failed {
		good, bad = failWhenGood, failWhenBad
		s.lastFailed = now
	}
	s.bad = p * bad / (p*bad + (1-p)*good)
	s.at, s.cachedAt = now, time.Time{}
}

// Transition says that a server came to be trusted or suspected.
type Transition struct {
	Server, Service string
	// Suspected is false if the server is trusted again.
	Suspected bool
	// Bad is the probability that the server fails requests.
	Bad     float64
	Outcome Outcome
}

// Transitions returns the transitions since the last call.
func (d *Dispatcher) Transitions() []Transition {
	out := d.transitions
	d.transitions = nil
	return out
}

// noteTransition records a change of the belief about a server.
func (d *Dispatcher) noteTransition(s *server, o Outcome) {
	if suspected := s.bad > trusted; suspected != s.suspected {
		s.suspected = suspected
		d.transitions = append(d.transitions, Transition{Server: s.ID, Service: s.Service, Suspected: suspected, Bad: s.bad, Outcome: o})
	}
}

// usable reports whether the server may get a request now, belief aside.
func (d *Dispatcher) usable(now time.Time, s *server) bool {
	return !s.Draining && !s.out && s.running-s.overdue < s.Slots &&
		!now.Before(s.pausedUntil) && d.bears(now, s)
}

// bears reports whether a cold server has a token for one more request.
func (d *Dispatcher) bears(now time.Time, s *server) bool {
	if !now.Before(s.coldUntil) {
		return true
	}
	service, ok := d.index.Config.Services[s.Service]
	if !ok || service.ColdRate <= 0 {
		return true
	}
	s.coldTokens = math.Min(1, s.coldTokens+now.Sub(s.coldAt).Seconds()*service.ColdRate*d.share)
	s.coldAt = now
	return s.coldTokens >= 1
}

// SetServer adds or changes a backend server.
func (d *Dispatcher) SetServer(now time.Time, in catalog.Server) []Decision {
	s := d.servers[in.ID]
	if s == nil || s.Born != in.Born || s.Service != in.Service {
		fresh := &server{Server: in, bad: prior, at: now, coldAt: now, lostPath: make(map[string]time.Time)}
		if s != nil {
			fresh.running, fresh.overdue = s.running, s.overdue
			d.pool(s.Service).remove(s.ID)
		}
		d.servers[in.ID] = fresh
		d.pool(in.Service).add(fresh)
		s = fresh
	}
	s.Server = in
	s.out = d.domainsOut[in.Domain]
	if in.Cold > 0 {
		s.coldUntil = later(s.coldUntil, now.Add(in.Cold))
	}
	d.serve(now, in.Service)
	return d.flush()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RemoveServer forgets a backend server that is gone.
func (d *Dispatcher) RemoveServer(id string) {
	if s := d.servers[id]; s != nil {
		d.pool(s.Service).remove(id)
		delete(d.servers, id)
	}
}

// SetDomainsOut replaces the failure domains that get nothing.
func (d *Dispatcher) SetDomainsOut(now time.Time, out []string) []Decision {
	before := d.domainsOut
	d.domainsOut = make(map[string]bool, len(out))
	for _, name := range out {
		d.domainsOut[name] = true
	}
	for _, s := range d.servers {
		s.out = d.domainsOut[s.Domain]
	}
	for name := range before {
		if !d.domainsOut[name] {
			d.markCold(now, func(s *server) bool { return s.Domain == name })
		}
	}
	for name := range d.pools {
		d.serve(now, name)
	}
	return d.flush()
}

// markCold treats servers as cold, since those that were idle or down may be.
func (d *Dispatcher) markCold(now time.Time, match func(*server) bool) {
	for _, s := range d.servers {
		if match(s) {
			s.coldUntil = later(s.coldUntil, now.Add(d.index.Config.Services[s.Service].ColdStart))
		}
	}
}

// Suspicion is a belief about a server that a successor may start from.
type Suspicion struct {
	Server string
	Bad    float64
}

// Suspicions returns the servers whose belief differs from the prior.
func (d *Dispatcher) Suspicions(now time.Time) []Suspicion {
	var out []Suspicion
	for id, s := range d.servers {
		if b := s.badness(now); math.Abs(b-prior) > 0.1 {
			out = append(out, Suspicion{Server: id, Bad: b})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

// Suspect takes over the belief of another coordinator.
func (d *Dispatcher) Suspect(now time.Time, in []Suspicion) {
	for _, x := range in {
		if s := d.servers[x.Server]; s != nil {
			s.bad, s.at, s.cachedAt = x.Bad, now, time.Time{}
			if x.Bad > trusted {
				// When it failed is not known; it is not sound before it has
				// been tested.
				s.lastFailed = now
			}
		}
	}
}

// Adopt counts requests of a member that ran before this coordinator began.
func (d *Dispatcher) Adopt(now time.Time, memberName, serverID string, count int) {
	s := d.servers[serverID]
	if s == nil {
		return
	}
	for range count {
		d.next++
		d.permits[d.next] = &permit{number: d.next, member: memberName, server: serverID, service: s.Service, at: now, adopted: true}
		s.running++
	}
}
