package roster

import (
	"cmp"
	"slices"
)

// DefaultWitnesses is the number of witnesses of a member. Nine over three
// failure domains leave six after the loss of one, and a majority is five.
const DefaultWitnesses = 9

// Majority returns how many of n votes are a majority.
func Majority(n int) int { return n/2 + 1 }

// Witnesses returns the k witnesses of a member at this epoch: active members
// of its region other than itself, round-robin over the failure domains, by
// rank on its ID. If the region has fewer than k others, all of them and the
// member itself are witnesses.
func (r *Roster) Witnesses(m Member, k int) []Member {
	return pickWitnesses(r.candidates(Scope{Region: m.Region}), m, k)
}

// WitnessSet is the witness set of a member over a range of epochs.
type WitnessSet struct {
	// Until is the last epoch of the range, the current one for the last set.
	Until   uint64
	Members []Member
}

// WitnessSets returns the distinct witness sets that m had at the epochs from
// `from` to the current one, oldest first. It reports false if the roster no
// longer knows the members of that time.
func (r *Roster) WitnessSets(m Member, from uint64, k int) ([]WitnessSet, bool) {
	if r.Epoch > EndedRetention && from < r.Epoch-EndedRetention {
		return nil, false
	}
	var region []Member
	epochs := []uint64{from}
	for _, other := range r.Members() {
		if other.Region != m.Region {
			continue
		}
		region = append(region, other)
		for _, at := range []uint64{other.JoinedAt, other.InactiveAt} {
			if at > from && at <= r.Epoch {
				epochs = append(epochs, at)
			}
		}
	}
	slices.Sort(epochs)
	epochs = slices.Compact(epochs)
	var sets []WitnessSet
	for i, epoch := range epochs {
		until := r.Epoch
		if i+1 < len(epochs) {
			until = epochs[i+1] - 1
		}
		set := pickWitnesses(activeAt(region, epoch), m, k)
		if n := len(sets); n > 0 && sameMembers(sets[n-1].Members, set) {
			sets[n-1].Until = until
			continue
		}
		sets = append(sets, WitnessSet{until, set})
	}
	return sets, true
}

func activeAt(members []Member, epoch uint64) []candidate {
	var list []candidate
	for _, m := range members {
		if m.JoinedAt <= epoch && (m.InactiveAt == 0 || epoch < m.InactiveAt) {
			list = append(list, candidate{Hash(m.ID), m})
		}
	}
	return list
}

func sameMembers(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool { return x.Ref() == y.Ref() })
}

func pickWitnesses(candidates []candidate, m Member, k int) []Member {
	hash := Hash(m.ID)
	domains := make(map[string][]weighted)
	others := 0
	for i, c := range candidates {
		if c.member.ID == m.ID {
			continue
		}
		others++
		domain := c.member.FailureDomain
		domains[domain] = append(domains[domain], weighted{Weight(hash, c.hash), i})
	}
	set := pickRoundRobin(candidates, domains, hash, min(k, others))
	if others < k {
		set = append(set, m)
	}
	slices.SortFunc(set, compareRefs)
	return set
}

// pickRoundRobin picks n candidates round-robin over the groups, highest weight
// first in each. The groups are visited in an order that depends on hash, so
// that all groups get an equal share over many hashes if n is not a multiple of
// their number.
func pickRoundRobin(candidates []candidate, groups map[string][]weighted, hash uint64, n int) []Member {
	names := make([]string, 0, len(groups))
	for name, group := range groups {
		names = append(names, name)
		slices.SortFunc(group, func(a, b weighted) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(candidates[a.index].member.ID, candidates[b.index].member.ID))
		})
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(hash, Hash(b)), Weight(hash, Hash(a))), cmp.Compare(a, b))
	})
	set := make([]Member, 0, n+1)
	for round := 0; len(set) < n; round++ {
		taken := false
		for _, name := range names {
			if round < len(groups[name]) && len(set) < n {
				set = append(set, candidates[groups[name][round].index].member)
				taken = true
			}
		}
		if !taken {
			break
		}
	}
	return set
}

// RegionPeers returns k active members, picked round-robin over all regions, in
// a fleet of several regions, and none otherwise. The member's own region
// comes last in each round, so that it never holds a majority of them.
func (r *Roster) RegionPeers(m Member, k int) []Member {
	all := r.candidates(Scope{})
	hash := Hash(m.ID)
	regions := make(map[string][]weighted)
	for i, c := range all {
		if c.member.ID != m.ID {
			regions[c.member.Region] = append(regions[c.member.Region], weighted{Weight(hash, c.hash), i})
		}
	}
	own := regions[m.Region]
	delete(regions, m.Region)
	if len(regions) == 0 {
		return nil
	}
	inRegion := min(len(own), k/(len(regions)+1))
	set := pickRoundRobin(all, regions, hash, k-inRegion)
	inRegion = min(inRegion, max(0, len(set)-1))
	return append(set, pickRoundRobin(all, map[string][]weighted{"": own}, hash, inRegion)...)
}
