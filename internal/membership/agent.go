package membership

import (
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/lease"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// epochRequestInterval is the time between two requests to a member that
	// must show that it knows an epoch.
	epochRequestInterval = 200 * time.Millisecond
	// proveAfter is how long such a member may take to reply before its
	// witnesses are asked to fence it.
	proveAfter = 400 * time.Millisecond
	// maxEpochRequests limits how many of these requests are sent at a time.
	maxEpochRequests = 64
	// earlyRenewInterval limits how often a newly fenced member triggers
	// renewals before they are due.
	earlyRenewInterval = 100 * time.Millisecond
	// joinGrace is how long a member may take from its Join to its first
	// renewal before its witnesses try to fence it.
	joinGrace = 5 * time.Second
	// joinWatchPeriod is how long a new member is checked for that. Computing
	// its witnesses takes 0.1 ms per member at the target size of 2,500 instances.
	joinWatchPeriod = time.Minute
	// maxFencedPerMessage limits the fenced members that one message carries.
	maxFencedPerMessage = 256
	// repeatFencedFor is how long replies repeat a newly fenced member.
	repeatFencedFor = 5 * time.Second
)

// Config are the fixed properties of an instance.
type Config struct {
	// Self describes the instance. Its incarnation is chosen at start.
	Self roster.Member
	// Witnesses is the number of witnesses per member; all instances of a
	// fleet need the same.
	Witnesses int
	// Stopped reports whether the platform is known to have ended the process
	// of an instance, so that grants it gave have lapsed. It may be nil.
	Stopped func(roster.Ref) bool
}

// Agent is the membership state machine of one instance. It is not safe for
// concurrent use; its Ledger is.
type Agent struct {
	cfg             Config
	self            roster.Member
	ownIncarnations map[roster.Ref]bool // this process's incarnations
	roster          *roster.Roster
	holder          *lease.Holder
	witness         *lease.Witness
	ledger          *rights.Ledger

	// epochWaits are the epochs that other incarnations have yet to show that
	// they know. barrier holds the incarnations that joined before this member
	// and have yet to show that they know its Join.
	epochWaits  map[roster.Ref]*epochWait
	barrier     map[roster.Ref]roster.Member
	barrierSize int // size of barrier at the last update
	// reached is the highest epoch that each incarnation has shown that it
	// knows.
	reached   map[roster.Ref]uint64
	provers   map[proofID]*lease.Prover
	proven    map[roster.Ref]*fencedMember
	firstSeen map[roster.Ref]time.Time
	scannedAt time.Time // last check of firstSeen for members that never renewed

	// fencedList holds the fenced members in the order in which they became
	// known, fencedSent how many of them each peer has received.
	fencedList     []fencedMember
	fencedSent     map[roster.Ref]int
	renewEarly     bool
	renewedEarlyAt time.Time

	// The freshness peers, computed from the roster peersAt.
	peersAt                   *roster.Roster
	witnessPeers, regionPeers []roster.Member

	lastExchange map[roster.Ref]time.Time
	replied      map[roster.Ref]bool // witnesses that replied to a renewal
	records      appendState
}

// epochWait is an epoch that an incarnation must show that it knows.
type epochWait struct {
	member   roster.Member
	epoch    uint64
	since    time.Time
	lastSent time.Time
}

// proofID identifies a running proof.
type proofID struct {
	ref   roster.Ref
	below uint64
}

// fencedMember is an incarnation that is proven fenced.
type fencedMember struct {
	ref roster.Ref
	// at is when this instance learned of it.
	at time.Time
	// own is set if this instance proved it.
	own bool
}

// New returns the agent of an instance that starts at now.
func New(now time.Time, cfg Config) *Agent {
	if cfg.Stopped == nil {
		cfg.Stopped = func(roster.Ref) bool { return false }
	}
	a := &Agent{
		cfg: cfg, ownIncarnations: make(map[roster.Ref]bool), roster: roster.New(0, nil),
		witness: lease.NewWitness(now), ledger: rights.NewLedger(cfg.Self),
		proven: make(map[roster.Ref]*fencedMember), firstSeen: make(map[roster.Ref]time.Time),
		fencedSent: make(map[roster.Ref]int), provers: make(map[proofID]*lease.Prover),
		reached: make(map[roster.Ref]uint64),
	}
	a.startIncarnation(now, cfg.Self)
	return a
}

