// Package dispatch schedules all requests of a fleet: it decides which backend
// server each one may use, which instance sends it, how long it waits, and
// whether it is refused. One coordinator runs a Dispatcher. It does no I/O;
// every method takes the current time.
package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// Bounds are the service-level limits agreed with the operators.
type Bounds struct {
	// RetryRatio and RetrySlack bound the retries that reach backend servers
	// within RetryWindow: ratio times the requests of the service, plus slack
	// requests.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound a team's requests in
	// any window: (rate x window + burst) x (1 + overshoot) + slack requests.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// FloorShare is the share of healthy servers, 0 to 1, that must get work while
	// requests of the service fail.
	FloorShare float64
	// SteadyAfter is the time without a failure after which a server counts as
	// steady, that is, not affected by a fault.
	SteadyAfter time.Duration
}

// PermitRequest is a request of a caller that needs a permit to be sent.
type PermitRequest struct {
	// Member identifies the requesting instance, by its address in a fleet.
	Member string
	// Number is unique within the member.
	Number uint64
	// Domain is the failure domain of the member.
	Domain  string
	Route   string
	Team    string
	Service string
	// ExcludedServers lists the servers that the request must not be sent to.
	ExcludedServers []string
	Fingerprint     uint64
	// Deadline is when the response must be back at the member.
	Deadline time.Time
	// ArrivedAt is when the request arrived at the fleet.
	ArrivedAt time.Time
	// IsRetry is set if an earlier attempt reached a backend server.
	IsRetry bool
	// Admitted is set if the request was already counted against the team's
	// rate limit.
	Admitted bool
	// Resubmitted is set if a coordinator that was lost may already have
	// counted the request of its service. It needs a token of its team's rate all the same:
	// no instance reports it as admitted.
	Resubmitted bool
	// ConfigVersion is that of the configuration by which the member resolved the
	// request; 0 if it does not say.
	ConfigVersion uint64
}

// Permit allows one request to be sent to a server once.
type Permit struct {
	Number  uint64
	Server  catalog.Server
	Service string
	// Via identifies the sending instance, as Member does; it may be the
	// requesting member itself.
	Via string
	// StallTimeout is how long a repeatable request runs before it is retried
	// on another server; 0 means no limit.
	StallTimeout time.Duration
	// Basis is what decided for the server, for the log.
	Basis Basis
}

// Refusal ends a request without a permit.
type Refusal struct {
	Kind       errkind.Kind
	RetryAfter time.Duration
	// Reason names the inputs of the decision, for the log.
	Reason string
}

// Decision answers one permit request. Exactly one of Permit and Refusal is
// set.
type Decision struct {
	Member        string
	RequestNumber uint64
	Permit        *Permit
	Refusal       *Refusal
}

// permit is a request in flight.
type permit struct {
	number  uint64
	member  string
	server  string
	service string
	// incarnation is that of the server.
	incarnation int64
	via         string
	fingerprint uint64
	route       string
	bytes       int64
	grantedAt   time.Time
	repeatable  bool
	// adopted permits stand for requests that were already in flight when this
	// coordinator took over.
	adopted bool
	// overdue requests have run past the stall timeout; no response is expected.
	overdue bool
	// outlasted requests have run for longer than prompt failures take.
	outlasted bool
}

// queuedRequest is a request in the queue of a service.
type queuedRequest struct {
	PermitRequest
	route    *catalog.Route
	stats    *routeStats
	priority int
	seq      uint64
}

// Dispatcher holds the state of all services. It is not safe for concurrent
// use.
type Dispatcher struct {
	bounds  Bounds
	policy  *Policy
	rng     *rand.Rand
	index   *catalog.Index
	servers map[string]*server
	// leaving holds the incarnations of servers that have said that they leave. The
	// directory may not name them yet.
	leaving map[LeavingServer]struct{}
	// newlyLeaving are those of them that the caller has not fetched yet.
	newlyLeaving []LeavingServer
	// pools holds the state of each service by name.
	pools      map[string]*pool
	teams      map[string]*tokenBucket
	permits    map[uint64]*permit
	domainsOut map[string]bool
	members    map[string]member
	crashes    *crashTracker
	// routes holds the statistics of each route by name.
	routes map[string]*routeStats
	// permitSeq is the number of the last permit. It starts at a random number, so
	// that a report on a permit of an earlier coordinator matches none of this one.
	permitSeq  uint64
	requestSeq uint64
	// connectedShare is the share of the roster that this coordinator is
	// connected to, 0 to 1.
	connectedShare float64
	// isolated is set if this coordinator may grant nothing of what is bounded for the fleet.
	isolated bool
	// reportedShare is the share of the roster of which is known what earlier
	// coordinators admitted, 0 to 1.
	reportedShare float64
	// term tells this coordinator from others.
	term uint64
	// inherited holds how many admissions of other coordinators are counted here.
	inherited map[inheritedKey]inheritedTotal
	// unsettled are the requests that wait until the limits of their teams are known.
	unsettled []PermitRequest
	// retriesUnknown is set until the retries that earlier coordinators allowed are
	// known.
	retriesUnknown bool
	// startedAt is when this coordinator took over.
	startedAt time.Time
	// permitsCheckedAt is when the requests in flight were last checked.
	permitsCheckedAt time.Time
	transitions      []Transition
	// shortfalls are the floor shortfalls that the caller has not fetched yet.
	shortfalls []FloorShortfall
	// spentBudgets are the spent retry budgets that the caller has not fetched yet.
	spentBudgets []SpentRetryBudget
	// checks are the path checks that the caller has not fetched yet.
	checks           []PathCheck
	pendingDecisions []Decision
}

