// Package health decides which backend servers get no traffic. It implements
// passive outlier detection on real requests, ejection with exponential backoff,
// ejection permits that keep a service above its minimum capacity (its floor),
// and the quarantine of requests that crash servers.
//
// The owner of a server is the instance that forwards all requests to it, on
// behalf of the entry instances that received them. The arbiter of a service is
// the instance that grants permits to the owners of its servers.
//
// The package does no I/O and reads no clock. Its types are not safe for
// concurrent use.
package health

import (
	"fmt"
	"hash/maphash"
	"math"
	"slices"
	"time"
)

// Outcome classifies how a request to a server ended.
type Outcome int

// The outcomes of a request.
const (
	// Success is a complete response that the server did work for.
	Success Outcome = iota
	// Failure is a 5xx response or a truncated one.
	Failure
	// ConnectFailure means that no connection to the server could be made.
	ConnectFailure
	// Dropped means that the server closed the connection without a response.
	Dropped
	// Ignored outcomes say nothing about the server's health: load shedding,
	// cancellations, exceeded deadlines and 4xx responses. A request that
	// exceeded the stall limit was already counted then.
	Ignored
)

// RequestResult describes how a request ended.
type RequestResult struct {
	Outcome Outcome
	Team    string
	Route   string
	// Latency is the time from sending the request to the first byte of the
	// response.
	Latency time.Duration
	// Cold is set if the server is cold; a slow response is then expected.
	Cold bool
	// Fingerprint identifies the request if its connection was dropped.
	Fingerprint Fingerprint
}

// Parameters of outlier detection.
const (
	// probeFailureTTL is how long a failed probe halves the thresholds.
	probeFailureTTL = 5 * time.Second
	// crashWindow groups connections that a server dropped at about the same
	// time into one crash, because a crash ends every request in flight.
	crashWindow = 50 * time.Millisecond
	// slowRatio is the ratio to the baseline above which a response to a trial
	// request is slow. Slow start in package slots uses the same ratio.
	slowRatio = 3
	// latencyWindow is the number of responses in the reported median.
	latencyWindow = 64
)

// teamSeed is shared, so that hashes of team names are comparable within the
// process.
var teamSeed = maphash.MakeSeed()

// hashTeam returns a hash that is never zero.
func hashTeam(team string) uint64 { return maphash.String(teamSeed, team) | 1 }

// Assessment is the detected health of one server.
type Assessment struct {
	// Failing is set if the evidence suffices for an ejection.
	Failing bool
	// Score is the evidence relative to the threshold; 1 suffices.
	Score float64
	// FailureShare is the share of failures among recent requests, 0 to 1.
	FailureShare float64
	// Median is the median latency of recent successful responses.
	Median time.Duration
	// Slow is set if slow responses are the evidence.
	Slow bool
	// ConnectOnly is set if every recent failure was a failure to connect.
	ConnectOnly bool
	// Reason describes the evidence for the log.
	Reason string
}

// OutlierDetector detects failures, stalls and slowness of one server from the
// requests that it serves.
type OutlierDetector struct {
	baselines *LatencyBaselines
	samples   sampleRing
	inFlight  map[uint64]*inFlightRequest
	// lastActivity is when the server last sent any bytes.
	lastActivity  time.Time
	lastDropAt    time.Time
	probeFailedAt time.Time
	// thresholdReachedAt is when the failures of all teams together reached the
	// threshold; zero while they are below it.
	thresholdReachedAt time.Time
	assessedAt         time.Time
	assessment         Assessment
	recentLatencies    [latencyWindow]time.Duration
	successes          int
}

// NewOutlierDetector returns a detector without samples. The servers of one
// service share baselines.
func NewOutlierDetector(baselines *LatencyBaselines) *OutlierDetector {
	return &OutlierDetector{baselines: baselines, inFlight: make(map[uint64]*inFlightRequest)}
}

// End records the end of a request and reports whether it had stalled. The ID
// is the one passed to Begin, which isn't called for a request that was never
// sent.
func (d *OutlierDetector) End(now time.Time, id uint64, r RequestResult) (stalled bool) {
	if f := d.inFlight[id]; f != nil {
		stalled = !f.stalledAt.IsZero()
		delete(d.inFlight, id)
	}
	s := sample{at: now, team: hashTeam(r.Team)}
	switch r.Outcome {
	case Ignored:
		return stalled
	case Success:
		d.lastActivity = now
		s.kind = sampleSuccess
		s.slow = d.slowContribution(r)
		d.learn(r)
	case Failure:
		d.lastActivity = now
		s.kind = sampleFailure
	case ConnectFailure:
		s.kind = sampleConnectFailure
	case Dropped:
		s.kind, s.fingerprint = sampleDropped, r.Fingerprint
		if now.Sub(d.lastDropAt) < crashWindow {
			// Keep the fingerprint: any request of the crash may be its cause.
			s.kind, s.at = sampleSameCrash, d.lastDropAt
			d.samples.add(s)
			return stalled
		}
		d.lastDropAt = now
	}
	// A stalled request has already been counted as a failure.
	if stalled && s.kind != sampleSuccess {
		return stalled
	}
	d.samples.add(s)
	if s.kind.isFailure() || s.slow > 0 || d.assessment.Failing {
		d.reassess(now)
	}
	return stalled
}

