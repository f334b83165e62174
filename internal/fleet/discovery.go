package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/election"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

const (
	// coordinatorQueryTimeout bounds a query for the coordinator. Replies take a
	// few milliseconds between failure domains; a busy instance takes longer.
	coordinatorQueryTimeout = 300 * time.Millisecond
	// startupQueryTimeout bounds the queries of a starting instance to the seeds
	// and to a coordinator with an old record. Often no instance is running any
	// more; if a coordinator is, it and a new one detect each other and one of
	// them steps down.
	startupQueryTimeout = 100 * time.Millisecond
	// lostCoordinatorQueryTimeout bounds the query to the lost coordinator. It
	// has already missed several heartbeats, and the query delays failover.
	lostCoordinatorQueryTimeout = 100 * time.Millisecond
	// freshRecordAge is the age up to which the recorded coordinator may have just
	// started: it is busy with joining members and replies late.
	freshRecordAge = 5 * time.Second
	// searchRoundInterval is the time between the first rounds of queries. It doubles
	// every searchRoundsPerDoubling rounds, up to maxSearchRoundInterval: all instances
	// search at the same time if the store is away when they start.
	searchRoundInterval     = 30 * time.Millisecond
	searchRoundsPerDoubling = 20
	maxSearchRoundInterval  = 480 * time.Millisecond
	// skipCandidateRounds is the number of rounds after which a candidate that
	// replies but does not take over is skipped.
	skipCandidateRounds = 20
	// firstStartStoreDelay is how long non-seed instances wait before they query
	// the store at the first start of the fleet. It keeps the number of calls
	// low, and no requests are served yet.
	firstStartStoreDelay = 500 * time.Millisecond
	// minRestartStoreDelay and maxRestartStoreDelay bound this delay at later
	// starts, where callers are waiting and the seeds may start last or not at
	// all. It is random, with a mean inversely proportional to the instance's
	// capacity, so that large instances take over;
	// restartStoreDelayOneCore is the mean for one core.
	minRestartStoreDelay     = 30 * time.Millisecond
	restartStoreDelayOneCore = 40 * time.Millisecond
	maxRestartStoreDelay     = 400 * time.Millisecond
	// storeCallTimeout bounds a call to the store.
	storeCallTimeout = 600 * time.Millisecond
	// storeQueryInterval is the time between store queries of an instance without a
	// coordinator. Its mean doubles with each failure, up to maxStoreQueryInterval.
	storeQueryInterval    = 500 * time.Millisecond
	maxStoreQueryInterval = time.Second
	// reattachDelay is how long a lost coordinator, or one that could not be
	// attached to, is not tried again.
	reattachDelay = 500 * time.Millisecond
	// maxElectionWait is how long a starting instance leaves it to the recorded
	// successors to find a coordinator before it claims the role itself.
	maxElectionWait = 2 * time.Second
	// bootstrapPeers is how many known instances, besides the seeds and the recorded
	// ones, are queried in a round.
	bootstrapPeers = 4
	// searchLogInterval is the time between log lines of an instance without a
	// coordinator.
	searchLogInterval = 2 * time.Second
)

// coordinatorFinder finds a coordinator for an instance that has none.
type coordinatorFinder struct {
	fleet *Fleet
	// lostCoordinator is the address of the coordinator followed last.
	lostCoordinator string
	lostAt          time.Time
	nextStoreQuery  time.Time
	// storeFailures is the number of store queries in a row that failed.
	storeFailures int
	startedAt     time.Time
	// searchingSince is when the current search began, loggedAt when it was last logged.
	searchingSince, loggedAt time.Time
	// storeDelay is the delay before the first store query.
	storeDelay time.Duration
	// blockedUntil maps the addresses of coordinators that were lost or could not
	// be attached to, to the time from which they may be tried again.
	blockedUntil map[string]time.Time
	// recorded holds the addresses of the last coordinator record: the coordinator's and
	// its successors'.
	recorded []string
	// electingSince is when one of them was first found to look for a successor; zero if
	// none was.
	electingSince time.Time
}

