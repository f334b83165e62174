package claim

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// Copy carries claims of one bucket from its owner to a replica.
type Copy struct {
	Bucket  string
	Records []Record
	// Echo is the replica's last stamp. If it is set, the owner guarantees that
	// the replica has every claim, and that for SyncLeaseTTL from the time of
	// sending it grants none that the replica has not stored.
	Echo Stamp
	// HistoryAge, Complete and Leases are as in BucketState. Leases includes the
	// owner, which stays a replica if it gives up the bucket.
	HistoryAge time.Duration
	Complete   bool
	Leases     map[string]time.Duration
}

// Store applies a copy at a replica. It reports false if the memory is used up or
// this instance is the owner itself. The stamp goes back to the owner.
func (t *Table) Store(now time.Time, c Copy) (Stamp, bool) {
	b := t.bucket(c.Bucket)
	if b.owned {
		return Stamp{}, false
	}
	for _, r := range c.Records {
		if !t.put(now, b, r) {
			return Stamp{}, false
		}
	}
	if c.Echo.Boot == t.boot && c.Echo != (Stamp{}) {
		// A late message of an earlier owner carries an older stamp.
		if stamp := t.clockStart.Add(c.Echo.Since); stamp.After(b.stamp) {
			b.stamp = stamp
			b.leaseEnd = stamp.Add(SyncLeaseTTL)
			b.historyStart = time.Time{}
			if !c.Complete {
				b.historyStart = now.Add(-c.HistoryAge)
			}
		}
	}
	for replica, remaining := range c.Leases {
		t.extendLease(b, replica, now.Add(remaining))
	}
	return Stamp{Boot: t.boot, Since: now.Sub(t.clockStart)}, true
}

// CopyPlan is what the owner sends to one replica.
type CopyPlan struct {
	Replica string
	// Required replicas must store the claim before it is granted. If one that
	// is not required fails to store it, another candidate is chosen.
	Required bool
	Copy     Copy

	sent       time.Time
	tenure     time.Time
	preferred  string
	full       bool
	grantCount uint64
}

// PlanCopies returns the copies to send for the records of one bucket: to every
// in-sync replica and to the preferred one. Records that a replica lacks are
// included. Candidates are in order of preference; see Candidates. Sending a
// copy with an echo starts or extends the sync lease of its replica.
func (t *Table) PlanCopies(now time.Time, id string, candidates []string, records []Record) []CopyPlan {
	b := t.bucket(id)
	var plans []CopyPlan
	for replica, end := range b.leases {
		if end.After(now) {
			plans = append(plans, CopyPlan{Replica: replica, Required: true})
		} else {
			delete(b.leases, replica)
		}
	}
	if len(candidates) > 0 {
		if _, leased := b.leases[candidates[0]]; !leased {
			plans = append(plans, CopyPlan{Replica: candidates[0]})
		}
	}
	if len(candidates) > 0 && candidates[0] != b.preferred {
		b.preferred = candidates[0]
		clear(b.preferredLeaseEnd)
	}
	for i := range plans {
		p := &plans[i]
		p.preferred = b.preferred
		p.Copy = Copy{Bucket: id, Records: records}
		p.sent, p.tenure, p.grantCount = now, b.since, b.grantCount
		stamp, synced := b.synced[p.Replica]
		if !synced {
			p.full = true
			p.Copy.Records = b.records(now)
			b.missedGrant[p.Replica] = max(b.missedGrant[p.Replica], 0)
			continue
		}
		if p.Replica == b.preferred && !now.Before(b.grantsFrom) && b.preferredAnnounced(now) {
			p.Copy.Echo = stamp
			t.extendLease(b, p.Replica, now.Add(SyncLeaseTTL))
		}
		p.Copy.HistoryAge, p.Copy.Complete = b.historyAge(now)
	}
	for i := range plans {
		plans[i].Copy.Leases = map[string]time.Duration{t.self: SyncLeaseTTL}
		for replica, end := range b.leases {
			plans[i].Copy.Leases[replica] = end.Sub(now)
		}
		if b.preferred != "" {
			plans[i].Copy.Leases[b.preferred] = announceTTL
		}
		delete(plans[i].Copy.Leases, plans[i].Replica)
	}
	return plans
}

// preferredAnnounced reports whether every other in-sync replica was told that the
// preferred one is in sync for at least as long as a sync lease that begins now.
func (b *bucket) preferredAnnounced(now time.Time) bool {
	for replica, end := range b.leases {
		if replica != b.preferred && end.After(now) && b.preferredLeaseEnd[replica].Before(now.Add(SyncLeaseTTL)) {
			return false
		}
	}
	return true
}

// HandleCopyReply processes the reply to a copy. A replica that did not store it,
// or that lacks a claim granted since the copy was planned, is sent all records
// with the next one. Replies to copies of an earlier tenure are ignored.
func (t *Table) HandleCopyReply(p CopyPlan, stamp Stamp, ok bool) {
	b := t.bucket(p.Copy.Bucket)
	if !b.owned || !p.tenure.Equal(b.since) {
		return
	}
	if !ok {
		delete(b.synced, p.Replica)
		return
	}
	if b.boots[p.Replica] != stamp.Boot {
		// The replica has restarted and lost its rows. Only a full copy planned
		// after this makes it synced again.
		if b.boots[p.Replica] != 0 {
			b.grantCount++
			b.missedGrant[p.Replica] = b.grantCount
			delete(b.synced, p.Replica)
		}
		b.boots[p.Replica] = stamp.Boot
	}
	if end := p.sent.Add(SyncLeaseTTL); end.After(b.ownLeaseEnd[p.Replica]) {
		b.ownLeaseEnd[p.Replica] = end
	}
	if end := p.sent.Add(announceTTL); p.preferred == b.preferred && end.After(b.preferredLeaseEnd[p.Replica]) {
		b.preferredLeaseEnd[p.Replica] = end
	}
	old, synced := b.synced[p.Replica]
	if synced && stamp.Since > old.Since || !synced && p.full && b.missedGrant[p.Replica] <= p.grantCount {
		b.synced[p.Replica] = stamp
	}
}

// Candidates lists the members that may be replicas for the owner self: those of
// other failure domains, by rank. Members of the owner's own failure domain are
// used only if the roster has no other active member. failed members did not
// respond lately and are left out. alone is set if no other member is active.
func Candidates(self roster.Member, ranked []roster.Member, failed func(id string) bool) (list []string, alone bool) {
	var others, own []roster.Member
	for _, m := range ranked {
		switch {
		case m.ID == self.ID:
		case m.FailureDomain != self.FailureDomain:
			others = append(others, m)
		default:
			own = append(own, m)
		}
	}
	if len(others) == 0 {
		others = own
	}
	for _, m := range others {
		if !failed(m.ID) {
			list = append(list, m.ID)
		}
	}
	return list, len(others) == 0
}
