package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

const (
	// tickInterval is how often asks that wait are looked at again.
	tickInterval = 25 * time.Millisecond
	// minHeartbeatInterval is the time between heartbeats to members in a small fleet;
	// heartbeatPerMember makes it grow so that heartbeats stay a small share of an
	// instance.
	minHeartbeatInterval = 200 * time.Millisecond
	heartbeatPerMember   = 1500 * time.Microsecond
	// missedHeartbeats heartbeats without an answer mean that a member is lost.
	missedHeartbeats = 4
	// rosterMemory is how long a member that was lost counts as part of the
	// fleet.
	rosterMemory = 30 * time.Second
	// takeoverGrace is how long a new coordinator waits for the members
	// before it takes those that are missing for cut off.
	takeoverGrace = 1500 * time.Millisecond
	// conflictInterval is the time between looks for another coordinator while
	// members are missing.
	conflictInterval = time.Second
	// memberQueue is the number of messages that may wait for a member.
	memberQueue = 512
)

// link is the coordinator's end of a member's stream.
type link struct {
	peer     Peer
	out      chan *peerpb.CoordinatorMessage
	close    func()
	lastSeen time.Time
	leaving  bool
	// standby members hold the backend servers.
	standby bool
}

// coordinator runs the dispatcher for all members.
type coordinator struct {
	fleet  *Fleet
	cancel context.CancelFunc

	mu       sync.Mutex
	dispatch *dispatch.Dispatcher
	links    map[string]*link
	// missing holds lost members, by when they were lost. Those whose
	// connection was reset have ended and are not held here.
	missing map[string]time.Time
	// lost holds all lost members, by when they were lost. They leave the
	// roster if they do not come back.
	lost    map[string]time.Time
	started time.Time
	closed  bool
	// rosterChange is what members have yet to hear of the roster.
	rosterChange rosterChange
}

// coordinate runs this instance as the coordinator until it steps down.
func (f *Fleet) coordinate(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := f.newCoordinator(cancel)
	f.mu.Lock()
	f.coordinator = c
	f.following = f.opts.Self.Address
	f.mu.Unlock()
	log.WithFields(log.Fields{"event": "coordinator_started", "roster": len(f.mirror.rosterWithout(""))}).Info("this instance coordinates the fleet")
	detach := f.member.attachLocal(ctx, c)
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){c.tick, c.heartbeat, c.findOtherCoordinator, c.readStore, c.record} {
		wg.Go(func() { run(ctx) })
	}
	<-ctx.Done()
	f.mu.Lock()
	f.coordinator = nil
	f.following = ""
	f.mu.Unlock()
	c.stop()
	detach()
	wg.Wait()
	log.WithField("event", "coordinator_stopped").Info("this instance no longer coordinates")
}

func (f *Fleet) newCoordinator(cancel context.CancelFunc) *coordinator {
	now := time.Now()
	c := &coordinator{
		fleet: f, cancel: cancel, links: make(map[string]*link), missing: make(map[string]time.Time),
		lost: make(map[string]time.Time), started: now, rosterChange: newRosterChange(f.mirror.rosterWithout("")),
		dispatch: dispatch.New(now, f.opts.Bounds, rand.Uint64()),
	}
	m := f.mirror
	if x := m.index.Load(); x != nil {
		c.dispatch.SetConfig(now, x.Config)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster[f.opts.Self.Address] = f.opts.Self
	for id, s := range m.servers {
		s.Cold = max(0, m.coldUntil[id].Sub(now))
		c.dispatch.SetServer(now, s)
	}
	var out []string
	for name := range m.domainsOut {
		out = append(out, name)
	}
	c.dispatch.SetDomainsOut(now, out)
	c.dispatch.Suspect(now, m.suspicions)
	for a := range m.roster {
		c.missing[a], c.lost[a] = now, now
	}
	return c
}

// resign ends the coordination; the members turn to the next of the succession.
func (c *coordinator) resign(reason string) {
	log.WithFields(log.Fields{"event": "coordinator_resigns", "reason": reason}).Info("coordinator resigns")
	c.cancel()
}

func (c *coordinator) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.links {
		l.close()
	}
}

func (c *coordinator) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links)
}

