package dispatch

import (
	"math"
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/errkind"
)

const (
	// rateTimeConstant is the time constant of a service's arrival rate.
	rateTimeConstant = 2 * time.Second
	// budgetRetryAfter is the Retry-After of a request whose retry does not fit
	// into the retry budget; the caller may send a new request.
	budgetRetryAfter = 50 * time.Millisecond
	// overloadRetryMin is the least Retry-After of a request refused for
	// overload.
	overloadRetryMin = 200 * time.Millisecond
)

// rateEstimator is an exponentially decaying estimate of an arrival rate, in
// requests per second.
type rateEstimator struct {
	rate      float64
	updatedAt time.Time
}

func (e *rateEstimator) count(now time.Time) {
	e.decay(now)
	e.rate += 1 / rateTimeConstant.Seconds()
}

func (e *rateEstimator) decay(now time.Time) {
	if dt := now.Sub(e.updatedAt).Seconds(); dt > 0 {
		e.rate *= math.Exp(-dt / rateTimeConstant.Seconds())
		e.updatedAt = now
	}
}

// utilisation returns the share of the slots that the arrival rate needs; it
// exceeds 1 under overload.
func (p *pool) utilisation(now time.Time, slots float64) float64 {
	p.arrivals.decay(now)
	return p.arrivals.rate * p.meanServiceTime.Seconds() / math.Max(slots, minSlotWeight)
}

// queueWait estimates how long the request at a position of the queue waits for a
// slot.
func (p *pool) queueWait(position int, slots float64) time.Duration {
	return time.Duration(float64(p.meanServiceTime) * float64(position) / math.Max(slots, minSlotWeight))
}

// refuseOverload refuses a new request that would wait long while arrivals exceed
// the capacity of the service. The caller learns it at once, before it has lost
// time in the queue.
func (d *Dispatcher) refuseOverload(now time.Time, p *pool, w *queuedRequest) {
	position := slices.Index(p.queue, w)
	if position < 0 {
		return
	}
	slots := d.expectedSlots(now, w.Service)
	ahead := 1
	for _, q := range p.queue[:position] {
		if q.priority < w.priority || d.onTime(now, q) {
			ahead++
		}
	}
	wait := p.queueWait(ahead, slots)
	remaining := w.Deadline.Sub(now) - responseMargin
	slack := time.Duration(d.policy.Admission.OverloadWaitShare * float64(w.route.Objective-w.stats.meanServiceTime))
	if wait > remaining || p.utilisation(now, slots) > d.policy.Admission.OverloadLoad && wait > slack {
		p.removeIf(func(q *queuedRequest) bool { return q == w })
		d.refuse(&w.PermitRequest, errkind.Overloaded, max(overloadRetryMin, wait/2),
			"%d requests ahead for %.1f slots, load %.2f, expected wait %v, time left %v", ahead-1, slots, p.utilisation(now, slots), wait, remaining)
	}
}

// refuseUnservable refuses queued requests that can no longer be served in time.
func (d *Dispatcher) refuseUnservable(now time.Time, service string) {
	p := d.pool(service)
	if len(p.queue) == 0 {
		return
	}
	slots := d.expectedSlots(now, service)
	spare := 1 - p.utilisation(now, slots)
	ahead := 0
	p.removeIf(func(w *queuedRequest) bool {
		remaining := w.Deadline.Sub(now) - responseMargin
		if remaining <= time.Duration(d.policy.Admission.MinTimeFactor*float64(w.stats.meanServiceTime)) {
			d.refuse(&w.PermitRequest, errkind.DeadlineExceededQueued, 0, "%v left, %d in the queue for %.1f slots", remaining, len(p.queue), slots)
			return true
		}
		if slots == 0 && now.Sub(w.ArrivedAt) > w.route.Objective/2 {
			d.refuse(&w.PermitRequest, errkind.NoServer, p.meanServiceTime, "service %q has no available server", service)
			return true
		}
		if d.onTime(now, w) {
			return false
		}
		// New arrivals are served first, so only the spare slots are left for
		// requests past their objective.
		ahead++
		if spare < 1-d.policy.Admission.SaturationLoad || spare > 0 && p.queueWait(ahead, slots*spare) > remaining {
			d.refuse(&w.PermitRequest, errkind.Overloaded, max(overloadRetryMin, p.queueWait(len(p.queue), slots)/2),
				"past its latency objective, %d such requests ahead for %.1f slots, load %.2f", ahead-1, slots, 1-spare)
			return true
		}
		return false
	})
}
