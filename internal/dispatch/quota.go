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
