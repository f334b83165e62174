package node

import (
	"context"
	"errors"
	"hash/maphash"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/budget"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/peer"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// budgetStripes is the number of locks that the teams are striped over.
	budgetStripes = 64
	// budgetReportInterval is the interval at which spent tokens are reported
	// and unused ones returned.
	budgetReportInterval = 50 * time.Millisecond
	// holderCacheTTL bounds how long the holder of a shard is cached, since
	// ranking takes time proportional to the number of members.
	holderCacheTTL = 100 * time.Millisecond
)

var errNoOwner = errors.New("no instance can hold the shard")

// budgets enforces the teams' rates. A team's token bucket is split into shards,
// each held by one instance, its owner. This instance grants tokens of the shards
// that it owns and acquires tokens for the requests that it accepts. budgets
// implements entry.Admission and the drpc service Budget.
type budgets struct {
	state        *board.InstanceState
	rights       rights.View
	peers        *peer.Pool
	seed         maphash.Seed
	cachedLayout atomic.Pointer[layout]
	shardOwners  [budgetStripes]ownerStripe
	limiters     [budgetStripes]limiterStripe
}

type ownerStripe struct {
	mu    sync.Mutex
	owner *budget.ShardOwner
}

type limiterStripe struct {
	mu      sync.Mutex
	limiter *budget.Limiter
	waiters map[string]chan struct{}
	holders map[holderKey]cachedHolder
}

type holderKey struct {
	team  string
	shard int
}

type cachedHolder struct {
	member roster.Member
	until  time.Time
}

func newBudgets(b *board.InstanceState, v rights.View, p *peer.Pool) *budgets {
	s := &budgets{state: b, rights: v, peers: p, seed: maphash.MakeSeed()}
	for i := range budgetStripes {
		s.shardOwners[i].owner = budget.NewShardOwner()
		s.limiters[i].limiter = budget.NewLimiter()
		s.limiters[i].waiters = make(map[string]chan struct{})
		s.limiters[i].holders = make(map[holderKey]cachedHolder)
	}
	return s
}

func (s *budgets) stripeOf(team string) int {
	return int(maphash.String(s.seed, team) % budgetStripes)
}

// layout is the input to the placement of shards: the failure domains, sorted
// by ID.
type layout struct {
	config  *document.Snapshot
	domains []document.Domain
}

// layout returns the layout of the current configuration. It is cached until
// the configuration changes, since every admission needs it.
func (s *budgets) layout() *layout {
	cfg := s.state.Config()
	if l := s.cachedLayout.Load(); l != nil && l.config == cfg {
		return l
	}
	l := &layout{config: cfg}
	for _, d := range cfg.Domains {
		l.domains = append(l.domains, d)
	}
	slices.SortFunc(l.domains, func(a, b document.Domain) int { return strings.Compare(a.ID, b.ID) })
	s.cachedLayout.Store(l)
	return l
}

// scope returns the scope in which the owner of a shard is ranked. The shards
// of a team are placed in successive failure domains, starting at a hash of the
// team, which spreads the teams over all domains. The scope includes the region,
// whose other members take over if the domain has none; see roster.Scope.Wider.
func (l *layout) scope(team string, shard int) roster.Scope {
	if len(l.domains) == 0 {
		return roster.Scope{}
	}
	d := l.domains[(int(roster.Hash(team)%uint64(len(l.domains)))+shard)%len(l.domains)]
	return roster.Scope{Region: d.Region, FailureDomain: d.ID}
}

// Admit implements entry.Admission.
func (s *budgets) Admit(ctx context.Context, team document.Team) error {
	placement := s.layout()
	tm := budget.Team{ID: team.ID, Limits: budget.Limits{Rate: team.Rate, Burst: team.Burst}}
	tm.Shards = tm.Limits.Shards(len(placement.domains))
	own := s.rights.Self().FailureDomain
	for i := range tm.Shards {
		if placement.scope(team.ID, i).FailureDomain == own {
			tm.PreferredShard = i
		}
	}
	st := &s.limiters[s.stripeOf(team.ID)]
	var req budget.Request
	for {
		st.mu.Lock()
		decision := st.limiter.Poll(time.Now(), tm, &req)
		var replied chan struct{}
		if decision.State == budget.Waiting {
			replied = st.waiter(team.ID)
		}
		st.mu.Unlock()
		s.send(decision.Acquires, placement)
		switch decision.State {
		case budget.Admitted:
			return nil
		case budget.Refused:
			return refusal(team.ID, decision)
		}
		timer := time.NewTimer(time.Until(decision.Until))
		select {
		case <-replied:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			st.mu.Lock()
			st.limiter.Cancel(team.ID, &req)
			st.mu.Unlock()
			return errkind.Errorf(errkind.DeadlineExceededQueued, "no token of team %s: %w", team.ID, ctx.Err())
		}
		timer.Stop()
	}
}

// refusal distinguishes an exceeded rate from unreachable owners.
func refusal(team string, decision budget.Decision) error {
	kind := errkind.RateLimited
	if decision.Unreachable {
		kind = errkind.Overloaded
	}
	err := errkind.Errorf(kind, "no token of team %s", team)
	err.RetryAfter = decision.RetryAfter
	return err
}

// waiter returns the channel that is closed on the next reply for the team.
func (st *limiterStripe) waiter(team string) chan struct{} {
	c := st.waiters[team]
	if c == nil {
		c = make(chan struct{})
		st.waiters[team] = c
	}
	return c
}

