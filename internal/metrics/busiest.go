package metrics

import (
	"cmp"
	"slices"
)

// busiestTeams finds the teams with the most requests in bounded memory with the
// Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005): a team with
// more than total/capacity requests is always among the counted ones. It is not
// safe for concurrent use.
type busiestTeams struct {
	capacity int
	counts   map[string]uint64
}

func newBusiestTeams(capacity int) *busiestTeams {
	return &busiestTeams{capacity: capacity, counts: make(map[string]uint64, capacity)}
}

// add counts one request of a team. If all counters are in use, the team takes
// over the counter with the lowest count, which requires a scan of all counters.
// This is rare for large teams, since their counts are not the lowest.
func (b *busiestTeams) add(team string) {
	if _, ok := b.counts[team]; ok || len(b.counts) < b.capacity {
		b.counts[team]++
		return
	}
	minTeam, minCount := "", ^uint64(0)
	for t, n := range b.counts {
		if n < minCount || n == minCount && t < minTeam {
			minTeam, minCount = t, n
		}
	}
	delete(b.counts, minTeam)
	b.counts[team] = minCount + 1
}

// top returns up to n teams with the highest counts, in descending order.
func (b *busiestTeams) top(n int) []string {
	teams := make([]string, 0, len(b.counts))
	for t := range b.counts {
		teams = append(teams, t)
	}
	slices.SortFunc(teams, func(x, y string) int {
		if c := cmp.Compare(b.counts[y], b.counts[x]); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
	return teams[:min(n, len(teams))]
}

// decay halves all counts, so that teams that are no longer busy are replaced.
func (b *busiestTeams) decay() {
	for t := range b.counts {
		b.counts[t] /= 2
	}
}
