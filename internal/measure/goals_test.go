package measure

import (
	"strings"
	"testing"
	"time"
)

// Guards against a run that misses a goal and still reports success.
func TestMissedGoals(t *testing.T) {
	service := func(name string, s ServiceLevel) func(*Report) {
		return func(r *Report) {
			s.Requests, s.WorstShare = 1000, 1
			r.order, r.Service[name] = []string{name}, s
		}
	}
	decided := func(seconds ...float64) func(*Report) {
		return func(r *Report) {
			for _, s := range seconds {
				r.Detections = append(r.Detections, Detection{Fault: "errors", Server: "s", Detected: true, Measurable: true, AvoidedAfter: s, EjectedAfter: -1})
			}
		}
	}
	for name, c := range map[string]struct {
		change func(*Report)
		want   string
	}{
		"all met":           {func(r *Report) {}, ""},
		"detection in time": {decided(0.5, 0.9, 2.9), ""},
		"median":            {decided(1.2, 1.3, 1.4), "detection at p50"},
		"p99":               {decided(0.5, 0.5, 3.5), "detection at p99"},
		"not detected":      {func(r *Report) { r.Detections = []Detection{{Measurable: true, AvoidedAfter: -1, EjectedAfter: -1}} }, "not detected"},
		"not back": {func(r *Report) {
			r.Detections = []Detection{{Watched: true, Returned: -1, AvoidedAfter: 0.1, EjectedAfter: -1}}
		}, "not back"},
		"back late": {func(r *Report) {
			r.Detections = []Detection{{Watched: true, Returned: 26, AvoidedAfter: 0.1, EjectedAfter: -1}}
		}, "not back"},
		"back in time": {func(r *Report) {
			r.Detections = []Detection{{Watched: true, Returned: 24, AvoidedAfter: 0.1, EjectedAfter: -1}}
		}, ""},
		"false ejection":          {func(r *Report) { r.FalseEjections = []string{"steady: s"} }, "false ejection"},
		"refused without a fault": {service("steady", ServiceLevel{Refused: 1}), "steady: 0.100% refused"},
		"served without a fault":  {service("steady", ServiceLevel{}), ""},
		"failed when killed":      {service(scenarioKilled, ServiceLevel{Failed: 6, Refused: 4}), "1.000% refused or failed"},
		"served when killed":      {service(scenarioKilled, ServiceLevel{Failed: 5, Refused: 4}), ""},
		"killed without log":      {service(scenarioKilledWithoutLog, ServiceLevel{Failed: 10}), "refused or failed"},
		"failed when frozen":      {service(scenarioFrozen, ServiceLevel{Failed: 10}), "refused or failed"},
		"failed in a cut":         {service(scenarioOneWayCut, ServiceLevel{Failed: 10}), "refused or failed"},
		"failed domain out":       {service(scenarioDomainOut, ServiceLevel{Failed: 10}), "refused or failed"},
		"cut off by the stop":     {service(scenarioPlannedStop, ServiceLevel{Failed: 1}), "goal none"},
		"worst team": {func(r *Report) {
			r.order, r.Service["steady"] = []string{"steady"}, ServiceLevel{Requests: 1000, WorstTeam: "tugs", WorstShare: 0.94}
		}, "team tugs got 94.0%"},
		"in force late":    {func(r *Report) { r.InForce["key withdrawn"] = 4.1 }, "key withdrawn: 4.10 s"},
		"in force in time": {func(r *Report) { r.InForce["key withdrawn"] = 4 }, ""},
		"added latency": {func(r *Report) {
			_ = r.histogram("direct").RecordValue(1000)
			_ = r.histogram("through the fleet").RecordValue(9000)
		}, "added latency"},
	} {
		r := newReport()
		c.change(r)
		if got := strings.Join(r.Missed(), "; "); (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a recovery time that counts traffic from before the recovery.
func TestReturnOfAServer(t *testing.T) {
	s := &Series{counts: make(map[string][]int64)}
	n := int64(0)
	for i := range 800 { // 40 s
		now := time.Duration(i) * seriesInterval
		s.times = append(s.times, now)
		if now < 10*time.Second || now > 22*time.Second {
			n++ // 20 per second
		}
		s.counts["s"] = append(s.counts["s"], n)
	}
	took, ok := s.recoveryTime("s", 10*time.Second, 15*time.Second, 40*time.Second)
	if !ok || took < 7*time.Second || took > 9*time.Second {
		t.Errorf("back after %v, %v; want about 8 s", took, ok)
	}
	if _, ok := s.recoveryTime("s", 10*time.Second, 15*time.Second, 21*time.Second); ok {
		t.Error("back before its traffic returned")
	}
}
