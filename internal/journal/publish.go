package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"trefoilstream.example/trefoilstream/internal/errkind"
)

// Publication appends one record and determines whether it was accepted. It
// does no I/O: Next says what to do, and the other methods report what happened.
// After a lost response the log is read to its end to look for the record's ID.
// A record that is not there may still arrive, so it is appended again with the
// same ID: readers apply an ID once, and the parent check refuses a late copy.
type Publication struct {
	deadline  time.Time
	step      Step
	notBefore time.Time
	backoff   time.Duration
	// mayBeAppended is set once an append has or may have taken effect.
	mayBeAppended bool
	readTarget    uint64
	result        Result
}

// Step is what the caller of a publication does next.
type Step int

// The steps of a publication.
const (
	// StepAppend sends the record.
	StepAppend Step = iota
	// StepRead reads the log to its end and applies it.
	StepRead
	// StepDone means that Result is final.
	StepDone
)

// Result is how a publication ended.
type Result int

// The results of a publication.
const (
	// Pending is the result before StepDone.
	Pending Result = iota
	// Accepted means that the record is in the accepted history.
	Accepted
	// Refused means that the record is or will be refused, since another
	// revision was accepted first.
	Refused
	// Unavailable means that the record was not appended.
	Unavailable
	// Unconfirmed means that the record may or may not be accepted.
	Unconfirmed
)

// Delays between the attempts of a publication.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// RevisionStatus is what a state machine knows of a revision.
type RevisionStatus int

// The statuses of a revision.
const (
	// RevisionUnseen means that the record has not been applied and would be
	// accepted.
	RevisionUnseen RevisionStatus = iota
	RevisionAccepted
	// RevisionRefused means that the record was refused or that its parent is
	// no longer the accepted revision.
	RevisionRefused
)

// NewPublication starts a publication that ends at the deadline.
func NewPublication(deadline time.Time) *Publication {
	return &Publication{deadline: deadline, backoff: initialBackoff}
}

// Next returns the next step and how long to wait before it.
func (p *Publication) Next(now time.Time) (Step, time.Duration) {
	if p.step != StepDone && !now.Before(p.deadline) {
		p.finish(Unavailable)
		if p.mayBeAppended {
			p.result = Unconfirmed
		}
	}
	return p.step, max(0, p.notBefore.Sub(now))
}

// Result returns the result, which is final after StepDone.
func (p *Publication) Result() Result { return p.result }

func (p *Publication) finish(r Result) { p.step, p.result = StepDone, r }

func (p *Publication) retry(now time.Time, step Step) {
	p.step, p.notBefore = step, now.Add(p.backoff)
	p.backoff = min(2*p.backoff, maxBackoff)
}

// Appended reports that the log stored the record at the offset.
func (p *Publication) Appended(offset uint64) {
	p.mayBeAppended, p.readTarget, p.step = true, offset, StepRead
}

// AppendFailed reports a failed append. The record may have been written
// unless the request provably never reached the log.
func (p *Publication) AppendFailed(now time.Time, neverSent bool) {
	if neverSent && !p.mayBeAppended {
		p.retry(now, StepAppend)
		return
	}
	p.mayBeAppended = true
	p.retry(now, StepRead)
}

// Read reports that the log was applied up to its end, the offset applied, and
// the status of the revision.
func (p *Publication) Read(now time.Time, applied uint64, status RevisionStatus) {
	switch {
	case status == RevisionAccepted:
		p.finish(Accepted)
	case status == RevisionRefused:
		p.finish(Refused)
	case applied < p.readTarget:
		p.retry(now, StepRead)
	default:
		p.readTarget = 0
		p.retry(now, StepAppend)
	}
}

// ReadFailed reports that the log could not be read to its end.
func (p *Publication) ReadFailed(now time.Time) { p.retry(now, StepRead) }

// RecordLog is the access to the log that Publish needs.
type RecordLog interface {
	// Append appends a record and returns its offset. An error that wraps
	// ErrNeverSent proves that the log did not receive the record.
	Append(ctx context.Context, data []byte) (uint64, error)
	// ReadToEnd applies the log up to its current end and returns the
	// highest offset applied.
	ReadToEnd(ctx context.Context) (uint64, error)
	// RevisionStatus returns what is known of the published revision.
	RevisionStatus() RevisionStatus
}

// ErrNeverSent marks appends that did not reach the log.
var ErrNeverSent = errors.New("the log was not reached")

// Publish appends a record and returns nil once it is accepted. Its errors
// have the kinds conflict, log_unavailable and log_unknown.
func Publish(ctx context.Context, log RecordLog, data []byte, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	p := NewPublication(deadline)
	var lastErr error
	for {
		step, wait := p.Next(time.Now())
		if step == StepDone {
			return resultError(p.Result(), lastErr)
		}
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				// The caller gave up or the deadline passed.
				p.deadline = time.Now()
				continue
			}
		}
		if step == StepAppend {
			offset, err := log.Append(ctx, data)
			if err == nil {
				p.Appended(offset)
				continue
			}
			lastErr = err
			p.AppendFailed(time.Now(), errors.Is(err, ErrNeverSent))
			continue
		}
		applied, err := log.ReadToEnd(ctx)
		if err != nil {
			lastErr = err
			p.ReadFailed(time.Now())
			continue
		}
		p.Read(time.Now(), applied, log.RevisionStatus())
	}
}

func resultError(r Result, lastErr error) error {
	if lastErr == nil {
		lastErr = context.DeadlineExceeded
	}
	switch r {
	case Accepted:
		return nil
	case Refused:
		return errkind.Errorf(errkind.Conflict, "another revision was accepted first")
	case Unavailable:
		return errkind.Errorf(errkind.LogUnavailable, "the record was not appended: %w", lastErr)
	}
	return errkind.Errorf(errkind.LogUnknown, "the outcome of the append is unknown: %w", fmt.Errorf("last error: %w", lastErr))
}
