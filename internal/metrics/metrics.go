// Package metrics keeps the metrics of an instance in tally scopes and serves
// them in the text format of Prometheus. Histograms are kept per class of
// routes and per team; the number of teams with series of their own is
// bounded, and the rest is counted as team "other".
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
	// MaxTeams is the number of teams with series of their own (design,
	// section 13).
	MaxTeams = 200
	// OtherTeam is the label of all other teams.
	OtherTeam = "other"
	// OpenTeam is the label of requests on routes open to all.
	OpenTeam = "none"

	// sketchTeams is the capacity for finding the busiest teams, several
	// times MaxTeams so that the last of them are found reliably.
	sketchTeams = 4 * MaxTeams
	// sampleEvery counts one of so many requests for finding the busiest
	// teams, since a replacement scans all counters.
	sampleEvery = 8
	// reselectEvery is how often the busiest teams are chosen anew. Series of
	// a team that is dropped end there.
	reselectEvery = 5 * time.Minute
	// reportInterval is how often tally passes its values on; it is the
	// greatest age of a scraped value.
	reportInterval = time.Second

	prefix    = "trefoilstream"
	separator = "_"
)

// Observation describes one finished request.
type Observation struct {
	// Class is the class or kind of its route.
	Class string
	// Team is empty on routes open to all.
	Team string
	// Result is ResultAnswered, ResultCancelled or the kind of the error.
	Result string
	// Status is that of the answer.
	Status int
	Took   time.Duration
}

// Results of requests that ended without an error of the fleet.
const (
	// ResultAnswered says that a backend server's answer was passed on whole.
	ResultAnswered = "answered"
	// ResultCancelled says that the caller went away.
	ResultCancelled = "cancelled"
)

// durationBuckets are the upper bounds of the latency histograms per class.
// They are dense around the goal for added latency (7.6 ms).
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond, 6 * time.Millisecond, 8 * time.Millisecond,
	12 * time.Millisecond, 20 * time.Millisecond, 35 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute,
}

// teamBuckets are coarser, since there are up to 202 teams.
var teamBuckets = tally.DurationBuckets{
	4 * time.Millisecond, 12 * time.Millisecond, 35 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 10 * time.Second,
}

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	base *generation

	mu       sync.Mutex
	teams    *generation
	named    map[string]bool
	sketch   *busiest
	seen     int
	selected time.Time
	series   map[string]series
}

// series are the metrics of one class or team.
type series struct {
	scope   tally.Scope
	latency tally.Histogram
	results map[string]tally.Counter
}

// generation is a root scope with its registry. Tally never forgets a series,
// so the series of teams are started anew when the busiest teams change.
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

// New returns empty metrics. Close them to end their reporting.
func New() *Metrics {
	return &Metrics{
		base: newGeneration(), teams: newGeneration(), named: make(map[string]bool),
		sketch: newBusiest(sketchTeams), selected: time.Now(), series: make(map[string]series),
	}
}

// Scope returns the scope for the metrics of other packages.
func (m *Metrics) Scope() tally.Scope { return m.base.scope }

// Observe implements entry.Observer.
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

// label returns the team's label and names the team while there is room.
func (m *Metrics) label(team string) string {
	switch {
	case team == "":
		return OpenTeam
	case m.named[team]:
		return team
	case len(m.named) < MaxTeams:
		m.named[team] = true
		return team
	}
	return OtherTeam
}

// sample counts the request for the choice of the busiest teams.
func (m *Metrics) sample(team string) {
	if m.seen++; m.seen%sampleEvery != 0 || team == "" {
		return
	}
	m.sketch.add(team)
	if now := time.Now(); now.Sub(m.selected) >= reselectEvery {
		m.selected = now
		m.reselect()
	}
}

// reselect gives series of their own to the busiest teams.
func (m *Metrics) reselect() {
	next := make(map[string]bool, MaxTeams)
	for _, t := range m.sketch.top(MaxTeams) {
		next[t] = true
	}
	m.sketch.fade()
	// With room for all teams, nobody has to make way.
	if len(m.named) < MaxTeams || maps.Equal(next, m.named) {
		return
	}
	old := m.teams
	m.teams, m.named = newGeneration(), next
	maps.DeleteFunc(m.series, func(id string, _ series) bool { return id[:5] == "team/" })
	go func() { _ = old.closer.Close() }()
}

// Teams returns the teams with series of their own, ordered by ID.
func (m *Metrics) Teams() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.named))
}

// Handler serves the metrics in the text format of Prometheus.
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
