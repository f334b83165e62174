package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/backend"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/health"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/slots"
)

// server is the state of one owned backend server. All servers of a service
// share one lock, since they share latency baselines.
type server struct {
	mu *sync.Mutex
	// doc is the server's configuration when the ownership began. A change of
	// its address, service or failure domain starts a new ownership.
	doc      document.Server
	slots    *slots.Server
	detector *health.OutlierDetector
	ejection *health.Ejection
	// waiters holds the queued requests by request ID.
	waiters       map[uint64]chan error
	requestReport func()
	// pathChecked is set once a second instance has tried to connect to the
	// server, and pathBroken if it could: the network path of this instance is
	// broken then.
	pathChecked, pathBroken bool
	// declaredCold is set while the responses of the server have the header
	// Trefoilstream-Cold.
	declaredCold bool
	// firstRamp is set until the first slow start has reached the server's
	// full concurrency limit.
	firstRamp bool
}

func newServer(now time.Time, doc document.Server, cfg slots.Config, st slots.State, shared *serviceBaselines, requestReport func()) *server {
	return &server{mu: &shared.mu, doc: doc, slots: slots.New(cfg, st), detector: health.NewOutlierDetector(shared.latencies),
		ejection: health.NewEjection(now), waiters: make(map[uint64]chan error), requestReport: requestReport, firstRamp: true}
}

// Errors that end the wait of a queued request.
var (
	errEvicted      = errkind.Errorf(errkind.Overloaded, "queue is full")
	errExpired      = errkind.Errorf(errkind.DeadlineExceededQueued, "no slot became free before the deadline")
	errOutOfService = errkind.Errorf(errkind.NoServer, "server was taken out of service")
)

// reservation is a slot of a server, held by one request.
type reservation struct {
	s     *server
	id    uint64
	route string
	team  string
	sent  bool
}

// acquire reserves a slot and queues the request until one is free.
func (s *server) acquire(ctx context.Context, team string, route document.Route) (*reservation, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("request has no deadline")
	}
	now := time.Now()
	s.mu.Lock()
	if !s.ejection.Admit() {
		s.mu.Unlock()
		return nil, errkind.Errorf(errkind.NoServer, "server %s is ejected", s.doc.ID)
	}
	id, decision, eff := s.slots.Acquire(now, slots.Request{Team: team, Bulk: route.ClassOrDefault() == document.ClassBulk, Deadline: deadline})
	s.applyEffects(eff)
	t := &reservation{s: s, id: id, route: route.ID, team: team}
	switch decision {
	case slots.Started:
		s.mu.Unlock()
		return t, nil
	case slots.Queued:
		ready := make(chan error, 1)
		s.waiters[id] = ready
		s.mu.Unlock()
		return s.wait(ctx, t, ready)
	}
	s.releaseAdmission()
	s.mu.Unlock()
	switch decision {
	case slots.RefusedDeadline:
		return nil, errExpired
	case slots.RefusedClosed:
		return nil, errOutOfService
	}
	return nil, errEvicted
}

func (s *server) wait(ctx context.Context, t *reservation, ready chan error) (*reservation, error) {
	var err error
	select {
	case err = <-ready:
	case <-ctx.Done():
		s.mu.Lock()
		if s.slots.Cancel(t.id) {
			delete(s.waiters, t.id)
			err = errExpired
		} else {
			// The request got its slot or was refused at the same moment.
			err = <-ready
		}
		s.mu.Unlock()
	}
	if err != nil {
		s.mu.Lock()
		s.releaseAdmission()
		s.mu.Unlock()
		return nil, err
	}
	return t, nil
}

// releaseAdmission undoes ejection.Admit for a request that did not start. The
// caller holds mu.
func (s *server) releaseAdmission() { s.ejection.Done(time.Now(), health.Ignored) }

// applyEffects notifies the queued requests that were started, expired or
// evicted, and logs a server that turned cold. The caller holds mu.
func (s *server) applyEffects(eff slots.Effects) {
	for _, id := range eff.Started {
		s.notify(id, nil)
	}
	for _, id := range eff.Expired {
		s.notify(id, errExpired)
	}
	for _, id := range eff.Evicted {
		s.notify(id, errEvicted)
	}
	if eff.TurnedCold {
		log.WithFields(log.Fields{"event": "server_turned_cold", "server": s.doc.ID, "service": s.doc.Service,
			"limit": s.slots.Limit(), "declared": s.declaredCold}).Warn("server turned cold; reducing its concurrency limit")
		s.requestReport()
	}
}

func (s *server) notify(id uint64, err error) {
	if ready, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		ready <- err
	}
}

// outcome says how a request on a server ended.
type outcome struct {
	notSent bool
	slot    slots.Result
	health  health.Outcome
	latency time.Duration
	cold    bool
	// fingerprint is set on dropped connections.
	fingerprint health.Fingerprint
}

// begin records that the request is being sent.
func (r *reservation) begin() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.sent = true
	r.s.detector.Begin(time.Now(), r.id, r.team, r.route, r.s.cold())
}

// cold reports whether slow responses are expected: the server declares itself
// cold, or has not completed a slow start under this owner. A server that turns
// slow later without declaring it is judged by its response times.
func (s *server) cold() bool { return s.declaredCold || s.firstRamp && s.slots.Cold() }

// progress records that a part of the response arrived.
func (r *reservation) progress() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	now := time.Now()
	r.s.detector.Progress(now, r.id)
	if !r.s.declaredCold {
		r.s.applyEffects(r.s.slots.Progress(now, r.id))
	}
}

