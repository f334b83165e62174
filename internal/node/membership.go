package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/freshness"
	"trefoilstream.example/trefoilstream/internal/journal"
	"trefoilstream.example/trefoilstream/internal/logservice"
	"trefoilstream.example/trefoilstream/internal/membership"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// memberTick is the tick interval of the membership state machine.
	memberTick = 50 * time.Millisecond
	// memberTimeout bounds a call of the Membership service.
	memberTimeout = time.Second
	// appendTimeout bounds one append of a membership record.
	appendTimeout = 2 * time.Second
	// logReadableFor is how long after a complete log read appends are
	// attempted.
	logReadableFor = time.Second
	// confirmEndedFor is how long after a member was fenced its process is
	// probed, once per tick. It ends with the guard time after which a successor
	// acts.
	confirmEndedFor = rights.SuccessorGuard
	// confirmDialTimeout bounds one probe.
	confirmDialTimeout = 200 * time.Millisecond
	// readyAfterLease is how long after its first lease an instance becomes
	// ready. When a whole fleet starts, the owners of the rate shards begin
	// to grant tokens within this time; earlier callers would be refused.
	readyAfterLease = time.Second
	// readyWithoutLease is how long after it first confirmed its configuration
	// an instance becomes ready without a lease. It can't join while the log is
	// unavailable, but can accept and forward requests.
	readyWithoutLease = 10 * time.Second
	// missingBeforeStopped is how long an instance must be missing from the
	// instance list before the platform counts as having ended its process.
	missingBeforeStopped = 10 * time.Second
)

// members runs the membership of one instance: it sends the requests of a
// membership.Agent, handles those of peers, and decides whether the configuration
// is recent enough to serve.
type members struct {
	node *Node

	mu        sync.Mutex
	agent     *membership.Agent
	fresh     *freshness.Tracker
	logReadAt time.Time
	reason    freshness.Reason
	hadLease  bool
	leaving   bool
	// firstFresh and firstLease are when the instance first confirmed its
	// configuration and first held a lease.
	firstFresh, firstLease time.Time
	// wake ends the wait for the next tick.
	wake chan struct{}

	absences  *absenceTracker
	relay     relay
	transfers rightTransfers
	// confirming holds the members that confirmEnded is probing.
	confirming sync.Map
}

func newMembers(n *Node, self roster.Member) *members {
	m := &members{node: n, wake: make(chan struct{}, 1), absences: newAbsenceTracker(self.ID), fresh: freshness.New(self.ID)}
	m.transfers.requested = make(map[string]time.Time)
	m.agent = membership.New(time.Now(), membership.Config{
		Self: self, Witnesses: roster.DefaultWitnesses,
		Stopped: func(ref roster.Ref) bool { return m.absences.stopped(time.Now(), ref.ID) },
	})
	return m
}

// ledger returns the rights of this instance.
func (m *members) ledger() *rights.Ledger { return m.agent.Ledger() }

// applied passes a newly applied roster and log offset to the state machines.
func (m *members) applied(r *roster.Roster, offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fresh.Applied(offset)
	m.agent.Apply(time.Now(), r)
	m.fresh.SetPeers(m.agent.FreshnessPeers())
}

// logRead records that the log was read to its end and applied.
func (m *members) logRead(startedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logReadAt = time.Now()
	m.fresh.LogRead(startedAt)
	m.decide(m.logReadAt)
}

// decide updates whether the instance may serve and whether it is ready.
func (m *members) decide(now time.Time) {
	reason := m.fresh.Decide(now)
	m.node.state.SetFresh(reason != freshness.Stale)
	if reason != m.reason {
		log.WithFields(log.Fields{"event": "freshness_changed", "confirmed_by": reason, "offset": m.node.state.Offset()}).Info("source of the configuration's confirmation changed")
		m.reason = reason
	}
	m.markReady(now, reason != freshness.Stale)
	if leased := m.agent.LeaseValid(now); leased != m.hadLease {
		self := m.agent.Self()
		log.WithFields(log.Fields{"event": "lease_changed", "valid": leased, "incarnation": self.Incarnation, "epoch": m.agent.Roster().Epoch}).Info("membership lease changed")
		m.hadLease = leased
	}
}

// markReady marks the instance as ready for callers once it can serve them.
func (m *members) markReady(now time.Time, fresh bool) {
	if m.firstFresh.IsZero() && fresh {
		m.firstFresh = now
	}
	if m.firstLease.IsZero() && m.agent.LeaseValid(now) {
		m.firstLease = now
	}
	leased := !m.firstLease.IsZero() && now.Sub(m.firstLease) >= readyAfterLease
	waited := !m.firstFresh.IsZero() && now.Sub(m.firstFresh) >= readyWithoutLease
	if leased || waited {
		m.node.state.Admit()
	}
}