// initialStoreDelay returns how long a non-seed instance waits before it first
// queries the store. Jitter is a random number from 0 to 1.
func initialStoreDelay(firstStart bool, capacity, jitter float64) time.Duration {
	if firstStart {
		return firstStartStoreDelay
	}
	mean := float64(restartStoreDelayOneCore) / max(capacity, 0.1)
	return min(maxRestartStoreDelay, minRestartStoreDelay+time.Duration(mean*(0.5+jitter)))
}

// newRecord returns a coordinator record for this instance.
func (f *Fleet) newRecord() CoordinatorRecord {
	return CoordinatorRecord{Peer: f.opts.Self, ClaimedMS: time.Now().UnixMilli()}
}

// isFresh reports whether the record was written recently. Clocks may differ, so
// a record from the near future counts as well.
func (r *CoordinatorRecord) isFresh(now time.Time) bool {
	age := now.Sub(time.UnixMilli(r.ClaimedMS))
	return age > -freshRecordAge && age < freshRecordAge
}

// markLost records the loss of a coordinator, or a failed attempt to attach.
func (f *coordinatorFinder) markLost(address string) {
	now := time.Now()
	if f.blockedUntil == nil {
		f.blockedUntil = make(map[string]time.Time)
	}
	f.blockedUntil[address] = now.Add(reattachDelay)
	f.electingSince = time.Time{}
	if address != f.lostCoordinator {
		f.lostCoordinator, f.lostAt = address, now
	}
}

// find returns the address of a coordinator to attach to, or that this instance
// takes over.
func (f *coordinatorFinder) find(ctx context.Context) (address string, takeOver bool) {
	if f.startedAt.IsZero() {
		f.startedAt = time.Now()
		f.storeDelay = initialStoreDelay(f.fleet.opts.FirstStart, f.fleet.opts.Self.Capacity, rand.Float64())
	}
	f.searchingSince, f.loggedAt = time.Now(), time.Now()
	for round := 0; ctx.Err() == nil; round++ {
		action := f.runRound(ctx, round)
		if action.TakeOver && f.fleet.isLeaving() {
			action = election.Action{}
		}
		if action.TakeOver || action.Attach != "" {
			return action.Attach, action.TakeOver
		}
		f.logSearch(time.Now())
		sleep(ctx, searchRoundDelay(round))
	}
	return "", false
}

// searchRoundDelay returns the time between a round of queries and the next one.
func searchRoundDelay(round int) time.Duration {
	doublings := min(round/searchRoundsPerDoubling, 10)
	return min(maxSearchRoundInterval, searchRoundInterval<<doublings)
}

// storeQueryDelay returns the time from a store query to the next one after a number of
// failures, at least 1. Jitter is a random number from 0 to 1; it spreads the calls of
// instances that started together.
func storeQueryDelay(failures int, jitter float64) time.Duration {
	mean := min(maxStoreQueryInterval, storeQueryInterval<<min(failures-1, 10))
	return time.Duration(float64(mean) * (0.5 + jitter))
}

// logSearch logs now and then that this instance still has no coordinator.
func (f *coordinatorFinder) logSearch(now time.Time) {
	if now.Sub(f.loggedAt) < searchLogInterval {
		return
	}
	f.loggedAt = now
	log.WithFields(log.Fields{
		"event": "coordinator_not_found", "searching_ms": now.Sub(f.searchingSince).Milliseconds(), "lost": f.lostCoordinator,
		"has_followed": f.fleet.hasFollowedOne(), "known": len(f.fleet.replica.rosterWithout(f.fleet.opts.Self.Address)), "store_failures": f.storeFailures,
	}).Warn("no coordinator found yet")
}

