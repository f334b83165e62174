package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// LoadFreshFor is how long a reported load counts. Queues fill and empty
	// within this time, so afterwards the load is treated as unknown.
	LoadFreshFor = 2 * time.Second
	// AvoidFor is how long an owner's report to avoid a server counts. The
	// report arrives with responses, so an entry instance that sends nothing to
	// the server isn't told when it recovers. It equals the validity of an
	// ejection permit.
	AvoidFor = 5 * time.Second
)

// Load is what the entry instance knows of a backend server's load. The zero
// value is an unknown load.
type Load struct {
	// ReportedAt is when InUse, Queued and Limit were received; zero if never.
	ReportedAt time.Time
	InUse      int
	Queued     int
	// Limit is the server's current concurrency limit.
	Limit int
	// AvoidUntil is until when other servers are preferred; zero if they are
	// not.
	AvoidUntil time.Time
	// Pending is the number of this entry instance's requests that are in
	// flight to the server.
	Pending int
}

// Candidate is a backend server of the service.
type Candidate struct {
	Server string
	// Local is set if the server is in the entry instance's own failure domain.
	Local bool
	// Slots is the number of slots when warm; at least 1.
	Slots int
	// Excluded is set if operators took the server or its failure domain out
	// of service, if it is leaving, or if it is ejected. It is never chosen.
	Excluded bool
	// Attempted is set if an earlier attempt of this request used the server.
	// It is never chosen.
	Attempted bool
	// Unreachable is set while the server has no owner or the owner doesn't
	// respond. It is chosen only if no other candidate is left.
	Unreachable bool
	Load        Load
}

// loadPerSlot returns the load per slot and whether it is known.
func (c *Candidate) loadPerSlot(now time.Time) (float64, bool) {
	if c.Load.ReportedAt.IsZero() || now.Sub(c.Load.ReportedAt) > LoadFreshFor || c.Load.Limit < 1 {
		return float64(c.Load.Pending) / float64(max(c.Slots, 1)), c.Load.Pending > 0
	}
	used := max(c.Load.InUse+c.Load.Queued, c.Load.Pending)
	return float64(used) / float64(c.Load.Limit), true
}

func (c *Candidate) avoided(now time.Time) bool {
	return now.Before(c.Load.AvoidUntil)
}

// candidateFilter restricts the candidates from which one is chosen.
type candidateFilter struct {
	now time.Time
	// avoidedAllowed is how many avoided candidates, in order, are included.
	avoidedAllowed int
	// local restricts the candidates to the entry instance's failure domain.
	local bool
	// unreachable includes unreachable candidates.
	unreachable bool
}

// each calls f with the index of every candidate that passes the filter.
func (filter candidateFilter) each(candidates []Candidate, f func(i int)) {
	allowed := filter.avoidedAllowed
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded || c.Attempted || c.Unreachable && !filter.unreachable {
			continue
		}
		if c.avoided(filter.now) {
			if allowed == 0 {
				continue
			}
			allowed--
		}
		if !filter.local || c.Local {
			f(i)
		}
	}
}

// Choose returns the index of the candidate for the next attempt, or false if
// there is none. All entry instances must pass candidates in the same order, for
// example by ID. Floor is the share of slots, 0 to 1, that avoidance leaves in
// use: below it, and if nothing else is left, avoided candidates are included in
// order.
//
// Of two random candidates, the one with the lower load per slot is chosen (power
// of two choices); see preferIdle for the exception. Both come from the entry
// instance's own failure domain unless that is more loaded on average than the
// others. A server of unknown load counts as loaded like the average, so that
// entry instances neither all send to it at once nor leave it idle.
func Choose(now time.Time, rng *rand.Rand, candidates []Candidate, floor float64) (int, bool) {
	filter := candidateFilter{now: now, avoidedAllowed: countAvoidedAllowed(now, candidates, floor)}
	local, remote := averageLoads(filter, candidates)
	if local.count+remote.count == 0 {
		filter.unreachable, filter.avoidedAllowed = true, len(candidates)
		local, remote = averageLoads(filter, candidates)
	}
	if local.count > 0 && (remote.count == 0 || local.mean() <= remote.mean()) {
		filter.local = true
	}
	assumed := local
	if !filter.local {
		assumed = average{sum: local.sum + remote.sum, known: local.known + remote.known, count: local.count + remote.count}
	}
	if assumed.count == 0 {
		return 0, false
	}
	first, second := drawTwo(filter, rng, candidates, assumed.count)
	if second >= 0 && loadOf(now, &candidates[first], assumed) > loadOf(now, &candidates[second], assumed) {
		first = second
	}
	return preferIdle(filter, rng, candidates, first, assumed), true
}

