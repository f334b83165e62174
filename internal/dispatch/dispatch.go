// Package dispatch decides for all requests of a fleet where each one goes:
// which backend server it may use, which instance sends it, how long it waits,
// and when it is refused. One coordinator runs a Dispatcher. It does no I/O;
// every method takes the time.
package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// Bounds are the figures that the operators' agreement sets.
type Bounds struct {
	// RetryRatio and RetrySlack bound the arrivals at backend servers beyond
	// the first of each request: ratio of the service's requests, plus slack,
	// in RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound a team's requests in
	// any window: (rate x window + burst) x (1 + overshoot) + slack.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// FloorShare is the share of sound servers that must get work while
	// requests of the service fail.
	FloorShare float64
	// SteadyAfter is the time without a failure after which a server counts as
	// undisturbed.
	SteadyAfter time.Duration
}

// Ask is a request that waits for a permit.
type Ask struct {
	Member string
	// Number is unique for the member.
	Number uint64
	// Domain is the failure domain of the member.
	Domain      string
	Route       string
	Team        string
	Service     string
	Avoid       []string
	Fingerprint uint64
	// Deadline is when the answer must be back at the member.
	Deadline time.Time
	// Since is when the request arrived at the fleet.
	Since time.Time
	// Repeat says that an earlier attempt reached a backend server.
	Repeat bool
	// Admitted says that the request was counted under the team's rate.
	Admitted bool
	// Reasked says that a lost coordinator may have admitted the request.
	Reasked bool
}

// Permit allows one request to be sent once.
type Permit struct {
	Number  uint64
	Server  catalog.Server
	Service string
	// Via is the name of the instance that sends; it may be the asking member.
	Via string
	// Stall is how long a repeatable request runs before another server is
	// tried; 0 means no limit.
	Stall time.Duration
}

// Refusal ends an ask without a permit.
type Refusal struct {
	Kind       errkind.Kind
	RetryAfter time.Duration
	// Why names the inputs of the decision, for the log.
	Why string
}

// Decision answers one ask. Exactly one of Permit and Refusal is set.
type Decision struct {
	Member  string
	Ask     uint64
	Permit  *Permit
	Refusal *Refusal
}

// permit is a request that runs.
type permit struct {
	number      uint64
	member      string
	server      string
	service     string
	via         string
	fingerprint uint64
	route       string
	bytes       int64
	at          time.Time
	repeatable  bool
	// adopted permits stand for requests that ran before this coordinator.
	adopted bool
	// overdue requests have run for so long that no answer is expected.
	overdue bool
}

// waiting is an ask in a queue.
type waiting struct {
	Ask
	route    *catalog.Route
	priority int
	order    uint64
}

// Dispatcher holds the state of all services. It is not safe for concurrent
// use.
type Dispatcher struct {
	bounds  Bounds
	rng     *rand.Rand
	index   *catalog.Index
	servers map[string]*server
	// pools holds the state of each service by name.
	pools      map[string]*pool
	teams      map[string]*bucket
	permits    map[uint64]*permit
	domainsOut map[string]bool
	members    map[string]member
	suspects   *suspects
	// routes holds the measures of each route by name.
	routes map[string]*routeStats
	next   uint64
	order  uint64
	// share of the roster that this coordinator is in contact with, 0 to 1.
	share float64
	// began is when this coordinator began.
	began time.Time
	// permitsCheckedAt is when the running requests were last looked at.
	permitsCheckedAt time.Time
	transitions      []Transition
	// checks are the path checks that were not asked for yet.
	checks []PathCheck
	out    []Decision
}

type member struct {
	domain   string
	capacity float64
	leaving  bool
}

// New returns a dispatcher without configuration.
func New(now time.Time, bounds Bounds, seed uint64) *Dispatcher {
	return &Dispatcher{
		began: now, bounds: bounds, rng: rand.New(rand.NewPCG(seed, 0)),
		index:   catalog.NewIndex(&catalog.Config{}),
		servers: make(map[string]*server), pools: make(map[string]*pool), teams: make(map[string]*bucket),
		permits: make(map[uint64]*permit), domainsOut: make(map[string]bool), members: make(map[string]member),
		suspects: newSuspects(), routes: make(map[string]*routeStats), share: 1, next: rand.Uint64() >> 1,
	}
}

// SetShare sets the share of the roster that is in contact. Quotas, cold
// starts and retries are scaled by it, since another coordinator may serve the
// rest.
func (d *Dispatcher) SetShare(now time.Time, share float64) {
	if share == d.share {
		return
	}
	for _, b := range d.teams {
		b.refill(now, d.share)
	}
	d.share = share
}

// SetMember adds or changes an instance that may send requests.
func (d *Dispatcher) SetMember(name, domain string, capacity float64, leaving bool) {
	d.members[name] = member{domain: domain, capacity: capacity, leaving: leaving}
}

// RemoveMember ends the asks of a lost instance. Its permits, and those that
// it carries for others, stay until they are reported or expire.
func (d *Dispatcher) RemoveMember(now time.Time, name string) []Decision {
	delete(d.members, name)
	for _, p := range d.pools {
		p.drop(func(w *waiting) bool { return w.Member == name })
	}
	for n, p := range d.permits {
		if p.member == name {
			d.finish(now, n, Cancelled, 0)
		}
	}
	return d.flush()
}