// runRound queries the first candidates in succession order for their coordinator
// and decides what to do next.
func (f *coordinatorFinder) runRound(ctx context.Context, round int) election.Action {
	self := f.fleet.opts.Self.Address
	roster := f.fleet.replica.rosterWithout(f.lostCoordinator)
	inRoster := slices.ContainsFunc(roster, func(p Peer) bool { return p.Address == self })
	// Only instances that have followed a coordinator share a roster, and with it the order
	// of succession. Others know those that happened to query them. After stepping
	// down, a single other instance is what the roster is without this one.
	if !f.fleet.hasFollowedOne() || len(roster) == 0 || len(roster) == 1 && inRoster {
		return f.bootstrap(ctx)
	}
	candidates := election.Candidates(election.SuccessionOrder(roster), self, round/2)
	addresses := make([]string, 0, len(candidates)+1)
	for _, c := range candidates {
		if c.Address != self {
			addresses = append(addresses, c.Address)
		}
	}
	if f.lostCoordinator != "" && f.lostCoordinator != self {
		addresses = append(addresses, f.lostCoordinator)
	}
	replies := f.queryAll(ctx, addresses)
	electing := f.fleet.isElecting()
	action := election.Decide(self, electing, candidates, replies, f.lostCoordinator, f.blockedCoordinators(), round >= skipCandidateRounds)
	if action.TakeOver && !electing && f.leaveToSuccessors(time.Now(), replies) {
		return election.Action{}
	}
	if !inRoster && action == (election.Action{}) {
		// This instance is no candidate, so it would wait for ever if nobody else takes over.
		return f.bootstrap(ctx)
	}
	return action
}

func (f *coordinatorFinder) blockedCoordinators() map[string]bool {
	now := time.Now()
	out := make(map[string]bool, len(f.blockedUntil))
	for address, until := range f.blockedUntil {
		if now.Before(until) {
			out[address] = true
		}
	}
	return out
}

