package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoilstream.example/trefoilstream/internal/election"
)

// findOtherCoordinator probes for another coordinator while members are absent,
// and steps down if that one has more members. It also steps down if a member has
// much more capacity.
func (c *coordinator) findOtherCoordinator(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, conflictProbeInterval)
		if ctx.Err() == nil && c.shouldHandOver() {
			c.resign("a member has much more capacity")
			return
		}
		for _, address := range c.sampleNonMembers() {
			r := c.fleet.queryCoordinator(ctx, address, coordinatorQueryTimeout)
			if !r.Reached || r.Coordinator == "" || r.Coordinator == c.fleet.opts.Self.Address {
				continue
			}
			if election.ShouldStepDown(c.fleet.opts.Self.Address, c.memberCount(), r.Coordinator, r.Members) {
				c.resign("another coordinator has more members")
				return
			}
		}
	}
}

// shouldHandOver reports whether a member has much more capacity than this
// coordinator.
func (c *coordinator) shouldHandOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.startedAt) < takeoverGracePeriod {
		return false
	}
	members := make([]Peer, 0, len(c.sessions))
	for _, session := range c.sessions {
		if !session.leaving {
			members = append(members, session.peer)
		}
	}
	return election.ShouldHandOver(c.fleet.opts.Self, members)
}

// conflictProbeCount is the number of absent instances asked per probe.
const conflictProbeCount = 3

// sampleNonMembers returns random instances of the roster and seeds that are not
// attached.
func (c *coordinator) sampleNonMembers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, p := range c.fleet.replica.rosterWithout(c.fleet.opts.Self.Address) {
		if c.sessions[p.Address] == nil {
			out = append(out, p.Address)
		}
	}
	for _, address := range c.fleet.opts.Seeds {
		if address != c.fleet.opts.Self.Address && c.sessions[address] == nil {
			out = append(out, address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), conflictProbeCount)]
}
