package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// admissionSteps is the number of steps into which the quota window is divided.
const admissionSteps = 50

// stepCounts counts events in a sliding window, by step. The current step comes first.
type stepCounts struct {
	steps         [admissionSteps + 1]uint32
	stepStartedAt time.Time
}

// advance moves the window up to now.
func (s *stepCounts) advance(now time.Time, window time.Duration) {
	step := window / admissionSteps
	if step <= 0 {
		return
	}
	if now.Sub(s.stepStartedAt) > 2*window {
		*s = stepCounts{stepStartedAt: now}
	}
	if n := int(now.Sub(s.stepStartedAt) / step); n > 0 {
		s.stepStartedAt = s.stepStartedAt.Add(time.Duration(n) * step)
		n = min(n, len(s.steps))
		copy(s.steps[n:], s.steps[:len(s.steps)-n])
		clear(s.steps[:n])
	}
}

// add counts n events of a time that is not after now, to which the window must have been
// advanced. Events before the window are left out.
func (s *stepCounts) add(at time.Time, window time.Duration, n uint32) {
	i := 0
	if age := s.stepStartedAt.Sub(at); age > 0 {
		i = 1 + int(age/max(1, window/admissionSteps))
	}
	if i < len(s.steps) {
		s.steps[i] += n
	}
}

// AdmissionReport tells how many requests of a team one coordinator admitted to one
// instance.
type AdmissionReport struct {
	// Coordinator is the term of the coordinator, see Dispatcher.Term.
	Coordinator uint64
	Team        string
	// Total counts all of them, Steps those of the last quota window by step. The current
	// step comes first; it began StepAge before the report was made.
	Total   uint64
	Steps   []uint32
	StepAge time.Duration
}

// AdmissionLog is an instance's record of the requests that it was permitted to send, by
// team and by the coordinator that permitted them, for its next coordinators. It is not
// safe for concurrent use.
type AdmissionLog struct {
	window  time.Duration
	entries map[admissionKey]*loggedAdmissions
}

type admissionKey struct {
	coordinator uint64
	team        string
}

type loggedAdmissions struct {
	counts stepCounts
	total  uint64
	last   time.Time
}

// logRetention is how many quota windows an entry is kept after its last admission. It is
// longer than that of coordinators, who take a total that has become smaller for a new one.
const logRetention = 8

// NewAdmissionLog returns an empty log for a quota window.
func NewAdmissionLog(window time.Duration) *AdmissionLog {
	return &AdmissionLog{window: window, entries: make(map[admissionKey]*loggedAdmissions)}
}

// Count counts a request of a team that a coordinator has permitted.
func (l *AdmissionLog) Count(now time.Time, coordinator uint64, team string) {
	key := admissionKey{coordinator, team}
	e := l.entries[key]
	if e == nil {
		e = &loggedAdmissions{counts: stepCounts{stepStartedAt: now}}
		l.entries[key] = e
	}
	e.counts.advance(now, l.window)
	e.counts.add(now, l.window, 1)
	e.total++
	e.last = now
}

// Reports returns what was admitted in the last quota window, and forgets old entries.
func (l *AdmissionLog) Reports(now time.Time) []AdmissionReport {
	var out []AdmissionReport
	for key, e := range l.entries {
		if age := now.Sub(e.last); age > l.window {
			if age > logRetention*l.window {
				delete(l.entries, key)
			}
			continue
		}
		e.counts.advance(now, l.window)
		last := len(e.counts.steps)
		for last > 0 && e.counts.steps[last-1] == 0 {
			last--
		}
		out = append(out, AdmissionReport{
			Coordinator: key.coordinator, Team: key.team, Total: e.total, Steps: slices.Clone(e.counts.steps[:last]), StepAge: now.Sub(e.counts.stepStartedAt),
		})
	}
	slices.SortFunc(out, func(a, b AdmissionReport) int {
		return cmp.Or(cmp.Compare(a.Coordinator, b.Coordinator), cmp.Compare(a.Team, b.Team))
	})
	return out
}

