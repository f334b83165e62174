package metrics

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against losing a busy team among many small ones: Space-Saving must keep
// every team with more than total/capacity requests.
func TestBusiestFindsHeavyTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBusiestTeams(10)
		counts := make(map[string]int)
		total := 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 40), 1, 300).Draw(t, "teams") {
			team := fmt.Sprint(n % (1 + n/3)) // small numbers are frequent
			counts[team]++
			total++
			b.add(team)
		}
		for team, n := range counts {
			if got, ok := b.counts[team]; n*10 > total && (!ok || got < uint64(n)) {
				t.Fatalf("team %s with %d of %d requests is counted as %d", team, n, total, got)
			}
		}
		if len(b.counts) > 10 {
			t.Fatalf("%d counters", len(b.counts))
		}
	})
}

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	if err := m.Close(); err != nil { // reports the last values
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body, _ := io.ReadAll(w.Result().Body)
	return string(body)
}

// Guards against missing or wrong series on the metrics endpoint.
func TestMetricsAreServed(t *testing.T) {
	m := New()
	for i := range 3 {
		m.Observe(Observation{Class: "booking", Team: "tugs", Result: ResultAnswered, Status: 200, Took: time.Duration(i) * 5 * time.Millisecond})
	}
	m.Observe(Observation{Class: "booking", Team: "", Result: "no_server", Status: 503})
	text := scrape(t, m)
	for _, want := range []string{
		`trefoilstream_class_requests_total{class="booking",result="answered"} 3`,
		`trefoilstream_class_requests_total{class="booking",result="no_server"} 1`,
		`trefoilstream_class_request_duration_seconds_bucket{class="booking",le="0.006"} 3`,
		`trefoilstream_class_request_duration_seconds_count{class="booking"} 4`,
		`trefoilstream_team_requests_total{result="answered",team="tugs"} 3`,
		`trefoilstream_team_requests_total{result="no_server",team="none"} 1`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no line %s in\n%s", want, text)
		}
	}
}

// Guards against a number of series that grows with the number of teams, and
// against a team that becomes busy late and stays counted as "other".
func TestTeamSeriesAreBounded(t *testing.T) {
	m := New()
	observe := func(team string, n int) {
		for range n {
			m.Observe(Observation{Class: "latency", Team: team, Result: ResultAnswered})
		}
	}
	for i := range 5_000 {
		observe(fmt.Sprintf("team-%d", i), 1)
	}
	observe("late-and-busy", 2_000)
	m.mu.Lock()
	m.reselect()
	m.mu.Unlock()
	observe("late-and-busy", 7)
	observe("team-0-again", 1)
	if n := len(m.Teams()); n != MaxTeams {
		t.Errorf("%d teams", n)
	}
	text := scrape(t, m)
	if want := `trefoilstream_team_requests_total{result="answered",team="late-and-busy"} 7`; !strings.Contains(text, want) {
		t.Errorf("no line %s", want)
	}
	if n := strings.Count(text, "trefoilstream_team_requests_total{"); n > MaxTeams+2 {
		t.Errorf("%d series", n)
	}
}

func BenchmarkObserve(b *testing.B) {
	m := New()
	defer func() { _ = m.Close() }()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		m.Observe(Observation{Class: "latency", Team: teams[i%len(teams)], Result: ResultAnswered, Took: time.Millisecond})
	}
}

var teams = func() []string {
	list := make([]string, 5000)
	for i := range list {
		list[i] = fmt.Sprint("team-", i)
	}
	return list
}()
