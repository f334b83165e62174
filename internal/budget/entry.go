package budget

import (
	"math"
	"time"
)

const (
	// AcquireTimeout bounds the time that an entry instance waits for a reply;
	// the caller of Limiter then calls HandleFailure. It allows for a round trip
	// between regions.
	AcquireTimeout = 200 * time.Millisecond
	// hedgeAfter is the age from which an acquire request is no longer relied on
	// and another one is sent to another shard. It is several round trips of 3 ms
	// between failure domains of a region.
	hedgeAfter = 12 * time.Millisecond
	// minWait and maxWait bound how long a request waits for a token that becomes
	// free soon; between them the limit is twice the fill time. With a burst of a
	// few tokens the shards are empty for some milliseconds although the team is
	// within its rate. At rate 100/s, burst 5 and load 0.8, a wait of 25 ms
	// gives 4.8% wrongful refusals and one of 100 ms gives 0.6%.
	minWait = 25 * time.Millisecond
	maxWait = 100 * time.Millisecond
	// failBackoff is how long nothing is requested from a shard that did not
	// reply.
	failBackoff = 250 * time.Millisecond
	// demandWindow is the time constant of the demand estimate.
	demandWindow = 250 * time.Millisecond
	// maxHorizon is the longest time of demand that a reserve covers.
	maxHorizon = 100 * time.Millisecond
	// maxReportDelay bounds how long spent tokens go unreported if the fill time
	// is below longFillTime; other teams report with the next acquire request.
	maxReportDelay = 50 * time.Millisecond
	longFillTime   = 4 * time.Second
	// returnAge is the age from which unspent tokens beyond the demand are
	// returned. It leaves half the lifetime of the grant for the return to arrive.
	returnAge = GrantTTL / 2
	// idleAfter is how long an unused team is kept in memory.
	idleAfter = 2 * time.Second
	// maxInFlight is the number of acquire requests in flight to a shard that
	// grants all that is wanted. A shard that grants less gets one at a time.
	maxInFlight = 4
)

// Team describes a team to Limiter.Poll.
type Team struct {
	ID string
	Limits
	// Shards is the number of shards that the team's limits are split over.
	Shards int
	// PreferredShard is the first choice, usually the shard in the entry
	// instance's own failure domain.
	PreferredShard int
}

// State is the admission state of a request.
type State int

// The states of a request.
const (
	// Waiting requests are polled again at Decision.Until or after a reply.
	Waiting State = iota
	Admitted
	Refused
)

// Request is the state of one request between polls. The zero value is a
// request that has just arrived.
type Request struct {
	arrived time.Time
	waiting bool
}

// Decision is the result of a poll. Acquires are to be sent in any state, without
// delaying the request.
type Decision struct {
	State    State
	Acquires []AcquireRequest
	// Until is when a waiting request must be polled at the latest.
	Until time.Time
	// RetryAfter is the time until a token is expected, if refused.
	RetryAfter time.Duration
	// Unreachable is set if the request was refused and no shard replied.
	Unreachable bool
}

// Limiter keeps the token reserves of an entry instance. It is not safe for
// concurrent use.
type Limiter struct {
	teams    map[string]*team
	sequence uint64
}

type team struct {
	// demand is the decayed number of arrivals, as of demandAt.
	demand   float64
	demandAt time.Time
	lastPoll time.Time
	limits   Limits
	waiting  uint32 // requests in state Waiting
	reserve  uint32 // unspent tokens of all shards
	shards   []shardState
}

// shardState is what an entry instance knows about one shard.
type shardState struct {
	grants   []localGrant
	inFlight []inFlightRequest
	// level is the level of the bucket at levelAt, in tokens, as last reported.
	level   float64
	levelAt time.Time
	// emptyUntil is when the shard may have a token again.
	emptyUntil time.Time
	// backoffUntil is when a shard that did not reply may be tried again; failed
	// stays set until it replies.
	backoffUntil time.Time
	failed       bool
	// short is set if the last reply granted less than was wanted.
	short bool
	// unreported is when the oldest unreported token was spent.
	unreported time.Time
}

type localGrant struct {
	use     TokenUse
	left    uint32
	expires time.Time
	changed bool
}

type inFlightRequest struct {
	sequence uint64
	want     uint32
	sent     time.Time
}

// NewLimiter returns a Limiter without reserves. Two instances of Limiter in one
// process must not serve the same team.
func NewLimiter() *Limiter { return &Limiter{teams: make(map[string]*team)} }

