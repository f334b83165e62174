package claim

import (
	"time"
)

// rowBytes is the memory of a claim without its response, in bytes: row and map
// entry. With 49 claims in each bucket, a claim takes 198 B.
const rowBytes = 208

// Table stores the claims of the buckets of which an instance is owner or replica.
// It refuses new claims when its memory is used up and forgets none before
// their retention ends. It is not safe for concurrent use.
type Table struct {
	self string
	// limit and bytes are the permitted and the used memory, in bytes.
	limit   int
	bytes   int
	buckets map[string]*bucket
	// boot distinguishes the stamps of this table from those of an earlier process.
	boot       uint64
	clockStart time.Time
}

type row struct {
	digest    Hash
	execution Execution
	response  *Response
	claimed   time.Time
	deadline  time.Time
	version   uint32
	state     State
	// pending claims are not granted yet. Withdrawn ones never were; they are
	// not copied, since a late copy could undo a grant of a later owner.
	pending   bool
	withdrawn bool
	// ownTenure is set if the claim began in the present tenure. A claim that was
	// received as a copy may not have been granted, so its retry at another owner
	// is not granted.
	ownTenure bool
}

type bucket struct {
	rows map[Hash]*row
	// since is the start of the tenure that the state was prepared for; owned is
	// set while this instance is the owner.
	owned bool
	since time.Time
	// historyStart is the time since which every claim is in rows; zero if there
	// was none before. At a replica it is valid until leaseEnd.
	historyStart time.Time
	stamp        time.Time
	leaseEnd     time.Time
	// grantsFrom is when an owner without its predecessors' history may start to
	// grant: the sync leases of earlier owners, which it does not know, have ended
	// by then.
	grantsFrom time.Time
	ready      bool
	// leases holds the latest possible end of each replica's sync lease.
	leases map[string]time.Time
	// synced replicas have every granted row; the values are their last stamps.
	synced map[string]Stamp
	// grantCount counts grants. missedGrant holds, for each replica that was
	// sent all rows, the last grant that it had not stored.
	grantCount  uint64
	missedGrant map[string]uint64
	// boots show when a replica has restarted and so lost its rows.
	boots map[string]uint64
	// ownLeaseEnd is the end of this owner's own sync lease as each replica knows
	// it.
	ownLeaseEnd map[string]time.Time
	// preferred is the replica whose sync lease is renewed. preferredLeaseEnd is
	// until when each other replica assumes that the preferred one is in sync. An
	// owner that takes over from any in-sync replica must learn of all others.
	preferred         string
	preferredLeaseEnd map[string]time.Time
}

func (b *bucket) resetReplicas() {
	b.synced, b.missedGrant = make(map[string]Stamp), make(map[string]uint64)
	b.ownLeaseEnd, b.boots = make(map[string]time.Time), make(map[string]uint64)
	b.preferred, b.preferredLeaseEnd = "", make(map[string]time.Time)
}

// Stamp is a time of a replica's clock. An owner echoes it to renew the sync lease.
type Stamp struct {
	Boot  uint64
	Since time.Duration
}

// NewTable returns an empty table of the instance self that stores up to limit
// bytes. boot is a random number; now is the start of the table's clock.
func NewTable(self string, limit int, boot uint64, now time.Time) *Table {
	return &Table{self: self, limit: limit, buckets: make(map[string]*bucket), boot: boot, clockStart: now}
}

// Bytes returns the accounted memory.
func (t *Table) Bytes() int { return t.bytes }

func (t *Table) bucket(id string) *bucket {
	b := t.buckets[id]
	if b == nil {
		b = &bucket{rows: make(map[Hash]*row), leases: make(map[string]time.Time)}
		b.resetReplicas()
		t.buckets[id] = b
	}
	return b
}

// BeginTenure prepares a bucket for the tenure of this instance as its owner that
// began at since. It reports false while the caller has to recover the state of an
// earlier owner with AcceptState or StopRecovery.
func (t *Table) BeginTenure(id string, since time.Time, founding bool) bool {
	b := t.bucket(id)
	if b.owned && b.since.Equal(since) {
		return b.ready
	}
	*b = bucket{rows: b.rows, owned: true, since: since, historyStart: b.historyStart, leaseEnd: b.leaseEnd, leases: b.leases}
	b.resetReplicas()
	for _, r := range b.rows {
		r.ownTenure = false
	}
	switch {
	case founding:
		b.historyStart, b.ready = time.Time{}, true
	case !b.leaseEnd.IsZero() && !b.leaseEnd.Before(since):
		b.ready = true
	}
	return b.ready
}

// BucketState is the state of a bucket that a new owner receives from a replica.
type BucketState struct {
	Records []Record
	// LeaseRemaining is the time until the replica's sync lease ends; negative
	// if it has ended.
	LeaseRemaining time.Duration
	// HistoryAge is the age of the start of the replica's claim history;
	// Complete is set if no claim from before it is still retained.
	HistoryAge time.Duration
	Complete   bool
	// Leases are the remaining times of the sync leases of other replicas.
	Leases map[string]time.Duration
}

