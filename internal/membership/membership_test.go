package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilstream.example/trefoilstream/internal/lease"
	"trefoilstream.example/trefoilstream/internal/rights"
)

// Guards against a fleet in which some right has no holder although nothing
// has failed.
func TestEveryRightIsHeld(t *testing.T) {
	for _, n := range []int{1, 2, 5, 12} {
		w := newFleetSim(uint64(n))
		w.startFleet(n)
		for _, key := range w.keys {
			if w.holder(key) == nil {
				t.Errorf("%d members: nobody holds %s", n, key)
			}
		}
		if w.violation != "" {
			t.Errorf("%d members: %s", n, w.violation)
		}
	}
}

// Guards against the rights of a dead member staying without a holder while the
// log is unavailable: they must move within the sum of the lease TTL, the
// successor guard and one second.
func TestRightsOfADeadMemberMoveWithoutTheLog(t *testing.T) {
	const limit = lease.TTL + rights.SuccessorGuard + time.Second
	var worst time.Duration
	for seed := range uint64(8) {
		w := newFleetSim(seed)
		w.startFleet(5 + int(seed%11))
		w.logDown = true
		w.run(time.Duration(w.rng.IntN(40)) * step)
		victim := w.holder(w.keys[int(seed)%len(w.keys)])
		lost := make(map[string]bool)
		for _, key := range w.keys {
			lost[key] = w.holder(key) == victim
		}
		victim.killedAt = w.now
		start := w.now
		for w.now.Sub(start) < limit {
			w.run(step)
			for key, open := range lost {
				if open && w.holder(key) != nil {
					lost[key] = false
					worst = max(worst, w.now.Sub(start))
				}
			}
		}
		for key, open := range lost {
			if open {
				t.Errorf("seed %d: nobody holds %s after %v", seed, key, limit)
			}
		}
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
	}
	t.Logf("longest time without a holder: %v", worst)
}

// Guards against two members holding one right at a time under deaths, pauses,
// one-way cuts, log outages, lost appends, joins, drains, restarts with the
// same ID, the loss of a failure domain and the replacement of all members; and
// against a fleet that does not recover afterwards.
func TestNoRightHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetSim(rapid.Uint64().Draw(t, "seed"))
		w.startFleet(rapid.IntRange(5, 15).Draw(t, "members"))
		for range rapid.IntRange(3, 14).Draw(t, "faults") {
			fault(t, w)
			w.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond)
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}
		w.logDown = false
		clear(w.cut)
		w.run(60 * time.Second)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		running := 0
		for _, p := range w.procs {
			if p.runs(w.now) {
				running++
			}
		}
		if running < 3 {
			return
		}
		for _, key := range w.keys {
			if w.holder(key) == nil {
				t.Fatalf("nobody of %d holds %s a minute after the faults ended\n%s", running, key, w.describe())
			}
		}
	})
}

var faults = []string{"kill", "restart", "join", "pause", "pause", "cut", "cut", "isolate", "log", "log",
	"lossy", "drain", "domain", "replace", "half", "heal"}

func fault(t *rapid.T, w *fleetSim) {
	var running []*process
	for _, p := range w.procs {
		if p.killedAt.IsZero() {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		w.start(fmt.Sprintf("n%d", w.serial), "d0")
		return
	}
	p := running[rapid.IntRange(0, len(running)-1).Draw(t, "victim")]
	q := running[rapid.IntRange(0, len(running)-1).Draw(t, "other")]
	switch rapid.SampledFrom(faults).Draw(t, "fault") {
	case "kill":
		p.killedAt = w.now
	case "restart":
		// The platform starts a new process with the same ID; the old one is
		// only paused and resumes later.
		p.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "seconds")) * time.Second)
		w.start(p.member.ID, p.member.FailureDomain)
	case "join":
		w.start(fmt.Sprintf("n%d", w.serial), p.member.FailureDomain)
	case "pause":
		p.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
	case "cut":
		w.cut[[2]string{p.member.ID, q.member.ID}] = p != q
		w.cut[[2]string{p.member.ID, "log"}] = rapid.Bool().Draw(t, "log")
	case "isolate":
		for _, o := range running {
			w.cut[[2]string{p.member.ID, o.member.ID}] = o != p
		}
	case "half":
		// Part of the fleet is cut off from the log and from the rest.
		n := rapid.IntRange(1, len(running)).Draw(t, "part")
		for i, a := range running {
			w.cut[[2]string{a.member.ID, "log"}] = i < n
			for j, b := range running {
				w.cut[[2]string{a.member.ID, b.member.ID}] = (i < n) != (j < n)
			}
		}
	case "log":
		w.logDown = !w.logDown
	case "lossy":
		p.lossy = !p.lossy
	case "drain":
		p.agent.Drain()
		p.drainedAt = w.now
	case "domain":
		for _, o := range running {
			if o.member.FailureDomain == p.member.FailureDomain {
				o.killedAt = w.now
			}
		}
	case "replace":
		for _, o := range running {
			w.start(fmt.Sprintf("n%d", w.serial), o.member.FailureDomain)
			if rapid.Bool().Draw(t, "graceful") {
				o.agent.Drain()
				o.drainedAt = w.now
			} else {
				o.killedAt = w.now.Add(-step)
			}
		}
	case "heal":
		clear(w.cut)
		w.logDown = false
	}
}

// Guards against a member's lease and the proof that it holds none relying on
// witness sets of different epochs: part of the fleet is cut off from the log
// and from the rest, and keeps its leases where it is a majority, while members
// join and leave on the other side, so that majorities of old and new witness
// sets share no witness.
func TestNoRightHasTwoHoldersAcrossASplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetSim(rapid.Uint64().Draw(t, "seed"))
		n := rapid.IntRange(3, 9).Draw(t, "members")
		w.startFleet(n)
		cutOff := make(map[string]bool)
		for _, p := range w.procs[:rapid.IntRange(1, n-1).Draw(t, "cut off")] {
			cutOff[p.member.ID] = true
		}
		split := func() {
			for _, p := range w.procs {
				w.cut[[2]string{p.member.ID, "log"}] = cutOff[p.member.ID]
				for _, q := range w.procs {
					w.cut[[2]string{p.member.ID, q.member.ID}] = cutOff[p.member.ID] != cutOff[q.member.ID]
				}
			}
		}
		split()
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			p := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "member")]
			switch rapid.SampledFrom([]string{"join", "join", "join", "drain", "kill", "restart", "pause", "cross"}).Draw(t, "change") {
			case "join":
				w.start(fmt.Sprintf("n%d", w.serial), fmt.Sprintf("d%d", w.serial%3))
			case "drain":
				if !cutOff[p.member.ID] {
					p.agent.Drain()
					p.drainedAt = w.now
				}
			case "kill":
				if !cutOff[p.member.ID] {
					p.killedAt = w.now
				}
			case "restart":
				if p.killedAt.IsZero() {
					p.pausedUntil = w.now.Add(2 * time.Second)
					w.start(p.member.ID, p.member.FailureDomain)
				}
			case "pause":
				p.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(500, 4000).Draw(t, "ms")) * time.Millisecond)
			case "cross":
				// The member changes sides.
				cutOff[p.member.ID] = !cutOff[p.member.ID]
			}
			split()
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
		}
		w.run(8 * time.Second)
		clear(w.cut)
		w.run(8 * time.Second)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}