// join adds a member and sends it all that is known.
func (c *coordinator) join(l *link, running []*peerpb.Running) error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errNotCoordinator
	}
	if old := c.links[l.peer.Address]; old != nil {
		old.close()
		c.deliver(c.dispatch.RemoveMember(now, l.peer.Address))
	}
	l.lastSeen = now
	c.links[l.peer.Address] = l
	delete(c.missing, l.peer.Address)
	delete(c.lost, l.peer.Address)
	c.rosterChange.join(l.peer)
	c.fleet.mirror.addPeer(l.peer)
	state, err := c.fleet.mirror.complete()
	if err != nil {
		return err
	}
	if l.standby = c.isStandby(l.peer); l.standby {
		state.Servers = c.fleet.mirror.serverMessages(now)
	}
	c.dispatch.SetMember(l.peer.Address, l.peer.Domain, l.peer.Capacity, false)
	for _, r := range running {
		c.dispatch.Adopt(now, l.peer.Address, r.Server, int(r.Count))
	}
	c.send(l, &peerpb.CoordinatorMessage{State: state})
	c.updateShare(now)
	return nil
}

// part removes a member. A member whose connection was reset has ended; one
// that fell silent may live on behind a partition.
func (c *coordinator) part(l *link, silent bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.peer.Address] != l {
		return
	}
	delete(c.links, l.peer.Address)
	l.close()
	c.lost[l.peer.Address] = now
	if silent && !l.leaving {
		c.missing[l.peer.Address] = now
	}
	if l.leaving {
		c.fleet.mirror.removePeer(l.peer.Address)
		c.rosterChange.leave(l.peer.Address)
	}
	c.deliver(c.dispatch.RemoveMember(now, l.peer.Address))
	c.updateShare(now)
	if !c.closed {
		log.WithFields(log.Fields{"event": "member_lost", "member": l.peer.Name, "silent": silent, "leaving": l.leaving}).Info("member lost")
	}
}

// receive handles a message of a member.
func (c *coordinator) receive(l *link, m *peerpb.MemberMessage) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	l.lastSeen = now
	switch {
	case m.Ask != nil:
		c.deliver(c.dispatch.Ask(now, askOf(now, l.peer, m.Ask)))
	case m.Done != nil:
		d := m.Done
		c.deliver(c.dispatch.Done(now, dispatch.Report{
			Permit: d.Permit, Member: l.peer.Address, Server: d.Server, Fingerprint: d.Fingerprint,
			Outcome: dispatch.Outcome(d.Outcome), Took: time.Duration(d.TookMs) * time.Millisecond, Bytes: int64(d.Bytes),
		}))
	case m.Withdraw != 0:
		c.dispatch.Withdraw(l.peer.Address, m.Withdraw)
	case m.Leaving:
		l.leaving = true
		c.dispatch.SetMember(l.peer.Address, l.peer.Domain, l.peer.Capacity, true)
	}
}

func askOf(now time.Time, p Peer, a *peerpb.Ask) dispatch.Ask {
	return dispatch.Ask{
		Member: p.Address, Number: a.Number, Domain: p.Domain, Route: a.Route, Team: a.Team, Service: a.Service,
		Avoid: a.Avoid, Fingerprint: a.Fingerprint, Repeat: a.Repeat, Admitted: a.Admitted, Reasked: a.Reasked,
		Deadline: now.Add(time.Duration(a.LeftMs) * time.Millisecond),
		Since:    now.Add(-time.Duration(a.WaitedMs) * time.Millisecond),
	}
}

// deliver sends decisions to the members that asked.
func (c *coordinator) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		l := c.links[d.Member]
		if l == nil {
			continue
		}
		if d.Refusal != nil {
			c.send(l, &peerpb.CoordinatorMessage{Refuse: &peerpb.Refuse{
				Ask: d.Ask, Kind: string(d.Refusal.Kind), RetryAfterMs: uint32(d.Refusal.RetryAfter.Milliseconds()), Why: d.Refusal.Why,
			}})
			continue
		}
		p := d.Permit
		c.send(l, &peerpb.CoordinatorMessage{Permit: &peerpb.Permit{
			Ask: d.Ask, Number: p.Number, Server: p.Server.ID, ServerAddress: p.Server.Address, Service: p.Service,
			Via: p.Via, StallMs: uint32(p.Stall.Milliseconds()),
		}})
	}
}

// send queues a message. A member that does not take its messages is lost.
func (c *coordinator) send(l *link, m *peerpb.CoordinatorMessage) {
	select {
	case l.out <- m:
	default:
		l.close()
	}
}

