// Package freshness decides whether the configuration of an instance is recent
// enough to serve. Configuration changes are records of the platform's log. Within
// the last FreshFor the instance must have read the log to its end, or exchanged
// log offsets with a majority of its freshness peers and caught up with them. These
// are its witnesses and, in a fleet of several regions, also peers in all regions;
// a majority of each of the two groups is needed. The package does no I/O and reads
// no clock.
package freshness

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// FreshFor is how long a confirmation lasts. With it a change is in force
// everywhere within 4 s: an instance either has it or refuses.
const FreshFor = 2500 * time.Millisecond

// Reason says why an instance may serve or not.
type Reason string

// The reasons.
const (
	// ByLog means that the log was read to its end.
	ByLog Reason = "log"
	// ByPeers means that a majority of the freshness peers confirmed the
	// offset.
	ByPeers Reason = "peers"
	// Stale means that neither is the case; requests are refused.
	Stale Reason = "stale"
)

// Tracker collects confirmations. It is not safe for concurrent use.
type Tracker struct {
	self    string
	applied uint64
	readAt  time.Time
	// groups are sets of peers; a majority of each must confirm.
	groups    [][]string
	exchanges map[string]exchange
	// peerLogRead is when the newest complete log read known to a peer began.
	peerLogRead time.Time
}

type exchange struct {
	at     time.Time
	offset uint64
}

// New returns a tracker of the instance with the ID self.
func New(self string) *Tracker { return &Tracker{self: self, exchanges: make(map[string]exchange)} }

// SetPeers replaces the freshness peers: the instance's witnesses and, in a
// fleet of several regions, peers in all regions. A majority of each is needed,
// so that neither a network partition within the region nor one between regions
// goes unnoticed. An instance that is its own witness counts itself.
func (t *Tracker) SetPeers(witnesses, regions []roster.Member) {
	t.groups = t.groups[:0]
	keep := make(map[string]bool)
	for _, group := range [][]roster.Member{witnesses, regions} {
		if len(group) == 0 {
			continue
		}
		ids := make([]string, len(group))
		for i, m := range group {
			ids[i] = m.ID
			keep[m.ID] = true
		}
		t.groups = append(t.groups, ids)
	}
	for id := range t.exchanges {
		if !keep[id] {
			delete(t.exchanges, id)
		}
	}
}

// Applied records the highest log offset applied.
func (t *Tracker) Applied(offset uint64) { t.applied = max(t.applied, offset) }

// LogRead records that the log was read to its end and everything was applied.
// startedAt is when the read was sent.
func (t *Tracker) LogRead(startedAt time.Time) {
	if startedAt.After(t.readAt) {
		t.readAt = startedAt
	}
}

// Exchanged records a peer's reply: the highest offset that it has applied and
// the age of the newest complete log read that it knows of; a negative age
// means none. sentAt is when the request was sent.
func (t *Tracker) Exchanged(peer string, sentAt time.Time, offset uint64, logAge time.Duration) {
	if sentAt.After(t.exchanges[peer].at) {
		t.exchanges[peer] = exchange{sentAt, offset}
	}
	if read := sentAt.Add(-logAge); logAge >= 0 && read.After(t.peerLogRead) {
		t.peerLogRead = read
	}
}

// LogAge returns the age of the newest complete log read that the instance
// knows of, its own or a peer's; false if it knows of none.
func (t *Tracker) LogAge(now time.Time) (time.Duration, bool) {
	newest := t.readAt
	if t.peerLogRead.After(newest) {
		newest = t.peerLogRead
	}
	return now.Sub(newest), !newest.IsZero()
}

// Decide reports why the instance may serve at now, or Stale.
func (t *Tracker) Decide(now time.Time) Reason {
	switch {
	case now.Sub(t.readAt) < FreshFor:
		return ByLog
	case t.byPeers(now):
		return ByPeers
	}
	return Stale
}

// byPeers reports whether a majority of each group has replied recently and no
// offset that a peer reported is still to be applied.
func (t *Tracker) byPeers(now time.Time) bool {
	for _, e := range t.exchanges {
		if now.Sub(e.at) < FreshFor && e.offset > t.applied {
			return false
		}
	}
	for _, group := range t.groups {
		n := 0
		for _, id := range group {
			if id == t.self || now.Sub(t.exchanges[id].at) < FreshFor {
				n++
			}
		}
		if n < roster.Majority(len(group)) {
			return false
		}
	}
	return len(t.groups) > 0
}