// startIncarnation switches to an incarnation that has not joined yet.
func (a *Agent) startIncarnation(now time.Time, self roster.Member) {
	a.self = self
	a.ownIncarnations[self.Ref()] = true
	a.holder = lease.NewHolder(self.Ref(), a.cfg.Witnesses)
	a.ledger.Reset(self)
	a.epochWaits, a.barrier, a.barrierSize = make(map[roster.Ref]*epochWait), nil, -1
	a.lastExchange, a.replied = make(map[roster.Ref]time.Time), make(map[roster.Ref]bool)
	a.records = appendState{since: now, appended: make(map[roster.Ref]time.Time), backoff: a.records.backoff}
}

// Ledger returns the rights of the instance.
func (a *Agent) Ledger() *rights.Ledger { return a.ledger }

// Self returns the current incarnation.
func (a *Agent) Self() roster.Member { return a.self }

// Roster returns the roster that was applied last.
func (a *Agent) Roster() *roster.Roster { return a.roster }

// LeaseValid reports whether the instance holds a lease at now.
func (a *Agent) LeaseValid(now time.Time) bool { return a.holder.Valid(now) }

// FreshnessPeers returns the peers whose replies show that the configuration of
// the instance is recent, see package freshness: its witnesses, or those that it
// would have, and the peers in all regions, which are none in a fleet of one
// region.
func (a *Agent) FreshnessPeers() (witnesses, regions []roster.Member) {
	if a.peersAt != a.roster {
		a.peersAt = a.roster
		a.witnessPeers = a.roster.Witnesses(a.self, a.cfg.Witnesses)
		if _, joined := a.roster.Find(a.self.Ref()); !joined {
			// An instance counts itself only if it is a member of the fleet.
			a.witnessPeers = slices.DeleteFunc(a.witnessPeers, func(m roster.Member) bool { return m.ID == a.self.ID })
		}
		a.regionPeers = a.roster.RegionPeers(a.self, a.cfg.Witnesses)
	}
	return a.witnessPeers, a.regionPeers[:len(a.regionPeers):len(a.regionPeers)]
}

// Apply updates the agent to a newer roster.
func (a *Agent) Apply(now time.Time, r *roster.Roster) {
	if r.Epoch <= a.roster.Epoch {
		return
	}
	a.roster = r
	a.witness.Apply(r)
	a.holder.Apply(r)
	a.ledger.Apply(now, r)
	members := r.Members()
	a.track(now, members)
	m, ok := r.Find(a.self.Ref())
	if ok {
		a.self = m
	}
	switch {
	case ok && (m.State == roster.Gone || m.State == roster.Active && m.InactiveAt > 0):
		a.holder.End()
	case ok && a.barrier == nil:
		a.startBarrier(now, members)
	}
	a.requireEnded(now, members)
	for id, p := range a.provers {
		if m, known := r.Find(id.ref); !known || m.State == roster.Gone {
			delete(a.provers, id)
			continue
		}
		p.Apply(r)
	}
	a.update(now)
}

// track records when incarnations that are not gone were first seen, and drops
// the state of all others.
func (a *Agent) track(now time.Time, members []roster.Member) {
	present := make(map[roster.Ref]bool, len(members))
	for _, m := range members {
		if m.State != roster.Gone {
			present[m.Ref()] = true
			if _, ok := a.firstSeen[m.Ref()]; !ok {
				a.firstSeen[m.Ref()] = now
			}
		}
	}
	for ref := range a.firstSeen {
		if !present[ref] {
			delete(a.firstSeen, ref)
			delete(a.reached, ref)
			delete(a.proven, ref)
			delete(a.epochWaits, ref)
			delete(a.barrier, ref)
			delete(a.fencedSent, ref)
		}
	}
}

