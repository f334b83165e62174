package measure

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/standin"
)

var tugs = document.Team{ID: "tugs", Rate: 10, Burst: 5}

func recordAt(ms int, change func(*Record)) Record {
	r := Record{Tag: fmt.Sprint("t", ms), Team: "tugs", At: time.Duration(ms) * time.Millisecond, Took: time.Millisecond, Status: 200}
	if change != nil {
		change(&r)
	}
	return r
}

// Guards against a violated guarantee that is not reported, and against one that is
// reported although it was kept.
func TestViolations(t *testing.T) {
	burst := func(n int) []Record {
		var list []Record
		for i := range n {
			list = append(list, recordAt(i, nil))
		}
		return list
	}
	for name, c := range map[string]struct {
		records []Record
		ran     standin.Executions
		want    string
	}{
		"no violation": {[]Record{recordAt(0, nil), recordAt(1, func(r *Record) { r.Outcome = errkind.NotRun; r.Status = 429 })},
			standin.Executions{Keys: map[string]int{"k": 1}, Tags: map[string]int{"t0": 1}}, ""},
		"key twice":                   {nil, standin.Executions{Keys: map[string]int{"k": 2}}, "ran 2 times"},
		"refused but ran":             {[]Record{recordAt(0, func(r *Record) { r.Outcome = errkind.NotRun })}, standin.Executions{Tags: map[string]int{"t0": 1}}, "but ran"},
		"response to another request": {[]Record{recordAt(0, func(r *Record) { r.Wrong = errors.New("for t1") })}, standin.Executions{}, "wrong answer"},
		"burst is allowed":            {burst(5), standin.Executions{}, ""},
		"more than the burst":         {burst(8), standin.Executions{}, "allowed are 5"},
		"answer after the window": {append(burst(5), recordAt(6, func(r *Record) { r.Took = 5 * time.Second })),
			standin.Executions{}, ""},
	} {
		found := strings.Join(Violations(c.records, c.ran, nil, []document.Team{tugs}), "; ")
		if (found == "") != (c.want == "") || !strings.Contains(found, c.want) {
			t.Errorf("%s: %q, want %q", name, found, c.want)
		}
	}
}

// Guards against refusals above the rate that count as wrongful, and against
// wrongful refusals that do not.
func TestEvaluateService(t *testing.T) {
	var records []Record
	for i := range 40 { // 20 per second, twice the rate
		records = append(records, recordAt(50*i, func(r *Record) {
			if i >= 10 && i%2 == 1 {
				r.Outcome, r.Status, r.Kind = errkind.NotRun, 429, errkind.RateLimited
			}
		}))
	}
	whole := Span{0, time.Minute}
	if s := EvaluateService(records, whole, []document.Team{tugs}); s.Refused != 0 || s.Good != s.Requests || s.Requests < 24 {
		t.Errorf("fair refusals: %+v", s)
	}
	records[0].Outcome, records[0].Kind = errkind.NotRun, errkind.NoServer
	records[2].Err = errors.New("reset")
	s := EvaluateService(records, whole, []document.Team{tugs})
	if s.Refused != 1 || s.Failed != 1 || s.Kinds["no_server"] != 1 || s.WorstShare >= 0.95 {
		t.Errorf("wrongful refusals: %+v", s)
	}
}

// Guards against chance gaps in traffic that count as detection, and against
// detections that are missed.
func TestDetectionAndServersWithoutTraffic(t *testing.T) {
	s := &Series{counts: make(map[string][]int64)}
	for i := range 400 { // 20 s
		now := time.Duration(i) * seriesInterval
		s.times = append(s.times, now)
		n := int64(i) * 2 // 40 per second
		s.counts["healthy"] = append(s.counts["healthy"], n)
		// Failing from 10 s; its traffic ends 1.5 s later.
		s.counts["failing"] = append(s.counts["failing"], min(n, 230*2))
	}
	took, ok, measurable := s.detectionTime("failing", 10*time.Second, 20*time.Second)
	if !ok || !measurable || took < 1200*time.Millisecond || took > 1600*time.Millisecond {
		t.Errorf("took %v, %v, %v", took, ok, measurable)
	}
	if _, ok, measurable := s.detectionTime("healthy", 10*time.Second, 20*time.Second); ok || !measurable {
		t.Error("a healthy server was detected")
	}
	if got := fmt.Sprint(s.serversWithoutTraffic([]string{"healthy", "failing"}, 10*time.Second, 20*time.Second)); got != "[failing]" {
		t.Errorf("without traffic: %s", got)
	}
	if got := s.serversWithoutTraffic([]string{"healthy", "failing"}, 0, 10*time.Second); got != nil {
		t.Errorf("without traffic before the fault: %s", got)
	}
}
