package budget

import (
	"math"
	"time"
)

const (
	// minRetry and maxRetry bound the delay after which an owner tells an entry
	// instance to request again; between them it is an eighth of the fill time,
	// which keeps the bucket from overflowing while the entry instances wait.
	minRetry = 2 * time.Millisecond
	maxRetry = time.Second
	// indexAbove is the number of outstanding grants from which a shard keeps
	// an index; shorter lists are searched.
	indexAbove = 16
	// maxSources is the number of sources above which those without grants are
	// forgotten. There is about one source per instance, and the target size of a
	// fleet is 2,500 instances.
	maxSources = 4096
	// epsilon, in tokens, absorbs rounding when a level is compared to a whole
	// token.
	epsilon = 1e-9
)

// ShardOwner keeps the token buckets of the shards that an instance owns. Only
// shards with outstanding grants or missing tokens are held in memory. It is not
// safe for concurrent use.
type ShardOwner struct {
	shards  map[shardKey]*shard
	sources map[Source]uint32
	nextID  uint32
}

type shardKey struct {
	team  string
	shard uint8
}

type grantKey struct {
	sequence uint64
	source   uint32
}

type grant struct {
	key      grantKey
	granted  uint32
	spent    uint32
	returned uint32
	expires  time.Time
}

func (g *grant) outstanding() uint32 { return g.granted - g.spent - g.returned }

// shard is a token bucket. Invariant, in tokens: level + outstanding <=
// limits.Burst, except that a lowered burst takes effect on outstanding grants
// only as they are spent or expire.
type shard struct {
	since       time.Time
	accruedAt   time.Time
	limits      Limits
	level       float64
	outstanding uint32
	// promised is the number of tokens promised to entry instances that were told
	// to request again.
	promised float64
	// grants are ordered by expiry; those before head have expired. index
	// maps a key to the position in grants plus removed, the number of grants
	// dropped from the front so far.
	grants  []grant
	head    int
	removed int
	index   map[grantKey]int
}

// NewShardOwner returns a ShardOwner without shards.
func NewShardOwner() *ShardOwner {
	return &ShardOwner{shards: make(map[shardKey]*shard), sources: make(map[Source]uint32)}
}

// Len returns the number of shards in memory.
func (o *ShardOwner) Len() int { return len(o.shards) }

// Acquire processes an acquire request. since is when the tenure of this instance
// as owner of the shard began, limits are those of the shard. The caller has
// checked the tenure at now.
func (o *ShardOwner) Acquire(now, since time.Time, limits Limits, src Source, acquire AcquireRequest) AcquireReply {
	start := since.Add(GrantTTL)
	if now.Before(start) {
		return AcquireReply{IsOwner: true, RetryAfter: start.Sub(now) + seconds(1/limits.Rate)}
	}
	s := o.shard(now, since, start, limits, acquire)
	s.advance(now)
	s.setLimits(limits)
	id := o.source(src)
	for _, u := range acquire.Uses {
		s.report(grantKey{u.Sequence, id}, u)
	}
	if acquire.Want == 0 {
		return s.reply(0, false)
	}
	key := grantKey{acquire.Sequence, id}
	if g := s.find(key); g != nil {
		return s.reply(g.granted, false)
	}
	n := min(acquire.Want, uint32(s.level+epsilon))
	if n > 0 {
		s.level = max(0, s.level-float64(n))
		s.outstanding += n
		s.add(grant{key: key, granted: n, expires: now.Add(GrantTTL)})
	}
	return s.reply(n, n == 0)
}

// shard returns the bucket that the request is for. A shard that is not in memory
// was either never used in this tenure, so its level has grown from zero since
// start, or was evicted when full, so its level is higher than that.
func (o *ShardOwner) shard(now, since, start time.Time, limits Limits, acquire AcquireRequest) *shard {
	key := shardKey{acquire.Team, uint8(acquire.Shard)}
	s := o.shards[key]
	if s == nil || !s.since.Equal(since) {
		level := min(limits.Burst, limits.Rate*now.Sub(start).Seconds())
		s = &shard{since: since, accruedAt: now, limits: limits, level: level}
		o.shards[key] = s
	}
	return s
}

func (o *ShardOwner) source(src Source) uint32 {
	id, ok := o.sources[src]
	if !ok {
		o.nextID++
		id = o.nextID
		o.sources[src] = id
	}
	return id
}

// Evict removes the shards that are full and have no grant; see shard for why
// that loses nothing. It also forgets sources that no grant refers to.
func (o *ShardOwner) Evict(now time.Time) {
	for key, s := range o.shards {
		s.advance(now)
		if len(s.grants) == 0 && s.level >= s.limits.Burst-epsilon {
			delete(o.shards, key)
		}
	}
	if len(o.sources) > maxSources {
		o.forgetSources()
	}
}

