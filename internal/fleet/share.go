package fleet

import (
	"time"

	"github.com/apex/log"
)

// shareLogInterval is the least time between log lines of the share.
const shareLogInterval = time.Second

// forgetMissing drops instances that are not counted any more from the roster, so that it
// does not grow with every replaced one. The caller holds mu.
func (c *coordinator) forgetMissing(now time.Time) {
	c.presence.StoreReached(c.reader.configReadAt(), false)
	for _, address := range c.presence.Forget(now) {
		c.fleet.replica.removePeer(address)
		c.rosterDelta.leave(address)
	}
}

// updateConnectedShare tells the dispatcher what share of the fleet is connected to this
// coordinator, and what share has told what earlier coordinators admitted. Until they join,
// members may have joined another coordinator. The caller holds mu.
func (c *coordinator) updateConnectedShare(now time.Time) {
	c.dispatcher.SetConnectedShare(now, c.presence.Share(now))
	c.dispatcher.SetIsolated(c.presence.Isolated(now))
	c.dispatcher.SetReportedShare(now, c.presence.ShareOf(now, func(address string) bool { return c.reported[address] }))
}

// isIsolated reports whether this coordinator may grant nothing of what is bounded for the
// whole fleet.
func (c *coordinator) isIsolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.presence.Isolated(time.Now())
}

// Coordination tells what part of the fleet an instance coordinates.
type Coordination struct {
	// Share is the share of the fleet's bounds that the instance grants, 0 to 1.
	Share float64
	// Missing is how many instances it counts as missing.
	Missing int
}

// Coordination returns what this instance coordinates; zero if it is not the coordinator.
func (f *Fleet) Coordination() Coordination {
	f.mu.Lock()
	c := f.coordinator
	f.mu.Unlock()
	if c == nil {
		return Coordination{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return Coordination{Share: c.presence.Share(time.Now()), Missing: c.presence.Missing()}
}

// logShare logs the share of the bounds that this coordinator grants when it has changed, at
// most once every shareLogInterval. The caller holds mu.
func (c *coordinator) logShare(now time.Time) {
	share := c.presence.Share(now)
	if share == c.loggedShare || now.Sub(c.shareLoggedAt) < shareLogInterval {
		return
	}
	c.loggedShare, c.shareLoggedAt = share, now
	log.WithFields(log.Fields{
		"event": "fleet_share", "share": share, "members": len(c.sessions), "missing": c.presence.Missing(), "members_of_others": c.presence.MembersOfOthers(),
	}).Info("share of the fleet that this coordinator counts as its own")
}
