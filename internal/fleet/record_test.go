package fleet

import (
	"context"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/election"
)

// deadAddress is of an instance that no longer exists.
const deadAddress = "127.0.0.1:1"

func (fleet *testFleet) awaitRecord(description string, condition func(*CoordinatorRecord) bool) {
	fleet.t.Helper()
	eventually(fleet.t, description, func() bool {
		fleet.store.mu.Lock()
		defer fleet.store.mu.Unlock()
		return fleet.store.coordinator != nil && condition(fleet.store.coordinator)
	})
}

// Guards against two coordinators after the coordinator's machine was replaced: the new
// instance, whose seeds no longer exist, finds a record of the lost coordinator and claims
// the role beside its successor.
func TestStartingInstanceFindsTheSuccessor(t *testing.T) {
	fleet := newTestFleet(t, 3)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	fleet.awaitRecord("the record names the successors", func(r *CoordinatorRecord) bool { return len(r.Successors) == 2 })
	lost := fleet.coordinators(-1)[0]
	fleet.stops[lost]()
	added := fleet.addWith(3, func(o *Options) { o.Seeds = []string{deadAddress} })
	eventually(t, "all follow one coordinator", func() bool {
		if c := added.coordinatedMembers(); c > 0 {
			t.Fatal("the new instance coordinates beside the successor")
		}
		return fleet.ready(lost)
	})
}

// Guards against two coordinators for good: each claimed the role and knows no instance that
// knows the other one.
func TestCoordinatorsMeetInTheStore(t *testing.T) {
	fleet := newTestFleet(t, 1)
	eventually(t, "one coordinator", func() bool { return fleet.ready(-1) })
	fleet.store.mu.Lock()
	fleet.store.coordinator = nil
	fleet.store.mu.Unlock()
	fleet.addWith(1, func(o *Options) { o.Seeds = []string{deadAddress} })
	eventually(t, "a second instance is ready", func() bool { return fleet.instances[1].Ready() })
	eventually(t, "one coordinator again", func() bool { return fleet.ready(-1) })
}

// Guards against records that two coordinators replace in turn while they cannot reach each
// other: the one with fewer members leaves the record to the other.
func TestUnreachableCoordinatorsDoNotReplaceRecordsInTurn(t *testing.T) {
	fleet := newTestFleet(t, 1)
	eventually(t, "one coordinator", func() bool { return fleet.ready(-1) })
	f := fleet.instances[0]
	f.mu.Lock()
	c := f.coordinator
	f.mu.Unlock()
	for _, test := range []struct {
		members  int
		first    bool
		replaced bool
	}{{members: 5}, {members: 5, first: true, replaced: true}, {members: 0, replaced: true}} {
		fleet.store.mu.Lock()
		fleet.store.coordinator = &CoordinatorRecord{Peer: Peer{Address: deadAddress}, Members: test.members}
		fleet.store.mu.Unlock()
		if _, _, err := c.checkRecord(context.Background(), test.first); err != nil {
			t.Fatal(err)
		}
		fleet.store.mu.Lock()
		replaced := fleet.store.coordinator.Address == f.opts.Self.Address
		fleet.store.mu.Unlock()
		if replaced != test.replaced {
			t.Errorf("record of a coordinator with %d members, first %v: replaced %v, want %v", test.members, test.first, replaced, test.replaced)
		}
	}
}

// Guards against an instance that waits for ever for successors that find no coordinator.
func TestElectionIsNotAwaitedForEver(t *testing.T) {
	f := &coordinatorFinder{}
	now := time.Unix(1000, 0)
	electing := []election.Reply{{Reached: true, Electing: true}}
	if !f.leaveToSuccessors(now, electing) {
		t.Error("the role is claimed while successors look for a coordinator")
	}
	if f.leaveToSuccessors(now.Add(maxElectionWait), electing) {
		t.Error("the role is never claimed")
	}
	if f.leaveToSuccessors(now, []election.Reply{{Reached: true}}) {
		t.Error("an instance that has just started is waited for")
	}
}
