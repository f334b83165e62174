package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/presence"
)

const (
	// dispatchTickInterval is how often queued permit requests are reconsidered.
	dispatchTickInterval = 25 * time.Millisecond
	// minHeartbeatInterval is the time between heartbeats to members in a small
	// fleet. heartbeatPerMember lengthens it with the size of the fleet, so that
	// heartbeats use only a small share of an instance's CPU.
	minHeartbeatInterval = 200 * time.Millisecond
	heartbeatPerMember   = 1500 * time.Microsecond
	// maxMissedHeartbeats is the number of unanswered heartbeats after which a
	// member is considered lost.
	maxMissedHeartbeats = 4
	// takeoverGracePeriod is how long a new coordinator waits for members to
	// attach before it hands over to one of them.
	takeoverGracePeriod = 1500 * time.Millisecond
	// conflictProbeInterval is the time between probes for another coordinator
	// while members are absent.
	conflictProbeInterval = time.Second
	// memberQueueLength is the number of messages queued for a member.
	memberQueueLength = 512
)

// memberSession is the coordinator's end of a member's stream.
type memberSession struct {
	peer     Peer
	outbox   chan *peerpb.CoordinatorMessage
	close    func()
	lastSeen time.Time
	leaving  bool
	// standby is set for members that replicate the backend servers.
	standby bool
}

// coordinator runs the dispatcher for all members.
type coordinator struct {
	fleet  *Fleet
	cancel context.CancelFunc

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	reader     *storeReader
	// accepting is closed once members may join.
	accepting chan struct{}
	sessions  map[string]*memberSession
	// presence holds which instances are members and which are missing.
	presence *presence.View
	// loggedShare is the share that was logged last.
	loggedShare   float64
	shareLoggedAt time.Time
	// reported holds the addresses of members that told what earlier coordinators
	// admitted to them in the whole last quota window.
	reported  map[string]bool
	startedAt time.Time
	closed    bool
	// rosterDelta holds the roster changes not yet sent to members.
	rosterDelta rosterDelta
	// retriesUnread is set while another coordinator may have recorded retries that
	// are not known here.
	retriesUnread bool
	// recordsLost tells that the store may hold an older coordinator record.
	recordsLost chan struct{}
	// superseded holds entries of an older copy of the directory that are not used
	// until their servers write again.
	superseded map[string]catalog.Server
	// settledEras is the era of the store that each topic's reader has settled in.
	settledEras map[storeTopic]uint64
}

// runCoordinator runs this instance as the coordinator until it steps down.
func (f *Fleet) runCoordinator(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := f.newCoordinator(cancel)
	// Others are told at once, or several instances that start together take over.
	f.mu.Lock()
	f.coordinator = c
	f.followedCoordinator = f.opts.Self.Address
	f.hasFollowed = true
	f.mu.Unlock()
	c.reader.readOperatorFirst(ctx)
	close(c.accepting)
	log.WithFields(log.Fields{"event": "coordinator_started", "roster": len(f.replica.rosterWithout(""))}).Info("this instance is now the coordinator")
	detach := f.member.attachLocal(ctx, c)
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){c.runDispatchTicks, c.sendHeartbeats, c.findOtherCoordinator, c.readStore, c.keepRecord, c.keepRetryRecords} {
		wg.Go(func() { run(ctx) })
	}
	<-ctx.Done()
	f.mu.Lock()
	f.coordinator = nil
	f.followedCoordinator = ""
	f.noteStoreContact(c.reader.configReadAt())
	f.mu.Unlock()
	c.stop()
	detach()
	wg.Wait()
	log.WithField("event", "coordinator_stopped").Info("this instance is no longer the coordinator")
}

