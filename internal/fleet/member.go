package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// attachTimeout bounds the wait for a coordinator's first message.
const attachTimeout = 600 * time.Millisecond

// PermitRequest describes a request that needs a permit.
type PermitRequest struct {
	Route, Team string
	// Service and ExcludedServers are those of earlier attempts.
	Service         string
	ExcludedServers []string
	Fingerprint     uint64
	// Deadline is when the response is due.
	Deadline time.Time
	// ArrivedAt is when the request arrived.
	ArrivedAt time.Time
	// IsRetry is set if an earlier attempt reached a backend server.
	IsRetry bool
	// Admitted is set if an earlier attempt was counted against the team's rate
	// limit.
	Admitted bool
	// ConfigVersion is that of the configuration by which the request was resolved.
	ConfigVersion uint64
}

// Permit allows one attempt of a request.
type Permit struct {
	id      uint64
	Server  string
	Address string
	Service string
	// Via is the address of the instance that sends the request to the server;
	// "" is this one.
	Via string
	// StallTimeout is how long a repeatable request may run before it is retried on
	// another server; 0 means no limit.
	StallTimeout time.Duration
	// Basis is what decided for the server, for the log.
	Basis       dispatch.Basis
	fingerprint uint64
	// incarnation is that of the server.
	incarnation int64
}

// Refused is the error for a permit that the coordinator denied.
type Refused struct {
	Kind       errkind.Kind
	RetryAfter time.Duration
	// Reason states the inputs of the decision, for the log.
	Reason string
}

// Error implements error.
func (r *Refused) Error() string { return fmt.Sprintf("refused: %s: %s", r.Kind, r.Reason) }

// coordinatorSender sends messages to the coordinator.
type coordinatorSender interface {
	send(*peerpb.MemberMessage) error
}

// Member requests permits from the coordinator. It keeps pending requests while
// there is no coordinator and resubmits them to the next one.
type Member struct {
	fleet *Fleet

	mu            sync.Mutex
	toCoordinator coordinatorSender
	lastID        uint64
	pending       map[uint64]*pendingRequest
	// running counts in-flight requests by backend server.
	running map[string]uint32
	// limits holds the rate limits that backend servers named to this instance.
	limits map[string]namedLimit
	// term is that of the coordinator, process a random number of this process.
	term, process uint64
	admissions    *dispatch.AdmissionLog
	startedAt     time.Time
}

type pendingRequest struct {
	PermitRequest
	resubmitted bool
	result      chan permitResult
}

type permitResult struct {
	permit *Permit
	err    error
}

func newMember(f *Fleet) *Member {
	return &Member{
		fleet: f, pending: make(map[uint64]*pendingRequest), running: make(map[string]uint32), limits: make(map[string]namedLimit),
		process: rand.Uint64(), admissions: dispatch.NewAdmissionLog(f.opts.Bounds.QuotaWindow), startedAt: time.Now(),
	}
}

// Acquire waits for a permit. It returns a *Refused error if the coordinator
// denies it, and the context's error if the context ends first.
func (f *Fleet) Acquire(ctx context.Context, req PermitRequest) (*Permit, error) {
	m := f.member
	p := &pendingRequest{PermitRequest: req, result: make(chan permitResult, 1)}
	m.mu.Lock()
	m.lastID++
	id := m.lastID
	m.pending[id] = p
	ask := p.toProto(id)
	toCoordinator := m.toCoordinator
	m.mu.Unlock()
	if toCoordinator != nil {
		_ = toCoordinator.send(&peerpb.MemberMessage{Ask: ask})
	}
	select {
	case r := <-p.result:
		return r.permit, r.err
	case <-ctx.Done():
	}
	m.mu.Lock()
	_, stillPending := m.pending[id]
	delete(m.pending, id)
	toCoordinator = m.toCoordinator
	m.mu.Unlock()
	if !stillPending {
		// The decision arrived concurrently with the end of the context.
		r := <-p.result
		if r.permit != nil {
			f.Release(r.permit, dispatch.Cancelled, 0, 0)
		}
		return nil, ctx.Err()
	}
	if toCoordinator != nil {
		_ = toCoordinator.send(&peerpb.MemberMessage{Withdraw: id})
	}
	return nil, ctx.Err()
}

// Release reports a permitted request's outcome, its duration and the bytes of
// request and response.
func (f *Fleet) Release(p *Permit, o dispatch.Outcome, took time.Duration, bytes int64) {
	m := f.member
	m.mu.Lock()
	if m.running[p.Server] > 1 {
		m.running[p.Server]--
	} else {
		delete(m.running, p.Server)
	}
	toCoordinator := m.toCoordinator
	m.mu.Unlock()
	if toCoordinator == nil {
		return
	}
	_ = toCoordinator.send(&peerpb.MemberMessage{Done: &peerpb.Done{
		Permit: p.id, Outcome: uint32(o), TookMs: uint32(took.Milliseconds()), Server: p.Server, Fingerprint: p.fingerprint,
		Bytes: uint64(bytes),
	}})
}

