package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// barrierSource returns the directory only once wantCalls reads are in progress at
// the same time.
type barrierSource struct {
	fakeStore
	mu           sync.Mutex
	waitingCalls int
	wantCalls    int
	allWaiting   chan struct{}
}

// Servers implements Source.
func (source *barrierSource) Servers(ctx context.Context, _ StoreCaller, from Position) ([]catalog.Change, Position, error) {
	source.mu.Lock()
	source.waitingCalls++
	if source.waitingCalls == source.wantCalls {
		close(source.allWaiting)
	}
	source.mu.Unlock()
	select {
	case <-source.allWaiting:
		return nil, Position{Offset: 7}, nil
	case <-ctx.Done():
		source.mu.Lock()
		source.waitingCalls--
		source.mu.Unlock()
		return nil, from, ctx.Err()
	}
}

// Guards against a coordinator that tries silent instances one after the other.
// Once the store has failed to respond, it must read through several in parallel.
func TestSilentInstancesAreNotAskedInTurn(t *testing.T) {
	const members = 4
	source := &barrierSource{wantCalls: members, allWaiting: make(chan struct{})}
	c := &coordinator{fleet: New(Options{Self: Peer{Name: "0", Address: "127.0.0.1:1"}, Source: source}), sessions: make(map[string]*memberSession)}
	for i := range members {
		address := fmt.Sprintf("127.0.0.1:%d", i+1)
		c.sessions[address] = &memberSession{peer: Peer{Name: fmt.Sprint(i), Address: address}}
	}
	r := &storeReader{coordinator: c, relayChanged: make(chan struct{})}
	if relays := r.readRelays(); len(relays) != 1 || relays[0] != "" {
		t.Errorf("without a failure the store is read through %q, want a direct call only", relays)
	}
	r.failures = 1
	// The read is repeated, since a loaded machine may not start all calls within
	// one timeout. Sequential calls would never overlap.
	eventually(t, "concurrent calls through all members", func() bool {
		result := r.readDirectoryHedged(context.Background(), r.readRelays(), Everything)
		return result.err == nil && result.next.Offset == 7
	})
}

// Guards against missed changes while the store responds to a single instance that
// is not the coordinator, and calls from all others time out.
func TestCoordinatorReadsThroughTheOnlyOneServed(t *testing.T) {
	fleet := newTestFleet(t, 4)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	served := fmt.Sprint((fleet.coordinators(-1)[0] + 1) % 4)
	fleet.store.mu.Lock()
	for i := range fleet.instances {
		fleet.store.silentInstances[fmt.Sprint(i)] = fmt.Sprint(i) != served
	}
	clear(fleet.store.callsByInstance)
	fleet.store.mu.Unlock()
	// A direct read that started earlier would still return the change, so wait
	// for a relayed one.
	eventually(t, "a call through the instance that is served", func() bool {
		fleet.store.mu.Lock()
		defer fleet.store.mu.Unlock()
		return fleet.store.callsByInstance[served] > 0
	})
	fleet.store.mu.Lock()
	fleet.store.config, fleet.store.version = testConfig(2), 2
	fleet.store.mu.Unlock()
	fleet.awaitVersion(2)
}
