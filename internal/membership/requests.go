package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/lease"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// sorted returns the keys of a map in order, so that the agent's requests are
// deterministic.
func sorted[V any](m map[roster.Ref]V) []roster.Ref {
	return slices.SortedFunc(maps.Keys(m), roster.Ref.Compare)
}

// Tick returns the requests to send at now. It must be called at least every
// 50 ms, and after each HandleReply.
func (a *Agent) Tick(now time.Time) []Request {
	a.checkExchanged()
	a.watchMembers(now)
	var list []Request
	list = a.renewals(list, now)
	list = a.exchanges(list, now)
	list = a.epochRequests(list, now)
	list = a.fenceRequests(list, now)
	a.update(now)
	return list
}

func (a *Agent) request(now time.Time, to roster.Member) Request {
	r := Request{From: a.self.Ref(), To: to, SentAt: now, Epoch: a.roster.Epoch, fencedUpTo: len(a.fencedList)}
	for _, f := range a.fencedList[min(a.fencedSent[to.Ref()], len(a.fencedList)):] {
		if len(r.Fenced) == maxFencedPerMessage {
			r.fencedUpTo = a.fencedSent[to.Ref()] + maxFencedPerMessage
			break
		}
		r.Fenced = append(r.Fenced, f.ref)
	}
	return r
}

func (a *Agent) renewals(list []Request, now time.Time) []Request {
	if !a.holder.Joined() {
		return list
	}
	due := a.holder.Due(now)
	if a.renewEarly && now.Sub(a.renewedEarlyAt) >= earlyRenewInterval {
		a.renewEarly, a.renewedEarlyAt = false, now
		due = append(due, a.holder.DueNow(now)...)
	}
	for i := range due {
		to, ok := a.roster.Find(due[i].Witness)
		if !ok {
			continue
		}
		r := a.request(now, to)
		r.Renew = &due[i]
		list = append(list, r)
	}
	return list
}

// exchanges returns requests to the freshness peers that get no renewals.
func (a *Agent) exchanges(list []Request, now time.Time) []Request {
	witnesses, peers := a.FreshnessPeers()
	if !a.holder.Renews() {
		peers = append(peers, witnesses...)
	}
	for _, m := range peers {
		if a.ownIncarnations[m.Ref()] || now.Sub(a.lastExchange[m.Ref()]) < lease.RenewInterval {
			continue
		}
		a.lastExchange[m.Ref()] = now
		list = append(list, a.request(now, m))
	}
	return list
}

// epochRequests returns requests to the members that must show that they know
// an epoch. For one that does not reply, a proof is started with its witnesses.
func (a *Agent) epochRequests(list []Request, now time.Time) []Request {
	sent := 0
	for _, ref := range sorted(a.epochWaits) {
		w := a.epochWaits[ref]
		if now.Sub(w.lastSent) < epochRequestInterval || sent == maxEpochRequests {
			continue
		}
		sent++
		w.lastSent = now
		list = append(list, a.request(now, w.member))
		if now.Sub(w.since) < proveAfter {
			continue
		}
		below := w.epoch
		if latest, ok := a.roster.Get(ref.ID); ok && latest.Ref() != ref {
			below = 0 // A superseded incarnation is fenced for good.
		}
		a.startProof(ref, below)
	}
	return list
}

func (a *Agent) startProof(ref roster.Ref, below uint64) {
	id := proofID{ref, below}
	if a.provers[id] != nil || a.proven[ref] != nil || a.ownIncarnations[ref] {
		return
	}
	if m, ok := a.roster.Find(ref); ok && m.State != roster.Gone {
		a.provers[id] = lease.NewProver(a.roster, m, below, a.cfg.Witnesses, a.stopped)
	}
}

func (a *Agent) stopped(ref roster.Ref) bool { return !a.ownIncarnations[ref] && a.cfg.Stopped(ref) }

// watchMembers starts proofs for members that this instance is a witness of and
// that have stopped renewing.
func (a *Agent) watchMembers(now time.Time) {
	for _, ref := range a.witness.Lapsed(now) {
		if m, ok := a.roster.Find(ref); ok && m.State != roster.Gone && a.witnesses(m) {
			a.startProof(ref, 0)
		}
	}
	if now.Sub(a.scannedAt) < joinGrace {
		return
	}
	a.scannedAt = now
	for _, ref := range sorted(a.firstSeen) {
		if age := now.Sub(a.firstSeen[ref]); age < joinGrace || age > joinWatchPeriod || a.witness.HasGranted(ref) {
			continue
		}
		if m, ok := a.roster.Find(ref); ok && m.Region == a.self.Region && a.witnesses(m) {
			a.startProof(ref, 0)
		}
	}
}

