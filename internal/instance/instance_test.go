package instance

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/fleet"
	"trefoilstream.example/trefoilstream/internal/forward"
	"trefoilstream.example/trefoilstream/internal/metrics"
)

// Guards against requests missing from the metrics by class and team, and
// against reporting readiness too early.
func TestChecksServeReadinessAndMetrics(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	m := metrics.New()
	ready := false
	go serveChecks(l, "/ready", func() bool { return ready }, m.Handler())
	get := func(path string) (int, string) {
		resp, err := http.Get("http://" + l.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body)
	}
	if status, _ := get("/ready"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d before the instance is ready", status)
	}
	observers{metricsObserver{m}}.RequestEnded(forward.Summary{Class: catalog.Unsafe, Team: "t1", Kind: "overloaded", Took: time.Second})
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if _, text := get(metricsPath); strings.Contains(text, `result="overloaded"`) && strings.Contains(text, `team="t1"`) && strings.Contains(text, `class="unsafe"`) {
			return
		}
	}
	t.Error("the request is not in the metrics")
}

// Guards against a request log that blocks requests, or that does not count
// the lines it drops.
func TestRequestLogIsBounded(t *testing.T) {
	l := newRequestLog()
	for i := range 1000 {
		l.RequestEnded(forward.Summary{RequestID: fmt.Sprint(i), Kind: "overloaded", Status: 503})
	}
	if n := len(l.lines); n != linesPerSecond || l.dropped.Load() != int64(1000-n) {
		t.Errorf("%d lines wait, %d dropped", n, l.dropped.Load())
	}
	l.RequestEnded(forward.Summary{Status: 200, Sends: 1})
	if l.dropped.Load() != 1000-linesPerSecond {
		t.Error("a request that was served counts as a dropped line")
	}
}

// Guards against a crowd whose requests are refused while they are read, and whose lines leave
// none for requests that were read.
func TestRequestLogKeepsLinesForRequestsThatWereRead(t *testing.T) {
	l := newRequestLog()
	for range 1000 {
		l.RequestEnded(forward.Summary{Kind: "instance_full", Status: 503, RefusedUnread: true})
	}
	l.RequestEnded(forward.Summary{RequestID: "r1", Kind: "overloaded", Status: 503})
	if n := len(l.lines); n != linesPerSecond-lateReserve+1 {
		t.Errorf("%d lines wait, want %d of the crowd and that of r1", n, linesPerSecond-lateReserve)
	}
}

// Guards against a share of the fleet that stays reduced without operators seeing it.
func TestCoordinationIsInTheMetrics(t *testing.T) {
	m := metrics.New()
	defer m.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reportCoordination(ctx, m.Scope(), func() fleet.Coordination { return fleet.Coordination{Share: 0.6, Missing: 16} })
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, metricsPath, nil))
		text := w.Body.String()
		if strings.Contains(text, "coordinated_share 0.6") && strings.Contains(text, "missing_instances 16") {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("metrics %s", text)
		}
	}
}
