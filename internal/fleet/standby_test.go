package fleet

import (
	"reflect"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/election"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// instancesWithServers returns the addresses of the instances that replicate the
// backend servers, without the coordinator and the excepted ones.
func (fleet *testFleet) instancesWithServers(coordinator int, except ...int) map[string]bool {
	out := make(map[string]bool)
	for i, f := range fleet.instances {
		skip := i == coordinator
		for _, w := range except {
			skip = skip || i == w
		}
		if skip {
			continue
		}
		f.replica.mu.Lock()
		if len(f.replica.servers) > 0 {
			out[f.opts.Self.Address] = true
		}
		f.replica.mu.Unlock()
	}
	return out
}

// Guards against a coordinator that sends the backend servers to every member,
// against standbys without them, and against members with an incomplete roster.
func TestStandbysHoldServers(t *testing.T) {
	const n = standbyCount + 4
	fleet := newTestFleet(t, n)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	coordinator := fleet.coordinators(-1)[0]
	var peers []Peer
	for i, f := range fleet.instances {
		if i != coordinator {
			peers = append(peers, f.opts.Self)
		}
	}
	eventually(t, "the first members in succession order hold the servers", func() bool {
		held := fleet.instancesWithServers(coordinator)
		for _, p := range election.SuccessionOrder(peers)[:standbyCount] {
			if !held[p.Address] {
				return false
			}
		}
		return len(held) == standbyCount
	})
	eventually(t, "all instances have the full roster", func() bool {
		for _, f := range fleet.instances {
			if len(f.replica.rosterWithout("")) != n {
				return false
			}
		}
		return true
	})
	lost := -1
	for i, f := range fleet.instances {
		if f.opts.Self.Address == election.SuccessionOrder(peers)[0].Address {
			lost = i
		}
	}
	fleet.stops[lost]()
	eventually(t, "another member replaces a lost standby", func() bool {
		return len(fleet.instancesWithServers(coordinator, lost)) == standbyCount
	})
}

// Guards against a former standby that keeps servers it no longer gets updates of,
// and that takes over with servers that no longer exist.
func TestFormerStandbyDropsServers(t *testing.T) {
	now := time.Now()
	r := newReplica()
	r.servers["s"] = catalog.Server{ID: "s"}
	r.setRoster([]Peer{{Address: "x:1"}, {Address: "y:1"}})
	change := &peerpb.FleetState{ReplaceServers: true, Roster: []*peerpb.Peer{{Address: "z:1"}}, RosterGone: []string{"x:1"}}
	if err := r.apply(change, now); err != nil {
		t.Fatal(err)
	}
	if len(r.servers) != 0 {
		t.Errorf("servers %v are left", r.servers)
	}
	if roster := r.rosterWithout(""); len(roster) != 2 || roster[0].Address != "y:1" || roster[1].Address != "z:1" {
		t.Errorf("roster %v, want y:1 and z:1", roster)
	}
}

// Guards against a standby that takes over with the time of each server's last failure
// lost on the way: it would leave servers that have recovered without work.
func TestStandbyKnowsWhenServersFailed(t *testing.T) {
	sent := []dispatch.Suspicion{
		{Server: "failed", FailureProbability: 0.5, SinceFailure: 4200 * time.Millisecond},
		{Server: "failed-now", FailureProbability: 0.75},
		{Server: "doubted", FailureProbability: 0.5, SinceFailure: -time.Millisecond},
	}
	state := &peerpb.FleetState{}
	for _, s := range sent {
		state.Suspicions = append(state.Suspicions, suspicionToProto(s))
	}
	standby := newReplica()
	received := time.Unix(1000, 0)
	if err := standby.apply(state, received); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(standby.suspicions, sent) || !standby.suspectedAt.Equal(received) {
		t.Errorf("received %+v at %v, want %+v at %v", standby.suspicions, standby.suspectedAt, sent, received)
	}
}