// run ticks the state machine until the context is done.
func (m *members) run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTicker(memberTick)
	defer timer.Stop()
	for ctx.Err() == nil {
		requests, records := m.tick()
		for _, r := range requests {
			calls.Go(func() { m.call(ctx, r) })
		}
		for _, rec := range records {
			calls.Go(func() { m.append(ctx, rec) })
		}
		calls.Go(func() { m.requestRights(ctx) })
		for _, ended := range m.ledger().PossiblyRunning(time.Now(), confirmEndedFor) {
			calls.Go(func() { m.confirmEnded(ctx, ended) })
		}
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.wake:
		}
	}
	return ctx.Err()
}

func (m *members) tick() ([]membership.Request, []roster.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	requests := m.agent.Tick(now)
	var records []roster.Record
	if !m.leaving {
		records = m.agent.Appends(now, now.Sub(m.logReadAt) < logReadableFor)
	}
	m.decide(now)
	return requests, records
}

// wakeNow starts the next tick immediately.
func (m *members) wakeNow() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// append appends a membership record to the log. The state machine returns the
// record again until it is read back, and applying it twice has no effect, so
// errors are only logged.
func (m *members) append(ctx context.Context, rec roster.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	fields := log.Fields{"event": "membership_record", "kind": rec.Kind, "instance": rec.Member.ID, "incarnation": rec.Member.Incarnation}
	if err := m.node.append(ctx, journal.Membership(uuid.NewString(), rec)); err != nil {
		log.WithFields(fields).WithError(err).Warn("membership record not acknowledged by the log")
		return
	}
	log.WithFields(fields).Info("membership record appended")
}

// confirmEnded dials a fenced member. A refused connection shows that the host
// is up and no process listens, so the member's process has ended. Otherwise a
// new owner must count its predecessor's requests as running until their time
// limit. A member that rejoins on its own keeps its listener and isn't mistaken
// for ended.
func (m *members) confirmEnded(ctx context.Context, ended roster.Member) {
	if _, running := m.confirming.LoadOrStore(ended.Ref(), true); running {
		return
	}
	defer m.confirming.Delete(ended.Ref())
	d := net.Dialer{Timeout: confirmDialTimeout}
	conn, err := d.DialContext(ctx, "tcp", ended.PeerAddress)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.ledger().Stopped(ended.Ref())
	}
}

// drain releases all rights and waits, for at most limit, until others can have
// taken them over. While the log is unavailable, they do so once the lease
// expires.
func (m *members) drain(ctx context.Context, limit time.Duration) {
	m.mu.Lock()
	m.agent.Drain()
	m.mu.Unlock()
	m.wakeNow()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, memberTick) {
		m.mu.Lock()
		drained := m.agent.Self().State != roster.Active
		m.mu.Unlock()
		if drained {
			return
		}
	}
}

// leave ends the membership. The instance handles no lease renewals afterwards.
func (m *members) leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	rec := m.agent.Leave()
	m.mu.Unlock()
	m.append(ctx, rec)
}

// absenceTracker tracks how long instances have been missing from the platform's
// instance list. A list counts only if it contains this instance, since
// otherwise it isn't the list of this fleet.
type absenceTracker struct {
	self string

	mu         sync.Mutex
	readsSince time.Time // start of the uninterrupted sequence of valid reads
	lastRead   time.Time
	lastSeen   map[string]time.Time
}

func newAbsenceTracker(self string) *absenceTracker {
	return &absenceTracker{self: self, lastSeen: make(map[string]time.Time)}
}

// observe records a read of the list.
func (a *absenceTracker) observe(now time.Time, list []logservice.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	listsSelf := false
	for _, inst := range list {
		if inst.Kind == logservice.KindProxy {
			a.lastSeen[inst.ID] = now
			listsSelf = listsSelf || inst.ID == a.self
		}
	}
	if !listsSelf || now.Sub(a.lastRead) > missingBeforeStopped/2 {
		a.readsSince = now
	}
	a.lastRead = now
	for id, seen := range a.lastSeen {
		if now.Sub(seen) > 2*missingBeforeStopped {
			delete(a.lastSeen, id)
		}
	}
}

// stopped reports whether the instance has been missing from the list for
// missingBeforeStopped.
func (a *absenceTracker) stopped(now time.Time, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readsSince.IsZero() || now.Sub(a.readsSince) < missingBeforeStopped || now.Sub(a.lastRead) > missingBeforeStopped/2 {
		return false
	}
	seen, ok := a.lastSeen[id]
	return !ok || now.Sub(seen) >= missingBeforeStopped
}
