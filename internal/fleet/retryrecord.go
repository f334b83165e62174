package fleet

import (
	"context"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/dispatch"
)

const (
	// retryRecordPoll is how often the coordinator looks whether a retry record is due.
	// It bounds the records a second while many requests are retried.
	retryRecordPoll = 100 * time.Millisecond
	// retryRecordsReadInterval is the time between reads of the other coordinators'
	// records.
	retryRecordsReadInterval = time.Second
)

// mayHaveFollowedAnother reports whether a member that joins may have followed another
// coordinator meanwhile: one that was new to this coordinator or cut off from it. The
// caller holds mu.
func (c *coordinator) mayHaveFollowedAnother(address string) bool {
	_, lost := c.disconnected[address]
	_, cutOff := c.unreachable[address]
	return !lost || cutOff
}

// keepRetryRecords reads what other coordinators recorded of their retries, and records
// those of this one. It reads first, as its own record replaces one that an earlier
// coordinator on this instance has left; after a whole window that one no longer counts.
func (c *coordinator) keepRetryRecords(ctx context.Context) {
	known, failed := false, false
	var readAt time.Time
	for ; ctx.Err() == nil; sleep(ctx, retryRecordPoll) {
		c.mu.Lock()
		unread := c.retriesUnread && time.Since(readAt) >= retryRecordsReadInterval
		if unread {
			c.retriesUnread = false
		}
		due := failed || c.dispatcher.RetryRecordDue(time.Now())
		c.mu.Unlock()
		if !known || unread {
			readAt = time.Now()
			if c.readRetryRecords(ctx, !known) {
				known = true
			} else if unread {
				c.mu.Lock()
				c.retriesUnread = true
				c.mu.Unlock()
			}
		}
		if due && (known || time.Since(c.startedAt) > c.fleet.opts.Bounds.RetryWindow) {
			failed = !c.recordRetries(ctx)
		}
	}
}

// readRetryRecords makes the recorded retries known to the dispatcher. The record of this
// instance is one of an earlier coordinator only until this one has written its own. It
// reports whether the records could be read.
func (c *coordinator) readRetryRecords(ctx context.Context, withOwn bool) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, caller, _ := c.reader.currentCaller()
	records, err := c.fleet.opts.Source.Retries(callCtx, caller)
	if err != nil {
		return false
	}
	now := time.Now()
	uses, ages := make(map[string][]dispatch.RetryUse), make(map[string]time.Duration)
	for _, r := range records {
		if r.Address == c.fleet.opts.Self.Address && !withOwn {
			continue
		}
		uses[r.Address], ages[r.Address] = r.Services, now.Sub(time.UnixMilli(r.WrittenMS))
	}
	c.mu.Lock()
	for _, r := range records {
		c.dispatcher.InheritCrashes(now, ages[r.Address], r.Crashes)
	}
	c.dispatcher.InheritRetries(now, uses, ages)
	c.mu.Unlock()
	log.WithFields(log.Fields{"event": "retry_records_read", "coordinators": len(uses)}).Debug("retries of other coordinators known")
	return true
}

// recordRetries reports whether the record was written.
func (c *coordinator) recordRetries(ctx context.Context) bool {
	now := time.Now()
	c.mu.Lock()
	record := RetryRecord{
		Address: c.fleet.opts.Self.Address, WrittenMS: now.UnixMilli(),
		Services: c.dispatcher.RetryRecord(now, c.fleet.opts.Self.Address), Crashes: c.dispatcher.CrashRecord(now),
	}
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, caller, _ := c.reader.currentCaller()
	return c.fleet.opts.Source.RecordRetries(callCtx, caller, record) == nil
}