// startBarrier starts the wait until every earlier member knows this one's Join.
func (a *Agent) startBarrier(now time.Time, members []roster.Member) {
	a.barrier = make(map[roster.Ref]roster.Member)
	alone := [2]bool{true, true}
	for _, m := range members {
		if m.Ref() == a.self.Ref() || m.JoinedAt >= a.self.JoinedAt {
			continue
		}
		alone[rights.Fleet] = false
		if m.Region == a.self.Region {
			alone[rights.Region] = false
		}
		if m.State != roster.Gone && a.proven[m.Ref()] == nil && a.reached[m.Ref()] < a.self.JoinedAt {
			a.barrier[m.Ref()] = m
			a.requireEpoch(now, m, a.self.JoinedAt)
		}
	}
	for level, only := range alone {
		if only && a.self.Founding {
			a.ledger.Settle(now, rights.Level(level), true)
		}
	}
}

// requireEnded requires every member that ended after this one joined to show
// that it knows that it ended.
func (a *Agent) requireEnded(now time.Time, members []roster.Member) {
	if a.barrier == nil {
		return
	}
	for _, m := range members {
		if m.InactiveAt > a.self.JoinedAt && m.State != roster.Gone && !a.ownIncarnations[m.Ref()] {
			a.requireEpoch(now, m, m.InactiveAt)
		}
	}
}

// requireEpoch requires a member to show that it knows an epoch.
func (a *Agent) requireEpoch(now time.Time, m roster.Member, epoch uint64) {
	if a.proven[m.Ref()] != nil || a.reached[m.Ref()] >= epoch {
		a.clear(now, m.Ref())
		return
	}
	if w := a.epochWaits[m.Ref()]; w == nil || w.epoch < epoch {
		a.epochWaits[m.Ref()] = &epochWait{member: m, epoch: epoch, since: now}
	}
}

// clear tells the ledger that a member knows that it ended, if it did.
func (a *Agent) clear(now time.Time, ref roster.Ref) {
	if m, ok := a.roster.Find(ref); ok && m.InactiveAt > 0 && a.reached[ref] >= m.InactiveAt {
		a.ledger.Clear(now, ref)
	}
}

// noteEpoch records that an incarnation has shown that it knows an epoch.
func (a *Agent) noteEpoch(ref roster.Ref, epoch uint64) {
	if epoch > a.reached[ref] && !a.firstSeen[ref].IsZero() {
		a.reached[ref] = epoch
		if a.barrier != nil && epoch >= a.self.JoinedAt {
			delete(a.barrier, ref)
		}
	}
}

// update reports to the ledger which ended members know that they ended, whether
// this member is settled, and until when its lease is valid.
func (a *Agent) update(now time.Time) {
	for ref, w := range a.epochWaits {
		if a.proven[ref] != nil || a.reached[ref] >= w.epoch {
			a.clear(now, ref)
			delete(a.epochWaits, ref)
		}
	}
	if a.barrier != nil && len(a.barrier) != a.barrierSize {
		a.barrierSize = len(a.barrier)
		region := true
		for _, m := range a.barrier {
			region = region && m.Region != a.self.Region
		}
		if region {
			a.ledger.Settle(now, rights.Region, false)
		}
		if len(a.barrier) == 0 {
			a.ledger.Settle(now, rights.Fleet, false)
		}
	}
	a.ledger.SetLease(a.holder.ValidUntil())
}

// markFenced records an incarnation that is proven fenced. own is set if this
// instance proved it.
func (a *Agent) markFenced(now time.Time, ref roster.Ref, own bool) {
	m, ok := a.roster.Find(ref)
	if !ok || m.State == roster.Gone || a.proven[ref] != nil {
		return
	}
	f := fencedMember{ref, now, own}
	a.proven[ref] = &f
	delete(a.barrier, ref)
	a.fencedList = append(a.fencedList, f)
	a.renewEarly = true
	a.witness.Fence(ref)
	a.ledger.Fence(now, ref)
	if ref == a.self.Ref() {
		a.holder.End()
	}
}
