package lease

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// retryInterval is how long a prover waits before it sends another request to a
// witness that did not reply.
const retryInterval = 250 * time.Millisecond

// Prover collects the replies that prove that a member holds no lease: those of
// a majority of each witness set that the member may still use. It is not safe
// for concurrent use.
//
// The member renews at an epoch of its own, which may be lower than the
// prover's. It needs a majority of the set of that epoch, so the prover covers
// the sets of all epochs from the highest that a witness has seen the member
// at. A member at a higher epoch than the prover's needs the prover's set too,
// unless a majority of that set has reported a higher epoch to the member. The
// prover then gets a reply with the higher epoch, which counts only after Apply
// with a roster of that epoch.
type Prover struct {
	target       roster.Member
	below        uint64
	witnessCount int
	roster       *roster.Roster
	// seen is the highest epoch at which a witness has granted the target.
	seen       uint64
	sets       []roster.WitnessSet
	epochKnown bool
	votes      map[roster.Ref]*vote
	// fencing is set once Peek requests have shown that the proof can succeed.
	fencing bool
	stopped func(roster.Ref) bool
	done    bool
}

type vote struct {
	replied, peeked, fenced bool
	epoch                   uint64
	next                    time.Time
}

// NewProver returns a prover for a target. below is zero to fence it for good,
// or the epoch below which it must hold no lease. stopped reports whether the
// process of an incarnation is known to have ended, so that grants by it or to
// it have lapsed.
func NewProver(r *roster.Roster, target roster.Member, below uint64, k int, stopped func(roster.Ref) bool) *Prover {
	p := &Prover{target: target, below: below, witnessCount: k, votes: make(map[roster.Ref]*vote), stopped: stopped}
	p.fencing = below > 0
	p.Apply(r)
	return p
}

// Target returns the incarnation to be fenced.
func (p *Prover) Target() roster.Member { return p.target }

// Apply updates the prover to a newer roster.
func (p *Prover) Apply(r *roster.Roster) {
	p.roster = r
	p.computeSets()
}

// computeSets finds the witness sets to cover. Before any witness has
// reported the member's epoch, only the current set is asked.
func (p *Prover) computeSets() {
	from := max(p.seen, p.target.JoinedAt)
	if p.below > 0 && from >= p.below {
		p.done = true
		return
	}
	p.sets, p.epochKnown = nil, false
	if p.seen > 0 || p.currentSetReplied() {
		if sets, ok := p.roster.WitnessSets(p.target, from, p.witnessCount); ok {
			p.sets, p.epochKnown = sets, true
		}
	}
	if !p.epochKnown {
		p.sets = []roster.WitnessSet{{Until: p.roster.Epoch, Members: p.roster.Witnesses(p.target, p.witnessCount)}}
	}
	if p.below > 0 && p.epochKnown {
		n := 0
		for n < len(p.sets)-1 && p.sets[n].Until < p.below-1 {
			n++
		}
		p.sets = p.sets[:n+1]
	}
	p.evaluate()
}

func (p *Prover) currentSetReplied() bool {
	set := p.roster.Witnesses(p.target, p.witnessCount)
	n := 0
	for _, w := range set {
		if v := p.votes[w.Ref()]; v != nil && v.replied || p.stopped(w.Ref()) {
			n++
		}
	}
	return n >= roster.Majority(len(set))
}

// Due returns the requests to send at now and records that they were sent.
func (p *Prover) Due(now time.Time) []FenceRequest {
	if p.done {
		return nil
	}
	p.evaluate()
	var list []FenceRequest
	for _, set := range p.sets {
		for _, w := range set.Members {
			ref := w.Ref()
			v := p.votes[ref]
			if v == nil {
				v = &vote{}
				p.votes[ref] = v
			}
			if ref == p.target.Ref() || now.Before(v.next) || v.fenced && v.epoch <= p.roster.Epoch || p.stopped(ref) {
				continue
			}
			if !p.fencing && v.peeked && v.epoch <= p.roster.Epoch {
				continue
			}
			v.next = now.Add(retryInterval)
			list = append(list, FenceRequest{p.target.Ref(), p.below, !p.fencing, ref})
		}
	}
	return list
}

// HandleReply processes a witness's reply to a request.
func (p *Prover) HandleReply(now time.Time, req FenceRequest, reply FenceReply) {
	v := p.votes[req.Witness]
	if v == nil {
		v = &vote{}
		p.votes[req.Witness] = v
	}
	v.replied = true
	v.next = now.Add(max(reply.Remaining, retryInterval/5))
	v.epoch = reply.Epoch
	if req.Peek {
		v.peeked = reply.Fenced
	} else {
		v.fenced = v.fenced || reply.Fenced
	}
	if reply.MemberEpoch > p.seen || !p.epochKnown {
		p.seen = max(p.seen, reply.MemberEpoch)
		p.computeSets()
	}
	p.evaluate()
}

// evaluate checks whether the proof is complete, and whether Peek requests have
// shown that fencing can start.
func (p *Prover) evaluate() {
	if p.done || !p.epochKnown {
		return
	}
	if !p.fencing && p.majorities(func(v *vote) bool { return v.peeked }) {
		p.fencing = true
		for _, v := range p.votes {
			v.next = time.Time{}
		}
	}
	p.done = p.fencing && p.majorities(func(v *vote) bool { return v.fenced })
}

func (p *Prover) majorities(agrees func(*vote) bool) bool {
	for _, set := range p.sets {
		n := 0
		for _, w := range set.Members {
			v := p.votes[w.Ref()]
			if v != nil && agrees(v) && v.epoch <= p.roster.Epoch || p.stopped(w.Ref()) {
				n++
			}
		}
		if n < roster.Majority(len(set.Members)) {
			return false
		}
	}
	return len(p.sets) > 0
}

// Alive reports whether so many witnesses hold unexpired grants that a fence
// for good cannot be proven now; the prover is then of no use until they lapse.
func (p *Prover) Alive(now time.Time) bool {
	if p.done || len(p.sets) == 0 {
		return false
	}
	set := p.sets[len(p.sets)-1].Members
	n := 0
	for _, w := range set {
		if v := p.votes[w.Ref()]; v != nil && v.replied && !v.fenced && !v.peeked && v.next.After(now) {
			n++
		}
	}
	return n > len(set)-roster.Majority(len(set))
}

// Done reports whether the proof is complete.
func (p *Prover) Done() bool { return p.done }