// send sends acquire requests to the owners of their shards. If this instance is
// the owner, the request is handled synchronously.
func (s *budgets) send(requests []budget.AcquireRequest, placement *layout) {
	for _, a := range requests {
		holder, ok := s.holder(a, placement.scope(a.Team, a.Shard))
		switch {
		case !ok:
			s.handleReply(a, budget.AcquireReply{}, errNoOwner)
		case holder.ID == s.rights.Self().ID:
			s.handleReply(a, s.grant(s.rights.Self(), a), nil)
		default:
			go s.acquireRemote(holder, a)
		}
	}
}

func (s *budgets) holder(a budget.AcquireRequest, scope roster.Scope) (roster.Member, bool) {
	st, key, now := &s.limiters[s.stripeOf(a.Team)], holderKey{a.Team, a.Shard}, time.Now()
	st.mu.Lock()
	known, ok := st.holders[key]
	st.mu.Unlock()
	if ok && now.Before(known.until) {
		return known.member, true
	}
	m, ok := s.rights.Holder(rights.TeamKey(a.Team, strconv.Itoa(a.Shard)), scope)
	if ok {
		st.mu.Lock()
		st.holders[key] = cachedHolder{m, now.Add(holderCacheTTL)}
		st.mu.Unlock()
	}
	return m, ok
}

func (s *budgets) acquireRemote(holder roster.Member, a budget.AcquireRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), budget.AcquireTimeout)
	defer cancel()
	self := s.rights.Self()
	in := &peerpb.AcquireRequest{Instance: self.ID, Incarnation: self.Incarnation, Team: a.Team,
		Shard: uint32(a.Shard), Sequence: a.Sequence, Want: a.Want}
	for _, u := range a.Uses {
		in.Uses = append(in.Uses, &peerpb.TokenUse{Sequence: u.Sequence, Spent: u.Spent, Returned: u.Returned})
	}
	out, err := peerpb.NewDRPCBudgetClient(s.peers.Conn(ctx, holder.PeerAddress)).Acquire(ctx, in)
	s.handleReply(a, budget.AcquireReply{IsOwner: out.GetHeld(), Granted: out.GetGranted(), Level: float64(out.GetLevel()),
		RetryAfter: time.Duration(out.GetRetryAfterUs()) * time.Microsecond}, err)
}

// handleReply records the reply to an acquire request and wakes the team's
// waiting requests.
func (s *budgets) handleReply(a budget.AcquireRequest, r budget.AcquireReply, err error) {
	st, now := &s.limiters[s.stripeOf(a.Team)], time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if err != nil {
		st.limiter.HandleFailure(now, a)
	} else {
		st.limiter.HandleReply(now, a, r)
	}
	if err != nil || !r.IsOwner {
		delete(st.holders, holderKey{a.Team, a.Shard})
	}
	if c := st.waiters[a.Team]; c != nil {
		close(c)
		delete(st.waiters, a.Team)
	}
}

// grant handles an acquire request if this instance is the owner of the shard.
func (s *budgets) grant(from roster.Member, a budget.AcquireRequest) budget.AcquireReply {
	placement := s.layout()
	team, ok := placement.config.Teams[a.Team]
	limits := budget.Limits{Rate: team.Rate, Burst: team.Burst}
	shards := limits.Shards(len(placement.domains))
	if !ok || a.Shard >= shards {
		return budget.AcquireReply{}
	}
	p := &s.shardOwners[s.stripeOf(a.Team)]
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	tenure, ok := s.rights.Tenure(now, rights.TeamKey(a.Team, strconv.Itoa(a.Shard)), placement.scope(a.Team, a.Shard))
	if !ok {
		return budget.AcquireReply{}
	}
	if tenure.Founding {
		// No earlier holder can have granted tokens, so the bucket is full.
		tenure.Since = time.Time{}
	}
	a.Team = team.ID
	return p.owner.Acquire(now, tenure.Since, limits.Split(shards), budget.Source{Instance: from.ID, Incarnation: from.Incarnation}, a)
}

// Acquire implements peerpb.DRPCBudgetServer.
func (s *budgets) Acquire(_ context.Context, in *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	a := budget.AcquireRequest{Team: in.Team, Shard: int(in.Shard), Sequence: in.Sequence, Want: in.Want}
	for _, u := range in.Uses {
		a.Uses = append(a.Uses, budget.TokenUse{Sequence: u.Sequence, Spent: u.Spent, Returned: u.Returned})
	}
	r := s.grant(roster.Member{ID: in.Instance, Incarnation: in.Incarnation}, a)
	return &peerpb.AcquireReply{Held: r.IsOwner, Granted: r.Granted, Level: float32(r.Level),
		RetryAfterUs: uint64(r.RetryAfter.Microseconds())}, nil
}

// run reports spent tokens, returns unused ones and evicts idle shards.
func (s *budgets) run(ctx context.Context) error {
	ticker := time.NewTicker(budgetReportInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		placement := s.layout()
		for i := range budgetStripes {
			s.send(s.sweep(i), placement)
		}
		p := &s.shardOwners[tick%budgetStripes]
		p.mu.Lock()
		p.owner.Evict(time.Now())
		p.mu.Unlock()
	}
}

func (s *budgets) sweep(i int) []budget.AcquireRequest {
	st, now := &s.limiters[i], time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	for key, known := range st.holders {
		if now.After(known.until) {
			delete(st.holders, key)
		}
	}
	return st.limiter.Sweep(now)
}
