package lease

import (
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// Witness is the witness side of leases. It is not safe for concurrent use.
type Witness struct {
	start     time.Time
	exchanged bool
	epoch     uint64
	members   map[string]*grantState // by member ID
}

// grantState is what a witness knows of one member ID.
type grantState struct {
	incarnation uint64
	// expiry is when the last grant lapses at the witness.
	expiry time.Time
	// epoch is the member's epoch at its last grant.
	epoch uint64
	// fencedTo is the highest incarnation fenced for good.
	fencedTo uint64
	// minEpoch is the lowest epoch at which incarnation minEpochOf is granted
	// a lease; lower incarnations are granted none.
	minEpoch, minEpochOf uint64
	// previous is the superseded incarnation whose grant may not have lapsed.
	previous *grantState
}

// NewWitness returns a witness that started at start. It knows neither earlier
// grants nor earlier fences, so it grants and confirms nothing for TTL and
// until Exchanged was called.
func NewWitness(start time.Time) *Witness {
	return &Witness{start: start, members: make(map[string]*grantState)}
}

// Exchanged records that the witness has exchanged fenced members with a
// majority of its own witnesses.
func (w *Witness) Exchanged() { w.exchanged = true }

// HasExchanged reports whether Exchanged was called.
func (w *Witness) HasExchanged() bool { return w.exchanged }

// startupWait returns how long the witness will still grant and confirm nothing.
func (w *Witness) startupWait(now time.Time) time.Duration {
	if !w.exchanged {
		return max(RenewInterval, TTL-now.Sub(w.start))
	}
	return max(0, TTL-now.Sub(w.start))
}

// Apply raises the epoch below which requests are refused to that of a roster,
// so that ended and superseded incarnations get no further grant.
func (w *Witness) Apply(r *roster.Roster) {
	w.epoch = max(w.epoch, r.Epoch)
	for id, g := range w.members {
		if _, known := r.Get(id); !known && g.epoch+roster.EndedRetention < r.Epoch {
			delete(w.members, id)
		}
	}
}

// Fence marks an incarnation that others have proven fenced.
func (w *Witness) Fence(m roster.Ref) {
	g := w.state(m.ID)
	g.fencedTo = max(g.fencedTo, m.Incarnation)
}

func (w *Witness) state(id string) *grantState {
	g := w.members[id]
	if g == nil {
		g = &grantState{}
		w.members[id] = g
	}
	return g
}

// Renew handles a member's request for a lease.
func (w *Witness) Renew(now time.Time, req RenewRequest) RenewReply {
	reply := RenewReply{Epoch: w.epoch}
	g := w.state(req.Member.ID)
	switch {
	case req.Member.Incarnation <= g.fencedTo:
		reply.Fenced = true
	case w.startupWait(now) > 0, req.Epoch < w.epoch,
		req.Member.Incarnation < max(g.incarnation, g.minEpochOf),
		req.Member.Incarnation == g.minEpochOf && req.Epoch < g.minEpoch,
		req.Member.Incarnation > g.incarnation && g.previous != nil && now.Before(g.previous.expiry):
		// Not granted: the witness has just started, the member lags or is
		// superseded, or two earlier incarnations may still hold leases.
	default:
		g.grant(now, req)
		reply.Granted = true
	}
	return reply
}

func (g *grantState) grant(now time.Time, req RenewRequest) {
	if req.Member.Incarnation > g.incarnation {
		if g.incarnation > 0 && now.Before(g.expiry) {
			old := *g
			old.previous = nil
			g.previous = &old
		}
		g.incarnation, g.epoch = req.Member.Incarnation, 0
	}
	g.expiry = now.Add(TTL)
	g.epoch = max(g.epoch, req.Epoch)
}

// lastGrant returns when the last grant to the incarnation lapses and the epoch
// of the member at that grant.
func (g *grantState) lastGrant(incarnation uint64) (time.Time, uint64) {
	switch {
	case g.incarnation == incarnation:
		return g.expiry, g.epoch
	case g.previous != nil && g.previous.incarnation == incarnation:
		return g.previous.expiry, g.previous.epoch
	}
	return time.Time{}, 0
}

// Confirm replies to a prover. If no grant that the request covers is unexpired,
// the witness gives none from then on, unless the request only peeks.
func (w *Witness) Confirm(now time.Time, req FenceRequest) FenceReply {
	g := w.state(req.Member.ID)
	expiry, epoch := g.lastGrant(req.Member.Incarnation)
	reply := FenceReply{Epoch: w.epoch, MemberEpoch: epoch, Remaining: max(0, expiry.Sub(now))}
	if epoch == 0 {
		reply.Remaining = 0
	}
	if req.Member.Incarnation <= g.fencedTo {
		reply.Fenced = reply.Remaining == 0
		return reply
	}
	if s := w.startupWait(now); s > 0 {
		reply.Remaining = max(reply.Remaining, s)
		return reply
	}
	if req.BelowEpoch > 0 && !req.Peek {
		// Lower epochs are refused at once, so that a lagging member renews
		// only after it has applied the newer records.
		g.raiseMinEpoch(req.Member.Incarnation, req.BelowEpoch)
	}
	reply.Fenced = reply.Remaining == 0 || req.BelowEpoch > 0 && epoch >= req.BelowEpoch
	if reply.Fenced && req.BelowEpoch == 0 && !req.Peek {
		g.fencedTo = req.Member.Incarnation
	}
	return reply
}

func (g *grantState) raiseMinEpoch(incarnation, epoch uint64) {
	switch {
	case incarnation > g.minEpochOf:
		g.minEpochOf, g.minEpoch = incarnation, epoch
	case incarnation == g.minEpochOf:
		g.minEpoch = max(g.minEpoch, epoch)
	}
}

// Lapsed returns the incarnations whose grant has lapsed at now and that are
// not fenced, in order: candidates for a proof.
func (w *Witness) Lapsed(now time.Time) []roster.Ref {
	var list []roster.Ref
	for id, g := range w.members {
		if g.incarnation > g.fencedTo && !now.Before(g.expiry) {
			list = append(list, roster.Ref{ID: id, Incarnation: g.incarnation})
		}
		if p := g.previous; p != nil && p.incarnation > g.fencedTo && !now.Before(p.expiry) {
			list = append(list, roster.Ref{ID: id, Incarnation: p.incarnation})
		}
	}
	slices.SortFunc(list, roster.Ref.Compare)
	return list
}

// HasGranted reports whether the witness has granted a lease to the incarnation
// or to a later one of the same member.
func (w *Witness) HasGranted(m roster.Ref) bool {
	g, ok := w.members[m.ID]
	return ok && g.incarnation >= m.Incarnation
}
