package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// retrySteps is the number of steps into which the retry window is divided.
const retrySteps = 20

const (
	// retryMargin is the share of the agreed retry budget that is used. The rest
	// covers requests counted at only one end of a window.
	retryMargin = 0.85
	// unrecordedRetryShare is the share of the slack that a coordinator uses without
	// a record of it. Its successors assume that it did.
	unrecordedRetryShare = 0.15
)

// retryWindow counts the requests of a service in two sliding windows and the retries in one,
// by step. The current step comes first.
type retryWindow struct {
	requests      [2*retrySteps + 1]float64
	retries       [retrySteps + 1]float64
	stepStartedAt time.Time
}

// advance moves the window up to now.
func (w *retryWindow) advance(now time.Time, window time.Duration) {
	step := window / retrySteps
	if step <= 0 {
		return
	}
	if now.Sub(w.stepStartedAt) > 2*window {
		*w = retryWindow{stepStartedAt: now}
	}
	for now.Sub(w.stepStartedAt) >= step {
		w.stepStartedAt = w.stepStartedAt.Add(step)
		copy(w.requests[1:], w.requests[:])
		copy(w.retries[1:], w.retries[:])
		w.requests[0], w.retries[0] = 0, 0
	}
}

// totals returns the requests and the retries of the window.
func (w *retryWindow) totals(now time.Time, window time.Duration) (requests, retries float64) {
	w.advance(now, window)
	for i := range w.retries {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return requests, retries
}

// tightest returns, of all windows that have begun in the last one and in which the agreed
// bound must hold, the retries and the requests of that which leaves the least room. No
// further requests are assumed. Retries that are not recorded count too. The agreed bound counts the requests of the window, of the
// one before it, or of the one half a window before it, whichever are most: a window may
// begin as requests have just begun, and end after the last. As it may begin anywhere in its
// first step, steps that it may cut count for the retries and not for the requests.
func (w *retryWindow) tightest(ratio float64, unrecorded *retryWindow) (requests, retries float64) {
	// before[i] counts the requests of the steps that come before i.
	var before [len(w.requests) + 1]float64
	for i, n := range w.requests {
		before[i+1] = before[i] + n
	}
	least, recorded, assumed := math.Inf(1), 0.0, 0.0
	for k := range w.retries {
		recorded += w.retries[k]
		assumed += unrecorded.retries[k]
		most := max(before[k], before[k+retrySteps]-before[k+1], before[k+retrySteps/2]-before[max(0, k+1-retrySteps/2)])
		if room := ratio*most - recorded - assumed; room < least {
			least, requests, retries = room, most, recorded+assumed
		}
	}
	return requests, retries
}

// retryBudget limits the retries of a service, which all coordinators of a window share.
type retryBudget struct {
	own retryWindow
	// waiting counts the retries that are allowed and not sent yet. They count in the
	// window in which they are sent.
	waiting int
	// inherited holds what other coordinators counted, by their addresses, and under
	// "" what they may have used without a record.
	inherited map[string]*inheritedUse
	// sinceRecord counts the retries since own was last recorded, at recordedAt.
	sinceRecord int
	recordedAt  time.Time
	// refused counts the retries refused since refusedCheckedAt.
	refused          int
	refusedCheckedAt time.Time
}

// inheritedUse is what another coordinator counted. Its retries may be younger than the
// record says, so they are in a window that began later than that of the requests.
type inheritedUse struct {
	requests, retries retryWindow
}

func (u *inheritedUse) totals(now time.Time, window time.Duration) (requests, retries float64) {
	requests, _ = u.requests.totals(now, window)
	_, retries = u.retries.totals(now, window)
	return requests, retries
}

// addTo adds the counts to a window, step by step.
func (u *inheritedUse) addTo(w *retryWindow, now time.Time, window time.Duration) {
	u.requests.advance(now, window)
	u.retries.advance(now, window)
	for i := range w.requests {
		w.requests[i] += u.requests.requests[i]
	}
	for i := range w.retries {
		w.retries[i] += u.retries.retries[i]
	}
}

// newRetryBudget returns the retry budget of a service under a new coordinator.
func newRetryBudget(now time.Time, b Bounds) retryBudget {
	unrecorded := &inheritedUse{retries: retryWindow{stepStartedAt: now}}
	for i := range retrySteps {
		unrecorded.retries.retries[i] = unrecordedRetryShare * b.RetrySlack / retrySteps
	}
	return retryBudget{own: retryWindow{stepStartedAt: now}, inherited: map[string]*inheritedUse{"": unrecorded}}
}

func (r *retryBudget) countRequest(now time.Time, b Bounds) {
	r.own.advance(now, b.RetryWindow)
	r.own.requests[0]++
}

// allow returns true if the budget has room for a retry, which counts as waiting until
// send or drop is called.
func (r *retryBudget) allow(now time.Time, b Bounds, share float64) bool {
	used, limit := r.usage(now, b, share)
	if used+1 > limit {
		r.refused++
		return false
	}
	r.waiting++
	return true
}

// send counts a waiting retry in the current window.
func (r *retryBudget) send(now time.Time, b Bounds) {
	r.waiting--
	r.own.advance(now, b.RetryWindow)
	r.own.retries[0]++
	r.sinceRecord++
}

// drop forgets a waiting retry, which will not be sent.
func (r *retryBudget) drop() { r.waiting-- }

// remaining returns the unused share of the budget.
func (r *retryBudget) remaining(now time.Time, b Bounds, share float64) float64 {
	used, limit := r.usage(now, b, share)
	if limit <= 0 {
		return 0
	}
	return max(0, 1-used/limit)
}

// usage returns the retries that wait or are in the window that leaves the least room, and how
// many are allowed in it.
func (r *retryBudget) usage(now time.Time, b Bounds, share float64) (used, limit float64) {
	r.own.advance(now, b.RetryWindow)
	all := r.own
	for address, u := range r.inherited {
		if address != "" {
			u.addTo(&all, now, b.RetryWindow)
		}
	}
	var unrecorded retryWindow
	if u := r.inherited[""]; u != nil {
		u.retries.advance(now, b.RetryWindow)
		unrecorded = u.retries
	}
	requests, used := all.tightest(retryMargin*b.RetryRatio*share, &unrecorded)
	return used + float64(r.waiting), retryMargin * (b.RetrySlack + b.RetryRatio*requests) * share
}

// retryShare is the share of the retry budgets that this coordinator may use: that of
// the instances that it is connected to. While it does not know what its predecessors
// used, it leaves them what they may have used.
func (d *Dispatcher) retryShare(now time.Time) float64 {
	if d.retriesUnknown && now.Sub(d.startedAt) < d.bounds.RetryWindow {
		return d.connectedShare * (1 - retryMargin) / retryMargin
	}
	return d.connectedShare
}

// RetryUse is what a coordinator counted for a service in its retry window, by step, and its
// requests in two windows. The current step comes first; it began StepAgeMS before the
// record was made.
type RetryUse struct {
	Service   string   `json:"service"`
	Requests  []uint32 `json:"requests"`
	Retries   []uint32 `json:"retries"`
	StepAgeMS int64    `json:"step_age_ms"`
}

const (
	// retryRecordInterval is the time between records of the retries, while there are
	// more than a successor assumes.
	retryRecordInterval = time.Second
	// aheadShare and minAhead are how many retries a record holds beyond those that were
	// sent, as a share of the limit and as a least number. A new record is due once half
	// of them are used.
	aheadShare = 0.1
	minAhead   = 4
)

// RetryRecordDue reports whether successors need a new record of the retries, or of the
// requests that bring servers down.
func (d *Dispatcher) RetryRecordDue(now time.Time) bool {
	if d.crashes.unrecorded {
		return true
	}
	for _, p := range d.pools {
		r := &p.retries
		_, own := r.own.totals(now, d.bounds.RetryWindow)
		if own <= unrecordedRetryShare*d.bounds.RetrySlack {
			continue
		}
		if now.Sub(r.recordedAt) >= retryRecordInterval || float64(r.sinceRecord) >= d.recordedAhead(now, r)/2 {
			return true
		}
	}
	return false
}

// recordedAhead returns how many retries a record holds beyond those that were sent, so
// that it covers what is sent until the next one.
func (d *Dispatcher) recordedAhead(now time.Time, r *retryBudget) float64 {
	_, limit := r.usage(now, d.bounds, d.retryShare(now))
	return max(minAhead, aheadShare*limit)
}

// RetryRecord returns what a successor needs to know about the retries, for each service
// that has any. An earlier coordinator's record under the same address, self, is
// included, as the new one replaces it.
func (d *Dispatcher) RetryRecord(now time.Time, self string) []RetryUse {
	var out []RetryUse
	for name, p := range d.pools {
		r := &p.retries
		r.own.advance(now, d.bounds.RetryWindow)
		counted := r.own
		if earlier := r.inherited[self]; earlier != nil {
			earlier.addTo(&counted, now, d.bounds.RetryWindow)
		}
		if _, retries := counted.totals(now, d.bounds.RetryWindow); retries == 0 {
			continue
		}
		u := RetryUse{Service: name, StepAgeMS: now.Sub(counted.stepStartedAt).Milliseconds()}
		for _, n := range counted.requests {
			u.Requests = append(u.Requests, uint32(n))
		}
		for _, n := range counted.retries {
			u.Retries = append(u.Retries, uint32(n))
		}
		u.Retries[0] += uint32(d.recordedAhead(now, r))
		r.sinceRecord, r.recordedAt = 0, now
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b RetryUse) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// AwaitRetryRecords makes the dispatcher leave room for the retries that earlier
// coordinators allowed, until InheritRetries tells how many those were.
func (d *Dispatcher) AwaitRetryRecords() { d.retriesUnknown = true }

// clockTolerance is how far apart the clocks of two instances may be.
const clockTolerance = 2 * time.Second

// InheritRetries takes over what other coordinators recorded, by their addresses. Ages
// are those of the records by the clock of this instance.
func (d *Dispatcher) InheritRetries(now time.Time, records map[string][]RetryUse, ages map[string]time.Duration) {
	d.retriesUnknown = false
	for address, uses := range records {
		for _, u := range uses {
			d.inherit(now, address, max(0, ages[address]), u)
		}
	}
}

// inherit takes over one record, unless it holds less than is known already: a store that
// lost its last records gives out earlier ones.
func (d *Dispatcher) inherit(now time.Time, address string, age time.Duration, u RetryUse) {
	if address == "" || age > 2*d.bounds.RetryWindow {
		return
	}
	inherited, recorded := d.pool(u.Service).retries.inherited, d.inheritedUse(now, age, u)
	if known := inherited[address]; known != nil {
		_, before := known.totals(now, d.bounds.RetryWindow)
		if _, n := recorded.totals(now, d.bounds.RetryWindow); n < before {
			return
		}
	}
	inherited[address] = recorded
}

// inheritedUse returns what a record of a given age holds. Its retries may have been sent
// until the next record was due, and the clocks may differ.
func (d *Dispatcher) inheritedUse(now time.Time, age time.Duration, u RetryUse) *inheritedUse {
	step := d.bounds.RetryWindow / retrySteps
	stepAge := min(max(0, time.Duration(u.StepAgeMS)*time.Millisecond), step)
	out := &inheritedUse{
		requests: retryWindow{stepStartedAt: now.Add(-age - stepAge)},
		retries:  retryWindow{stepStartedAt: now.Add(-max(0, age-clockTolerance-retryRecordInterval) - stepAge)},
	}
	for i, n := range u.Requests[:min(len(u.Requests), 2*retrySteps+1)] {
		out.requests.requests[i] = float64(n)
	}
	for i, n := range u.Retries[:min(len(u.Retries), retrySteps+1)] {
		out.retries.retries[i] = float64(n)
	}
	return out
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
		used, limit := r.usage(now, d.bounds, d.retryShare(now))
		d.spentBudgets = append(d.spentBudgets, SpentRetryBudget{Service: name, Used: used, Limit: limit, Refused: r.refused})
		r.refused, r.refusedCheckedAt = 0, now
	}
}