// forgetLost takes members that did not come back out of the roster, so that it
// does not grow with every instance that is replaced.
func (c *coordinator) forgetLost(now time.Time) {
	for a, at := range c.lost {
		if now.Sub(at) <= rosterMemory {
			continue
		}
		delete(c.lost, a)
		c.fleet.mirror.removePeer(a)
		c.rosterChange.leave(a)
	}
}

// updateShare tells the dispatcher which share of the fleet is in contact.
func (c *coordinator) updateShare(now time.Time) {
	missing := 0
	for a, at := range c.missing {
		if now.Sub(at) > rosterMemory {
			delete(c.missing, a)
			continue
		}
		missing++
	}
	share := 1.0
	if now.Sub(c.started) > takeoverGrace && missing > 0 {
		share = float64(len(c.links)) / float64(len(c.links)+missing)
		if share >= majorityFloor {
			// A few silent instances could coordinate a few requests only.
			share = max(share, majorityFloor)
		}
		if share >= fewMissing {
			share = 1
		}
	}
	c.dispatch.SetShare(now, share)
}

const (
	// majorityFloor is the share that the larger side of a partition keeps.
	majorityFloor = 0.5
	// fewMissing is the share above which the missing instances are too few
	// to exceed a bound by themselves: the agreed slack is a tenth.
	fewMissing = 0.95
)

func (c *coordinator) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			c.mu.Lock()
			c.deliver(c.dispatch.Tick(now))
			transitions, checks := c.dispatch.Transitions(), c.dispatch.PathChecks()
			c.mu.Unlock()
			logTransitions(transitions)
			for _, check := range checks {
				go c.checkPaths(ctx, check)
			}
		}
	}
}

// logTransitions writes a line for each server that came to be suspected or trusted.
// Their number is bounded by the observations of a tick.
func logTransitions(transitions []dispatch.Transition) {
	for _, t := range transitions {
		event := "server_trusted"
		if t.Suspected {
			event = "server_suspected"
		}
		log.WithFields(log.Fields{
			"event": event, "server": t.Server, "service": t.Service, "outcome": t.Outcome.String(), "probability": t.Bad,
		}).Info("belief about a backend server changed")
	}
}

// heartbeatInterval returns the time between heartbeats in a fleet of a size.
func heartbeatInterval(members int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(members)*heartbeatPerMember)
}

func (c *coordinator) heartbeat(ctx context.Context) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		every := heartbeatInterval(c.size())
		sleep(ctx, every)
		now := time.Now()
		c.mu.Lock()
		suspicions := c.suspicions(now, n)
		var silent []*link
		for _, l := range c.links {
			if now.Sub(l.lastSeen) > missedHeartbeats*every && l.peer.Address != c.fleet.opts.Self.Address {
				silent = append(silent, l)
				continue
			}
			m := &peerpb.CoordinatorMessage{Beat: n}
			if l.standby {
				m.State = suspicions
			}
			c.send(l, m)
		}
		c.updateShare(now)
		c.forgetLost(now)
		if s := c.rosterChange.take(); s != nil {
			c.broadcast(s)
		}
		c.chooseStandbys(now)
		c.mu.Unlock()
		for _, l := range silent {
			c.part(l, true)
		}
	}
}

// suspicionHeartbeats is the number of heartbeats between copies of the beliefs
// about backend servers.
const suspicionHeartbeats = 2

func (c *coordinator) suspicions(now time.Time, beat uint64) *peerpb.FleetState {
	if beat%suspicionHeartbeats != 0 {
		return nil
	}
	var out []*peerpb.Suspicion
	for _, s := range c.dispatch.Suspicions(now) {
		out = append(out, &peerpb.Suspicion{Server: s.Server, Probability: float32(s.Bad)})
	}
	if len(out) == 0 {
		return nil
	}
	return &peerpb.FleetState{Suspicions: out}
}

// apply takes over changes that were read from the store and passes them on.
func (c *coordinator) apply(changes []catalog.Change) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delta := &peerpb.FleetState{}
	for _, ch := range changes {
		c.applyOne(now, ch, delta)
	}
	if len(delta.Config) > 0 || len(delta.Servers) > 0 || len(delta.Gone) > 0 || delta.HasDomainsOut {
		c.broadcast(delta)
	}
}
