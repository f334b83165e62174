package fleet

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"trefoilstream.example/trefoilstream/internal/election"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// Guards against instances that wait for the seeds after the whole fleet was
// killed: callers are waiting, and the seeds may restart last.
func TestRestartDoesNotWaitForSeeds(t *testing.T) {
	for _, jitter := range []float64{0, 0.5, 1} {
		if d := initialStoreDelay(false, 0.32, jitter); d > maxRestartStoreDelay {
			t.Errorf("a restarted instance waits %v", d)
		}
	}
	if initialStoreDelay(false, 0.32, 0) == initialStoreDelay(false, 0.32, 1) {
		t.Error("restarted instances query the store at the same time")
	}
	if initialStoreDelay(false, 0.8, 1) >= initialStoreDelay(false, 0.16, 0) {
		t.Error("a small instance may take over before a large one")
	}
	if d := initialStoreDelay(true, 0.32, 0); d < firstStartStoreDelay {
		t.Errorf("an instance of a new fleet waits only %v", d)
	}
}

// Guards against replacing a coordinator that is merely busy with joining members:
// in a fleet of 110 instances, seven coordinators took over one after the other.
func TestFreshRecordIsTrusted(t *testing.T) {
	now := time.Now()
	for age, want := range map[time.Duration]bool{0: true, 2 * time.Second: true, -2 * time.Second: true, time.Minute: false, -time.Minute: false} {
		r := CoordinatorRecord{ClaimedMS: now.Add(-age).UnixMilli()}
		if got := r.isFresh(now); got != want {
			t.Errorf("record with age %v is fresh: %v", age, got)
		}
	}
}

// silentPeer does not reply to a query until the caller cancels it.
type silentPeer struct {
	peerpb.DRPCCoordinationUnimplementedServer
	cancelled chan struct{}
}

// Who implements peerpb.DRPCCoordinationServer.
func (p *silentPeer) Who(ctx context.Context, _ *peerpb.WhoRequest) (*peerpb.WhoReply, error) {
	<-ctx.Done()
	close(p.cancelled)
	return nil, ctx.Err()
}

// Guards against waiting for a silent instance, e.g. a frozen coordinator, although
// another instance has already named the coordinator to follow.
func TestDiscoveryDoesNotWaitForSilentInstances(t *testing.T) {
	fleet := newTestFleet(t, 2)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silent := &silentPeer{cancelled: make(chan struct{})}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterCoordination(mux, silent); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = drpcserver.New(mux).Serve(ctx, l) }()
	instance := New(Options{Self: Peer{Name: "x", Address: "127.0.0.1:1", Domain: "a"}})
	replies := (&coordinatorFinder{fleet: instance}).queryAll(ctx, []string{l.Addr().String(), fleet.instances[0].opts.Self.Address})
	select {
	case <-silent.cancelled:
		t.Error("the silent instance was waited for")
	default:
	}
	coordinator := fleet.instances[fleet.coordinators(-1)[0]].opts.Self.Address
	if a := election.Decide(instance.opts.Self.Address, false, nil, replies, "", nil, false); a.Attach != coordinator {
		t.Errorf("decided %+v after %+v, want to follow %s", a, replies, coordinator)
	}
}