// slowContribution is what a response adds to the slow score.
func (d *OutlierDetector) slowContribution(r RequestResult) float64 {
	baseline, ok := d.baselines.Latency(r.Route)
	if !ok {
		return 0
	}
	y := math.Log(float64(max(r.Latency, time.Microsecond)) / float64(baseline))
	contribution := min(y, slowClip) - slowDrift
	if r.Cold {
		return min(contribution, 0)
	}
	return contribution
}

// Slow reports whether the response took more than slowRatio times the baseline
// latency of its route.
func (d *OutlierDetector) Slow(r RequestResult) bool {
	baseline, ok := d.baselines.Latency(r.Route)
	return ok && r.Latency > slowRatio*baseline
}

func (d *OutlierDetector) learn(r RequestResult) {
	d.recentLatencies[d.successes%latencyWindow] = r.Latency
	d.successes++
	if !r.Cold {
		d.baselines.learn(r.Route, r.Latency)
	}
}

// Probe records the result of an active health check. A passed one changes
// nothing.
func (d *OutlierDetector) Probe(now time.Time, passed bool) {
	if !passed {
		d.probeFailedAt = now
		d.reassess(now)
	}
}

// reassess computes the assessment from the samples.
func (d *OutlierDetector) reassess(now time.Time) {
	d.assessedAt = now
	thresholdFactor := 1.0
	if !d.probeFailedAt.IsZero() && now.Sub(d.probeFailedAt) <= probeFailureTTL {
		thresholdFactor = 0.5
	}
	all := d.samples.score(now, 0)
	fail, slow := all.failScore/(failThreshold*thresholdFactor), all.slowScore/(slowThreshold*thresholdFactor)
	failing := d.failing(now, fail, thresholdFactor)
	tooSlow := slow >= 1 && d.samples.acrossTeams(now,
		func(s *sample) bool { return s.slow > 0 },
		func(t tally) bool { return t.slowScore >= slowOthersThreshold*thresholdFactor })
	a := Assessment{Failing: failing || tooSlow, Score: max(fail, slow), ConnectOnly: all.failures > 0 && all.connectFailures == all.failures}
	if all.samples > 0 {
		a.FailureShare = float64(all.failures) / float64(all.samples)
	}
	switch {
	case failing && all.stalls*2 > all.failures:
		a.Reason = fmt.Sprintf("%d of %d recent requests failed, %d of them stalled", all.failures, all.samples, all.stalls)
	case failing:
		a.Reason = fmt.Sprintf("%d of %d recent requests failed, %d of them to connect", all.failures, all.samples, all.connectFailures)
	case tooSlow:
		a.Slow = true
		a.Reason = fmt.Sprintf("recent responses are slow compared with the baseline, score %.1f", all.slowScore)
	}
	d.assessment = a
}

// failing reports whether there are enough failures and whether the server,
// rather than the requests of one team, causes them. Once the threshold has been
// exceeded for longer than attributionTime, the other teams have to reach the
// full threshold too: beside a team that keeps failing, a short run of
// background errors would otherwise suffice sooner or later.
func (d *OutlierDetector) failing(now time.Time, fail, thresholdFactor float64) bool {
	if fail < 1 {
		d.thresholdReachedAt = time.Time{}
		return false
	}
	if d.thresholdReachedAt.IsZero() {
		d.thresholdReachedAt = now
	}
	others := failOthersThreshold * thresholdFactor
	if now.Sub(d.thresholdReachedAt) > attributionTime {
		others = failThreshold * thresholdFactor
	}
	return d.samples.acrossTeams(now,
		func(s *sample) bool { return s.kind.isFailure() },
		func(t tally) bool { return t.failScore >= others })
}

// Assess returns the assessment at now.
func (d *OutlierDetector) Assess(now time.Time) Assessment {
	if !d.assessedAt.Equal(now) && (d.assessment.Failing || d.assessment.Score > 0) {
		// Samples expire without a call.
		d.reassess(now)
	}
	a := d.assessment
	a.Median = d.median()
	return a
}

func (d *OutlierDetector) median() time.Duration {
	n := min(d.successes, latencyWindow)
	if n == 0 {
		return 0
	}
	list := slices.Clone(d.recentLatencies[:n])
	slices.Sort(list)
	return list[n/2]
}

// DiscardCrashes discards the crashes during which a quarantined request was in
// flight, and reports whether there were any. A crash is counted once, for the
// request whose connection ended first, which need not be the cause.
func (d *OutlierDetector) DiscardCrashes(now time.Time, f Fingerprint) bool {
	var crashes []time.Time
	for i := range d.samples.list {
		s := &d.samples.list[i]
		if (s.kind == sampleDropped || s.kind == sampleSameCrash) && s.fingerprint == f {
			crashes = append(crashes, s.at)
		}
	}
	for i := range d.samples.list {
		s := &d.samples.list[i]
		if s.kind == sampleDropped && slices.ContainsFunc(crashes, s.at.Equal) {
			s.kind = sampleDiscarded
		}
	}
	if len(crashes) > 0 {
		d.reassess(now)
	}
	return len(crashes) > 0
}

// Reset discards the samples, for example when a server returns from ejection.
// Requests in flight are kept.
func (d *OutlierDetector) Reset() {
	d.samples = sampleRing{}
	d.assessment = Assessment{}
}

// SetServiceMedian adjusts the baselines to the median latency of the service.
func (d *OutlierDetector) SetServiceMedian(service time.Duration) {
	d.baselines.SetServiceMedian(service, d.median())
}
