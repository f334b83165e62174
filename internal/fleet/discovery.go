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
	// searchRoundInterval is the time between rounds of queries.
	searchRoundInterval = 30 * time.Millisecond
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
	// storeQueryInterval is the time between store queries of an instance without
	// a coordinator.
	storeQueryInterval = 500 * time.Millisecond
	// reattachDelay is how long a lost coordinator, or one that could not be
	// attached to, is not tried again.
	reattachDelay = 500 * time.Millisecond
	// maxElectionWait is how long a starting instance leaves it to the recorded
	// successors to find a coordinator before it claims the role itself.
	maxElectionWait = 2 * time.Second
)

// coordinatorFinder finds a coordinator for an instance that has none.
type coordinatorFinder struct {
	fleet *Fleet
	// lostCoordinator is the address of the coordinator followed last.
	lostCoordinator string
	lostAt          time.Time
	nextStoreQuery  time.Time
	startedAt       time.Time
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
	for round := 0; ctx.Err() == nil; round++ {
		action := f.runRound(ctx, round)
		if action.TakeOver && f.fleet.isLeaving() {
			action = election.Action{}
		}
		if action.TakeOver || action.Attach != "" {
			return action.Attach, action.TakeOver
		}
		sleep(ctx, searchRoundInterval)
	}
	return "", false
}

// runRound queries the first candidates in succession order for their coordinator
// and decides what to do next.
func (f *coordinatorFinder) runRound(ctx context.Context, round int) election.Action {
	self := f.fleet.opts.Self.Address
	roster := f.fleet.replica.rosterWithout(f.lostCoordinator)
	// An instance that was asked by a single other one has no roster yet, and that one may
	// know no more. After stepping down, a single other one is what its roster is without
	// itself.
	steppedDown := f.lostCoordinator == self
	if len(roster) == 0 || len(roster) == 1 && !steppedDown {
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
	if steppedDown && action == (election.Action{}) {
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

// bootstrap finds a coordinator for an instance without a roster, from the seeds
// or from the store.
func (f *coordinatorFinder) bootstrap(ctx context.Context) election.Action {
	self := f.fleet.opts.Self.Address
	var addresses []string
	for _, address := range slices.Concat(f.fleet.opts.Seeds, f.recorded) {
		if address != self && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	blocked := f.blockedCoordinators()
	replies := f.queryAllBriefly(ctx, addresses)
	for _, r := range replies {
		if r.Reached && r.Coordinator != "" && r.Coordinator != self && !blocked[r.Coordinator] {
			return election.Action{Attach: r.Coordinator}
		}
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
	return f.followOrClaim(ctx)
}

// followOrClaim follows the recorded coordinator, or claims its role in the store
// if it does not reply.
func (f *coordinatorFinder) followOrClaim(ctx context.Context) election.Action {
	o := f.fleet.opts
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	recorded, end, err := o.Source.Coordinator(callCtx, o.Store)
	if err != nil {
		log.WithField("event", "store_unavailable").WithError(err).Warn("could not read the coordinator record")
		return election.Action{}
	}
	if recorded != nil && recorded.Address != o.Self.Address {
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
				return election.Action{Attach: r.Coordinator}
			}
		}
		if f.leaveToSuccessors(time.Now(), replies) {
			return election.Action{}
		}
	}
	claimCtx, cancelClaim := context.WithTimeout(ctx, storeCallTimeout)
	defer cancelClaim()
	won, err := o.Source.Claim(claimCtx, o.Store, f.fleet.newRecord(), end.Offset)
	if err != nil {
		log.WithField("event", "store_unavailable").WithError(err).Warn("could not write the coordinator record")
		return election.Action{}
	}
	if !won {
		f.nextStoreQuery = time.Time{}
	}
	return election.Action{TakeOver: won}
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