// bootstrap finds a coordinator for an instance that cannot rely on the succession, from the
// seeds, other instances that it knows, or the store.
func (f *coordinatorFinder) bootstrap(ctx context.Context) election.Action {
	self := f.fleet.opts.Self.Address
	var addresses []string
	for _, address := range slices.Concat(f.fleet.opts.Seeds, f.recorded, f.sampleKnown()) {
		if address != self && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	blocked := f.blockedCoordinators()
	replies := f.queryAllBriefly(ctx, addresses)
	// An instance may follow a coordinator that this one has just failed to attach to.
	coordinated := false
	for _, r := range replies {
		if !r.Reached || r.Coordinator == "" || r.Coordinator == self {
			continue
		}
		if !blocked[r.Coordinator] {
			return election.Action{Attach: r.Coordinator}
		}
		coordinated = true
	}
	now := time.Now()
	if f.leaveToSuccessors(now, replies) {
		return election.Action{}
	}
	isSeed := slices.Contains(f.fleet.opts.Seeds, self)
	if now.Before(f.nextStoreQuery) || !isSeed && now.Sub(f.startedAt) < f.storeDelay {
		return election.Action{}
	}
	f.nextStoreQuery = now.Add(storeQueryInterval)
	action, err := f.followOrClaim(ctx)
	if err == nil {
		f.storeFailures = 0
		return action
	}
	f.storeFailures++
	f.nextStoreQuery = now.Add(storeQueryDelay(f.storeFailures, rand.Float64()))
	return election.Action{TakeOver: !coordinated && f.mayTakeOverUnrecorded(time.Now())}
}

// mayTakeOverUnrecorded reports whether this instance may take over although the store is
// away, after it has found no other coordinator. One that has never followed any has
// nothing to coordinate by. One that stepped down gives the others time to take over.
func (f *coordinatorFinder) mayTakeOverUnrecorded(now time.Time) bool {
	steppedDown := f.lostCoordinator == f.fleet.opts.Self.Address
	return f.fleet.hasFollowedOne() && (!steppedDown || now.Sub(f.searchingSince) >= maxElectionWait)
}

// sampleKnown returns the addresses of random instances that this one knows, for example
// since they have queried it.
func (f *coordinatorFinder) sampleKnown() []string {
	peers := f.fleet.replica.rosterWithout(f.fleet.opts.Self.Address)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var out []string
	for _, p := range peers[:min(len(peers), bootstrapPeers)] {
		out = append(out, p.Address)
	}
	return out
}

// followOrClaim follows the recorded coordinator, or claims its role in the store
// if it does not reply. An error means that the store could not be read or written.
func (f *coordinatorFinder) followOrClaim(ctx context.Context) (election.Action, error) {
	o := f.fleet.opts
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	records, end, err := o.Source.Coordinators(callCtx, o.Store)
	if err != nil {
		log.WithField("event", "store_unavailable").WithError(err).Warn("could not read the coordinator record")
		return election.Action{}, err
	}
	if recorded := records.Claimed; recorded != nil && recorded.Address != o.Self.Address {
		query := f.queryAllBriefly
		if recorded.isFresh(time.Now()) {
			query = f.queryAll
		}
		f.recorded = []string{recorded.Address}
		for _, address := range recorded.Successors[:min(len(recorded.Successors), recordedSuccessors)] {
			if address != o.Self.Address {
				f.recorded = append(f.recorded, address)
			}
		}
		replies := query(ctx, f.recorded)
		for _, r := range replies {
			if r.Reached && r.Coordinator != "" && r.Coordinator != o.Self.Address {
				return election.Action{Attach: r.Coordinator}, nil
			}
		}
		if f.leaveToSuccessors(time.Now(), replies) {
			return election.Action{}, nil
		}
	}
	claimCtx, cancelClaim := context.WithTimeout(ctx, storeCallTimeout)
	defer cancelClaim()
	won, err := o.Source.Claim(claimCtx, o.Store, f.fleet.newRecord(), end.Offset)
	if err != nil {
		log.WithField("event", "store_unavailable").WithError(err).Warn("could not write the coordinator record")
		return election.Action{}, err
	}
	if !won {
		f.nextStoreQuery = time.Time{}
	}
	return election.Action{TakeOver: won}, nil
}

// leaveToSuccessors reports whether an instance that replied has lost its coordinator and
// is about to find the successor, so that this one must not claim the role.
func (f *coordinatorFinder) leaveToSuccessors(now time.Time, replies []election.Reply) bool {
	if !slices.ContainsFunc(replies, func(r election.Reply) bool { return r.Electing }) {
		return false
	}
	if f.electingSince.IsZero() {
		f.electingSince = now
	}
	return now.Sub(f.electingSince) < maxElectionWait
}

// queryAllBriefly is queryAll with startupQueryTimeout as its limit.
func (f *coordinatorFinder) queryAllBriefly(ctx context.Context, addresses []string) []election.Reply {
	ctx, cancel := context.WithTimeout(ctx, startupQueryTimeout)
	defer cancel()
	return f.queryAll(ctx, addresses)
}

// queryAll queries several instances in parallel for the coordinator they follow.
// It returns once all have replied or timed out, or once one has named a
// coordinator to follow, so that silent instances cause no delay.
func (f *coordinatorFinder) queryAll(ctx context.Context, addresses []string) []election.Reply {
	replies := make([]election.Reply, len(addresses))
	type numbered struct {
		i int
		election.Reply
	}
	received := make(chan numbered, len(addresses))
	for i, address := range addresses {
		replies[i].From = address
		timeout := coordinatorQueryTimeout
		if address == f.lostCoordinator {
			timeout = lostCoordinatorQueryTimeout
		}
		go func() { received <- numbered{i, f.fleet.queryCoordinator(ctx, address, timeout)} }()
	}
	blocked := f.blockedCoordinators()
	for range addresses {
		reply := <-received
		replies[reply.i] = reply.Reply
		if election.CanFollow(f.fleet.opts.Self.Address, reply.Reply, f.lostCoordinator, blocked) {
			break
		}
	}
	return replies
}

// queryCoordinator asks one instance which coordinator it follows.
func (f *Fleet) queryCoordinator(ctx context.Context, address string, timeout time.Duration) election.Reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn := f.peerConns.get(ctx, address)
	reply, err := peerpb.NewDRPCCoordinationClient(conn).Who(ctx, &peerpb.WhoRequest{Self: peerToProto(f.opts.Self), Members: uint32(f.coordinatedMembers())})
	if err != nil {
		return election.Reply{From: address}
	}
	return election.Reply{
		From: address, Reached: true, Coordinator: reply.GetCoordinator().GetAddress(), Members: int(reply.GetMembers()),
		Electing: reply.GetElecting(),
	}
}

// coordinatedMembers returns how many members this instance has as the coordinator; 0 if it
// is not.
func (f *Fleet) coordinatedMembers() int {
	f.mu.Lock()
	c := f.coordinator
	f.mu.Unlock()
	if c == nil {
		return 0
	}
	return c.memberCount()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
