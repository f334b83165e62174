// Package metrics keeps the metrics of an instance in tally scopes and serves
// them in the Prometheus text format. Histograms are kept per route class and per
// team. To bound the number of series, only the busiest teams have series of
// their own; all others are counted as team "other".
package metrics

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// MaxTeams is the maximum number of teams with series of their own.
	MaxTeams = 200
	// OtherTeam is the label value of all other teams.
	OtherTeam = "other"
	// NoTeam is the label value of requests on public routes.
	NoTeam = "none"

	// sketchCapacity is the number of counters for finding the busiest teams,
	// several times MaxTeams so that the last of them are found reliably.
	sketchCapacity = 4 * MaxTeams
	// sampleEvery is the sampling interval in requests for finding the busiest
	// teams. Not every request is counted, since replacing a team scans all
	// counters.
	sampleEvery = 8
	// reselectEvery is how often the busiest teams are selected again. The
	// series of a team that is no longer selected end then.
	reselectEvery = 5 * time.Minute
	// reportInterval is how often tally reports its values to the registry, and
	// so the maximum age of a scraped value.
	reportInterval = time.Second

	prefix    = "trefoilstream"
	separator = "_"
)

// Observation describes one finished request.
type Observation struct {
	// Class is the class or kind of its route.
	Class string
	// Team is empty on public routes.
	Team string
	// Result is ResultAnswered, ResultCancelled or the kind of the error.
	Result string
	// Status is the HTTP status of the response.
	Status int
	Took   time.Duration
}

// Results of requests that ended without an error response of the fleet.
const (
	// ResultAnswered means that a backend server's response was forwarded
	// completely.
	ResultAnswered = "answered"
	// ResultCancelled means that the caller disconnected.
	ResultCancelled = "cancelled"
)

// durationBuckets are the bucket bounds of the latency histograms per class.
// They are dense around the goal for added latency (7.6 ms).
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond, 6 * time.Millisecond, 8 * time.Millisecond,
	12 * time.Millisecond, 20 * time.Millisecond, 35 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute,
}

// teamBuckets are coarser than durationBuckets, since there are up to 202 team
// labels: MaxTeams, OtherTeam and NoTeam.
var teamBuckets = tally.DurationBuckets{
	4 * time.Millisecond, 12 * time.Millisecond, 35 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 10 * time.Second,
}

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	base *generation

	mu            sync.Mutex
	teams         *generation
	labeled       map[string]bool
	sketch        *busiestTeams
	observed      int
	lastSelection time.Time
	series        map[string]series
}

// series are the metrics of one class or team.
type series struct {
	scope   tally.Scope
	latency tally.Histogram
	results map[string]tally.Counter
}

// generation is a root scope with its registry. Tally cannot remove a series, so
// a new generation for the teams is started when the busiest teams change.
type generation struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prom.Registry
}

func newGeneration() *generation {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, Separator: separator, CachedReporter: reporter, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &generation{scope: scope, closer: closer, registry: registry}
}

// New returns empty metrics. Call Close to stop reporting.
func New() *Metrics {
	return &Metrics{
		base: newGeneration(), teams: newGeneration(), labeled: make(map[string]bool),
		sketch: newBusiestTeams(sketchCapacity), lastSelection: time.Now(), series: make(map[string]series),
	}
}

// Scope returns the root scope for metrics of other packages.
func (m *Metrics) Scope() tally.Scope { return m.base.scope }

// Observe records a finished request in the series of its class and its team.
func (m *Metrics) Observe(o Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sample(o.Team)
	m.record("class", o.Class, m.base.scope, durationBuckets, o)
	m.record("team", m.label(o.Team), m.teams.scope, teamBuckets, o)
}

func (m *Metrics) record(kind, label string, root tally.Scope, buckets tally.Buckets, o Observation) {
	id := kind + "/" + label
	s, ok := m.series[id]
	if !ok {
		scope := root.SubScope(kind).Tagged(map[string]string{kind: label})
		s = series{scope: scope, latency: scope.Histogram("request_duration_seconds", buckets), results: make(map[string]tally.Counter)}
		m.series[id] = s
	}
	s.latency.RecordDuration(o.Took)
	c, ok := s.results[o.Result]
	if !ok {
		c = s.scope.Tagged(map[string]string{"result": o.Result}).Counter("requests_total")
		s.results[o.Result] = c
	}
	c.Inc(1)
}

// label returns the label value of a team. A new team gets its own while there
// are fewer than MaxTeams.
func (m *Metrics) label(team string) string {
	switch {
	case team == "":
		return NoTeam
	case m.labeled[team]:
		return team
	case len(m.labeled) < MaxTeams:
		m.labeled[team] = true
		return team
	}
	return OtherTeam
}

// sample counts one of sampleEvery requests for the selection of the busiest
// teams.
func (m *Metrics) sample(team string) {
	if m.observed++; m.observed%sampleEvery != 0 || team == "" {
		return
	}
	m.sketch.add(team)
	if now := time.Now(); now.Sub(m.lastSelection) >= reselectEvery {
		m.lastSelection = now
		m.reselect()
	}
}

// reselect selects the busiest teams to have series of their own.
func (m *Metrics) reselect() {
	next := make(map[string]bool, MaxTeams)
	for _, t := range m.sketch.top(MaxTeams) {
		next[t] = true
	}
	m.sketch.decay()
	// While there is room for every team, none has to be replaced.
	if len(m.labeled) < MaxTeams || maps.Equal(next, m.labeled) {
		return
	}
	old := m.teams
	m.teams, m.labeled = newGeneration(), next
	maps.DeleteFunc(m.series, func(id string, _ series) bool { return id[:5] == "team/" })
	go func() { _ = old.closer.Close() }()
}

// Teams returns the teams with series of their own, ordered by ID.
func (m *Metrics) Teams() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.labeled))
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	gather := prom.GathererFunc(func() ([]*dto.MetricFamily, error) {
		m.mu.Lock()
		teams := m.teams.registry
		m.mu.Unlock()
		return prom.Gatherers{m.base.registry, teams}.Gather()
	})
	return promhttp.HandlerFor(gather, promhttp.HandlerOpts{})
}

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.teams.closer.Close()
	return m.base.closer.Close()
}