func (f *Fleet) newCoordinator(cancel context.CancelFunc) *coordinator {
	now := time.Now()
	c := &coordinator{
		fleet: f, cancel: cancel, accepting: make(chan struct{}), sessions: make(map[string]*memberSession), reported: make(map[string]bool),
		loggedShare: 1, shareLoggedAt: now, startedAt: now, recordsLost: make(chan struct{}, 1), superseded: make(map[string]catalog.Server),
		settledEras: make(map[storeTopic]uint64), rosterDelta: newRosterDelta(f.replica.rosterWithout("")),
		dispatcher: dispatch.New(now, f.opts.Bounds, &f.opts.Policy, rand.Uint64()),
	}
	c.reader = newStoreReader(c)
	c.dispatcher.AwaitRetryRecords()
	r := f.replica
	if x := r.index.Load(); x != nil {
		c.dispatcher.SetConfig(now, x.Config)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster[f.opts.Self.Address] = f.opts.Self
	for id, s := range r.servers {
		s.Cold = max(0, r.coldUntil[id].Sub(now))
		c.dispatcher.SetServer(now, s)
	}
	var out []string
	for name := range r.domainsOut {
		out = append(out, name)
	}
	c.dispatcher.SetDomainsOut(now, out)
	c.dispatcher.RestoreSuspicions(r.suspectedAt, r.suspicions)
	c.presence = presence.NewView(now, slices.Collect(maps.Keys(r.roster)), f.lastStoreContact(now))
	c.updateConnectedShare(now)
	return c
}

// resign makes this coordinator step down. The members fail over to the next
// instance in succession order.
func (c *coordinator) resign(reason string) {
	log.WithFields(log.Fields{"event": "coordinator_resigns", "reason": reason}).Info("coordinator steps down")
	c.cancel()
}

func (c *coordinator) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, session := range c.sessions {
		session.close()
	}
}

func (c *coordinator) memberCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sessions)
}

// join adds a member and sends it the complete state.
func (c *coordinator) join(session *memberSession, hello *peerpb.MemberHello) error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errNotCoordinator
	}
	if old := c.sessions[session.peer.Address]; old != nil {
		old.close()
		c.deliver(c.dispatcher.RemoveMember(now, session.peer.Address))
	}
	for _, l := range hello.GetServersLeaving() {
		c.dispatcher.SetServerLeaving(leavingFromProto(l))
	}
	// Before the session is known, as its first message has to be the complete state.
	c.announceLeaving()
	session.lastSeen = now
	c.sessions[session.peer.Address] = session
	// It may have followed another coordinator meanwhile.
	c.retriesUnread = true
	c.presence.Join(session.peer.Address)
	c.rosterDelta.join(session.peer)
	c.fleet.replica.addPeer(session.peer)
	state, err := c.fleet.replica.completeState()
	if err != nil {
		return err
	}
	state.Term = c.dispatcher.Term()
	if session.standby = c.isStandby(session.peer); session.standby {
		state.Servers = c.fleet.replica.serversToProto(now)
		state.ServersLeaving = leavingToProto(c.dispatcher.LeavingServers())
	}
	c.dispatcher.SetMember(session.peer.Address, session.peer.Domain, session.peer.Capacity, false)
	for _, l := range hello.GetLimits() {
		c.setLimit(now, l)
	}
	c.inheritAdmissions(now, session.peer.Address, hello)
	for _, r := range hello.GetRunning() {
		c.dispatcher.AdoptRunning(now, session.peer.Address, r.Server, int(r.Count))
	}
	c.send(session, &peerpb.CoordinatorMessage{
		State: state, ConfigAgeMs: configAgeToProto(now, c.reader.configReadAt()), Members: uint32(len(c.sessions)),
	})
	c.updateConnectedShare(now)
	return nil
}

// removeMember removes a member whose session has ended for a reason. Whatever it is, the
// member may still run behind a partition, unless it had announced that it stops.
func (c *coordinator) removeMember(session *memberSession, reason error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	address := session.peer.Address
	if c.sessions[address] != session {
		return
	}
	delete(c.sessions, address)
	session.close()
	if session.leaving {
		c.presence.Leave(address)
		c.fleet.replica.removePeer(address)
		c.rosterDelta.leave(address)
	} else {
		c.presence.Lose(now, address)
	}
	c.deliver(c.dispatcher.RemoveMember(now, address))
	c.updateConnectedShare(now)
	if !c.closed {
		log.WithFields(log.Fields{
			"event": "member_lost", "member": session.peer.Name, "leaving": session.leaving, "missing": c.presence.Missing(),
		}).WithError(reason).Info("member lost")
	}
}

