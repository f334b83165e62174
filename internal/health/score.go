package health

import "time"

// The failure score and the slow score are cumulative sums (CUSUM, Page 1954),
// floored at zero. The failure score sums log-likelihood ratios.
const (
	// failureLLR and successLLR are ln(p1/p0) and ln((1-p1)/(1-p0)) for a
	// failing server that fails p1 = 30% of requests and a healthy one that
	// fails p0 = 0.2%.
	failureLLR = 5.011
	successLLR = -0.3547
	// failThreshold takes three failures within about fifteen requests, or more
	// over a longer run. Half of it, after a failed probe, still takes two.
	failThreshold = 10.1
	// failOthersThreshold is the score that the teams other than the one with
	// the most failures have to reach: two failures within about fifteen
	// requests. If one sufficed, a single background error would be enough to
	// eject a server because of a team whose requests all fail.
	failOthersThreshold = 5.2
	// slowDrift is subtracted from ln(latency/baseline) of each response. It
	// lies between 0 (healthy) and ln 5 (five times slower), nearer to the
	// latter because healthy latency has a long tail.
	slowDrift = 0.9
	// slowClip bounds ln(latency/baseline), so that at least five responses are
	// needed however slow they are.
	slowClip = 2.2
	// slowThreshold and slowOthersThreshold are the thresholds of the slow
	// score, for all teams and for the other teams.
	slowThreshold       = 6
	slowOthersThreshold = 3
	// sampleTTL is how long a sample counts. It is longer than the detection
	// goal of 3 s, and short enough that an old burst of failures doesn't add
	// up with a new one.
	sampleTTL = 10 * time.Second
	// maxSamples is the number of samples kept per server.
	maxSamples = 128
	// othersExpectedRequests is the number of requests that the other teams
	// would have finished at their recent rate before the absence of any
	// counts as failure.
	othersExpectedRequests = 9
	// minSilence and maxSilence bound the wait for requests of other teams.
	minSilence = 500 * time.Millisecond
	maxSilence = 2500 * time.Millisecond
	// attributionTime is how long the lower threshold applies to the other
	// teams.
	attributionTime = 3 * time.Second
)

// sample is the result of one request to a server, or a stall of one.
type sample struct {
	at   time.Time
	team uint64
	// fingerprint is set if the connection was dropped.
	fingerprint Fingerprint
	kind        sampleKind
	// slow is added to the slow score; zero if the sample says nothing about
	// latency.
	slow float64
}

type sampleKind uint8

const (
	// sampleDiscarded no longer counts.
	sampleDiscarded sampleKind = iota
	// sampleSameCrash is another request of a crash that was already counted.
	sampleSameCrash
	sampleSuccess
	sampleFailure
	sampleConnectFailure
	sampleDropped
	sampleStalled
)

func (k sampleKind) isFailure() bool { return k >= sampleFailure }

// sampleRing is a ring buffer of the newest samples.
type sampleRing struct {
	list [maxSamples]sample
	n    int
}

func (r *sampleRing) add(s sample) {
	r.list[r.n%maxSamples] = s
	r.n++
}

// each calls f for the samples that still count, oldest first.
func (r *sampleRing) each(now time.Time, f func(*sample)) {
	for i := max(0, r.n-maxSamples); i < r.n; i++ {
		s := &r.list[i%maxSamples]
		if s.kind > sampleSameCrash && now.Sub(s.at) <= sampleTTL {
			f(s)
		}
	}
}

// tally is the result of one pass over the samples.
type tally struct {
	failScore, slowScore float64
	failures, samples    int
	connectFailures      int
	stalls               int
}

// score computes the scores over all teams but the given one; 0 skips none.
func (r *sampleRing) score(now time.Time, skip uint64) tally {
	var t tally
	r.each(now, func(s *sample) {
		if skip != 0 && s.team == skip {
			return
		}
		t.samples++
		t.slowScore = max(0, t.slowScore+s.slow)
		if !s.kind.isFailure() {
			t.failScore = max(0, t.failScore+successLLR)
			return
		}
		t.failScore = max(0, t.failScore+failureLLR)
		t.failures++
		switch s.kind {
		case sampleConnectFailure:
			t.connectFailures++
		case sampleStalled:
			t.stalls++
		}
	})
	return t
}

// othersSilent reports whether the other teams, although they had samples
// before, have had none since the first bad sample of the given team, for longer
// than their earlier rate explains. It is also true if no other team uses the
// server.
func (r *sampleRing) othersSilent(now time.Time, team uint64, bad func(*sample) bool) bool {
	var first, oldest time.Time
	before, after := 0, 0
	r.each(now, func(s *sample) {
		if oldest.IsZero() {
			oldest = s.at
		}
		switch {
		case s.team == team:
			if first.IsZero() && bad(s) {
				first = s.at
			}
		case first.IsZero():
			before++
		default:
			after++
		}
	})
	if after > 0 {
		return false
	}
	if before == 0 {
		return true
	}
	wait := time.Duration(othersExpectedRequests * float64(first.Sub(oldest)) / float64(before))
	return now.Sub(first) >= min(max(wait, minSilence), maxSilence)
}

// affectedTeams returns the teams with bad samples.
func (r *sampleRing) affectedTeams(now time.Time, bad func(*sample) bool) []uint64 {
	var teams []uint64
	r.each(now, func(s *sample) {
		if !bad(s) {
			return
		}
		for _, t := range teams {
			if t == s.team {
				return
			}
		}
		teams = append(teams, s.team)
	})
	return teams
}

// acrossTeams reports whether the server, and not one team, causes the bad
// samples: leaving out any one team, the others still reach the threshold or
// have gone silent.
func (r *sampleRing) acrossTeams(now time.Time, bad func(*sample) bool, enough func(tally) bool) bool {
	for _, team := range r.affectedTeams(now, bad) {
		if !enough(r.score(now, team)) && !r.othersSilent(now, team, bad) {
			return false
		}
	}
	return true
}
