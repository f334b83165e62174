package dispatch

import "time"

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
	// refused counts the retries refused since refusedCheckedAt.
	refused          int
	refusedCheckedAt time.Time
}

// advance moves the window up to now.
func (r *retryBudget) advance(now time.Time, window time.Duration) {
	step := window / retrySteps
	if step <= 0 {
		return
	}
	if now.Sub(r.stepStartedAt) > 2*window {
		r.requests, r.retries, r.stepStartedAt = [retrySteps + 1]float64{}, [retrySteps + 1]float64{}, now
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
		r.refused++
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

// spentCheckInterval is the time between reports of spent retry budgets.
const spentCheckInterval = time.Second

// SpentRetryBudget tells that retries were refused because the retry budget of their
// service was spent.
type SpentRetryBudget struct {
	Service string
	// Used is how many retries the window holds, of Limit.
	Used, Limit float64
	// Refused is how many were refused since the last report.
	Refused int
}

// SpentRetryBudgets returns the spent retry budgets found since the last call.
func (d *Dispatcher) SpentRetryBudgets() []SpentRetryBudget {
	out := d.spentBudgets
	d.spentBudgets = nil
	return out
}

// checkRetryBudgets looks for services whose retries are refused, once per
// spentCheckInterval.
func (d *Dispatcher) checkRetryBudgets(now time.Time) {
	for name, p := range d.pools {
		r := &p.retries
		if r.refused == 0 || now.Sub(r.refusedCheckedAt) < spentCheckInterval {
			continue
		}
		used, limit := r.usage(now, d.bounds, d.connectedShare)
		d.spentBudgets = append(d.spentBudgets, SpentRetryBudget{Service: name, Used: used, Limit: limit, Refused: r.refused})
		r.refused, r.refusedCheckedAt = 0, now
	}
}
