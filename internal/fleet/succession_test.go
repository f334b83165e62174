package fleet

import (
	"fmt"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/election"
)

// movedConfig is version 2 of the test configuration, which routes requests to
// another service.
func movedConfig() *catalog.Config {
	c := testConfig(2)
	c.Routes[0].Services = []catalog.Share{{Service: "moved", Weight: 1}}
	c.Services["moved"] = catalog.Service{Name: "moved"}
	return c
}

// newFleetWithMovedServers returns a fleet that is ready, with a server of the service
// to which movedConfig routes, and the indexes of its coordinator and of the instances
// that succeed it, in their order.
func newFleetWithMovedServers(t *testing.T, n int) (fleet *testFleet, coordinator int, successors []int) {
	fleet = newTestFleet(t, n)
	fleet.store.mu.Lock()
	fleet.store.servers["moved"] = catalog.Server{ID: "moved", Service: "moved", Address: "127.0.0.1:1", Domain: "a", Slots: 8}
	fleet.store.mu.Unlock()
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	coordinator = fleet.coordinators(-1)[0]
	byAddress := make(map[string]int)
	var peers []Peer
	for i, f := range fleet.instances {
		byAddress[f.opts.Self.Address] = i
		if i != coordinator {
			peers = append(peers, f.opts.Self)
		}
	}
	for _, p := range election.SuccessionOrder(peers) {
		successors = append(successors, byAddress[p.Address])
	}
	eventually(t, "the members hold the servers", func() bool { return len(fleet.instancesWithServers(coordinator)) == n-1 })
	eventually(t, "the members hold the server of the other service", func() bool {
		for _, i := range successors {
			r := fleet.instances[i].replica
			r.mu.Lock()
			_, ok := r.servers["moved"]
			r.mu.Unlock()
			if !ok {
				return false
			}
		}
		return true
	})
	return fleet, coordinator, successors
}

func (fleet *testFleet) setStoreSilent(silent bool) {
	fleet.store.mu.Lock()
	defer fleet.store.mu.Unlock()
	for i := range fleet.instances {
		fleet.store.silentInstances[fmt.Sprint(i)] = silent
	}
}

// Guards against a configuration that comes back older: the coordinator is lost after
// it sent a change to some members but not to its successor, while the store is away.
func TestSuccessorIsNotOlderThanItsMembers(t *testing.T) {
	fleet, coordinator, successors := newFleetWithMovedServers(t, 4)
	fleet.setStoreSilent(true)
	member := fleet.instances[successors[2]]
	member.replica.setConfig(movedConfig())
	fleet.stops[coordinator]()
	eventually(t, "a successor", func() bool { return fleet.ready(coordinator) })
	p, err := acquire(member, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if p.Service != "moved" {
		t.Errorf("a request of a member with version 2 goes to service %q, as version 1 says", p.Service)
	}
	eventually(t, "version 2 is in force at all that are left", func() bool {
		for _, i := range successors {
			if fleet.instances[i].replica.configVersion() != 2 {
				return false
			}
		}
		return true
	})
}

// Guards against a successor that grants permits by the configuration that it held as a
// member before it has read the one that operators published meanwhile.
func TestSuccessorReadsTheConfigurationFirst(t *testing.T) {
	fleet, coordinator, successors := newFleetWithMovedServers(t, 4)
	fleet.store.mu.Lock()
	// The change is published as the successor begins to read.
	fleet.store.operatorDelay = firstReadTimeout / 6
	fleet.store.onOperatorRead = func(instance string) {
		if instance == fleet.instances[coordinator].opts.Self.Name {
			return
		}
		fleet.store.mu.Lock()
		defer fleet.store.mu.Unlock()
		fleet.store.config, fleet.store.version = movedConfig(), 2
	}
	fleet.store.mu.Unlock()
	fleet.stops[coordinator]()
	p, err := acquire(fleet.instances[successors[2]], 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if p.Service != "moved" {
		t.Errorf("the successor's first permit is for service %q, as version 1 says", p.Service)
	}
}

// Guards against a coordinator that steps down in favour of one that was cut off and has
// few members: a member of that one must report how many there are, not how many
// instances its roster holds, most of which it cannot reach.
func TestFollowerReportsTheMembersOfItsCoordinator(t *testing.T) {
	const n = 3
	fleet := newTestFleet(t, n)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	coordinator := fleet.instances[fleet.coordinators(-1)[0]]
	for i := range 10 {
		coordinator.replica.addPeer(Peer{Address: fmt.Sprintf("unreachable:%d", i), Domain: "a"})
	}
	for _, f := range fleet.instances {
		if f == coordinator {
			continue
		}
		// The member attaches again and gets the whole roster.
		coordinator.mu.Lock()
		c := coordinator.coordinator
		coordinator.mu.Unlock()
		c.mu.Lock()
		c.sessions[f.opts.Self.Address].close()
		c.mu.Unlock()
		eventually(t, "the member has the whole roster", func() bool { return len(f.replica.rosterWithout("")) == n+10 })
		eventually(t, "the member reports the members", func() bool { return f.Ready() && f.currentCoordinator().Members == n })
	}
}

// Guards against several coordinators after all instances have started at once: one that
// has taken over says so while it reads the configuration, which takes longer when the
// store is slow.
func TestNewCoordinatorIsKnownWhileItReads(t *testing.T) {
	fleet := newTestFleet(t, 2)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	first := fleet.coordinators(-1)[0]
	successor := fleet.instances[1-first]
	named := make(chan string, 1)
	fleet.store.mu.Lock()
	fleet.store.onOperatorRead = func(instance string) {
		if instance == successor.opts.Self.Name {
			select {
			case named <- successor.currentCoordinator().GetCoordinator().GetAddress():
			default:
			}
		}
	}
	fleet.store.mu.Unlock()
	fleet.stops[first]()
	if got := <-named; got != successor.opts.Self.Address {
		t.Errorf("during its first read, the new coordinator names %q as the coordinator", got)
	}
	eventually(t, "it serves its own requests", func() bool { return fleet.ready(first) })
}