type member struct {
	domain string
	// capacity is in cores.
	capacity float64
	leaving  bool
}

// New returns a dispatcher without a configuration.
func New(now time.Time, bounds Bounds, policy *Policy, seed uint64) *Dispatcher {
	return &Dispatcher{
		startedAt: now, bounds: bounds, policy: policy, rng: rand.New(rand.NewPCG(seed, 0)),
		index:   catalog.NewIndex(&catalog.Config{}),
		servers: make(map[string]*server), leaving: make(map[LeavingServer]struct{}), pools: make(map[string]*pool), teams: make(map[string]*tokenBucket),
		permits: make(map[uint64]*permit), domainsOut: make(map[string]bool), members: make(map[string]member),
		crashes: newCrashTracker(&policy.Crash), routes: make(map[string]*routeStats), connectedShare: 1, reportedShare: 1, permitSeq: rand.Uint64() >> 1,
		term: rand.Uint64() | 1, inherited: make(map[inheritedKey]inheritedTotal),
	}
}

// SetConnectedShare sets the share of the roster that is connected. Quotas,
// cold-start rates and retry budgets are scaled by it, since another
// coordinator may serve the rest.
func (d *Dispatcher) SetConnectedShare(now time.Time, share float64) {
	if share == d.connectedShare {
		return
	}
	for _, b := range d.teams {
		b.refill(now, d.connectedShare)
	}
	d.connectedShare = share
	d.restoreBuckets(now)
}

// SetIsolated sets whether the connected share is 0 since the rest of the fleet may have taken
// this part of it for ended.
func (d *Dispatcher) SetIsolated(isolated bool) { d.isolated = isolated }

// SetMember adds or changes an instance that may send requests. The capacity is in
// cores.
func (d *Dispatcher) SetMember(name, domain string, capacity float64, leaving bool) {
	d.members[name] = member{domain: domain, capacity: capacity, leaving: leaving}
}

// RemoveMember cancels the requests of a lost instance. Requests that it sends
// for other members stay in flight until they are reported or expire.
func (d *Dispatcher) RemoveMember(now time.Time, name string) []Decision {
	delete(d.members, name)
	d.removeUnsettled(func(r *PermitRequest) bool { return r.Member == name })
	for _, p := range d.pools {
		p.removeIf(func(w *queuedRequest) bool { return w.Member == name })
	}
	for n, p := range d.permits {
		if p.member == name {
			d.finish(now, n, Cancelled, 0)
		}
	}
	return d.flush()
}

// SetConfig applies a configuration. Older versions are ignored.
func (d *Dispatcher) SetConfig(now time.Time, c *catalog.Config) []Decision {
	if c.Version < d.index.Config.Version {
		return nil
	}
	d.index = catalog.NewIndex(c)
	for name := range d.teams {
		if t := d.index.Team(name); t == nil {
			delete(d.teams, name)
		} else {
			d.teams[name].configure(now, t, d.connectedShare)
		}
	}
	for _, p := range d.pools {
		p.removeIf(func(w *queuedRequest) bool { return !d.revalidate(w) })
	}
	for name := range d.pools {
		d.serveQueue(now, name)
	}
	return d.flush()
}