// ExportState returns the state of a bucket at now. It reports false if this
// instance has no sync lease of it, valid or expired.
func (t *Table) ExportState(now time.Time, id string) (BucketState, bool) {
	b := t.buckets[id]
	if b == nil || b.leaseEnd.IsZero() {
		return BucketState{}, false
	}
	s := BucketState{LeaseRemaining: b.leaseEnd.Sub(now), Leases: make(map[string]time.Duration)}
	s.HistoryAge, s.Complete = b.historyAge(now)
	for replica, end := range b.leases {
		if end.After(now) {
			s.Leases[replica] = end.Sub(now)
		}
	}
	s.Records = b.records(now)
	return s, true
}

// AcceptState applies the state that a replica sent in reply to a request sent at
// sentAt. It reports whether the bucket is ready. The request must have been sent
// after the tenure began.
func (t *Table) AcceptState(now, sentAt time.Time, id, replica string, s BucketState) bool {
	b := t.bucket(id)
	if !b.owned || b.ready || sentAt.Before(b.since) || sentAt.Add(s.LeaseRemaining).Before(b.since) {
		return b.ready
	}
	for _, r := range s.Records {
		// A record that does not fit leaves the history incomplete.
		if !t.put(now, b, r) {
			return false
		}
	}
	b.historyStart = time.Time{}
	if !s.Complete {
		b.historyStart = now.Add(-s.HistoryAge)
	}
	for other, remaining := range s.Leases {
		t.extendLease(b, other, now.Add(remaining))
	}
	t.extendLease(b, replica, now.Add(s.LeaseRemaining))
	b.ready = true
	return true
}

// StopRecovery ends the search for earlier state: the owner knows the claims of
// its own tenure only.
func (t *Table) StopRecovery(id string) {
	b := t.bucket(id)
	if b.owned && !b.ready {
		b.historyStart, b.grantsFrom, b.ready = b.since, b.since.Add(SyncLeaseTTL), true
	}
}

// Release ends the tenure of this instance at now. If it gave up the ownership
// while the tenure was valid, it stays an in-sync replica, so that the next owner
// can take over its state. That sync lease ends no later than the other in-sync
// replicas, from which the next owner may learn of it, were told.
func (t *Table) Release(now time.Time, id string, valid bool) {
	b := t.buckets[id]
	if b == nil || !b.owned {
		return
	}
	b.leaseEnd = time.Time{}
	if valid && b.ready && !now.Before(b.grantsFrom) {
		b.leaseEnd = now.Add(SyncLeaseTTL)
		for replica, end := range b.leases {
			if end.After(now) && b.ownLeaseEnd[replica].Before(b.leaseEnd) {
				b.leaseEnd = b.ownLeaseEnd[replica]
			}
		}
	}
	b.owned, b.ready, b.since = false, false, time.Time{}
}

func (t *Table) extendLease(b *bucket, replica string, end time.Time) {
	if replica != t.self && end.After(b.leases[replica]) {
		b.leases[replica] = end
	}
}

// historyAge returns the age of the claim history and whether it is complete over
// the retention.
func (b *bucket) historyAge(now time.Time) (time.Duration, bool) {
	if b.historyStart.IsZero() {
		return 0, true
	}
	age := now.Sub(b.historyStart)
	return age, age > rowRetention
}

func (b *bucket) records(now time.Time) []Record {
	list := make([]Record, 0, len(b.rows))
	for h, r := range b.rows {
		if !r.withdrawn {
			list = append(list, r.record(now, h))
		}
	}
	return list
}

func (r *row) record(now time.Time, h Hash) Record {
	return Record{Hash: h, Digest: r.digest, Execution: r.execution, State: r.state, Version: r.version,
		Response: r.response, Age: now.Sub(r.claimed), Deadline: r.deadline.Sub(now)}
}

// put stores a record unless the table has a newer version. A withdrawn claim is
// replaced by any, as it was never granted. It reports false if the memory is used
// up; only the response is dropped if the record fits without it.
func (t *Table) put(now time.Time, b *bucket, rec Record) bool {
	r := b.rows[rec.Hash]
	if r != nil && r.version >= rec.Version && !r.withdrawn {
		return true
	}
	if r == nil {
		if t.bytes+rowBytes > t.limit {
			return false
		}
		t.bytes += rowBytes
		r = &row{}
		b.rows[rec.Hash] = r
	}
	t.setResponse(r, nil)
	*r = row{digest: rec.Digest, execution: rec.Execution, state: rec.State, version: rec.Version,
		claimed: now.Add(-rec.Age), deadline: now.Add(rec.Deadline)}
	if rec.Response != nil && !t.setResponse(r, rec.Response) {
		r.state = NotKept
	}
	return true
}

func (t *Table) setResponse(r *row, response *Response) bool {
	if t.bytes-r.response.size()+response.size() > t.limit {
		return false
	}
	t.bytes += response.size() - r.response.size()
	r.response = response
	return true
}

// Evict removes claims whose retention has ended and buckets that are unused.
func (t *Table) Evict(now time.Time) {
	for id, b := range t.buckets {
		for h, r := range b.rows {
			if now.Sub(r.claimed) > rowRetention {
				t.setResponse(r, nil)
				t.bytes -= rowBytes
				delete(b.rows, h)
			}
		}
		for replica, end := range b.leases {
			if !end.After(now) {
				delete(b.leases, replica)
			}
		}
		if !b.owned && len(b.rows) == 0 && now.Sub(b.leaseEnd) > rowRetention {
			delete(t.buckets, id)
		}
	}
}