// receive handles a message from a member.
func (c *coordinator) receive(session *memberSession, m *peerpb.MemberMessage) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	session.lastSeen = now
	switch {
	case m.Ask != nil:
		c.deliver(c.dispatcher.RequestPermit(now, permitRequestFromProto(now, session.peer, m.Ask)))
	case m.Done != nil:
		d := m.Done
		c.deliver(c.dispatcher.Done(now, dispatch.Report{
			Permit: d.Permit, Member: session.peer.Address, Server: d.Server, Fingerprint: d.Fingerprint,
			Outcome: dispatch.Outcome(d.Outcome), Took: time.Duration(d.TookMs) * time.Millisecond, Bytes: int64(d.Bytes),
		}))
		c.announceLeaving()
	case m.Withdraw != 0:
		c.dispatcher.Withdraw(session.peer.Address, m.Withdraw)
	case len(m.Config) > 0:
		c.adoptConfig(now, session, m.Config)
	case m.Limit != nil:
		c.setLimit(now, m.Limit)
	case m.ServerLeaving != nil:
		c.dispatcher.SetServerLeaving(leavingFromProto(m.ServerLeaving))
		c.announceLeaving()
	case m.Leaving:
		session.leaving = true
		c.dispatcher.SetMember(session.peer.Address, session.peer.Domain, session.peer.Capacity, true)
	}
}

// adoptConfig puts a member's configuration in force if it is newer. The caller
// holds mu.
func (c *coordinator) adoptConfig(now time.Time, session *memberSession, encoded []byte) {
	config, err := decodeConfig(encoded)
	if err != nil {
		log.WithFields(log.Fields{"event": "config_not_adopted", "member": session.peer.Name}).WithError(err).Error("configuration of a member not readable")
		return
	}
	delta := &peerpb.FleetState{}
	c.applyConfig(now, config, delta)
	if len(delta.Config) > 0 {
		c.broadcast(delta)
	}
}

func permitRequestFromProto(now time.Time, p Peer, ask *peerpb.Ask) dispatch.PermitRequest {
	return dispatch.PermitRequest{
		Member: p.Address, Number: ask.Number, Domain: p.Domain, Route: ask.Route, Team: ask.Team, Service: ask.Service,
		ExcludedServers: ask.Avoid, Fingerprint: ask.Fingerprint, IsRetry: ask.Repeat, Admitted: ask.Admitted, Resubmitted: ask.Reasked, ConfigVersion: ask.ConfigVersion,
		Deadline:  now.Add(time.Duration(ask.LeftMs) * time.Millisecond),
		ArrivedAt: now.Add(-time.Duration(ask.WaitedMs) * time.Millisecond),
	}
}

// deliver sends decisions to the members that requested them.
func (c *coordinator) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		session := c.sessions[d.Member]
		if session == nil {
			continue
		}
		if d.Refusal != nil {
			c.send(session, &peerpb.CoordinatorMessage{Refuse: &peerpb.Refuse{
				Ask: d.RequestNumber, Kind: string(d.Refusal.Kind), RetryAfterMs: uint32(d.Refusal.RetryAfter.Milliseconds()), Why: d.Refusal.Reason,
			}})
			continue
		}
		p := d.Permit
		c.send(session, &peerpb.CoordinatorMessage{Permit: &peerpb.Permit{
			Ask: d.RequestNumber, Number: p.Number, Server: p.Server.ID, ServerAddress: p.Server.Address, Service: p.Service, Incarnation: p.Server.Incarnation,
			Via: p.Via, StallMs: uint32(p.StallTimeout.Milliseconds()),
			Reason: reasonToProto(p.Basis.Reason), FailureProbability: float32(p.Basis.FailureProbability),
			OutcomeAgeMs: outcomeAgeToProto(p.Basis.OutcomeAge),
		}})
	}
}