// toProto returns the message for the coordinator. The caller holds mu.
func (p *pendingRequest) toProto(id uint64) *peerpb.Ask {
	now := time.Now()
	return &peerpb.Ask{
		Number: id, Route: p.Route, Team: p.Team, Service: p.Service, Avoid: p.ExcludedServers,
		LeftMs: uint32(max(0, p.Deadline.Sub(now)).Milliseconds()), WaitedMs: uint32(now.Sub(p.ArrivedAt).Milliseconds()),
		Fingerprint: p.Fingerprint, Repeat: p.IsRetry, Admitted: p.Admitted, Reasked: p.resubmitted, ConfigVersion: p.ConfigVersion,
	}
}

// handle processes a message from the coordinator.
func (m *Member) handle(c *peerpb.CoordinatorMessage) error {
	m.fleet.noteConfigAge(time.Now(), c)
	if c.State != nil {
		if err := m.fleet.replica.apply(c.State, time.Now()); err != nil {
			return err
		}
		m.fleet.noteServersLeaving(c.State.ServersLeaving)
	}
	if c.Members > 0 {
		m.fleet.mu.Lock()
		m.fleet.memberCount = int(c.Members)
		m.fleet.mu.Unlock()
	}
	switch {
	case c.Permit != nil:
		m.handlePermit(c.Permit)
	case c.Refuse != nil:
		r := c.Refuse
		m.resolve(r.Ask, permitResult{err: &Refused{
			Kind: errkind.Kind(r.Kind), RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond, Reason: r.Why,
		}})
	}
	return nil
}

// reasonToProto shortens the usual reason, since each permit carries one.
func reasonToProto(r dispatch.Reason) string {
	if r == dispatch.Trusted {
		return ""
	}
	return string(r)
}

// outcomeAgeToProto returns 0 for a negative age, which means that there was no outcome.
func outcomeAgeToProto(age time.Duration) uint32 {
	if age < 0 {
		return 0
	}
	return uint32(age.Milliseconds()) + 1
}

func reasonFromProto(r string) dispatch.Reason {
	if r == "" {
		return dispatch.Trusted
	}
	return dispatch.Reason(r)
}

func (m *Member) handlePermit(p *peerpb.Permit) {
	permit := &Permit{
		id: p.Number, Server: p.Server, Address: p.ServerAddress, Service: p.Service, Via: p.Via, incarnation: p.Incarnation,
		StallTimeout: time.Duration(p.StallMs) * time.Millisecond,
		Basis: dispatch.Basis{
			Reason: reasonFromProto(p.Reason), FailureProbability: float64(p.FailureProbability),
			OutcomeAge: time.Duration(p.OutcomeAgeMs)*time.Millisecond - time.Millisecond,
		},
	}
	if permit.Via == m.fleet.opts.Self.Address {
		permit.Via = ""
	}
	m.mu.Lock()
	request := m.pending[p.Ask]
	if request != nil {
		m.running[p.Server]++
		m.noteAdmitted(&request.PermitRequest)
		permit.fingerprint = request.Fingerprint
	}
	toCoordinator := m.toCoordinator
	m.mu.Unlock()
	if request == nil {
		if toCoordinator != nil {
			_ = toCoordinator.send(&peerpb.MemberMessage{Done: &peerpb.Done{Permit: p.Number, Outcome: uint32(dispatch.Cancelled)}})
		}
		return
	}
	m.resolve(p.Ask, permitResult{permit: permit})
}

func (m *Member) resolve(id uint64, r permitResult) {
	m.mu.Lock()
	request := m.pending[id]
	delete(m.pending, id)
	m.mu.Unlock()
	if request != nil {
		request.result <- r
	}
}

// setCoordinator submits all pending requests to a new coordinator, in its term.
func (m *Member) setCoordinator(toCoordinator coordinatorSender, term uint64) {
	m.mu.Lock()
	m.toCoordinator, m.term = toCoordinator, term
	var asks []*peerpb.Ask
	for id, request := range m.pending {
		asks = append(asks, request.toProto(id))
		request.resubmitted = true
	}
	m.mu.Unlock()
	for _, a := range asks {
		_ = toCoordinator.send(&peerpb.MemberMessage{Ask: a})
	}
}

// clearCoordinator marks pending requests as submitted to a lost coordinator.
func (m *Member) clearCoordinator() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.toCoordinator = nil
	for _, request := range m.pending {
		request.resubmitted = true
	}
}

func (m *Member) leave() {
	m.mu.Lock()
	toCoordinator := m.toCoordinator
	m.mu.Unlock()
	if toCoordinator != nil {
		_ = toCoordinator.send(&peerpb.MemberMessage{Leaving: true})
	}
}