// revalidate checks a queued request against a new configuration. It refuses
// the request if its route or team no longer exists.
func (d *Dispatcher) revalidate(w *queuedRequest) bool {
	r := d.index.RouteByName(w.Route)
	if r == nil {
		d.refuse(&w.PermitRequest, errkind.NoRoute, 0, "configuration %d has no route %q", d.index.Config.Version, w.Route)
		return false
	}
	if !hasService(r, w.Service) {
		// The entry instance resubmits it under the new configuration.
		d.refuse(&w.PermitRequest, errkind.StaleConfiguration, 0, "configuration %d routes the request to other services", d.index.Config.Version)
		return false
	}
	if !r.Public && d.index.KeysRequired() && d.index.Team(w.Team) == nil {
		d.refuse(&w.PermitRequest, errkind.UnknownKey, 0, "configuration %d has no team %q", d.index.Config.Version, w.Team)
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

// RequestPermit requests a permit. The decision may be returned later, by any
// method.
func (d *Dispatcher) RequestPermit(now time.Time, req PermitRequest) []Decision {
	d.requestPermit(now, req)
	return d.flush()
}

func (d *Dispatcher) requestPermit(now time.Time, req PermitRequest) {
	w := &queuedRequest{PermitRequest: req, route: d.index.RouteByName(req.Route), stats: d.stats(req.Route), seq: d.requestSeq}
	d.requestSeq++
	switch {
	case w.route == nil:
		d.refuse(&req, errkind.StaleConfiguration, 0, "configuration %d of the coordinator has no route %q", d.index.Config.Version, req.Route)
		return
	case req.ConfigVersion != 0 && req.ConfigVersion != d.index.Config.Version:
		// The service is chosen here, the key was checked there: both must hold in one
		// version.
		d.refuse(&req, errkind.StaleConfiguration, 0, "resolved by configuration %d, the coordinator has %d", req.ConfigVersion, d.index.Config.Version)
		return
	case d.crashes.quarantined(now, req.Fingerprint):
		d.refuse(&req, errkind.QuarantinedRequest, 0, "request fingerprint %x: servers dropped %d connections", req.Fingerprint, d.policy.Crash.QuarantineDrops)
		return
	}
	team := d.index.Team(req.Team)
	if !d.policy.Admission.IgnorePriority {
		w.priority = catalog.Priority(w.route, team)
	}
	if w.Service == "" || !hasService(w.route, w.Service) {
		w.Service = w.route.Pick(d.rng)
	}
	p := d.pool(w.Service)
	if !req.Admitted && team != nil && team.Rate > 0 {
		if !d.admit(now, &req, team) {
			return
		}
	}
	if req.IsRetry {
		if !p.retries.allow(now, d.bounds, d.retryShare(now)) {
			d.refuse(&req, errkind.Overloaded, budgetRetryAfter, "retry budget of service %q is spent", w.Service)
			return
		}
	} else if !req.Admitted && !req.Resubmitted {
		p.retries.countRequest(now, d.bounds)
	}
	p.arrivals.count(now)
	p.enqueue(w)
	d.serveQueue(now, w.Service)
	d.refuseOverload(now, p, w)
}

// Withdraw removes a queued request whose caller has disconnected.
func (d *Dispatcher) Withdraw(memberName string, number uint64) {
	d.removeUnsettled(func(r *PermitRequest) bool { return r.Member == memberName && r.Number == number })
	for _, p := range d.pools {
		p.removeIf(func(w *queuedRequest) bool { return w.Member == memberName && w.Number == number })
	}
}

// Tick serves the queues, refuses requests that can no longer be served in
// time, and checks the requests in flight.
func (d *Dispatcher) Tick(now time.Time) []Decision {
	d.retryUnsettled(now)
	for name, p := range d.pools {
		if len(p.queue) > 0 {
			d.serveQueue(now, name)
			d.refuseUnservable(now, name)
		}
	}
	d.checkPermits(now)
	d.checkFloor(now)
	d.checkRetryBudgets(now)
	return d.flush()
}

// Waiting returns the number of queued requests.
func (d *Dispatcher) Waiting() int {
	n := len(d.unsettled)
	for _, p := range d.pools {
		n += len(p.queue)
	}
	return n
}

func (d *Dispatcher) refuse(req *PermitRequest, kind errkind.Kind, after time.Duration, reason string, inputs ...any) {
	d.pendingDecisions = append(d.pendingDecisions, Decision{Member: req.Member, RequestNumber: req.Number, Refusal: &Refusal{
		Kind: kind, RetryAfter: after, Reason: fmt.Sprintf(reason, inputs...),
	}})
}

func (d *Dispatcher) flush() []Decision {
	out := d.pendingDecisions
	d.pendingDecisions = nil
	return out
}

func (d *Dispatcher) pool(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = &pool{meanServiceTime: initialServiceTime, retries: newRetryBudget(d.startedAt, d.bounds), promptness: newPromptness(&d.policy.Belief)}
		d.pools[service] = p
	}
	return p
}

// routeStats are the statistics of a route. Routes of one service may differ in
// the work that their requests take.
type routeStats struct {
	meanServiceTime time.Duration
	// bytes is the mean size of request and response.
	bytes   float64
	samples int
}

// stats returns the statistics of a route.
func (d *Dispatcher) stats(route string) *routeStats {
	s := d.routes[route]
	if s == nil {
		s = &routeStats{}
		d.routes[route] = s
	}
	return s
}

// recordServed records the service time and size of a request. The first samples
// have more weight, so that the mean is usable early.
func (s *routeStats) recordServed(took time.Duration, bytes int64) {
	s.samples++
	weight := max(serviceTimeWeight, 1/float64(s.samples))
	s.meanServiceTime += time.Duration(weight * float64(took-s.meanServiceTime))
	s.bytes += weight * (float64(bytes) - s.bytes)
}