// send queues a message. It closes the session of a member whose queue is full.
func (c *coordinator) send(session *memberSession, m *peerpb.CoordinatorMessage) {
	select {
	case session.outbox <- m:
	default:
		session.close()
	}
}

func (c *coordinator) runDispatchTicks(ctx context.Context) {
	t := time.NewTicker(dispatchTickInterval)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			now := time.Now()
			if c.stoodStill(now.Sub(last)) {
				c.resign("this process stood still for longer than members wait")
				return
			}
			last = now
			c.mu.Lock()
			c.deliver(c.dispatcher.Tick(now))
			transitions, checks := c.dispatcher.Transitions(), c.dispatcher.PathChecks()
			shortfalls, spent := c.dispatcher.FloorShortfalls(), c.dispatcher.SpentRetryBudgets()
			c.mu.Unlock()
			logTransitions(transitions)
			logShortfalls(shortfalls)
			logSpentRetryBudgets(spent)
			for _, check := range checks {
				go c.checkPaths(ctx, check)
			}
		}
	}
}

// stoodStill reports whether the process was stopped, for example suspended, for so long that its
// members have left it. It knows neither what their next coordinator has admitted nor that
// there is one.
func (c *coordinator) stoodStill(gap time.Duration) bool {
	members := c.memberCount()
	return members > 1 && gap > maxMissedHeartbeats*heartbeatInterval(members)
}

// heartbeatInterval returns the time between heartbeats for a number of members.
func heartbeatInterval(members int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(members)*heartbeatPerMember)
}

func (c *coordinator) sendHeartbeats(ctx context.Context) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		every := heartbeatInterval(c.memberCount())
		sleep(ctx, every)
		now := time.Now()
		c.mu.Lock()
		suspicions := c.suspicionUpdate(now, n)
		configAge := configAgeToProto(now, c.reader.configReadAt())
		var silent []*memberSession
		for _, session := range c.sessions {
			if now.Sub(session.lastSeen) > maxMissedHeartbeats*every && session.peer.Address != c.fleet.opts.Self.Address {
				silent = append(silent, session)
				continue
			}
			m := &peerpb.CoordinatorMessage{Beat: n, ConfigAgeMs: configAge, Members: uint32(len(c.sessions))}
			if session.standby {
				m.State = suspicions
			}
			c.send(session, m)
		}
		c.forgetMissing(now)
		c.updateConnectedShare(now)
		c.logShare(now)
		if s := c.rosterDelta.flush(); s != nil {
			c.broadcast(s)
		}
		c.updateStandbys(now)
		c.mu.Unlock()
		for _, session := range silent {
			c.removeMember(session, errMemberSilent)
		}
	}
}

// heartbeatsPerSuspicionUpdate is the number of heartbeats between updates of
// the backend servers' failure probabilities to standbys.
const heartbeatsPerSuspicionUpdate = 2

func (c *coordinator) suspicionUpdate(now time.Time, beat uint64) *peerpb.FleetState {
	if beat%heartbeatsPerSuspicionUpdate != 0 {
		return nil
	}
	var out []*peerpb.Suspicion
	for _, s := range c.dispatcher.Suspicions(now) {
		out = append(out, suspicionToProto(s))
	}
	if len(out) == 0 {
		return nil
	}
	return &peerpb.FleetState{Suspicions: out}
}

// applyChanges applies changes read from the store and broadcasts them to the
// members.
func (c *coordinator) applyChanges(changes []catalog.Change) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delta := &peerpb.FleetState{}
	for _, ch := range changes {
		c.applyChange(now, ch, delta)
	}
	if len(delta.Config) > 0 || len(delta.Servers) > 0 || len(delta.Gone) > 0 || delta.HasDomainsOut {
		c.broadcast(delta)
	}
}