func (m *Member) hello() *peerpb.MemberHello {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	h := &peerpb.MemberHello{
		Self: peerToProto(m.fleet.opts.Self), Limits: m.limitsToProto(now), Admissions: m.admissionsToProto(now), Process: m.process,
		AgeMs: uint32(min(now.Sub(m.startedAt).Milliseconds(), math.MaxUint32)),
	}
	if m.fleet.opts.Sender != nil {
		h.ServersLeaving = leavingToProto(m.fleet.opts.Sender.Leaving())
	}
	for s, count := range m.running {
		h.Running = append(h.Running, &peerpb.Running{Server: s, Count: count})
	}
	return h
}

// remoteCoordinator sends over the stream to a coordinator on another instance.
type remoteCoordinator struct {
	mu     sync.Mutex
	stream peerpb.DRPCCoordination_AttendClient
}

func (r *remoteCoordinator) send(m *peerpb.MemberMessage) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Send(m)
}

// attach follows a coordinator until the connection to it is lost.
func (f *Fleet) attach(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := f.peerConns.connect(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := peerpb.NewDRPCCoordinationClient(conn).Attend(ctx)
	if err != nil {
		return fmt.Errorf("attach to %s: %w", address, err)
	}
	toCoordinator := &remoteCoordinator{stream: stream}
	w := newWatchdog(attachTimeout, func() { _ = conn.Close() })
	defer w.stop()
	if err := toCoordinator.send(&peerpb.MemberMessage{Hello: f.member.hello()}); err != nil {
		return fmt.Errorf("attach to %s: %w", address, err)
	}
	first := true
	defer f.detach()
	for {
		m, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("attached to %s: %w", address, err)
		}
		w.reset()
		if err := f.member.handle(m); err != nil {
			return err
		}
		if first {
			first = false
			if m.State == nil || !m.State.Complete {
				return errors.New("first message of the coordinator does not hold the complete state")
			}
			if err := f.sendNewerConfig(toCoordinator, m.State.ConfigVersion); err != nil {
				return fmt.Errorf("attached to %s: %w", address, err)
			}
			w.setTimeout(maxMissedHeartbeats * heartbeatInterval(len(m.State.Roster)))
			f.setFollowedCoordinator(address)
			f.member.setCoordinator(toCoordinator, m.State.Term)
			if f.isLeaving() {
				f.member.leave()
			}
			log.WithFields(log.Fields{"event": "attached", "coordinator": address, "roster": len(m.State.Roster)}).Info("attached to the coordinator")
		}
		if m.Beat != 0 {
			if err := toCoordinator.send(&peerpb.MemberMessage{Beat: m.Beat}); err != nil {
				return fmt.Errorf("attached to %s: %w", address, err)
			}
		}
	}
}

// sendNewerConfig sends this instance's configuration to a coordinator whose own is
// older, as that of a successor may be.
func (f *Fleet) sendNewerConfig(toCoordinator coordinatorSender, version uint64) error {
	if f.replica.configVersion() <= version {
		return nil
	}
	encoded, err := f.replica.encodedConfig()
	if err != nil {
		return err
	}
	return toCoordinator.send(&peerpb.MemberMessage{Config: encoded})
}

func (f *Fleet) detach() {
	f.member.clearCoordinator()
	f.setFollowedCoordinator("")
	f.mu.Lock()
	f.configReadAt = time.Time{}
	f.mu.Unlock()
}

// localCoordinator passes messages to the coordinator on this instance.
type localCoordinator struct {
	coordinator *coordinator
	session     *memberSession
}

func (l *localCoordinator) send(m *peerpb.MemberMessage) error {
	l.coordinator.receive(l.session, m)
	return nil
}

// attachLocal makes this instance a member of its own coordinator, until the
// context is done. The returned function waits until that has happened and
// detaches the member.
func (m *Member) attachLocal(ctx context.Context, c *coordinator) (detach func()) {
	session := &memberSession{peer: m.fleet.opts.Self, outbox: make(chan *peerpb.CoordinatorMessage, memberQueueLength), close: func() {}}
	if err := c.join(session, m.hello()); err != nil {
		log.WithField("event", "coordinator_not_joined").WithError(err).Error("could not join the coordinator on this instance")
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case msg := <-session.outbox:
				// The state is already in this instance's replica.
				msg = &peerpb.CoordinatorMessage{Permit: msg.Permit, Refuse: msg.Refuse}
				if err := m.handle(msg); err != nil {
					log.WithField("event", "message_not_handled").WithError(err).Error("could not handle a message of the coordinator")
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	m.setCoordinator(&localCoordinator{coordinator: c, session: session}, c.dispatcher.Term())
	return func() {
		<-done
		m.clearCoordinator()
	}
}