// Len returns the number of teams in memory.
func (l *Limiter) Len() int { return len(l.teams) }

// Poll decides on a request of a team. The caller polls a waiting request again
// after every reply for its team and at Decision.Until, until it is admitted or
// refused, or calls Cancel. An admitted request has spent its token at now.
func (l *Limiter) Poll(now time.Time, tm Team, req *Request) Decision {
	t := l.team(tm)
	t.lastPoll = now
	if req.arrived.IsZero() {
		req.arrived = now
		t.countArrival(now)
	}
	t.expire(now)
	if i := t.spend(now); i >= 0 {
		t.stopWaiting(req)
		return Decision{State: Admitted, Acquires: l.requestsAfterAdmission(now, tm, t, i)}
	}
	if !req.waiting {
		req.waiting = true
		t.waiting++
	}
	acquires := l.requestsForWaiting(now, tm, t)
	d := t.waitOrRefuse(now, req)
	d.Acquires = acquires
	if d.State == Refused {
		t.stopWaiting(req)
	}
	return d
}

// Cancel ends a waiting request whose caller has disconnected.
func (l *Limiter) Cancel(id string, req *Request) {
	if t := l.teams[id]; t != nil {
		t.stopWaiting(req)
	}
}

func (t *team) stopWaiting(req *Request) {
	if req.waiting {
		req.waiting = false
		t.waiting--
	}
}

func (l *Limiter) team(tm Team) *team {
	t := l.teams[tm.ID]
	if t == nil {
		t = &team{}
		l.teams[tm.ID] = t
	}
	for len(t.shards) > tm.Shards {
		last := len(t.shards) - 1
		t.reserve -= t.shards[last].left()
		t.shards = t.shards[:last]
	}
	if len(t.shards) < tm.Shards {
		t.shards = append(t.shards, make([]shardState, tm.Shards-len(t.shards))...)
	}
	t.limits = tm.Limits
	return t
}

// countArrival adds one arrival to the demand, a sum that decays with demandWindow.
func (t *team) countArrival(now time.Time) {
	if dt := now.Sub(t.demandAt); dt > 0 {
		t.demand *= math.Exp(-dt.Seconds() / demandWindow.Seconds())
		t.demandAt = now
	}
	t.demand++
}

// demandRate returns the demand in requests per second.
func (t *team) demandRate() float64 { return t.demand / demandWindow.Seconds() }

// targetReserve returns the number of tokens to keep in reserve: the demand over a
// horizon that is at most a quarter of the fill time, so that the reserves of all
// entry instances together hold at most a quarter of the burst when the team is at
// its rate.
func (t *team) targetReserve() float64 {
	horizon := min(maxHorizon, t.limits.fillTime()/4)
	return min(t.demandRate()*horizon.Seconds(), t.limits.Burst/4)
}

// expire drops grants that may no longer be spent.
func (t *team) expire(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		n := 0
		for n < len(s.grants) && !s.grants[n].expires.After(now) {
			t.reserve -= s.grants[n].left
			n++
		}
		if n > 0 {
			s.grants = append(s.grants[:0], s.grants[n:]...)
		}
	}
}

// spend spends the token that expires first and returns its shard, or -1.
func (t *team) spend(now time.Time) int {
	if t.reserve == 0 {
		return -1
	}
	var best *localGrant
	shard := -1
	for i := range t.shards {
		for j := range t.shards[i].grants {
			g := &t.shards[i].grants[j]
			if g.left > 0 {
				if best == nil || g.expires.Before(best.expires) {
					best, shard = g, i
				}
				break
			}
		}
	}
	best.left--
	best.use.Spent++
	best.changed = true
	t.reserve--
	if s := &t.shards[shard]; s.unreported.IsZero() {
		s.unreported = now
	}
	return shard
}