func (o *ShardOwner) forgetSources() {
	used := make(map[uint32]bool)
	for _, s := range o.shards {
		for i := s.head; i < len(s.grants); i++ {
			used[s.grants[i].key.source] = true
		}
	}
	for src, id := range o.sources {
		if !used[id] {
			delete(o.sources, src)
		}
	}
}

// advance accrues tokens up to now and expires grants. Accrual stops while
// level + outstanding is at the burst, so each expiry is applied at its own
// time; applying all of them first would credit tokens for the time before.
func (s *shard) advance(now time.Time) {
	for s.head < len(s.grants) && !s.grants[s.head].expires.After(now) {
		g := &s.grants[s.head]
		if unspent := g.outstanding(); unspent > 0 {
			s.accrue(g.expires)
			s.outstanding -= unspent
		}
		if s.index != nil {
			delete(s.index, g.key)
		}
		s.head++
	}
	s.compact()
	s.accrue(now)
}

// compact drops expired grants when they are half of the list or more, which
// keeps the cost per grant constant.
func (s *shard) compact() {
	switch {
	case s.head == 0:
	case s.head == len(s.grants):
		s.grants, s.index, s.head, s.removed = nil, nil, 0, 0
	case s.head >= len(s.grants)/2:
		s.removed += s.head
		s.grants = append(s.grants[:0], s.grants[s.head:]...)
		s.head = 0
	}
}

func (s *shard) accrue(to time.Time) {
	dt := to.Sub(s.accruedAt).Seconds()
	if dt <= 0 {
		return
	}
	s.accruedAt = to
	s.promised = max(0, s.promised-s.limits.Rate*dt)
	room := max(0, s.limits.Burst-float64(s.outstanding)-s.level)
	s.level += min(room, s.limits.Rate*dt)
}

// setLimits applies changed limits. The time before was accrued at the old
// ones. A lower burst reduces the level at once.
func (s *shard) setLimits(l Limits) {
	if s.limits == l {
		return
	}
	s.limits = l
	s.level = max(0, min(s.level, l.Burst-float64(s.outstanding)))
}

// report applies a use to its grant. Reports of grants that have expired are
// ignored, since their tokens are no longer counted as outstanding.
func (s *shard) report(key grantKey, u TokenUse) {
	g := s.find(key)
	if g == nil {
		return
	}
	spent := min(u.Spent, g.granted-g.returned)
	if spent > g.spent {
		s.outstanding -= spent - g.spent
		g.spent = spent
	}
	returned := min(u.Returned, g.granted-g.spent)
	if returned > g.returned {
		back := returned - g.returned
		s.outstanding -= back
		g.returned = returned
		room := max(0, s.limits.Burst-float64(s.outstanding)-s.level)
		s.level += min(room, float64(back))
	}
}

func (s *shard) reply(granted uint32, promise bool) AcquireReply {
	return AcquireReply{IsOwner: true, Granted: granted, Level: s.level, RetryAfter: s.retryAfter(promise)}
}

// retryAfter returns the time until a token is free that is not promised to
// another entry instance. If promise is set, that token is promised to the sender,
// so that entry instances over their rate return one after the other and request
// about as often as tokens become free.
func (s *shard) retryAfter(promise bool) time.Duration {
	missing := 1 + s.promised - s.level
	if missing <= epsilon {
		return 0
	}
	limit := max(minRetry, min(maxRetry, s.limits.fillTime()/8))
	wait := seconds(missing / s.limits.Rate)
	if promise && wait < limit {
		s.promised++
	}
	return max(minRetry, min(limit, wait))
}

func (s *shard) find(key grantKey) *grant {
	if s.index != nil {
		if i, ok := s.index[key]; ok {
			return &s.grants[i-s.removed]
		}
		return nil
	}
	for i := len(s.grants) - 1; i >= s.head; i-- {
		if s.grants[i].key == key {
			return &s.grants[i]
		}
	}
	return nil
}

func (s *shard) add(g grant) {
	s.grants = append(s.grants, g)
	switch {
	case s.index != nil:
		s.index[g.key] = s.removed + len(s.grants) - 1
	case len(s.grants)-s.head > indexAbove:
		s.index = make(map[grantKey]int, 2*len(s.grants))
		for i := s.head; i < len(s.grants); i++ {
			s.index[s.grants[i].key] = s.removed + i
		}
	}
}

// Outstanding returns the level and the outstanding tokens of a shard at now, and
// whether the shard is in memory.
func (o *ShardOwner) Outstanding(now time.Time, team string, n int) (level, outstanding float64, ok bool) {
	s := o.shards[shardKey{team, uint8(n)}]
	if s == nil {
		return 0, 0, false
	}
	s.advance(now)
	return math.Max(0, s.level), float64(s.outstanding), true
}
