package fleet

import (
	"testing"
	"time"
)

// Guards against an instance that takes its configuration for the one in force while no
// change can reach it: the coordinator cannot read the store, or there is none.
func TestInstanceKnowsWhetherItsConfigurationIsCurrent(t *testing.T) {
	fleet := newTestFleet(t, 4)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	all := func(want Freshness, except int) func() bool {
		return func() bool {
			for i, f := range fleet.instances {
				if i != except && f.ConfigFreshness() != want {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all know that the configuration is current", all(ConfigCurrent, -1))
	fleet.setStoreSilent(true)
	eventually(t, "all know that it may be outdated while the store is silent", all(ConfigUnconfirmed, -1))
	fleet.setStoreSilent(false)
	eventually(t, "all know that it is current again", all(ConfigCurrent, -1))

	coordinator := fleet.coordinators(-1)[0]
	member := fleet.instances[(coordinator+1)%len(fleet.instances)]
	member.detach()
	if got := member.ConfigFreshness(); got != NoCoordinator {
		t.Errorf("freshness without a coordinator is %d, want %d", got, NoCoordinator)
	}
}

// Guards against members that wait for a confirmation which a large fleet, whose
// heartbeats are rarer, never gives in time.
func TestConfigurationOfALargeFleetIsConfirmedInTime(t *testing.T) {
	for _, members := range []int{1, 40, 300, 2500} {
		oldest := operatorPollWait + heartbeatInterval(members)
		if limit := maxConfigAge(members); limit < oldest+storeCallTimeout/2 {
			t.Errorf("%d members: limit %v, a confirmation may be %v old without any failure", members, limit, oldest)
		}
	}
	if limit := maxConfigAge(40); limit >= 2*time.Second {
		t.Errorf("limit %v in a small fleet, but a change must be in force within 2 s", limit)
	}
}

// Guards against a coordinator that steps down and forgets when the store was last reached: in
// a minority it would take itself for unseen, or for seen.
func TestFormerCoordinatorKnowsTheLastContact(t *testing.T) {
	fleet := newTestFleet(t, 1)
	eventually(t, "a coordinator", func() bool { return fleet.ready(-1) })
	f := fleet.instances[0]
	f.mu.Lock()
	c := f.coordinator
	f.mu.Unlock()
	eventually(t, "the store is read", func() bool { return !c.reader.configReadAt().IsZero() })
	readAt := c.reader.configReadAt()
	c.resign("test")
	eventually(t, "the role has ended", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.coordinator != c
	})
	if got := f.lastStoreContact(time.Time{}); got.Before(readAt) {
		t.Errorf("last contact at %v, want at least %v", got, readAt)
	}
}
