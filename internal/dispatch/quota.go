package dispatch

import (
	"math"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// tokenBucket limits the rate of a team across all instances. The rate is in
// requests per second, burst and tokens are in requests. A coordinator of a part of the
// fleet uses its share of both.
type tokenBucket struct {
	rate, burst float64
	// tokens is negative if more was admitted than the share allows, as may turn out when
	// the share changes.
	tokens     float64
	refilledAt time.Time
	// admitted counts the requests of the last quota window, those of earlier coordinators
	// included as far as they are known.
	admitted stepCounts
}

func newBucket(now time.Time, t *catalog.Team) *tokenBucket {
	return &tokenBucket{rate: t.Rate, burst: math.Max(t.Burst, 1), refilledAt: now, admitted: stepCounts{stepStartedAt: now}}
}

// restore sets the tokens to what the limit leaves after the admissions of the last window:
// from any moment in it until now, no more than the burst plus what the rate gives. In
// the fleet's other parts other coordinators do the same, so that the sum of all stays
// within the limit.
func (b *tokenBucket) restore(now time.Time, window time.Duration, k knowledge) {
	b.admitted.advance(now, window)
	b.tokens, b.refilledAt = b.burst*k.share, now
	start, used := b.admitted.stepStartedAt, 0.0
	for _, n := range b.admitted.steps {
		used += float64(n)
		b.tokens = math.Min(b.tokens, k.allowed(b, start, now)-used)
		start = start.Add(-window / admissionSteps)
	}
}

// knowledge is what a coordinator may grant, and what it knows of its predecessors.
type knowledge struct {
	// share of the rate and the burst, 0 to 1.
	share float64
	// reported is the share of the fleet that has told what was admitted to it before the
	// coordinator started. Others, as instances that have restarted, may have used their part.
	startedAt time.Time
	reported  float64
	// room is how many requests the bound leaves for what is not known.
	room float64
}

// allowed returns how many requests may be admitted from one moment to another, which is
// after the coordinator's start.
func (k *knowledge) allowed(b *tokenBucket, from, to time.Time) float64 {
	if from.After(k.startedAt) {
		return k.share * (b.burst + b.rate*to.Sub(from).Seconds())
	}
	known := math.Min(k.reported, k.share)
	before := known * (b.burst + b.rate*k.startedAt.Sub(from).Seconds())
	return before + (k.share-known)*math.Min(b.burst, k.room) + k.share*b.rate*to.Sub(k.startedAt).Seconds()
}

func (b *tokenBucket) configure(now time.Time, t *catalog.Team, share float64) {
	b.refill(now, share)
	b.rate, b.burst = t.Rate, math.Max(t.Burst, 1)
	b.tokens = math.Min(b.tokens, b.burst)
}

func (b *tokenBucket) refill(now time.Time, share float64) {
	if dt := now.Sub(b.refilledAt).Seconds(); dt > 0 {
		// A share of less than one token still admits requests, one at a time.
		b.tokens = math.Min(math.Max(1, b.burst*share), b.tokens+dt*b.rate*share)
	}
	b.refilledAt = now
}

// take takes a token and returns 0, or returns the wait until one is available.
func (b *tokenBucket) take(now time.Time, window time.Duration, share float64) time.Duration {
	b.refill(now, share)
	if b.tokens >= 1 {
		b.tokens--
		b.admitted.advance(now, window)
		b.admitted.add(now, window, 1)
		return 0
	}
	wait := time.Duration((1 - b.tokens) / (b.rate * math.Max(share, 0.01)) * float64(time.Second))
	return max(wait, minRateWait)
}

// minRateWait keeps a wait that rounds to 0 from being mistaken for a token.
const minRateWait = time.Millisecond

// takeoverSettleTime is how long a new coordinator keeps requests beyond a team's rate
// waiting: until the instances that join tell what they were admitted, it knows less than
// the whole limit.
const takeoverSettleTime = 500 * time.Millisecond

// settling reports whether instances that have not joined yet are about to.
func (d *Dispatcher) settling(now time.Time) bool {
	return d.connectedShare < 1 && now.Sub(d.startedAt) < takeoverSettleTime
}

// admit takes a token of the request's team. If there is none it refuses the request, or
// keeps it while the limit is not known yet.
func (d *Dispatcher) admit(now time.Time, req *PermitRequest, team *catalog.Team) bool {
	wait := d.teamBucket(now, team).take(now, d.bounds.QuotaWindow, d.connectedShare)
	switch {
	case wait == 0:
		return true
	case d.settling(now):
		d.unsettled = append(d.unsettled, *req)
	case d.isolated:
		d.refuse(req, errkind.Isolated, errkind.Lookup(errkind.Isolated).RetryAfter, "cut off from most of the fleet and from the store")
	default:
		d.refuse(req, errkind.RateLimited, wait, "team %q exceeds %g/s with burst %g, connected share %.2f", team.Name, team.Rate, team.Burst, d.connectedShare)
	}
	return false
}

// retryUnsettled requests the permits anew that wait for the limits to be known.
func (d *Dispatcher) retryUnsettled(now time.Time) {
	waiting := d.unsettled
	d.unsettled = nil
	for _, req := range waiting {
		d.requestPermit(now, req)
	}
}

func (d *Dispatcher) removeUnsettled(remove func(*PermitRequest) bool) {
	kept := d.unsettled[:0]
	for i := range d.unsettled {
		if !remove(&d.unsettled[i]) {
			kept = append(kept, d.unsettled[i])
		}
	}
	d.unsettled = kept
}

func (d *Dispatcher) teamBucket(now time.Time, t *catalog.Team) *tokenBucket {
	b := d.teams[t.Name]
	if b == nil {
		b = newBucket(now, t)
		b.restore(now, d.bounds.QuotaWindow, d.knowledge(t))
		d.teams[t.Name] = b
	}
	return b
}
