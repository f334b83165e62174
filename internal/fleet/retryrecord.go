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
	retryRecordPoll = 25 * time.Millisecond
	// retryRecordsReadInterval is the time between reads of the other coordinators'
	// records.
	retryRecordsReadInterval = time.Second
	// retryRecordBackoff is the time between attempts while the store does not answer.
	retryRecordBackoff = 500 * time.Millisecond
)

// retryKeeper decides when the coordinator reads the retry records of others and writes its
// own. It is not safe for concurrent use.
type retryKeeper struct {
	startedAt time.Time
	// window is the retry window, after which an earlier coordinator's retries no longer
	// count.
	window time.Duration
	// known is set once the records were read. The first read comes before the first
	// record: that replaces one which an earlier coordinator on this instance has left.
	known         bool
	readAt        time.Time
	writeFailedAt time.Time
}

// readDue reports whether to read now. unread is set while there may be records that are
// not known.
func (k *retryKeeper) readDue(now time.Time, unread bool) bool {
	if !k.known {
		return now.Sub(k.readAt) >= retryRecordBackoff && now.Sub(k.startedAt) < k.window
	}
	return unread && now.Sub(k.readAt) >= retryRecordsReadInterval
}

// writeDue reports whether to write now. changed is set if successors need a new record.
func (k *retryKeeper) writeDue(now time.Time, changed bool) bool {
	if !k.known && now.Sub(k.startedAt) < k.window {
		return false
	}
	if k.writeFailedAt.IsZero() {
		return changed
	}
	return now.Sub(k.writeFailedAt) >= retryRecordBackoff
}

// keepRetryRecords reads what other coordinators recorded of their retries, and records
// those of this one.
func (c *coordinator) keepRetryRecords(ctx context.Context) {
	k := &retryKeeper{startedAt: c.startedAt, window: c.fleet.opts.Bounds.RetryWindow}
	for ; ctx.Err() == nil; sleep(ctx, retryRecordPoll) {
		now := time.Now()
		c.mu.Lock()
		read := k.readDue(now, c.retriesUnread)
		if read {
			c.retriesUnread = false
		}
		c.mu.Unlock()
		if read {
			k.readAt = now
			k.known = c.readRetryRecords(ctx, !k.known) || k.known
		}
		c.mu.Lock()
		write := k.writeDue(now, c.dispatcher.RetryRecordDue(now))
		c.mu.Unlock()
		if write {
			k.writeFailedAt = time.Time{}
			if !c.recordRetries(ctx) {
				k.writeFailedAt = time.Now()
			}
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
		c.mu.Lock()
		c.retriesUnread = true
		c.mu.Unlock()
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
