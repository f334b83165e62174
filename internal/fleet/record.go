package fleet

import (
	"context"
	"time"

	"trefoilstream.example/trefoilstream/internal/election"
)

// recordDelay is the time before each attempt to write the coordinator record. It
// saves the store call of a coordinator that soon steps down.
const recordDelay = time.Second

// noteRecordsLost makes the coordinator write its record again, as the store has lost its
// last records.
func (c *coordinator) noteRecordsLost() {
	select {
	case c.recordsLost <- struct{}{}:
	default:
	}
}

// keepRecord writes the coordinator record to the store, so that starting instances find
// this coordinator, and again whenever the store has lost its last records. A coordinator
// that claimed its record at start writes it twice, which is harmless.
func (c *coordinator) keepRecord(ctx context.Context) {
	for write := c.writeRecord; ; write = c.reclaimRecord {
		for ctx.Err() == nil {
			sleep(ctx, recordDelay)
			if ctx.Err() == nil && write(ctx) {
				break
			}
		}
		select {
		case <-c.recordsLost:
		case <-ctx.Done():
			return
		}
	}
}

// writeRecord writes the record, whatever it is. It reports whether it was written.
func (c *coordinator) writeRecord(ctx context.Context) bool {
	return c.claimRecord(ctx, -1)
}

// reclaimRecord replaces the record that a restored store holds. An instance that started
// meanwhile and found an old record may have taken over: the query makes both known to
// each other, and one of them steps down.
func (c *coordinator) reclaimRecord(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	o := c.fleet.opts
	recorded, end, err := o.Source.Coordinator(callCtx, o.Store)
	if err != nil {
		return false
	}
	if recorded != nil && recorded.Address != o.Self.Address {
		r := c.fleet.queryCoordinator(ctx, recorded.Address, coordinatorQueryTimeout)
		if r.Coordinator == recorded.Address && election.ShouldStepDown(o.Self.Address, c.memberCount(), r.Coordinator, r.Members) {
			c.resign("another coordinator has more members")
			return true
		}
	}
	return c.claimRecord(ctx, end)
}

// claimRecord writes the record if its topic still ends at offset at, or unconditionally
// if at is negative. It reports whether the record was written.
func (c *coordinator) claimRecord(ctx context.Context, at int64) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	written, err := c.fleet.opts.Source.Claim(callCtx, c.fleet.opts.Store, c.fleet.newRecord(), at)
	return written && err == nil
}
