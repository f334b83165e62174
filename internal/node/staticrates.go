package node

import (
	"context"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/budget"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// staticRates limits this instance to 1/N of each team's rate and burst, where N
// is the number of active members. It is a baseline for measurements: it rejects
// requests within the rate if they arrive through few instances.
type staticRates struct {
	state *board.InstanceState

	mu        sync.Mutex
	buckets   *budget.ShardOwner
	sequence  uint64
	evictedAt time.Time
}

// Admit implements entry.Admission.
func (s *staticRates) Admit(_ context.Context, team document.Team) error {
	n := max(1, len(s.state.Roster().Active(roster.Scope{})))
	limits := budget.Limits{Rate: team.Rate, Burst: team.Burst}.Split(n)
	// A burst below one token would never admit a request.
	limits.Burst = max(1, limits.Burst)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.evictedAt) > budget.GrantTTL {
		s.buckets.Evict(now)
		s.evictedAt = now
	}
	s.sequence++
	request := budget.AcquireRequest{Team: team.ID, Sequence: s.sequence, Want: 1}
	r := s.buckets.Acquire(now, time.Time{}, limits, budget.Source{}, request)
	if r.Granted == 0 {
		err := errkind.Errorf(errkind.RateLimited, "no token of team %s at this instance", team.ID)
		err.RetryAfter = r.RetryAfter
		return err
	}
	s.buckets.Acquire(now, time.Time{}, limits, budget.Source{}, budget.AcquireRequest{Team: team.ID, Uses: []budget.TokenUse{{Sequence: request.Sequence, Spent: 1}}})
	return nil
}