// waitOrRefuse decides whether a request without a token waits or is refused.
func (t *team) waitOrRefuse(now time.Time, req *Request) Decision {
	var wake, free time.Time
	reachable := false
	for i := range t.shards {
		reachable = reachable || !t.shards[i].failed
	}
	for i := range t.shards {
		s := &t.shards[i]
		for _, f := range s.inFlight {
			if f.want > 0 && (!s.failed || !reachable) {
				at := f.sent.Add(AcquireTimeout)
				if hedge := f.sent.Add(hedgeAfter); hedge.After(now) {
					at = hedge
				}
				if at.After(now) {
					wake = earliest(wake, at)
				}
			}
		}
		if !s.failed && s.emptyUntil.After(now) {
			free = earliest(free, s.emptyUntil)
		}
	}
	if !free.IsZero() && free.Sub(req.arrived) <= max(minWait, min(maxWait, 2*t.limits.fillTime())) {
		wake = earliest(wake, free)
	}
	if !wake.IsZero() {
		return Decision{State: Waiting, Until: wake}
	}
	wait := free.Sub(now)
	if free.IsZero() {
		wait = failBackoff
	}
	return Decision{State: Refused, RetryAfter: max(wait, seconds(1/t.limits.Rate)), Unreachable: !reachable}
}

// earliest returns the earlier of two times, where zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// HandleReply processes the reply to an acquire request. The tokens expire
// GrantTTL after the request was sent.
func (l *Limiter) HandleReply(now time.Time, acquire AcquireRequest, r AcquireReply) {
	t, s, f := l.removeInFlight(acquire)
	if s == nil {
		return
	}
	if !r.IsOwner {
		s.fail(now)
		return
	}
	s.failed, s.backoffUntil = false, time.Time{}
	s.level, s.levelAt = r.Level, now
	if f.want > 0 {
		s.short = r.Granted < f.want
	}
	s.emptyUntil = time.Time{}
	if r.RetryAfter > 0 {
		s.emptyUntil = now.Add(r.RetryAfter)
	}
	expires := f.sent.Add(GrantTTL)
	if r.Granted == 0 || !expires.After(now) {
		return
	}
	g := localGrant{use: TokenUse{Sequence: acquire.Sequence}, left: r.Granted, expires: expires}
	at := len(s.grants)
	for at > 0 && s.grants[at-1].expires.After(expires) {
		at--
	}
	s.grants = append(s.grants, localGrant{})
	copy(s.grants[at+1:], s.grants[at:])
	s.grants[at] = g
	t.reserve += r.Granted
}

// HandleFailure records that an acquire request got no reply.
func (l *Limiter) HandleFailure(now time.Time, acquire AcquireRequest) {
	if _, s, _ := l.removeInFlight(acquire); s != nil {
		s.fail(now)
	}
}

func (s *shardState) fail(now time.Time) {
	s.failed = true
	s.backoffUntil = now.Add(failBackoff)
}

// removeInFlight removes and returns the acquire request in flight, or nil if it
// is not known, as for a second reply to the same request.
func (l *Limiter) removeInFlight(acquire AcquireRequest) (*team, *shardState, inFlightRequest) {
	t := l.teams[acquire.Team]
	if t == nil || acquire.Shard >= len(t.shards) {
		return nil, nil, inFlightRequest{}
	}
	s := &t.shards[acquire.Shard]
	for i, f := range s.inFlight {
		if f.sequence == acquire.Sequence {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return t, s, f
		}
	}
	return nil, nil, inFlightRequest{}
}

// Sweep returns the due reports, including those that return tokens, and drops
// idle teams. It is called about every 50 ms.
func (l *Limiter) Sweep(now time.Time) []AcquireRequest {
	var acquires []AcquireRequest
	for id, t := range l.teams {
		t.expire(now)
		idle := t.waiting == 0
		for i := range t.shards {
			s := &t.shards[i]
			returned := t.returnSurplus(now, s)
			if returned || t.reportDue(now, i, false) {
				acquires = append(acquires, l.newRequest(now, id, t, i, 0))
			}
			idle = idle && len(s.grants) == 0 && len(s.inFlight) == 0
		}
		if idle && now.Sub(t.lastPoll) > idleAfter {
			delete(l.teams, id)
		}
	}
	return acquires
}

// returnSurplus gives up the tokens of old grants that the demand will not use
// before they expire, and reports whether there were any.
func (t *team) returnSurplus(now time.Time, s *shardState) bool {
	any := false
	for i := range s.grants {
		g := &s.grants[i]
		remaining := g.expires.Sub(now)
		if g.left == 0 || remaining > GrantTTL-returnAge {
			continue
		}
		decayed := t.demandRate() * math.Exp(-now.Sub(t.demandAt).Seconds()/demandWindow.Seconds())
		keep := uint32(decayed * remaining.Seconds())
		if g.left > keep {
			n := g.left - keep
			g.left -= n
			g.use.Returned += n
			g.changed = true
			t.reserve -= n
			any = true
		}
	}
	return any
}