// SetConfig puts a configuration in force. Older versions are ignored.
func (d *Dispatcher) SetConfig(now time.Time, c *catalog.Config) []Decision {
	if c.Version < d.index.Config.Version {
		return nil
	}
	d.index = catalog.NewIndex(c)
	for name := range d.teams {
		if t := d.index.Team(name); t == nil {
			delete(d.teams, name)
		} else {
			d.teams[name].configure(now, t, d.share)
		}
	}
	for _, p := range d.pools {
		p.drop(func(w *waiting) bool { return !d.revalidate(w) })
	}
	for name := range d.pools {
		d.serve(now, name)
	}
	return d.flush()
}

// revalidate checks a waiting ask against a new configuration. It refuses
// those whose route or team is gone.
func (d *Dispatcher) revalidate(w *waiting) bool {
	r := d.index.RouteByName(w.Route)
	if r == nil {
		d.refuse(&w.Ask, errkind.NoRoute, 0, "configuration %d has no route %q", d.index.Config.Version, w.Route)
		return false
	}
	if !hasService(r, w.Service) {
		// The entry asks again under the new configuration.
		d.refuse(&w.Ask, errkind.StaleConfiguration, 0, "configuration %d moved the route", d.index.Config.Version)
		return false
	}
	if !r.Public && d.index.KeysRequired() && d.index.Team(w.Team) == nil {
		d.refuse(&w.Ask, errkind.UnknownKey, 0, "configuration %d has no team %q", d.index.Config.Version, w.Team)
		return false
	}
	w.route = r
	return true
}

func hasService(r *catalog.Route, service string) bool {
	for _, s := range r.Services {
		if s.Service == service {
			return true
		}
	}
	return false
}

// Ask asks for a permit. The decision may come later, from any method.
func (d *Dispatcher) Ask(now time.Time, a Ask) []Decision {
	w := &waiting{Ask: a, route: d.index.RouteByName(a.Route), order: d.order}
	d.order++
	switch {
	case w.route == nil:
		d.refuse(&a, errkind.StaleConfiguration, 0, "configuration %d of the coordinator has no route %q", d.index.Config.Version, a.Route)
		return d.flush()
	case d.suspects.blocked(now, a.Fingerprint):
		d.refuse(&a, errkind.QuarantinedRequest, 0, "fingerprint %x dropped %d connections", a.Fingerprint, suspectDrops)
		return d.flush()
	}
	team := d.index.Team(a.Team)
	w.priority = catalog.Priority(w.route, team)
	if w.Service == "" || !hasService(w.route, w.Service) {
		w.Service = w.route.Pick(d.rng)
	}
	p := d.pool(w.Service)
	if !a.Admitted && team != nil && team.Rate > 0 {
		if wait := d.bucket(now, team).take(now, d.share); wait > 0 && !a.Reasked {
			d.refuse(&a, errkind.RateLimited, wait, "team %q is past %g/s with burst %g, share %.2f", team.Name, team.Rate, team.Burst, d.share)
			return d.flush()
		}
	}
	if a.Repeat {
		if !p.repeats.allow(now, d.bounds, d.share) {
			d.refuse(&a, errkind.Overloaded, budgetRetryAfter, "retry budget of service %q is spent", w.Service)
			return d.flush()
		}
	} else if !a.Admitted && !a.Reasked {
		p.repeats.request(now, d.bounds)
	}
	p.load.count(now)
	p.push(w)
	d.serve(now, w.Service)
	d.refuseOverload(now, p, w)
	return d.flush()
}

// Withdraw removes an ask whose caller has left.
func (d *Dispatcher) Withdraw(memberName string, number uint64) {
	for _, p := range d.pools {
		p.drop(func(w *waiting) bool { return w.Member == memberName && w.Number == number })
	}
}

// Tick refuses asks that can no longer be served and serves those for which
// something has changed with time.
func (d *Dispatcher) Tick(now time.Time) []Decision {
	for name, p := range d.pools {
		if len(p.queue) > 0 {
			d.serve(now, name)
			d.refuseHopeless(now, name)
		}
	}
	d.checkPermits(now)
	return d.flush()
}

// Waiting returns the number of asks in queues.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, p := range d.pools {
		n += len(p.queue)
	}
	return n
}

func (d *Dispatcher) refuse(a *Ask, kind errkind.Kind, after time.Duration, why string, inputs ...any) {
	d.out = append(d.out, Decision{Member: a.Member, Ask: a.Number, Refusal: &Refusal{
		Kind: kind, RetryAfter: after, Why: fmt.Sprintf(why, inputs...),
	}})
}

func (d *Dispatcher) flush() []Decision {
	out := d.out
	d.out = nil
	return out
}

func (d *Dispatcher) pool(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = &pool{mean: initialMean, repeats: newRetryBudget(d.began, d.bounds)}
		d.pools[service] = p
	}
	return p
}

// routeStats are the measures of a route. Routes of one service differ in what
// they ask of it.
type routeStats struct {
	mean time.Duration
	// bytes is the mean size of request and answer.
	bytes   float64
	samples int
}

// stats returns the measures of a route.
func (d *Dispatcher) stats(route string) *routeStats {
	s := d.routes[route]
	if s == nil {
		s = &routeStats{}
		d.routes[route] = s
	}
	return s
}

// served counts a request by its service time and size. The first samples weigh more, so that the mean
// is soon of use.
func (s *routeStats) served(took time.Duration, bytes int64) {
	s.samples++
	weight := max(meanWeight, 1/float64(s.samples))
	s.mean += time.Duration(weight * float64(took-s.mean))
	s.bytes += weight * (float64(bytes) - s.bytes)
}

func (d *Dispatcher) bucket(now time.Time, t *catalog.Team) *bucket {
	b := d.teams[t.Name]
	if b == nil {
		b = newBucket(now, t, d.bounds)
		d.teams[t.Name] = b
	}
	return b
}
