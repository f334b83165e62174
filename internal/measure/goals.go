package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Goals of a run. Shares are of the requests within their team's rate.
const (
	goalDetectionMedian = time.Second
	goalDetectionP99    = 3 * time.Second
	goalRefused         = 0.001
	// goalDisrupted bounds refusals and failures together while an instance
	// is dead, frozen or cut off, or a failure domain is out of service.
	goalDisrupted  = 0.01
	goalWorstShare = 0.95
	goalInForce    = 4 * time.Second
	goalAddedP99   = 7600 * time.Microsecond
	// goalReturn is the longest time until a recovered server has half of its
	// traffic again. It covers an ejection backoff of 8 s, the longest expected
	// in a run, the half-open state and the slow start.
	goalReturn = 25 * time.Second
)

// disruptedScenarios names the scenarios that goalDisrupted applies to.
var disruptedScenarios = []string{
	scenarioKilled, scenarioKilledWithoutLog, scenarioFrozen, scenarioOneWayCut, scenarioDomainOut,
}

// Missed describes the goals that the run missed, with the measured values.
func (r *Report) Missed() []string {
	var missed []string
	add := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	if h := r.decisionTimes(); h.TotalCount() > 0 {
		for _, g := range []struct {
			quantile float64
			goal     time.Duration
		}{{50, goalDetectionMedian}, {99, goalDetectionP99}} {
			if v := time.Duration(h.ValueAtQuantile(g.quantile)) * time.Millisecond; v > g.goal {
				add("detection at p%.0f took %v, goal %v", g.quantile, v, g.goal)
			}
		}
	}
	for _, d := range r.Detections {
		if d.Measurable && !d.Detected {
			add("%s of %s was not detected within %v", d.Fault, d.Server, detectWithin)
		}
		if d.Watched && (d.Returned < 0 || d.Returned > goalReturn.Seconds()) {
			add("%s was not back within %v after %s", d.Server, goalReturn, d.Fault)
		}
	}
	for _, s := range r.FalseEjections {
		add("false ejection: %s", s)
	}
	for _, name := range r.order {
		missed = append(missed, missedServiceLevels(name, r.Service[name])...)
	}
	for _, name := range slices.Sorted(maps.Keys(r.InForce)) {
		if v := r.InForce[name]; v > goalInForce.Seconds() {
			add("%s: %.2f s, goal %v", name, v, goalInForce)
		}
	}
	if added, ok := r.AddedP99(); ok && added >= goalAddedP99 {
		add("added latency at p99 is %v, goal under %v", added, goalAddedP99)
	}
	return missed
}

// missedServiceLevels describes the goals that callers' results missed in one
// scenario.
func missedServiceLevels(name string, s ServiceLevel) []string {
	var missed []string
	add := func(format string, args ...any) {
		missed = append(missed, name+": "+fmt.Sprintf(format, args...))
	}
	bad := s.RefusedShare() + s.FailedShare()
	switch {
	case slices.Contains(disruptedScenarios, name):
		if bad >= goalDisrupted {
			add("%.3f%% refused or failed, goal under %.1f%%", 100*bad, 100*goalDisrupted)
		}
	case name == scenarioPlannedStop:
		if bad > 0 {
			add("%.3f%% refused or failed, goal none", 100*bad)
		}
	case s.RefusedShare() >= goalRefused:
		add("%.3f%% refused, goal under %.1f%%", 100*s.RefusedShare(), 100*goalRefused)
	}
	if s.Requests > 0 && s.WorstShare < goalWorstShare {
		add("team %s got %.1f%% of its share, goal %.0f%%", s.WorstTeam, 100*s.WorstShare, 100*goalWorstShare)
	}
	return missed
}
