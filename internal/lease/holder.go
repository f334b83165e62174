package lease

import (
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// Holder is the member side of a lease. It is not safe for concurrent use.
type Holder struct {
	self         roster.Member
	witnessCount int
	epoch        uint64

	// sets are the witness sets of which the lease needs a majority each: older
	// ones first, that of the current epoch last. Majorities of an old and a
	// new set need not overlap, so an old set is needed until a majority of it
	// knows a later epoch, after which provers at the old epoch get no proof.
	sets     []roster.WitnessSet
	grants   map[roster.Ref]grant
	lastSent map[roster.Ref]time.Time
	// ended is set if the incarnation is fenced or has given up its rights, or
	// if a witness set in between is unknown because records are missing.
	ended  bool
	expiry time.Time
}

type grant struct {
	sentAt time.Time
	// reported is the highest epoch that the witness reported with a grant.
	reported uint64
}

// NewHolder returns the member side of a lease for one incarnation with k
// witnesses.
func NewHolder(self roster.Ref, k int) *Holder {
	return &Holder{self: roster.Member{ID: self.ID, Incarnation: self.Incarnation}, witnessCount: k,
		grants: make(map[roster.Ref]grant), lastSent: make(map[roster.Ref]time.Time)}
}

// Apply updates the holder to a newer roster. The sets of the epochs in between
// are needed too, since a prover may be at any of them.
func (h *Holder) Apply(r *roster.Roster) {
	m, ok := r.Find(h.self.Ref())
	if !ok || r.Epoch <= h.epoch {
		return
	}
	sets, ok := r.WitnessSets(m, max(h.epoch, m.JoinedAt), h.witnessCount)
	if !ok {
		h.ended = true
		return
	}
	h.self, h.epoch = m, r.Epoch
	if n := len(h.sets); n > 0 {
		// The first set is that of the epoch applied before.
		h.sets[n-1].Until = sets[0].Until
		sets = sets[1:]
	}
	h.sets = append(h.sets, sets...)
	h.recompute()
}

// End ends the lease for good: the incarnation is proven fenced, or it has
// given up its rights.
func (h *Holder) End() { h.ended = true }

// Joined reports whether the member's own Join was applied.
func (h *Holder) Joined() bool { return h.epoch > 0 }

// Renews reports whether the member asks its witnesses for a lease.
func (h *Holder) Renews() bool { return h.Joined() && !h.ended }

// Epoch returns the epoch at which the lease is renewed.
func (h *Holder) Epoch() uint64 { return h.epoch }

// Witnesses returns the current witness set.
func (h *Holder) Witnesses() []roster.Member {
	if len(h.sets) == 0 {
		return nil
	}
	return h.sets[len(h.sets)-1].Members
}

// Pending returns how many older witness sets the lease still needs.
func (h *Holder) Pending() int { return max(0, len(h.sets)-1) }

// Due returns the requests to send to witnesses at now and records that they
// were sent.
func (h *Holder) Due(now time.Time) []RenewRequest {
	return h.due(now, RenewInterval)
}

// DueNow returns requests to all witnesses that were not already asked at now,
// to spread newly fenced members before the next interval.
func (h *Holder) DueNow(now time.Time) []RenewRequest { return h.due(now, 0) }

func (h *Holder) due(now time.Time, interval time.Duration) []RenewRequest {
	if h.ended {
		return nil
	}
	var list []RenewRequest
	seen := make(map[roster.Ref]bool)
	for _, set := range h.sets {
		for _, w := range set.Members {
			ref := w.Ref()
			if seen[ref] || ref == h.self.Ref() {
				continue
			}
			seen[ref] = true
			if at, ok := h.lastSent[ref]; ok && now.Sub(at) < max(interval, 1) {
				continue
			}
			h.lastSent[ref] = now
			list = append(list, RenewRequest{h.self.Ref(), h.epoch, ref})
		}
	}
	h.retain(seen)
	return list
}

// retain drops witnesses that are in no set any more.
func (h *Holder) retain(keep map[roster.Ref]bool) {
	for ref := range h.lastSent {
		if !keep[ref] {
			delete(h.lastSent, ref)
		}
	}
	for ref := range h.grants {
		if !keep[ref] {
			delete(h.grants, ref)
		}
	}
}

// MakeDue makes the witness due at once, for use after newer records were
// applied.
func (h *Holder) MakeDue(w roster.Ref) { delete(h.lastSent, w) }

// HandleReply processes a witness's reply. sentAt is when the request was sent.
// A witness that has fenced the member counts as one that does not reply: fewer
// than a majority of fences prove nothing.
func (h *Holder) HandleReply(sentAt time.Time, w roster.Ref, reply RenewReply) {
	if !reply.Granted || reply.Fenced {
		return
	}
	g := h.grants[w]
	if sentAt.After(g.sentAt) {
		g.sentAt = sentAt
	}
	g.reported = max(g.reported, reply.Epoch)
	h.grants[w] = g
	h.recompute()
}

// recompute drops old sets of which a majority knows a later epoch and computes
// until when the lease is valid.
func (h *Holder) recompute() {
	last := len(h.sets) - 1
	if last < 0 {
		return
	}
	kept := h.sets[:0]
	for i, set := range h.sets {
		if i == last || !h.superseded(set) {
			kept = append(kept, set)
		}
	}
	clear(h.sets[len(kept):])
	h.sets = kept
	var expiry time.Time
	for i, set := range h.sets {
		if e := h.expiryOf(set); i == 0 || e.Before(expiry) {
			expiry = e
		}
	}
	h.expiry = expiry
}

func (h *Holder) superseded(set roster.WitnessSet) bool {
	n := 0
	for _, w := range set.Members {
		if w.Ref() == h.self.Ref() || h.grants[w.Ref()].reported > set.Until {
			n++
		}
	}
	return n >= roster.Majority(len(set.Members))
}

// noExpiry is the expiry of the member's own grant, and so of a witness set of
// which it alone is a majority.
var noExpiry = time.Unix(1<<40, 0)

func (h *Holder) expiryOf(set roster.WitnessSet) time.Time {
	var list []time.Time
	for _, w := range set.Members {
		if w.Ref() == h.self.Ref() {
			list = append(list, noExpiry)
		} else if g, ok := h.grants[w.Ref()]; ok {
			list = append(list, g.sentAt.Add(TTL))
		}
	}
	need := roster.Majority(len(set.Members))
	if len(list) < need {
		return time.Time{}
	}
	slices.SortFunc(list, func(a, b time.Time) int { return b.Compare(a) })
	return list[need-1]
}

// ValidUntil returns when the lease lapses unless it is renewed; the zero time
// if there is none.
func (h *Holder) ValidUntil() time.Time {
	if h.ended {
		return time.Time{}
	}
	return h.expiry
}

// Valid reports whether the member holds a lease at now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.ValidUntil()) }
