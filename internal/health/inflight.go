package health

import (
	"slices"
	"time"
)

// Parameters of stall detection.
const (
	// stallFactor is the ratio of wait to baseline latency above which a request
	// in flight counts as stalled. With log-normal latency of sigma 0.6 the
	// probability of exceeding it is 3e-4.
	stallFactor = 8
	// minStallLimit covers the retransmission of a lost segment (200 ms) and
	// short pauses of a healthy server.
	minStallLimit = 400 * time.Millisecond
	// defaultStallLimit applies to a route without a baseline. On such a route
	// stalls are detected later than the median detection goal of 1 s.
	defaultStallLimit = 2 * time.Second
	// coldStallFactor multiplies the limit for a cold server, whose first
	// responses are slow.
	coldStallFactor = 4
)

// inFlightRequest is a request that was sent to the server.
type inFlightRequest struct {
	team  uint64
	route string
	begun time.Time
	// waitingSince is when the current wait for the server began; zero while
	// the owner waits for the caller.
	waitingSince time.Time
	// stalledAt is when the request was last counted as stalled; zero if never.
	stalledAt time.Time
	// awaitsBody is set while the caller has to send more of the body.
	awaitsBody bool
	cold       bool
}

// stallLimit is the wait after which the request counts as stalled.
func (d *OutlierDetector) stallLimit(f *inFlightRequest) time.Duration {
	limit := defaultStallLimit
	if baseline, ok := d.baselines.Latency(f.route); ok {
		limit = max(minStallLimit, stallFactor*baseline)
	}
	if f.cold {
		limit *= coldStallFactor
	}
	return limit
}

// Begin records that a request was sent. A cold server gets more time to
// respond.
func (d *OutlierDetector) Begin(now time.Time, id uint64, team, route string, cold bool) {
	d.inFlight[id] = &inFlightRequest{team: hashTeam(team), route: route, begun: now, waitingSince: now, cold: cold}
}

// Progress records that response bytes arrived, and restarts the wait.
func (d *OutlierDetector) Progress(now time.Time, id uint64) {
	if f := d.inFlight[id]; f != nil {
		f.waitingSince = now
	}
	d.lastActivity = now
}

// Pause records that the owner now waits for the caller and not for the server.
func (d *OutlierDetector) Pause(id uint64) {
	if f := d.inFlight[id]; f != nil {
		f.waitingSince = time.Time{}
	}
}

// AwaitBody records whether the request waits for its caller to send more of the body. A request
// that does has not stalled, even if a part of the response has arrived.
func (d *OutlierDetector) AwaitBody(now time.Time, id uint64, waits bool) {
	f := d.inFlight[id]
	if f == nil {
		return
	}
	f.awaitsBody = waits
	if !waits && !f.waitingSince.IsZero() {
		f.waitingSince = now
	}
}

// awaitsServer reports whether the request waits for the server.
func (f *inFlightRequest) awaitsServer() bool { return !f.waitingSince.IsZero() && !f.awaitsBody }

// stallDeadline returns when a request next counts as stalled. It counts once
// for its own wait, and again for each further period in which the server sent
// nothing on any request, so that a server with one slot is detected too.
func (d *OutlierDetector) stallDeadline(f *inFlightRequest) time.Time {
	limit := d.stallLimit(f)
	if f.stalledAt.IsZero() {
		return f.waitingSince.Add(limit)
	}
	if d.lastActivity.After(f.stalledAt) {
		return d.lastActivity.Add(limit)
	}
	return f.stalledAt.Add(limit)
}

// Check records a sample for each request in flight that has stalled.
func (d *OutlierDetector) Check(now time.Time) {
	var stalled []uint64
	for id, f := range d.inFlight {
		if f.awaitsServer() && !d.stallDeadline(f).After(now) {
			stalled = append(stalled, id)
		}
	}
	// In the order in which they were sent, so that the result is reproducible.
	slices.Sort(stalled)
	for _, id := range stalled {
		f := d.inFlight[id]
		f.stalledAt = now
		d.samples.add(sample{at: now, team: f.team, kind: sampleStalled})
	}
	d.reassess(now)
}

// Wake returns when Check should run next, or the zero time if no request is
// in flight.
func (d *OutlierDetector) Wake() time.Time {
	var at time.Time
	for _, f := range d.inFlight {
		if !f.awaitsServer() {
			continue
		}
		if deadline := d.stallDeadline(f); at.IsZero() || deadline.Before(at) {
			at = deadline
		}
	}
	return at
}
