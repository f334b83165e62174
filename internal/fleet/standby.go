package fleet

import (
	"sort"
	"time"

	"trefoilstream.example/trefoilstream/internal/election"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// standbyCount is the number of members that replicate the backend servers and
// their failure probabilities, so that one can take over without the store. With
// all 300 members as standbys, the coordinator's network link is busy for seconds
// after a start. All 16 are lost together only if nearly the whole fleet is; the
// next coordinator then reads the directory from the store.
const standbyCount = 16

// isStandby reports whether a member is among the failover candidates. The
// caller holds mu.
func (c *coordinator) isStandby(p Peer) bool {
	for _, candidate := range c.failoverCandidates() {
		if candidate.Address == p.Address {
			return true
		}
	}
	return false
}

// failoverCandidates returns the members that would take over first. The caller
// holds mu.
func (c *coordinator) failoverCandidates() []Peer {
	peers := make([]Peer, 0, len(c.sessions))
	for _, session := range c.sessions {
		if !session.leaving && session.peer.Address != c.fleet.opts.Self.Address {
			peers = append(peers, session.peer)
		}
	}
	order := election.SuccessionOrder(peers)
	return order[:min(standbyCount, len(order))]
}

// updateStandbys sends the backend servers to new standbys, and clears them on
// members that are no longer standbys, so that none takes over with servers that
// no longer exist. The caller holds mu.
func (c *coordinator) updateStandbys(now time.Time) {
	chosen := make(map[string]bool, standbyCount)
	for _, p := range c.failoverCandidates() {
		chosen[p.Address] = true
	}
	for address, session := range c.sessions {
		if session.standby == chosen[address] || address == c.fleet.opts.Self.Address {
			continue
		}
		session.standby = chosen[address]
		state := &peerpb.FleetState{ReplaceServers: true}
		if session.standby {
			state.Servers = c.fleet.replica.serversToProto(now)
			state.ServersLeaving = leavingToProto(c.dispatcher.LeavingServers())
		}
		c.send(session, &peerpb.CoordinatorMessage{State: state})
	}
}

// broadcast sends a state change to all members, without the backend servers to
// those that are not standbys. The caller holds mu.
func (c *coordinator) broadcast(state *peerpb.FleetState) {
	withoutServers := &peerpb.FleetState{
		Config: state.Config, HasDomainsOut: state.HasDomainsOut, DomainsOut: state.DomainsOut,
		Roster: state.Roster, RosterGone: state.RosterGone, StoreEra: state.StoreEra,
	}
	affectsAllMembers := len(state.Config) > 0 || state.HasDomainsOut || len(state.Roster) > 0 || len(state.RosterGone) > 0 || state.StoreEra > 0
	for _, session := range c.sessions {
		switch {
		case session.standby:
			c.send(session, &peerpb.CoordinatorMessage{State: state})
		case affectsAllMembers:
			c.send(session, &peerpb.CoordinatorMessage{State: withoutServers})
		}
	}
}

// rosterDelta collects the instances that joined and left since the last roster
// update to the members.
type rosterDelta struct {
	// known holds the instances in the members' rosters. The coordinator's replica
	// may have more: instances that queried for the coordinator but have not
	// joined.
	known  map[string]Peer
	joined map[string]Peer
	left   map[string]bool
}

func newRosterDelta(known []Peer) rosterDelta {
	d := rosterDelta{known: make(map[string]Peer), joined: make(map[string]Peer), left: make(map[string]bool)}
	for _, p := range known {
		d.known[p.Address] = p
	}
	return d
}

func (d *rosterDelta) join(p Peer) {
	delete(d.left, p.Address)
	if d.known[p.Address] != p {
		d.known[p.Address], d.joined[p.Address] = p, p
	}
}

func (d *rosterDelta) leave(address string) {
	delete(d.known, address)
	delete(d.joined, address)
	d.left[address] = true
}

// flush returns the changes as a message for the members and resets them. It
// returns nil if there are none.
func (d *rosterDelta) flush() *peerpb.FleetState {
	if len(d.joined) == 0 && len(d.left) == 0 {
		return nil
	}
	state := &peerpb.FleetState{}
	for _, p := range d.joined {
		state.Roster = append(state.Roster, peerToProto(p))
	}
	for address := range d.left {
		state.RosterGone = append(state.RosterGone, address)
	}
	sort.Slice(state.Roster, func(i, j int) bool { return state.Roster[i].Address < state.Roster[j].Address })
	sort.Strings(state.RosterGone)
	clear(d.joined)
	clear(d.left)
	return state
}
