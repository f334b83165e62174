package claim

import (
	"slices"
	"time"
)

// Request asks for a claim.
type Request struct {
	Hash Hash
	// Digest covers method, path and body of the claimed request.
	Digest    Hash
	Execution Execution
	Key       Key
	// Deadline is the time until the caller's deadline.
	Deadline time.Duration
}

// Begin decides on a claim at the owner of its bucket; the caller has checked the
// tenure. ResultGranted is provisional: the caller copies the record to the
// replicas, checks the tenure again and calls Confirm, or else Withdraw. The
// response is set for ResultRecorded.
func (t *Table) Begin(now time.Time, q Request) (Result, Record, *Response) {
	if q.Key.Timed {
		if q.Key.Issued.After(now.Add(CallerSkew)) {
			return ResultInvalid, Record{}, nil
		}
		if now.Sub(q.Key.Issued) > Retention {
			return ResultExpired, Record{}, nil
		}
	}
	b := t.bucket(q.Hash.Bucket())
	if !b.owned || !b.ready {
		return ResultUnavailable, Record{}, nil
	}
	r := b.rows[q.Hash]
	if r != nil {
		result, response := r.result(now, q)
		if result != ResultGranted || r.state == InProgress {
			return result, r.record(now, q.Hash), response
		}
	} else if !b.neverClaimed(now, q.Key) {
		return ResultUnknown, Record{}, nil
	}
	if now.Before(b.grantsFrom) || r == nil && t.bytes+rowBytes > t.limit {
		return ResultUnavailable, Record{}, nil
	}
	if r == nil {
		r = &row{}
		b.rows[q.Hash] = r
		t.bytes += rowBytes
	}
	*r = row{digest: q.Digest, execution: q.Execution, claimed: now, deadline: now.Add(q.Deadline + deadlineGrace),
		version: r.version + 1, pending: true, ownTenure: true}
	return ResultGranted, r.record(now, q.Hash), nil
}

// neverClaimed reports whether a key that is not in the table is known to be
// unclaimed.
func (b *bucket) neverClaimed(now time.Time, k Key) bool {
	if _, complete := b.historyAge(now); complete {
		return true
	}
	return k.Timed && k.Issued.After(b.historyStart.Add(historyMargin))
}

// result decides on a claim whose key has a row.
func (r *row) result(now time.Time, q Request) (Result, *Response) {
	if r.digest != q.Digest {
		return ResultReused, nil
	}
	switch r.state {
	case Released:
		if r.execution == q.Execution && !r.withdrawn {
			// A late retry of a claim that its entry instance gave up.
			return ResultUnavailable, nil
		}
		return ResultGranted, nil
	case Answered:
		return ResultRecorded, r.response
	case NotKept:
		return ResultNotKept, nil
	case InProgress:
		switch {
		case r.execution == q.Execution && r.ownTenure && !now.After(r.deadline):
			return ResultGranted, nil
		case !now.After(r.deadline):
			return ResultInProgress, nil
		}
	}
	return ResultUnknown, nil
}

// Confirm grants a claim that the acked replicas have stored. It reports false if
// an in-sync replica is not among them, if the claim was withdrawn, or if the
// tenure has changed. The caller has checked the tenure at now, after the last
// copy was stored.
func (t *Table) Confirm(now time.Time, h Hash, e Execution, since time.Time, acked []string) bool {
	b, r := t.find(h)
	if r == nil || !b.owned || !b.since.Equal(since) || r.execution != e || r.state != InProgress {
		return false
	}
	if !r.pending {
		return true
	}
	for replica, end := range b.leases {
		if end.After(now) && !slices.Contains(acked, replica) {
			return false
		}
	}
	b.grantCount++
	for replica := range b.missedGrant {
		if !slices.Contains(acked, replica) {
			b.missedGrant[replica] = b.grantCount
			delete(b.synced, replica)
		}
	}
	r.pending = false
	return true
}

// Withdraw cancels a claim that was not granted because its copies could not be
// stored.
func (t *Table) Withdraw(h Hash, e Execution) {
	if _, r := t.find(h); r != nil && r.execution == e && r.pending {
		r.state, r.pending, r.withdrawn = Released, false, true
	}
}

// Outcome of a claimed request.
type Outcome int

// The outcomes of a claimed request.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeAnswered
	OutcomeNotKept
)

// Settle records the outcome of a claimed request. It returns the record to copy,
// and false if the claim is not known or has another execution.
func (t *Table) Settle(now time.Time, h Hash, e Execution, o Outcome, response *Response) (Record, bool) {
	b, r := t.find(h)
	if r == nil || !b.owned || r.execution != e || r.pending {
		return Record{}, false
	}
	if r.state == InProgress || r.state == Unknown {
		r.version++
		switch o {
		case OutcomeNotRun:
			r.state = Released
		case OutcomeUnknown:
			r.state = Unknown
		case OutcomeNotKept:
			r.state = NotKept
		case OutcomeAnswered:
			r.state = Answered
			if response == nil || len(response.Body) > MaxResponseBody || !t.setResponse(r, response) {
				r.state = NotKept
			}
		}
	}
	return r.record(now, h), true
}

func (t *Table) find(h Hash) (*bucket, *row) {
	b := t.buckets[h.Bucket()]
	if b == nil {
		return nil, nil
	}
	return b, b.rows[h]
}
