// Package election decides which instance coordinates the fleet. There is no
// voting: all instances compute the same order of succession from the roster, the
// first one that is reachable takes over, and if two coordinators meet, the one
// with fewer members steps down. No guarantee depends on there being only one
// coordinator.
package election

import (
	"sort"

	"trefoilstream.example/trefoilstream/internal/rendezvous"
)

// Peer is an instance of the fleet, identified by its address.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Capacity is the instance's CPU share, in cores.
	Capacity float64 `json:"capacity"`
}

// Reply is the result of querying an instance for the coordinator that it follows.
type Reply struct {
	From string
	// Reached is false if no reply came in time.
	Reached bool
	// Coordinator is the address of the coordinator it follows, or "".
	Coordinator string
	Members     int
	// Electing is set if the instance has lost its coordinator and looks for the
	// successor.
	Electing bool
}

// Action is what an instance without a coordinator does next. The zero value means
// to wait and query again.
type Action struct {
	// Attach is the address of a coordinator to follow.
	Attach string
	// TakeOver means to become the coordinator.
	TakeOver bool
}

// SuccessionOrder returns the peers in the order in which they take over:
// alternating between the failure domains, so that each domain has an early
// successor, and within a domain by capacity, then by a hash of the address.
func SuccessionOrder(roster []Peer) []Peer {
	byDomain := make(map[string][]Peer)
	for _, p := range roster {
		byDomain[p.Domain] = append(byDomain[p.Domain], p)
	}
	var domains []string
	for name, list := range byDomain {
		domains = append(domains, name)
		sort.Slice(list, func(i, j int) bool { return precedes(list[i], list[j]) })
	}
	sort.Slice(domains, func(i, j int) bool { return rendezvous.Hash(domains[i]) < rendezvous.Hash(domains[j]) })
	out := make([]Peer, 0, len(roster))
	for i := 0; len(out) < len(roster); i++ {
		for _, name := range domains {
			if i < len(byDomain[name]) {
				out = append(out, byDomain[name][i])
			}
		}
	}
	return out
}

func precedes(a, b Peer) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return rendezvous.Hash(a.Address) < rendezvous.Hash(b.Address)
}

// handoverCapacityFactor is how many times the coordinator's capacity another
// instance must have for the coordinator to hand over to it.
const handoverCapacityFactor = 2

// ShouldHandOver reports whether a coordinator hands over because a member has much
// more capacity.
func ShouldHandOver(self Peer, members []Peer) bool {
	for _, p := range members {
		if p.Capacity >= handoverCapacityFactor*self.Capacity {
			return true
		}
	}
	return false
}

// Candidates returns the peers to query in a round: the first of the succession order,
// and more in each round that found no coordinator, up to the whole order.
func Candidates(order []Peer, self string, round int) []Peer {
	domains := make(map[string]bool)
	for _, p := range order {
		domains[p.Domain] = true
	}
	n := min(len(order), 2*len(domains)*(round+1))
	return order[:n]
}

// Decide returns what an instance does after it queried the candidates. The
// coordinator that it lost is followed again only if that instance itself claims to
// coordinate. blocked holds the coordinators that could not be attached to. An instance that
// is electing, as it has lost a coordinator, skips candidates that are not: they have just
// started or are stopping. If skipIdle is set, candidates that have not taken over for many
// rounds are skipped too.
func Decide(self string, electing bool, candidates []Peer, replies []Reply, lost string, blocked map[string]bool, skipIdle bool) Action {
	byAddress := make(map[string]Reply, len(replies))
	best := Reply{}
	for _, r := range replies {
		byAddress[r.From] = r
		if CanFollow(self, r, lost, blocked) && (best.Coordinator == "" || r.Members > best.Members) {
			best = r
		}
	}
	if best.Coordinator != "" {
		return Action{Attach: best.Coordinator}
	}
	for _, c := range candidates {
		if c.Address == self {
			return Action{TakeOver: true}
		}
		r := byAddress[c.Address]
		if !r.Reached || r.Coordinator == "" && (skipIdle || electing && !r.Electing) {
			continue
		}
		// A reachable candidate ahead of self takes over, or follows a coordinator
		// that this instance cannot reach.
		return Action{}
	}
	return Action{}
}

// CanFollow reports whether a reply names a coordinator that an instance without one
// can follow. The coordinator that was lost counts only if its own reply says so.
func CanFollow(self string, r Reply, lost string, blocked map[string]bool) bool {
	if !r.Reached || r.Coordinator == "" || r.Coordinator == self || blocked[r.Coordinator] {
		return false
	}
	return r.Coordinator != lost || r.From == lost
}

// ShouldStepDown reports whether a coordinator steps down in favour of another one:
// the one with fewer members does, or the one with the higher address if both have
// the same number.
func ShouldStepDown(self string, members int, other string, otherMembers int) bool {
	if members != otherMembers {
		return members < otherMembers
	}
	return other < self
}
