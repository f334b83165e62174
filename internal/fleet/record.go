package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/election"
)

const (
	// recordDelay is the time before a coordinator first looks at the record, and between
	// attempts while the store does not answer. It saves the store call of a coordinator
	// that soon steps down.
	recordDelay = time.Second
	// recordWait is how long the store holds a call that waits for another record.
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
// both reach the store learn of each other, even if neither is in the other's roster.
func (c *coordinator) keepRecord(ctx context.Context) {
	sleep(ctx, recordDelay)
	for first := true; ctx.Err() == nil; {
		end, err := c.checkRecord(ctx, first)
		if err != nil {
			sleep(ctx, recordDelay)
			continue
		}
		first = false
		c.awaitRecord(ctx, end)
	}
}

// checkRecord reads the record and replaces it where it must name this coordinator. It
// steps down if the record names another coordinator that has more members. first is set
// until this coordinator has looked at the record once: what it finds then is that of a
// coordinator that it has lost. It returns the position after the record.
func (c *coordinator) checkRecord(ctx context.Context, first bool) (Position, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, caller, _ := c.reader.currentCaller()
	source, self := c.fleet.opts.Source, c.fleet.opts.Self.Address
	recorded, end, err := source.Coordinator(callCtx, caller)
	if err != nil {
		return end, err
	}
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
			return end, nil
		}
		// Of two that cannot reach each other, the one with more members keeps the record.
		replace = replace || r.Reached || !election.ShouldStepDown(self, members, recorded.Address, recorded.Members)
	}
	if !replace {
		return end, nil
	}
	claimCtx, cancelClaim := context.WithTimeout(ctx, storeCallTimeout)
	defer cancelClaim()
	written, err := source.Claim(claimCtx, caller, c.newRecord(), end.Offset)
	if written {
		end.Offset++
	}
	return end, err
}

// awaitRecord waits until another record is written, the store has lost its last records
// or recordWait is over.
func (c *coordinator) awaitRecord(ctx context.Context, end Position) {
	callCtx, cancel := context.WithTimeout(ctx, recordWait+storeCallTimeout)
	defer cancel()
	_, caller, _ := c.reader.currentCaller()
	changed := make(chan error, 1)
	go func() { changed <- c.fleet.opts.Source.AwaitCoordinator(callCtx, caller, end, recordWait) }()
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
