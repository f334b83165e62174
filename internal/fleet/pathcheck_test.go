package fleet

import (
	"context"
	"net"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// Guards against a path check that mistakes an instance that does not reply for one
// that cannot reach the server, or a refused connection for a reachable server.
func TestInstancesTellWhichServersTheyReach(t *testing.T) {
	fleet := newTestFleet(t, 2)
	eventually(t, "one coordinator", func() bool { return fleet.ready(-1) })
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := closedListener.Addr().String()
	_ = closedListener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f := fleet.instances[0]
	for _, via := range []string{f.opts.Self.Address, fleet.instances[1].opts.Self.Address} {
		if ok, err := f.queryReachability(ctx, via, server.Addr().String()); !ok || err != nil {
			t.Errorf("%s reaches the server: %v, %v", via, ok, err)
		}
		if ok, err := f.queryReachability(ctx, via, closedAddress); ok || err != nil {
			t.Errorf("%s reaches an address without a server: %v, %v", via, ok, err)
		}
	}
	if _, err := f.queryReachability(ctx, closedAddress, server.Addr().String()); err == nil {
		t.Error("no error from an instance that is not running")
	}
}

// Guards against path check results that do not reach the dispatcher. If no
// instance reaches the server, the dispatcher requests a check from further ones.
func TestPathCheckIsHandedToTheDispatcher(t *testing.T) {
	fleet := newTestFleet(t, 4)
	eventually(t, "one coordinator", func() bool { return fleet.ready(-1) })
	coordinatorInstance := fleet.instances[fleet.coordinators(-1)[0]]
	coordinatorInstance.mu.Lock()
	c := coordinatorInstance.coordinator
	coordinatorInstance.mu.Unlock()
	var others []string
	for _, f := range fleet.instances {
		if f != coordinatorInstance {
			others = append(others, f.opts.Self.Address)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	eventually(t, "a further check", func() bool {
		c.checkPaths(ctx, dispatch.PathCheck{Server: "s0", Address: "127.0.0.1:1", Via: others[:2]})
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, check := range c.dispatcher.PathChecks() {
			if check.SecondRound && check.Server == "s0" {
				return true
			}
		}
		return false
	})
}
