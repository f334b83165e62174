package measure

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/standin"
)

// Span is a time range of a run, relative to the start of the load. To is
// exclusive.
type Span struct{ From, To time.Duration }

func (s Span) contains(r *Record) bool { return r.At >= s.From && r.At < s.To }

// Violations returns the violated guarantees that the callers' records and the
// executions on the backend servers prove. What could also be an artefact of
// the measurement is not reported.
func Violations(records []Record, executions standin.Executions, servers map[string]*standin.BackendServer, teams []document.Team) []string {
	var found []string
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for key, n := range executions.Keys {
		if n > 1 {
			add("Idempotency-Key %s ran %d times", key, n)
		}
	}
	for i := range records {
		r := &records[i]
		if r.Wrong != nil {
			add("wrong answer: %v", r.Wrong)
		}
		if r.refused() && executions.Tags[r.Tag] > 0 {
			add("request %s of %s was refused as %s with not_run, but ran", r.Tag, r.Team, r.Kind)
		}
	}
	for id, s := range servers {
		if n := s.Stats().KeysSeen; n > 0 {
			add("server %s received %d keys of callers", id, n)
		}
	}
	for _, t := range teams {
		found = append(found, overAdmissions(t, records)...)
	}
	slices.Sort(found)
	return found
}

// overAdmissions returns the windows in which a team got more than its rate and
// burst. A window counts only requests that began and ended within it, since
// these were certainly admitted there.
func overAdmissions(t document.Team, records []Record) []string {
	var admitted []Record
	for _, r := range records {
		if r.Team == t.ID && r.Err == nil && r.Outcome != errkind.NotRun {
			admitted = append(admitted, r)
		}
	}
	slices.SortFunc(admitted, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	var found []string
	for _, length := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second, time.Hour} {
		for i := 0; i < len(admitted); {
			from, n := admitted[i].At, 0
			last := from
			j := i
			for ; j < len(admitted) && admitted[j].At < from+length; j++ {
				if end := admitted[j].At + admitted[j].Took; end < from+length {
					n++
					last = max(last, end)
				}
			}
			if allowed := t.Rate*(last-from).Seconds() + t.Burst; float64(n) > allowed+1e-6 {
				found = append(found, fmt.Sprintf("team %s got %d requests in %v, allowed are %.1f", t.ID, n, (last-from).Round(time.Millisecond), allowed))
			}
			// Windows overlap by half.
			for i++; i < j && admitted[i].At < from+length/2; i++ {
			}
		}
	}
	return found
}

// ServiceLevel is what callers received in a span.
type ServiceLevel struct {
	// Requests counts those within the rates according to an ideal token
	// bucket.
	Requests int `json:"requests"`
	Good     int `json:"good"`
	// Refused counts refusals with the outcome not_run, Failed everything
	// else that is not Good.
	Refused int            `json:"refused"`
	Failed  int            `json:"failed"`
	Kinds   map[string]int `json:"kinds"`
	// WorstTeam is the team with the lowest share of good responses.
	WorstTeam  string  `json:"worst_team"`
	WorstShare float64 `json:"worst_share"`
}

// RefusedShare is the share of refusals. All of them are wrongful, since the
// requests were within the rates.
func (s ServiceLevel) RefusedShare() float64 { return share(s.Refused, s.Requests) }

// FailedShare is the share of failed requests.
func (s ServiceLevel) FailedShare() float64 { return share(s.Failed, s.Requests) }

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// EvaluateService evaluates the requests of a span that were within their team's
// rate. Malformed requests and duplicates that met the first request with their
// key still in progress are left out.
func EvaluateService(records []Record, span Span, teams []document.Team) ServiceLevel {
	s := ServiceLevel{Kinds: make(map[string]int), WorstShare: 1}
	for _, t := range teams {
		requests, good := 0, 0
		for _, r := range withinRate(t, records) {
			if r.Malformed || !span.contains(&r) {
				continue
			}
			requests++
			switch {
			case r.good():
				good++
			case r.Kind == errkind.InProgress:
				// A duplicate arrived while the first request was running.
				requests--
			case r.refused():
				s.Refused++
				s.Kinds[string(r.Kind)]++
			default:
				s.Failed++
				s.Kinds[failureKind(&r)]++
			}
		}
		s.Requests += requests
		s.Good += good
		if v := share(good, requests); requests >= 20 && v < s.WorstShare {
			s.WorstShare, s.WorstTeam = v, t.ID
		}
	}
	return s
}

// failureKind classifies how a request failed.
func failureKind(r *Record) string {
	switch {
	case r.Wrong != nil:
		return "wrong answer"
	case timedOut(r.Err):
		return fmt.Sprintf("no answer in time (%s)", r.Class)
	case r.Err != nil:
		return fmt.Sprintf("connection broken (%s)", r.Class)
	case r.Kind != "":
		return string(r.Kind)
	}
	return fmt.Sprintf("status %d of a backend server", r.Status)
}

// withinRate returns the requests of a team that an ideal token bucket with its
// rate and burst admits.
func withinRate(t document.Team, records []Record) []Record {
	var all []Record
	for _, r := range records {
		if r.Team == t.ID {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	level, last := t.Burst, time.Duration(0)
	admitted := all[:0]
	for _, r := range all {
		level = min(t.Burst, level+t.Rate*(r.At-last).Seconds())
		last = r.At
		if level >= 1 {
			level--
			admitted = append(admitted, r)
		}
	}
	return admitted
}