// inheritedKey identifies the admissions of a team to one process by another coordinator.
type inheritedKey struct {
	process uint64
	admissionKey
}

// inheritedTotal is how many of them are counted here.
type inheritedTotal struct {
	total uint64
	at    time.Time
}

// Term is a random number that tells this coordinator from others, also from earlier ones on
// the same instance.
func (d *Dispatcher) Term() uint64 { return d.term }

// InheritAdmissions counts what other coordinators admitted to an instance, whose process is
// identified by a random number. What was reported before is not counted again.
func (d *Dispatcher) InheritAdmissions(now time.Time, process uint64, reports []AdmissionReport) {
	window := d.bounds.QuotaWindow
	for _, r := range reports {
		team := d.index.Team(r.Team)
		if r.Coordinator == d.term || team == nil || team.Rate <= 0 {
			continue
		}
		key := inheritedKey{process, admissionKey{r.Coordinator, r.Team}}
		counted := d.inherited[key].total
		if r.Total < counted {
			counted = 0
		}
		d.inherited[key] = inheritedTotal{total: r.Total, at: now}
		b := d.teamBucket(now, team)
		if !b.addReport(now, window, r, counted) {
			continue
		}
		before := b.tokens
		b.restore(now, window, d.knowledge(team))
		if now.Sub(d.startedAt) > window {
			// The bucket knew more than the last window.
			b.tokens = math.Min(b.tokens, before)
		}
	}
	for key, t := range d.inherited {
		if now.Sub(t.at) > logRetention/2*window {
			delete(d.inherited, key)
		}
	}
}

// addReport counts what a report holds beyond the first requests that are counted already. It
// reports whether any of that is in the window.
func (b *tokenBucket) addReport(now time.Time, window time.Duration, r AdmissionReport, counted uint64) bool {
	b.admitted.advance(now, window)
	left, added := r.Total-counted, false
	for i, n := range r.Steps[:min(len(r.Steps), admissionSteps+1)] {
		n = uint32(min(uint64(n), left))
		left -= uint64(n)
		added = added || n > 0
		// The end of the step, as late as its requests may have been admitted.
		at := now
		if i > 0 {
			at = now.Add(-max(0, r.StepAge) - time.Duration(i-1)*window/admissionSteps)
		}
		b.admitted.add(at, window, n)
	}
	return added
}

// SetReportedShare sets the share of the roster, 0 to 1, of which is known what earlier
// coordinators admitted.
func (d *Dispatcher) SetReportedShare(now time.Time, share float64) {
	if share == d.reportedShare {
		return
	}
	d.reportedShare = share
	d.restoreBuckets(now)
}

// maxUnreportedTakeovers is how many changes of coordinator within a quota window the bound
// bears in which nothing is known of what was admitted before, as when all instances
// restart.
const maxUnreportedTakeovers = 3

// knowledge returns what the coordinator may grant a team and knows of what was admitted to
// it before.
func (d *Dispatcher) knowledge(t *catalog.Team) knowledge {
	b := &d.bounds
	room := b.QuotaOvershoot*(t.Rate*b.QuotaWindow.Seconds()+t.Burst) + b.QuotaSlack
	return knowledge{share: d.connectedShare, startedAt: d.startedAt, reported: d.reportedShare, room: room / maxUnreportedTakeovers}
}

// restoreBuckets brings the buckets in line with what has become known since this
// coordinator took over. After a window it knows all that counts.
func (d *Dispatcher) restoreBuckets(now time.Time) {
	if now.Sub(d.startedAt) > d.bounds.QuotaWindow {
		return
	}
	for name, b := range d.teams {
		if t := d.index.Team(name); t != nil {
			b.restore(now, d.bounds.QuotaWindow, d.knowledge(t))
		}
	}
}
