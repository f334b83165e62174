package membership

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/lease"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// appendInterval is the time between two appends of the same record while
	// it has not been read back from the log.
	appendInterval = time.Second
	// downDelay is how much longer each witness waits than the one before it
	// until it appends a Down, so that usually only one does.
	downDelay = time.Second
	// rejoinAfter is how long a member is without a lease before it joins
	// again with a higher incarnation. The time doubles with each attempt up
	// to maxRejoin.
	rejoinAfter = 3 * lease.TTL
	maxRejoin   = time.Minute
)

// appendState is what one incarnation has appended to the log and has to append.
type appendState struct {
	// since is when the incarnation last had a lease, joined or was created.
	since    time.Time
	joinedAt time.Time
	appended map[roster.Ref]time.Time
	backoff  time.Duration
	// ends is the earlier incarnation of this process, or zero.
	ends  uint64
	drain bool
}

// Drain starts giving up all rights, before the instance leaves the fleet. The
// Drain record is returned by Appends.
func (a *Agent) Drain() { a.records.drain = true }

// Appends returns the records to append at now. Records that are not read back
// within a second are returned again; a duplicate does no harm if the append
// succeeded but its response was lost, since a record names an incarnation.
// readable says that the log was read to its end within the last second.
func (a *Agent) Appends(now time.Time, readable bool) []roster.Record {
	var list []roster.Record
	m, joined := a.roster.Find(a.self.Ref())
	switch {
	case !joined && !a.records.drain:
		list = a.join(list, now)
	case joined && m.State == roster.Active && a.records.drain:
		list = a.appendIfDue(list, now, roster.Drain, a.self)
	case joined && !a.records.drain && a.mustRejoin(now, m, readable):
		a.rejoin(now)
		list = a.join(list, now)
	}
	for _, ref := range sorted(a.proven) {
		f := a.proven[ref]
		if a.ownIncarnations[ref] {
			continue
		}
		m, ok := a.roster.Find(ref)
		if !ok || m.State == roster.Gone {
			continue
		}
		wait := 10 * downDelay
		if i := a.witnessIndex(m); i >= 0 {
			wait = time.Duration(i) * downDelay
		} else if !f.own {
			continue
		}
		if now.Sub(f.at) >= wait {
			list = a.appendIfDue(list, now, roster.Down, m)
		}
	}
	return list
}

// Leave returns the record that ends the current incarnation. The instance
// must have stopped replying to renewals.
func (a *Agent) Leave() roster.Record {
	a.holder.End()
	a.ledger.SetLease(time.Time{})
	return roster.Record{Kind: roster.Leave, Member: refOnly(a.self)}
}

// appendIfDue appends a record to the list unless it was returned less than
// appendInterval ago.
func (a *Agent) appendIfDue(list []roster.Record, now time.Time, kind roster.Kind, m roster.Member) []roster.Record {
	if at, ok := a.records.appended[m.Ref()]; ok && now.Sub(at) < appendInterval {
		return list
	}
	a.records.appended[m.Ref()] = now
	if kind != roster.Join {
		m = refOnly(m)
	}
	return append(list, roster.Record{Kind: kind, Member: m})
}

// refOnly returns the fields that a record other than Join needs.
func refOnly(m roster.Member) roster.Member {
	return roster.Member{ID: m.ID, Incarnation: m.Incarnation}
}

// mustRejoin reports whether the incarnation cannot get a lease any more, or
// has not had one for rejoinAfter.
func (a *Agent) mustRejoin(now time.Time, m roster.Member, readable bool) bool {
	if a.holder.Valid(now) {
		a.records.since, a.records.backoff = now, 0
		return false
	}
	if a.records.joinedAt.IsZero() {
		a.records.since, a.records.joinedAt = now, now
	}
	if !readable {
		return false
	}
	superseded := m.State == roster.Active && m.InactiveAt > 0
	lost := m.State == roster.Gone || a.proven[a.self.Ref()] != nil
	return !superseded && (lost || now.Sub(a.records.since) >= max(rejoinAfter, a.records.backoff))
}

// rejoin switches to a higher incarnation. The lease of the old one is given up
// before the Join is sent, since the append may take effect although its
// response is lost.
func (a *Agent) rejoin(now time.Time) {
	ended := a.self.Incarnation
	next := a.cfg.Self
	next.Incarnation = max(ended+1, uint64(now.UnixMilli()))
	a.records.backoff = min(max(2*a.records.backoff, rejoinAfter), maxRejoin)
	a.startIncarnation(now, next)
	a.records.ends = ended
}

func (a *Agent) join(list []roster.Record, now time.Time) []roster.Record {
	n := len(list)
	list = a.appendIfDue(list, now, roster.Join, a.self)
	if len(list) > n {
		list[n].Ends = a.records.ends
	}
	return list
}