// Guards against a coordinator that has stepped down and takes over again and again, since
// it knows a single other instance, and against one that never does although nobody else
// is left.
func TestInstanceThatSteppedDownFollowsTheOnlyOther(t *testing.T) {
	fleet := newTestFleet(t, 1)
	eventually(t, "a coordinator", func() bool { return fleet.ready(-1) })
	other := fleet.instances[0].opts.Self
	for name, c := range map[string]struct {
		known []Peer
		want  election.Action
	}{
		"the other coordinates": {[]Peer{other}, election.Action{Attach: other.Address}},
		"the other is gone":     {[]Peer{{Address: "127.0.0.1:1", Domain: "a"}}, election.Action{TakeOver: true}},
		"all others are gone":   {[]Peer{{Address: "127.0.0.1:1", Domain: "a"}, {Address: "127.0.0.1:3", Domain: "b"}}, election.Action{TakeOver: true}},
	} {
		store := &fakeStore{callsByInstance: make(map[string]int)}
		f := New(Options{Self: Peer{Name: "self", Address: "127.0.0.1:2", Domain: "a"}, Source: store, Store: &fakeStoreCaller{store: store, instance: "self"}})
		f.replica.setRoster(append(c.known, f.opts.Self))
		finder := &coordinatorFinder{fleet: f, startedAt: time.Now().Add(-time.Minute)}
		finder.markLost(f.opts.Self.Address)
		if got := finder.runRound(context.Background(), 0); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against two starting instances that ask only each other for ever: each has been
// asked by the other, and neither has a roster.
func TestInstanceAskedByAnotherStillLooksForTheCoordinator(t *testing.T) {
	fleet := newTestFleet(t, 1)
	eventually(t, "a coordinator", func() bool { return fleet.ready(-1) })
	coordinator := fleet.instances[0].opts.Self
	store := &fakeStore{callsByInstance: make(map[string]int)}
	f := New(Options{Self: Peer{Name: "self", Address: "127.0.0.1:2", Domain: "a"}, Seeds: []string{coordinator.Address}, Source: store, Store: &fakeStoreCaller{store: store, instance: "self"}})
	f.replica.addPeer(Peer{Address: "127.0.0.1:1", Domain: "a"})
	finder := &coordinatorFinder{fleet: f, startedAt: time.Now().Add(-time.Minute)}
	if got, want := finder.runRound(context.Background(), 0), (election.Action{Attach: coordinator.Address}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Guards against a fleet that never serves after all its instances started while the store was
// away: each had been queried by others, took them for successors, and nobody went to the
// store any more.
func TestFleetStartsOnceTheStoreIsBack(t *testing.T) {
	for name, c := range map[string]struct {
		instances int
		silent    bool
		// noSeeds is set if the instances get no seed that runs.
		noSeeds bool
	}{
		"one instance":              {instances: 1},
		"two instances":             {instances: 2},
		"two, seeds gone":           {instances: 2, noSeeds: true},
		"six, store refuses":        {instances: 6},
		"six, store is silent":      {instances: 6, silent: true},
		"six, seeds gone":           {instances: 6, noSeeds: true},
		"forty, store refuses":      {instances: 40},
		"forty, silent, seeds gone": {instances: 40, silent: true, noSeeds: true},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newTestFleet(t, 0)
			away := fleet.store.refusedInstances
			if c.silent {
				away = fleet.store.silentInstances
			}
			for i := range c.instances {
				away[fmt.Sprint(i)] = true
			}
			var listeners []net.Listener
			for range c.instances {
				listeners = append(listeners, fleet.listen())
			}
			seeds := []string{"127.0.0.1:1"}
			for _, l := range listeners[:min(3, len(listeners))] {
				if !c.noSeeds {
					seeds = append(seeds, l.Addr().String())
				}
			}
			for i, l := range listeners {
				fleet.addListening(i, l, func(o *Options) { o.Seeds = seeds })
			}
			time.Sleep(2 * time.Second)
			fleet.store.mu.Lock()
			clear(away)
			fleet.store.mu.Unlock()
			eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
		})
	}
}

// Guards against an instance that has lost the only other one and waits for the store although
// it knows all that it needs.
func TestLastInstanceTakesOverWithoutTheStore(t *testing.T) {
	fleet := newTestFleet(t, 2)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	coordinator := fleet.coordinators(-1)[0]
	fleet.store.mu.Lock()
	for i := range fleet.instances {
		fleet.store.refusedInstances[fmt.Sprint(i)] = true
	}
	fleet.store.mu.Unlock()
	fleet.stops[coordinator]()
	eventually(t, "the other instance coordinates", func() bool { return fleet.ready(coordinator) })
}

// Guards against a store that is swamped, while it is away and as it comes back, by instances
// that query it at the same time.
func TestStoreQueriesBackOff(t *testing.T) {
	for failures := 1; failures < 40; failures++ {
		least, most := storeQueryDelay(failures, 0), storeQueryDelay(failures, 1)
		if least <= 0 || most > 2*maxStoreQueryInterval || most < 2*least {
			t.Errorf("after %d failures the next query is due in %v to %v", failures, least, most)
		}
	}
	if d := storeQueryDelay(10, 0.5); d != maxStoreQueryInterval {
		t.Errorf("after 10 failures the next query is due in %v", d)
	}
	if d := searchRoundDelay(0); d != searchRoundInterval {
		t.Errorf("the second round comes after %v", d)
	}
	if d := searchRoundDelay(1 << 20); d != maxSearchRoundInterval {
		t.Errorf("late rounds come after %v", d)
	}
}