// pause stops the stall detection while the response waits for the caller.
func (r *reservation) pause() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.detector.Pause(r.id)
}

// awaitBody records whether the request waits for more of its body.
func (r *reservation) awaitBody(waits bool) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.detector.AwaitBody(time.Now(), r.id, waits)
}

// end releases the slot and passes the outcome to the outlier detector.
func (r *reservation) end(x outcome) {
	now := time.Now()
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	result := x.slot
	if x.notSent {
		result = slots.NotSent
		if !r.sent {
			x.health = health.Ignored
		}
	}
	trialOutcome := x.health
	if r.sent {
		s.declaredCold = x.cold
		done := health.RequestResult{Outcome: x.health, Team: r.team, Route: r.route, Latency: x.latency, Cold: s.cold(), Fingerprint: x.fingerprint}
		slow := s.detector.Slow(done) && !s.declaredCold
		stalled := s.detector.End(now, r.id, done)
		// While a server gets trial traffic after an ejection, a request that
		// stalls until its deadline is a failure, and so is a slow response
		// after an ejection for slowness.
		if stalled && trialOutcome == health.Ignored || slow && trialOutcome == health.Success && s.ejection.RejectsSlow() {
			trialOutcome = health.Failure
		}
	}
	s.applyEffects(s.slots.Finish(now, r.id, slots.Completion{Result: result, Route: r.route, Latency: x.latency, Cold: x.cold}))
	if !s.slots.Cold() {
		s.firstRamp = false
	}
	s.applyEjectionChange(now, s.ejection.Done(now, trialOutcome))
	s.applyEjectionChange(now, s.ejection.ApplyAssessment(now, s.detector.Assess(now)))
}

// advance updates the state that depends on time: queue deadlines, stalled
// requests and the ejection state.
func (s *server) advance(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEffects(s.slots.Advance(now))
	if at := s.detector.Wake(); !at.IsZero() && !at.After(now) {
		s.detector.Check(now)
	}
	s.applyEjectionChange(now, s.ejection.Advance(now))
	if s.ejection.State() == health.InService || s.ejection.State() == health.Failing {
		s.applyEjectionChange(now, s.ejection.ApplyAssessment(now, s.detector.Assess(now)))
	}
}

// applyEjectionChange carries out and logs a change of the ejection state. The
// caller holds mu.
func (s *server) applyEjectionChange(now time.Time, c *health.Change) {
	if c == nil {
		return
	}
	v := s.detector.Assess(now)
	entry := log.WithFields(log.Fields{"event": "server_" + c.To.String(), "server": s.doc.ID, "service": s.doc.Service,
		"from": c.From.String(), "reason": c.Reason, "evidence": s.ejection.LastReason(), "score": v.Score,
		"failure_share": v.FailureShare, "median_us": v.Median.Microseconds(), "backoff_ms": c.Backoff.Milliseconds()})
	switch c.To {
	case health.Failing:
		s.pathChecked, s.pathBroken = false, false
		entry.Warn("server failing")
	case health.Ejected:
		for _, id := range s.slots.Flush().Evicted {
			s.notify(id, errOutOfService)
		}
		s.detector.Reset()
		entry.Warn("server ejected")
	case health.InService:
		if c.From == health.HalfOpen {
			s.slots.Reset()
			s.firstRamp = true
			s.detector.Reset()
		}
		entry.Info("server in service")
	default:
		entry.Info("server " + c.To.String())
	}
	if c.From == health.Ejected && c.To == health.Failing || c.From == health.HalfOpen && c.To == health.Failing {
		s.slots.Reset()
	}
	s.requestReport()
}

func (s *server) load(now time.Time) *peerpb.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &peerpb.ServerLoad{Server: s.doc.ID, InUse: uint32(s.slots.InUse(now)), Limit: uint32(s.slots.Limit()),
		Queued: uint32(s.slots.QueueLen()), Avoid: s.ejection.Avoid()}
	if s.ejection.State() == health.HalfOpen {
		// If entries avoided the server, it would get no trial traffic and
		// could not return to service.
		l.Limit, l.Avoid = 1, false
	}
	return l
}

// classify returns the outcome of a request that got no response, and its
// error.
func classify(ctx context.Context, err error) (outcome, *errkind.Error) {
	switch {
	case errors.Is(err, backend.ErrConnect):
		return outcome{notSent: true, health: health.ConnectFailure}, errkind.Errorf(errkind.NoServer, "%w", err)
	case errors.Is(err, backend.ErrNotSent) && ctx.Err() != nil:
		return outcome{notSent: true, health: health.Ignored}, errkind.Errorf(errkind.DeadlineExceededQueued, "%w", err)
	case errors.Is(err, backend.ErrNotSent):
		return outcome{notSent: true, health: health.Ignored}, errkind.Errorf(errkind.NoServer, "%w", err)
	case ctx.Err() != nil:
		return outcome{slot: slots.Aborted, health: health.Ignored}, errkind.Errorf(errkind.DeadlineExceeded, "%w", err)
	case errors.Is(err, backend.ErrDropped):
		return outcome{slot: slots.Aborted, health: health.Dropped}, errkind.Errorf(errkind.BackendFailed, "%w", err)
	}
	return outcome{slot: slots.Aborted, health: health.Failure}, errkind.Errorf(errkind.BackendFailed, "%w", err)
}
