package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/election"
	"trefoilstream.example/trefoilstream/internal/presence"
)

const (
	// recordDelay is the time before a coordinator first looks at the record, and between
	// attempts while the store does not answer. It saves the store call of a coordinator
	// that soon steps down.
	recordDelay = time.Second
	// lostClaimDelay is the time to the next attempt after another instance has written first.
	lostClaimDelay = 100 * time.Millisecond
	// recordWait is how long the store holds a call that waits for another record. A
	// coordinator that instances are missing from waits for presence.RecordInterval.
	recordWait = 10 * time.Second
	// recordedSuccessors is how many successors a record names.
	recordedSuccessors = 6
)

// noteRecordsLost makes the coordinator look at its record again, as the store has lost
// its last records.
func (c *coordinator) noteRecordsLost() {
	select {
	case c.recordsLost <- struct{}{}:
	default:
	}
}

// keepRecord keeps a record of this coordinator in the store, so that starting instances
// find it and its successors. It waits for the records of others: two coordinators that
// both reach the store learn of each other, even if neither is in the other's roster, and
// count each other's members.
func (c *coordinator) keepRecord(ctx context.Context) {
	sleep(ctx, recordDelay)
	var recordedAt time.Time
	for first := true; ctx.Err() == nil; {
		var end Position
		var undecided bool
		var err error
		if c.isPartial() && time.Since(recordedAt) >= presence.RecordInterval {
			recordedAt = time.Now()
			err = c.recordPartial(ctx)
		}
		if err == nil {
			end, undecided, err = c.checkRecord(ctx, first)
		}
		if err != nil {
			c.noteStoreFailed()
			sleep(ctx, recordDelay)
			continue
		}
		if first = first && undecided; undecided {
			sleep(ctx, lostClaimDelay)
			continue
		}
		c.awaitRecord(ctx, end)
	}
}

// checkRecord reads the records and replaces the claimed one where it must name this
// coordinator. It steps down if that names another coordinator that has more members. first is
// set until this coordinator has looked at the record once: what it finds then is that of a
// coordinator that it has lost. It returns the position after the record, and whether the
// record has to be looked at once more, as another one was written meanwhile.
func (c *coordinator) checkRecord(ctx context.Context, first bool) (end Position, undecided bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, caller, _ := c.reader.currentCaller()
	source, self := c.fleet.opts.Source, c.fleet.opts.Self.Address
	records, end, err := source.Coordinators(callCtx, caller)
	if err != nil {
		return end, false, err
	}
	c.noteRecords(records)
	recorded := records.Claimed
	replace := recorded == nil || first
	switch {
	case recorded == nil:
	case recorded.Address == self:
		replace = c.successorsOutdated(recorded)
	default:
		members := c.memberCount()
		r := c.fleet.queryCoordinator(ctx, recorded.Address, coordinatorQueryTimeout)
		if r.Coordinator == recorded.Address && election.ShouldStepDown(self, members, r.Coordinator, r.Members) {
			c.resign("another coordinator has more members")
			return end, false, nil
		}
		// Of two that cannot reach each other, the one with more members keeps the record.
		replace = replace || r.Reached || !election.ShouldStepDown(self, members, recorded.Address, recorded.Members)
	}
	if !replace {
		return end, false, nil
	}
	claimCtx, cancelClaim := context.WithTimeout(ctx, storeCallTimeout)
	defer cancelClaim()
	written, err := source.Claim(claimCtx, caller, c.newRecord(), end.Offset)
	if written {
		end.Offset++
	}
	return end, !written, err
}

// noteRecords counts the members of other coordinators that have written to the store.
func (c *coordinator) noteRecords(records CoordinatorRecords) {
	var others []presence.Record
	add := func(r CoordinatorRecord, claim bool) {
		if r.Address != c.fleet.opts.Self.Address {
			others = append(others, presence.Record{Address: r.Address, Claim: claim, Written: r.ClaimedMS, Members: r.Members})
		}
	}
	if records.Claimed != nil {
		add(*records.Claimed, true)
	}
	for _, r := range records.Partial {
		add(r, false)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.presence.StoreRead(now, others)
	c.updateConnectedShare(now)
}

func (c *coordinator) noteStoreFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.presence.StoreFailed()
}

// isPartial reports whether so many instances are missing that bounds are reduced.
func (c *coordinator) isPartial() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.presence.Share(time.Now()) < 1
}

// recordPartial tells other coordinators that this one is running.
func (c *coordinator) recordPartial(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, caller, _ := c.reader.currentCaller()
	sentAt := time.Now()
	if err := c.fleet.opts.Source.RecordPartial(callCtx, caller, c.newRecord()); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.presence.StoreReached(sentAt, true)
	return nil
}

// awaitRecord waits until another record is written, the store has lost its last records
// or recordWait is over.
func (c *coordinator) awaitRecord(ctx context.Context, end Position) {
	wait := recordWait
	if c.isPartial() {
		wait = presence.RecordInterval
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	_, caller, _ := c.reader.currentCaller()
	changed := make(chan error, 1)
	go func() { changed <- c.fleet.opts.Source.AwaitCoordinators(callCtx, caller, end, wait) }()
	select {
	case err := <-changed:
		if err != nil {
			log.WithField("event", "store_unavailable").WithError(err).Debug("could not wait for another coordinator's record")
			sleep(ctx, recordDelay)
		}
	case <-c.recordsLost:
	case <-ctx.Done():
	}
}

// successorsOutdated reports whether fewer than half of the recorded successors are members,
// or whether the record names none though there are some.
func (c *coordinator) successorsOutdated(r *CoordinatorRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	attached := 0
	for _, address := range r.Successors {
		if c.sessions[address] != nil {
			attached++
		}
	}
	candidates := min(len(c.failoverCandidates()), recordedSuccessors)
	return 2*attached < candidates
}

// newRecord returns the record of this coordinator.
func (c *coordinator) newRecord() CoordinatorRecord {
	r := c.fleet.newRecord()
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Members = len(c.sessions)
	for _, p := range c.failoverCandidates() {
		r.Successors = append(r.Successors, p.Address)
	}
	r.Successors = slices.Clip(r.Successors[:min(len(r.Successors), recordedSuccessors)])
	return r
}
