package fleet

import (
	"context"
	"net"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// Guards against a path check that takes an instance that is gone for one that
// does not reach the server, and a server that refuses for one that is reached.
func TestInstancesTellWhichServersTheyReach(t *testing.T) {
	g := newGroup(t, 2)
	eventually(t, "one coordinator", func() bool { return g.settled(-1) })
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := ended.Addr().String()
	_ = ended.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f := g.all[0]
	for _, via := range []string{f.opts.Self.Address, g.all[1].opts.Self.Address} {
		if ok, err := f.askReach(ctx, via, server.Addr().String()); !ok || err != nil {
			t.Errorf("%s reaches the server: %v, %v", via, ok, err)
		}
		if ok, err := f.askReach(ctx, via, gone); ok || err != nil {
			t.Errorf("%s reaches an address without a server: %v, %v", via, ok, err)
		}
	}
	if _, err := f.askReach(ctx, gone, server.Addr().String()); err == nil {
		t.Error("an instance that is gone gave an answer")
	}
}

// Guards against a check whose result does not get to the dispatcher: a server
// that no instance reaches is asked for by further instances.
func TestPathCheckIsHandedToTheDispatcher(t *testing.T) {
	g := newGroup(t, 4)
	eventually(t, "one coordinator", func() bool { return g.settled(-1) })
	leader := g.all[g.coordinators(-1)[0]]
	leader.mu.Lock()
	c := leader.coordinator
	leader.mu.Unlock()
	var others []string
	for _, f := range g.all {
		if f != leader {
			others = append(others, f.opts.Self.Address)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	eventually(t, "a further check", func() bool {
		c.checkPaths(ctx, dispatch.PathCheck{Server: "s0", Address: "127.0.0.1:1", Via: others[:2]})
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, check := range c.dispatch.PathChecks() {
			if check.Further && check.Server == "s0" {
				return true
			}
		}
		return false
	})
}
