package dispatch

import (
	"math"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// tokenBucket limits the rate of a team across all instances. The rate is in
// requests per second, burst and tokens are in requests.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	refilledAt  time.Time
}

// newBucket returns a bucket for a coordinator that does not know what its
// predecessor admitted. It starts with half of what the bound allows beyond rate
// and burst, so that two changes of coordinator within one window stay within the
// bound.
func newBucket(now time.Time, t *catalog.Team, b Bounds) *tokenBucket {
	room := b.QuotaOvershoot*(t.Rate*b.QuotaWindow.Seconds()+t.Burst) + b.QuotaSlack
	return &tokenBucket{rate: t.Rate, burst: math.Max(t.Burst, 1), tokens: math.Min(math.Max(t.Burst, 1), room/2), refilledAt: now}
}

func (b *tokenBucket) configure(now time.Time, t *catalog.Team, share float64) {
	b.refill(now, share)
	b.rate, b.burst = t.Rate, math.Max(t.Burst, 1)
	b.tokens = math.Min(b.tokens, b.burst)
}

func (b *tokenBucket) refill(now time.Time, share float64) {
	if dt := now.Sub(b.refilledAt).Seconds(); dt > 0 {
		b.tokens = math.Min(b.burst, b.tokens+dt*b.rate*share)
	}
	b.refilledAt = now
}

// take takes a token and returns 0, or returns the wait until one is available.
func (b *tokenBucket) take(now time.Time, share float64) time.Duration {
	b.refill(now, share)
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	wait := time.Duration((1 - b.tokens) / (b.rate * math.Max(share, 0.01)) * float64(time.Second))
	return max(wait, minRateWait)
}

// minRateWait keeps a wait that rounds to 0 from being mistaken for a token.
const minRateWait = time.Millisecond

// retrySteps is the number of steps into which the retry window is divided.
const retrySteps = 10

const (
	// retryMargin is the share of the agreed retry budget that is used. The rest
	// covers requests counted at only one end of a window.
	retryMargin = 0.85
	// assumedRetryUse is the share of the slack that a new coordinator assumes to
	// be spent, since it does not know what its predecessor allowed.
	assumedRetryUse = 0.6
)

// newRetryBudget returns the retry budget of a service under a new coordinator.
func newRetryBudget(now time.Time, b Bounds) retryBudget {
	r := retryBudget{stepStartedAt: now}
	for i := range retrySteps {
		r.retries[i] = assumedRetryUse * b.RetrySlack / retrySteps
	}
	return r
}

// retryBudget counts the requests and the retries of a service in a sliding
// window.
type retryBudget struct {
	requests, retries [retrySteps + 1]float64
	stepStartedAt     time.Time
}

// advance moves the window up to now.
func (r *retryBudget) advance(now time.Time, window time.Duration) {
	step := window / retrySteps
	if step <= 0 {
		return
	}
	if now.Sub(r.stepStartedAt) > 2*window {
		*r = retryBudget{stepStartedAt: now}
	}
	for now.Sub(r.stepStartedAt) >= step {
		r.stepStartedAt = r.stepStartedAt.Add(step)
		copy(r.requests[1:], r.requests[:])
		copy(r.retries[1:], r.retries[:])
		r.requests[0], r.retries[0] = 0, 0
	}
}

func (r *retryBudget) countRequest(now time.Time, b Bounds) {
	r.advance(now, b.RetryWindow)
	r.requests[0]++
}

// allow counts a retry and returns true if the budget has room for it.
func (r *retryBudget) allow(now time.Time, b Bounds, share float64) bool {
	used, limit := r.usage(now, b, share)
	if used+1 > limit {
		return false
	}
	r.retries[0]++
	return true
}

// remaining returns the unused share of the budget.
func (r *retryBudget) remaining(now time.Time, b Bounds, share float64) float64 {
	used, limit := r.usage(now, b, share)
	if limit <= 0 {
		return 0
	}
	return 1 - used/limit
}

// usage returns the retries in the window and how many are allowed.
func (r *retryBudget) usage(now time.Time, b Bounds, share float64) (used, limit float64) {
	r.advance(now, b.RetryWindow)
	requests := 0.0
	for i := range r.requests {
		requests += r.requests[i]
		used += r.retries[i]
	}
	return used, retryMargin * (b.RetrySlack + b.RetryRatio*requests) * share
}

// crashTracker counts, by request fingerprint, how often servers dropped the
// connection.
type crashTracker struct {
	policy *CrashPolicy
	drops  map[uint64]*drops
}

type drops struct {
	count int
	last  time.Time
}

func newCrashTracker(p *CrashPolicy) *crashTracker {
	return &crashTracker{policy: p, drops: make(map[uint64]*drops)}
}

func (c *crashTracker) recordDrop(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	if len(c.drops) > 10_000 {
		for k, e := range c.drops {
			if now.Sub(e.last) > c.policy.QuarantineTTL {
				delete(c.drops, k)
			}
		}
	}
	e := c.drops[fingerprint]
	if e == nil || now.Sub(e.last) > c.policy.QuarantineTTL {
		e = &drops{}
		c.drops[fingerprint] = e
	}
	e.count++
	e.last = now
}

// forget clears the count of a request that a server responded to.
func (c *crashTracker) forget(fingerprint uint64) { delete(c.drops, fingerprint) }

func (c *crashTracker) quarantined(now time.Time, fingerprint uint64) bool {
	e := c.drops[fingerprint]
	return e != nil && e.count >= c.policy.QuarantineDrops && now.Sub(e.last) < c.policy.QuarantineTTL
}
