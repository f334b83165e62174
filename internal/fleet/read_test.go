package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// barrier is a store that answers only when it is asked through as many
// instances at the same time as it waits for.
type barrier struct {
	store
	mu      sync.Mutex
	waiting int
	want    int
	all     chan struct{}
}

// Servers implements Source.
func (b *barrier) Servers(ctx context.Context, _ StoreCaller, _ int64) ([]catalog.Change, int64, error) {
	b.mu.Lock()
	b.waiting++
	if b.waiting == b.want {
		close(b.all)
	}
	b.mu.Unlock()
	select {
	case <-b.all:
		return nil, 7, nil
	case <-ctx.Done():
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
		return nil, 0, ctx.Err()
	}
}

// Guards against a coordinator that asks one silent instance after the other:
// once the store has not answered it, it asks through several at once.
func TestSilentInstancesAreNotAskedInTurn(t *testing.T) {
	const members = 4
	b := &barrier{want: members, all: make(chan struct{})}
	c := &coordinator{fleet: New(Options{Self: Peer{Name: "0", Address: "127.0.0.1:1"}, Source: b}), links: make(map[string]*link)}
	for i := range members {
		address := fmt.Sprintf("127.0.0.1:%d", i+1)
		c.links[address] = &link{peer: Peer{Name: fmt.Sprint(i), Address: address}}
	}
	r := &reader{c: c, changed: make(chan struct{})}
	if routes := r.routes(); len(routes) != 1 || routes[0] != "" {
		t.Errorf("without a failure the store is asked through %q, want this instance only", routes)
	}
	r.failures = 1
	// The read is repeated, since a loaded machine may not start all calls
	// within the time-out of one; calls in turn never meet.
	eventually(t, "calls through all members at once", func() bool {
		read := r.readHedged(context.Background(), r.routes(), -1)
		return read.err == nil && read.next == 7
	})
}

// Guards against changes that are missed while the store serves a single
// instance that does not coordinate, and the calls of all others get no answer.
func TestCoordinatorReadsThroughTheOnlyOneServed(t *testing.T) {
	g := newGroup(t, 4)
	eventually(t, "one coordinator and all ready", func() bool { return g.settled(-1) })
	served := fmt.Sprint((g.coordinators(-1)[0] + 1) % 4)
	g.store.mu.Lock()
	for i := range g.all {
		g.store.silent[fmt.Sprint(i)] = fmt.Sprint(i) != served
	}
	clear(g.store.readers)
	g.store.mu.Unlock()
	// A read that had begun before would still return the change.
	eventually(t, "a call through the instance that is served", func() bool {
		g.store.mu.Lock()
		defer g.store.mu.Unlock()
		return g.store.readers[served] > 0
	})
	g.store.mu.Lock()
	g.store.config, g.store.version = groupConfig(2), 2
	g.store.mu.Unlock()
	g.awaitVersion(2)
}
