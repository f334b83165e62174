package fleet

import (
	"fmt"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// restoredFixture is a coordinator that has read a directory and the operators' topic.
type restoredFixture struct {
	t *testing.T
	c *coordinator
}

func newRestoredFixture(t *testing.T) *restoredFixture {
	f := New(Options{Self: Peer{Name: "self", Address: "self:1", Domain: "a"}})
	x := &restoredFixture{t: t, c: f.newCoordinator(func() {})}
	x.apply(catalog.Change{Config: testConfig(7)}, catalog.Change{DomainsOut: &[]string{"out"}},
		serverList(false, entry("old", 3, false), entry("leaving", 9, true), entry("new", 1, false)))
	return x
}

// entry returns a directory entry of a server whose sequence it is.
func entry(id string, sequence int64, draining bool) catalog.Server {
	return catalog.Server{ID: id, Service: "desk", Address: "127.0.0.1:1", Domain: "a", Slots: 2, Incarnation: 5, Sequence: sequence, Draining: draining}
}

func serverList(outdated bool, entries ...catalog.Server) catalog.Change {
	servers := make(map[string]catalog.Server)
	for _, s := range entries {
		servers[s.ID] = s
	}
	return catalog.Change{Servers: &servers, Outdated: outdated}
}

func (x *restoredFixture) apply(changes ...catalog.Change) { x.c.applyChanges(changes) }

// wantServers checks which servers are known, and whether they are draining.
func (x *restoredFixture) wantServers(when string, want map[string]bool) {
	x.t.Helper()
	known := x.c.knownServers()
	for id, draining := range want {
		if s, ok := known[id]; !ok || s.Draining != draining {
			x.t.Errorf("%s: server %q known %v, draining %v, want draining %v", when, id, ok, s.Draining, draining)
		}
	}
	for id := range known {
		if _, ok := want[id]; !ok {
			x.t.Errorf("%s: server %q is in use, but it had left", when, id)
		}
	}
}

// Guards against an older directory that comes into force when the store has lost its last
// records: a server that left or drains gets requests again, a new one gets none.
func TestOlderDirectoryIsNotInForce(t *testing.T) {
	x := newRestoredFixture(t)
	older := []catalog.Server{entry("old", 2, false), entry("leaving", 8, false), entry("gone", 4, false)}
	x.apply(serverList(true, older...))
	x.wantServers("after the restore", map[string]bool{"old": false, "leaving": true, "new": false})

	rewritten := entry("leaving", 10, true)
	x.apply(catalog.Change{Server: &rewritten})
	x.apply(serverList(false, older[0], rewritten, older[2]))
	x.wantServers("once all that run have written again", map[string]bool{"old": false, "leaving": true})

	back := entry("gone", 5, false)
	x.apply(catalog.Change{Server: &back})
	x.wantServers("after a server wrote again that had seemed to be gone", map[string]bool{"old": false, "leaving": true, "gone": false})

	x.apply(catalog.Change{RemovedServer: "gone"}, serverList(false, older[0]))
	x.wantServers("after all others were removed", map[string]bool{"old": false})
}

// Guards against an older configuration, or an older set of failure domains out of
// service, that comes into force when the store has lost its last records.
func TestOlderOperatorChangesAreNotInForce(t *testing.T) {
	x := newRestoredFixture(t)
	wantDomains := func(when string, want ...string) {
		t.Helper()
		out := x.c.fleet.replica.domainsOut
		if len(out) != len(want) || len(want) > 0 && !out[want[0]] {
			t.Errorf("%s: %v out of service, want %v", when, out, want)
		}
	}
	x.apply(catalog.Change{Config: testConfig(6), Outdated: true}, catalog.Change{DomainsOut: &[]string{"back"}, Outdated: true})
	wantDomains("after the restore", "out")
	if v := x.c.fleet.replica.configVersion(); v != 7 {
		t.Errorf("version %d in force after the restore, want 7", v)
	}
	x.apply(catalog.Change{DomainBack: "out"})
	wantDomains("after operators wrote that it is back")
	x.apply(catalog.Change{DomainsOut: &[]string{"other"}})
	wantDomains("once all is written again", "other")
}

// Guards against a coordinator without a directory that waits for servers to write again.
func TestOlderDirectoryIsBetterThanNone(t *testing.T) {
	f := New(Options{Self: Peer{Name: "self", Address: "self:1", Domain: "a"}})
	x := &restoredFixture{t: t, c: f.newCoordinator(func() {})}
	x.apply(serverList(true, entry("old", 2, false)))
	x.wantServers("first read", map[string]bool{"old": false})
}

// Guards against a follower that takes the copy for complete, or that reads everything
// again and again.
func TestFollowerReadsAgainAfterARestore(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFollower(4)
	read := func(changes []catalog.Change, next Position) Position {
		from := f.next(now)
		f.advance(now, from, changes, next)
		return from
	}
	if from := read([]catalog.Change{{Outdated: true}}, Position{5, 20}); from != (Position{4, -1}) || f.settled(now) != 0 {
		t.Fatalf("first read from %+v, settled in era %d", from, f.settled(now))
	}
	if from := read(nil, Position{5, 22}); from != (Position{5, 20}) {
		t.Errorf("second read from %+v", from)
	}
	list := serverList(false)
	if read([]catalog.Change{list}, Position{5, 22}); !f.rereadAt.Equal(now.Add(rewriteTime)) {
		t.Errorf("everything is read again at %v, want %v", f.rereadAt, now.Add(rewriteTime))
	}
	changes := []catalog.Change{list}
	if read(changes, Position{5, 22}); !changes[0].Outdated {
		t.Error("a whole list that comes before all is written again is taken for the newest state")
	}
	now = now.Add(rewriteTime)
	if from := read(nil, Position{5, 23}); from != (Position{5, -1}) || f.settled(now) != 0 {
		t.Errorf("read from %+v once all is written again, settled in era %d", from, f.settled(now))
	}
	now = now.Add(settleTime)
	if from := read(nil, Position{5, 23}); from != (Position{5, 23}) || f.settled(now) != 5 {
		t.Errorf("read from %+v afterwards, settled in era %d, want 5", from, f.settled(now))
	}
}

// Guards against a successor that takes an older copy for the newest state, since it was
// not told up to which era its own state goes.
func TestSuccessorKnowsTheEra(t *testing.T) {
	fleet := newTestFleet(t, 3)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	current := fleet.instances[fleet.coordinators(-1)[0]].coordinator
	eras := func(want uint64) func() bool {
		return func() bool {
			for _, f := range fleet.instances {
				if f.replica.era() != want {
					return false
				}
			}
			return true
		}
	}
	current.noteSettled(operatorTopic, 5)
	if current.noteSettled(directoryTopic, 0); !eras(0)() {
		t.Error("an era is known before both topics have settled in it")
	}
	current.noteSettled(directoryTopic, 5)
	eventually(t, "era 5 known at all members", eras(5))
	fleet.add(3)
	eventually(t, "era 5 known at a new member", eras(5))
	if from := newStoreReader(&coordinator{fleet: fleet.instances[0]}).operators.next(time.Now()); from != (Position{5, -1}) {
		t.Errorf("a successor reads from %+v", from)
	}
}

// newSettledFleet returns a fleet of two whose store is in its first era, and its
// coordinator.
func newSettledFleet(t *testing.T) (*testFleet, *Fleet) {
	t.Helper()
	fleet := newTestFleet(t, 2)
	fleet.store.mu.Lock()
	fleet.store.era = 1
	fleet.store.mu.Unlock()
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	coordinator := fleet.instances[fleet.coordinators(-1)[0]]
	eventually(t, "the era has settled", func() bool { return coordinator.replica.era() == 1 })
	return fleet, coordinator
}

// restore makes the fake store come back from a copy without the fleet's own records.
func (s *fakeStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.coordinator, s.retries = nil, nil
}

// Guards against the fleet's own records staying lost after the store was restored: who
// coordinates, and the retries that were allowed.
func TestOwnRecordsAreWrittenAgain(t *testing.T) {
	fleet, coordinator := newSettledFleet(t)
	fleet.awaitRetryReads(1)
	allowed := spendRetries(t, coordinator)
	eventually(t, "the retries are recorded", func() bool { return fleet.recordedRetries() >= allowed })
	fleet.store.restore()
	eventually(t, "the retries are recorded again", func() bool { return fleet.recordedRetries() >= allowed })
	eventually(t, "the coordinator is recorded again", func() bool {
		fleet.store.mu.Lock()
		defer fleet.store.mu.Unlock()
		return fleet.store.coordinator != nil && fleet.store.coordinator.Address == coordinator.opts.Self.Address
	})
}

// Guards against two coordinators for good: an instance starts while the record of the
// live one is lost, reaches no seed, and claims the role.
func TestInstanceThatClaimedAfterARestoreStepsDown(t *testing.T) {
	fleet, coordinator := newSettledFleet(t)
	refuseFirst := func(refused bool) {
		fleet.store.mu.Lock()
		defer fleet.store.mu.Unlock()
		for i := range 2 {
			fleet.store.refusedInstances[fmt.Sprint(i)] = refused
		}
	}
	// They would write the record again before the newcomer has read it.
	refuseFirst(true)
	fleet.store.restore()
	newcomer := fleet.addWith(2, func(o *Options) { o.Seeds = []string{deadAddress} })
	eventually(t, "the newcomer has claimed the role", func() bool { return len(fleet.coordinators(-1)) == 2 })
	refuseFirst(false)
	eventually(t, "the newcomer follows the coordinator that has more members", func() bool {
		newcomer.mu.Lock()
		defer newcomer.mu.Unlock()
		return newcomer.coordinator == nil && newcomer.followedCoordinator == coordinator.opts.Self.Address
	})
}
