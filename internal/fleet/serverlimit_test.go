package fleet

import (
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/sender"
)

// limitOf returns the limit of a server at the coordinator; false without one.
func limitOf(f *Fleet, server string) (float64, bool) {
	f.mu.Lock()
	c := f.coordinator
	f.mu.Unlock()
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dispatcher.ServerLimit(server)
}

// Guards against a rate limit that a change of coordinator forgets: each instance tells
// the successor what servers named to it, before it may send to them again.
func TestSuccessorKnowsTheLimits(t *testing.T) {
	fleet := newTestFleet(t, 4)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	coordinator := fleet.coordinators(-1)[0]
	sending := fleet.instances[(coordinator+1)%4]
	eventually(t, "the coordinator knows the servers", func() bool {
		r := fleet.instances[coordinator].replica
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.servers) == 4
	})

	sending.member.noteResponse(&sender.Job{Server: "s0"}, dialect.ServerResponse{RateLimited: true, RateLimit: 2.5})
	eventually(t, "the coordinator knows the limit", func() bool {
		limit, limited := limitOf(fleet.instances[coordinator], "s0")
		return limited && limit == 2.5
	})
	fleet.stops[coordinator]()
	eventually(t, "a successor", func() bool { return fleet.ready(coordinator) })
	successor := fleet.instances[fleet.coordinators(coordinator)[0]]
	if limit, limited := limitOf(successor, "s0"); !limited || limit != 2.5 {
		t.Errorf("the successor knows limit %g (%v), want 2.5", limit, limited)
	}
	sending.member.noteResponse(&sender.Job{Server: "s0"}, dialect.ServerResponse{})
	eventually(t, "the limit has ended", func() bool { _, limited := limitOf(successor, "s0"); return !limited })
}

// Guards against limits kept for servers that have long gone.
func TestOldLimitsAreForgotten(t *testing.T) {
	m := newMember(New(Options{Self: Peer{Address: "self:1"}, Bounds: dispatch.Bounds{}}))
	m.noteResponse(&sender.Job{Server: "s0"}, dialect.ServerResponse{RateLimited: true, RateLimit: 1})
	if got := m.limitsToProto(time.Now().Add(limitRetention / 2)); len(got) != 1 || got[0].Rate != 1 {
		t.Errorf("reported %v, want the limit of s0", got)
	}
	if got := m.limitsToProto(time.Now().Add(2 * limitRetention)); len(got) != 0 || len(m.limits) != 0 {
		t.Errorf("reported %v after the retention time, %d kept", got, len(m.limits))
	}
}