// witnesses reports whether this instance is a current witness of m.
func (a *Agent) witnesses(m roster.Member) bool { return a.witnessIndex(m) >= 0 }

func (a *Agent) witnessIndex(m roster.Member) int {
	set := a.roster.Witnesses(m, a.cfg.Witnesses)
	set = slices.DeleteFunc(set, func(w roster.Member) bool { return w.ID == m.ID })
	return slices.IndexFunc(set, func(w roster.Member) bool { return w.ID == a.self.ID })
}

func (a *Agent) fenceRequests(list []Request, now time.Time) []Request {
	ids := slices.SortedFunc(maps.Keys(a.provers), func(x, y proofID) int {
		return cmp.Or(x.ref.Compare(y.ref), cmp.Compare(x.below, y.below))
	})
	for _, id := range ids {
		p := a.provers[id]
		if a.proven[id.ref] != nil || id.below > 0 && a.epochWaits[id.ref] == nil {
			delete(a.provers, id)
			continue
		}
		for _, req := range p.Due(now) {
			if a.ownIncarnations[req.Witness] {
				p.HandleReply(now, req, a.witness.Confirm(now, req))
				continue
			}
			to, ok := a.roster.Find(req.Witness)
			if !ok {
				continue
			}
			r := a.request(now, to)
			r.Fence = &req
			list = append(list, r)
		}
		a.finishProof(now, id, p)
	}
	return list
}

func (a *Agent) finishProof(now time.Time, id proofID, p *lease.Prover) {
	switch {
	case p.Done() && id.below == 0:
		delete(a.provers, id)
		a.markFenced(now, id.ref, true)
	case p.Done():
		delete(a.provers, id)
		a.noteEpoch(id.ref, id.below)
	case id.below == 0 && a.epochWaits[id.ref] == nil && p.Alive(now):
		// The link from the member to this witness is broken, but the member
		// is alive. The proof is restarted while no renewals arrive here.
		delete(a.provers, id)
	}
}

// Handle handles a peer's request. It reports false if the request is meant for
// another incarnation.
func (a *Agent) Handle(now time.Time, r Request) (Reply, bool) {
	if !a.ownIncarnations[r.To.Ref()] {
		return Reply{}, false
	}
	a.noteEpoch(r.From, r.Epoch)
	for _, ref := range r.Fenced {
		a.markFenced(now, ref, false)
	}
	reply := Reply{From: a.self.Ref(), Epoch: a.roster.Epoch}
	switch {
	case r.Renew != nil:
		reply.Renew = a.witness.Renew(now, *r.Renew)
	case r.Fence != nil:
		reply.Fence = a.witness.Confirm(now, *r.Fence)
	}
	for i := len(a.fencedList) - 1; i >= 0 && len(reply.Fenced) < maxFencedPerMessage && now.Sub(a.fencedList[i].at) < repeatFencedFor; i-- {
		reply.Fenced = append(reply.Fenced, a.fencedList[i].ref)
	}
	a.update(now)
	return reply, true
}

// HandleReply processes the reply to a request.
func (a *Agent) HandleReply(now time.Time, r Request, reply Reply) {
	if r.From != a.self.Ref() {
		return
	}
	a.noteEpoch(reply.From, reply.Epoch)
	a.fencedSent[r.To.Ref()] = max(a.fencedSent[r.To.Ref()], r.fencedUpTo)
	for _, ref := range reply.Fenced {
		a.markFenced(now, ref, false)
	}
	switch {
	case r.Renew != nil:
		a.holder.HandleReply(r.SentAt, r.Renew.Witness, reply.Renew)
		a.replied[r.Renew.Witness] = true
	case r.Fence != nil:
		id := proofID{r.Fence.Member, r.Fence.BelowEpoch}
		if p := a.provers[id]; p != nil {
			p.HandleReply(now, *r.Fence, reply.Fence)
			a.finishProof(now, id, p)
		}
	}
	a.update(now)
}

// checkExchanged checks whether fenced members were exchanged with a majority of
// the instance's witnesses, after which it may be a witness itself. Witnesses
// whose processes the platform has ended have no state left; unless they were
// counted, a fleet of which half was replaced at once would never start.
func (a *Agent) checkExchanged() {
	set := a.holder.Witnesses()
	if a.witness.HasExchanged() || len(set) == 0 {
		return
	}
	n := 0
	for _, m := range set {
		if a.replied[m.Ref()] || a.ownIncarnations[m.Ref()] || a.stopped(m.Ref()) {
			n++
		}
	}
	if n >= roster.Majority(len(set)) {
		a.witness.Exchanged()
	}
}

// RenewNow makes a witness due at once, after records that it was ahead by have
// been applied.
func (a *Agent) RenewNow(w roster.Ref) { a.holder.MakeDue(w) }
