package membership

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const step = 25 * time.Millisecond

// process is one process of an instance in a fleetSim.
type process struct {
	agent        *Agent
	stateMachine *roster.StateMachine
	member       roster.Member
	// skew is the difference between its clock and that of the simulation.
	skew        time.Duration
	pausedUntil time.Time
	checkedAt   time.Time
	killedAt    time.Time
	held        map[string]bool // rights held at its last check
	readAt      time.Time
	drainedAt   time.Time
	lossy       bool // half of its appends are lost
}

// fleetSim is a deterministic simulation of a fleet: messages with latency and
// broken links, a log, and the agents of the processes.
type fleetSim struct {
	now     time.Time
	rng     *rand.Rand
	procs   []*process
	log     []roster.Record
	logDown bool
	cut     map[[2]string]bool // broken links by from, to; "log" is the log service
	events  []event
	serial  int
	keys    []string
	scopes  map[string]roster.Scope
	// violation describes the first two members that held a right at once.
	violation string
}

type event struct {
	at  time.Time
	seq int
	to  *process
	run func(now time.Time)
}

func newFleetSim(seed uint64) *fleetSim {
	w := &fleetSim{now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		cut: make(map[[2]string]bool), scopes: make(map[string]roster.Scope)}
	for i := range 6 {
		w.key(fmt.Sprintf("claim/%d", i), roster.Scope{})
		w.key(fmt.Sprintf("service/%d", i), roster.Scope{Region: "r"})
		w.key(fmt.Sprintf("server/%d", i), roster.Scope{Region: "r", FailureDomain: fmt.Sprintf("d%d", i%3)})
	}
	return w
}

func (w *fleetSim) key(key string, scope roster.Scope) {
	w.keys = append(w.keys, key)
	w.scopes[key] = scope
}

func (p *process) clock(now time.Time) time.Time { return now.Add(p.skew) }

func (p *process) runs(now time.Time) bool { return p.killedAt.IsZero() && !now.Before(p.pausedUntil) }

// start runs a new process of the given ID.
func (w *fleetSim) start(id, domain string) *process {
	w.serial++
	p := &process{stateMachine: roster.NewStateMachine(true), held: make(map[string]bool),
		skew:   time.Duration(w.rng.IntN(3_600_000)) * time.Millisecond,
		member: roster.Member{ID: id, Incarnation: uint64(w.serial), FailureDomain: domain, Region: "r"}}
	p.agent = New(p.clock(w.now), Config{Self: p.member, Witnesses: roster.DefaultWitnesses, Stopped: w.stopped})
	w.procs = append(w.procs, p)
	return p
}

// stopped stands for the platform's instance list, which no longer lists a
// process that ended more than ten seconds ago.
func (w *fleetSim) stopped(ref roster.Ref) bool {
	for _, p := range w.procs {
		if !p.killedAt.IsZero() && p.agent.ownIncarnations[ref] {
			return w.now.Sub(p.killedAt) > 10*time.Second
		}
	}
	return false
}

func (w *fleetSim) at(d time.Duration, to *process, run func(now time.Time)) {
	w.serial++
	w.events = append(w.events, event{w.now.Add(d), w.serial, to, run})
}

func (w *fleetSim) latency() time.Duration { return time.Duration(1+w.rng.IntN(20)) * time.Millisecond }

func (w *fleetSim) send(p *process, r Request) {
	for _, q := range w.procs {
		if !q.agent.ownIncarnations[r.To.Ref()] || w.cut[[2]string{p.member.ID, q.member.ID}] {
			continue
		}
		w.at(w.latency(), q, func(now time.Time) {
			w.relay(q, p)
			reply, ok := q.agent.Handle(q.clock(now), r)
			if !ok || w.cut[[2]string{q.member.ID, p.member.ID}] {
				return
			}
			w.at(w.latency(), p, func(now time.Time) {
				if w.relay(p, q) && r.Renew != nil {
					p.agent.RenewNow(r.Renew.Witness)
				}
				p.agent.HandleReply(p.clock(now), r, reply)
			})
		})
	}
}

// relay copies the records that q has applied and p has not.
func (w *fleetSim) relay(p, q *process) bool {
	if w.cut[[2]string{p.member.ID, q.member.ID}] || w.cut[[2]string{q.member.ID, p.member.ID}] {
		return false
	}
	return w.apply(p, int(q.stateMachine.Epoch()))
}