// preferIdle replaces a chosen candidate to which this entry instance already
// has a request in flight by a random one to which it has none and which is not
// more loaded, if there is one. Two random choices alone can queue a download
// behind another for its whole duration while other servers are idle. If the
// chosen candidate has no free slot, the replacement may be in another failure
// domain.
func preferIdle(filter candidateFilter, rng *rand.Rand, candidates []Candidate, chosen int, assumed average) int {
	if candidates[chosen].Load.Pending == 0 {
		return chosen
	}
	load := loadOf(filter.now, &candidates[chosen], assumed)
	if load >= 1 {
		filter.local = false
	}
	found := 0
	filter.each(candidates, func(i int) {
		if candidates[i].Load.Pending > 0 || loadOf(filter.now, &candidates[i], assumed) > load {
			return
		}
		found++
		if rng.IntN(found) == 0 {
			chosen = i
		}
	})
	return chosen
}

// countAvoidedAllowed returns how many avoided candidates must stay in use so
// that the slots in use don't fall below the floor and at least one candidate is
// left.
func countAvoidedAllowed(now time.Time, candidates []Candidate, floor float64) int {
	total, kept, usable := 0, 0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		total += max(c.Slots, 1)
		if !c.avoided(now) && !c.Unreachable {
			kept += max(c.Slots, 1)
			if !c.Attempted {
				usable++
			}
		}
	}
	need := floor * float64(total)
	allowed := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded || c.Attempted || c.Unreachable || !c.avoided(now) {
			continue
		}
		if float64(kept) >= need && usable > 0 {
			break
		}
		kept += max(c.Slots, 1)
		usable++
		allowed++
	}
	return allowed
}

// average is the mean load of some candidates.
type average struct {
	sum          float64
	known, count int
}

func (a average) mean() float64 {
	if a.known == 0 {
		return 0
	}
	return a.sum / float64(a.known)
}

func averageLoads(filter candidateFilter, candidates []Candidate) (local, remote average) {
	filter.each(candidates, func(i int) {
		a := &remote
		if candidates[i].Local {
			a = &local
		}
		a.count++
		if load, known := candidates[i].loadPerSlot(filter.now); known {
			a.sum += load
			a.known++
		}
	})
	return local, remote
}

// drawTwo returns the indices of two different random candidates out of the n
// that pass the filter; the second is -1 if n is 1.
func drawTwo(filter candidateFilter, rng *rand.Rand, candidates []Candidate, n int) (first, second int) {
	a, b := rng.IntN(n), -1
	if n > 1 {
		b = rng.IntN(n - 1)
		if b >= a {
			b++
		}
	}
	first, second = -1, -1
	position := 0
	filter.each(candidates, func(i int) {
		switch position {
		case a:
			first = i
		case b:
			second = i
		}
		position++
	})
	return first, second
}

// loadOf returns the load per slot of a candidate; assumed applies if it is
// unknown.
func loadOf(now time.Time, c *Candidate, assumed average) float64 {
	load, known := c.loadPerSlot(now)
	if !known {
		return assumed.mean()
	}
	return load
}