func (w *fleetSim) apply(p *process, upTo int) bool {
	before := p.stateMachine.Epoch()
	for i := int(before); i < upTo; i++ {
		p.stateMachine.Apply(uint64(i+1), w.log[i])
	}
	p.agent.Apply(p.clock(w.now), p.stateMachine.Roster())
	return p.stateMachine.Epoch() > before
}

func (w *fleetSim) logReachable(p *process) bool {
	return !w.logDown && !w.cut[[2]string{p.member.ID, "log"}]
}

// run advances the simulation by d and checks that no right has two holders.
func (w *fleetSim) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliver()
		for _, p := range w.procs {
			if p.runs(w.now) {
				w.tick(p)
			}
		}
		w.check()
	}
}

func (w *fleetSim) deliver() {
	sort.SliceStable(w.events, func(i, j int) bool { return w.events[i].at.Before(w.events[j].at) })
	var later []event
	due := w.events
	w.events = nil
	for _, e := range due {
		switch {
		case !e.to.killedAt.IsZero():
		case e.at.After(w.now) || !e.to.runs(w.now):
			later = append(later, e)
		default:
			e.run(w.now)
		}
	}
	w.events = append(w.events, later...)
}

func (w *fleetSim) tick(p *process) {
	now := p.clock(w.now)
	readable := w.logReachable(p)
	if readable && w.now.Sub(p.readAt) >= 250*time.Millisecond {
		p.readAt = w.now
		w.apply(p, len(w.log))
	}
	for _, r := range p.agent.Tick(now) {
		w.send(p, r)
	}
	for _, rec := range p.agent.Appends(now, readable) {
		if readable && !(p.lossy && w.rng.IntN(2) == 0) {
			w.log = append(w.log, rec)
		}
	}
	if !p.drainedAt.IsZero() && readable && w.now.Sub(p.drainedAt) > 3*time.Second {
		w.log = append(w.log, p.agent.Leave())
		p.killedAt = w.now
	}
}

// check looks for a right with two holders. A process that is paused right after
// a check may still act on it within SuccessorGuard.
func (w *fleetSim) check() {
	for _, key := range w.keys {
		var holder *process
		for _, p := range w.procs {
			if p.runs(w.now) {
				_, p.held[key] = p.agent.Ledger().Tenure(p.clock(w.now), key, w.scopes[key])
				p.checkedAt = w.now
			}
			effect := p.killedAt.IsZero() && w.now.Sub(p.checkedAt) < rights.SuccessorGuard-2*step
			if !p.held[key] || !effect {
				continue
			}
			if holder != nil && w.violation == "" {
				w.violation = fmt.Sprintf("%s: %v and %v both hold %s", w.now.Format("05.000"),
					holder.agent.Self().Ref(), p.agent.Self().Ref(), key)
			}
			holder = p
		}
	}
}

func (w *fleetSim) holder(key string) *process {
	for _, p := range w.procs {
		if p.runs(w.now) && p.held[key] {
			return p
		}
	}
	return nil
}

// startFleet starts n members in three failure domains and lets them settle.
func (w *fleetSim) startFleet(n int) {
	for i := range n {
		w.start(fmt.Sprintf("i%d", i), fmt.Sprintf("d%d", i%3))
	}
	w.run(10 * time.Second)
}

// describe returns the state of the running members, for a failed test.
func (w *fleetSim) describe() (text string) {
	for _, p := range w.procs {
		if !p.killedAt.IsZero() {
			continue
		}
		a := p.agent
		text += fmt.Sprintf("%v drained %v epoch %d joined %d lease %v pending %d exchanged %v proofs %d\n", a.self.Ref(), !p.drainedAt.IsZero(),
			a.roster.Epoch, a.self.JoinedAt, a.LeaseValid(p.clock(w.now)), a.holder.Pending(), a.witness.HasExchanged(), len(a.provers))
		for _, ref := range sorted(a.epochWaits) {
			text += fmt.Sprintf("  needs %v at %d\n", ref, a.epochWaits[ref].epoch)
		}
		for _, ref := range sorted(a.barrier) {
			text += fmt.Sprintf("  waits for %v\n", ref)
		}
	}
	for _, rec := range w.log {
		text += fmt.Sprintf("%s %v ends %d; ", rec.Kind, rec.Member.Ref(), rec.Ends)
	}
	return text
}
