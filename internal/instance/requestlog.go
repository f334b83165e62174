package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/forward"
	"trefoilstream.example/trefoilstream/internal/metrics"
)

const (
	// linesPerSecond limits the log lines about requests that failed or were
	// retried.
	linesPerSecond = 20
	// lineQueueSize bounds the lines that wait to be written.
	lineQueueSize = 64
)

// requestLog writes one line for each request that failed or was retried. It
// never blocks a request: lines beyond its rate are dropped and counted.
type requestLog struct {
	lines     chan forward.Summary
	remaining atomic.Int64
	dropped   atomic.Int64
}

func newRequestLog() *requestLog {
	l := &requestLog{lines: make(chan forward.Summary, lineQueueSize)}
	l.remaining.Store(linesPerSecond)
	return l
}

// observers notifies several observers.
type observers []forward.Observer

// RequestEnded implements forward.Observer.
func (o observers) RequestEnded(e forward.Summary) {
	for _, x := range o {
		x.RequestEnded(e)
	}
}

// metricsObserver records requests and their durations by class and team.
type metricsObserver struct {
	metrics *metrics.Metrics
}

// RequestEnded implements forward.Observer.
func (m metricsObserver) RequestEnded(e forward.Summary) {
	result := string(e.Kind)
	switch e.Kind {
	case "":
		result = metrics.ResultAnswered
	case forward.CallerLeft:
		result = metrics.ResultCancelled
	}
	m.metrics.Observe(metrics.Observation{
		Class: string(e.Class), Team: e.Team, Result: result, Status: e.Status, Took: e.Took,
	})
}

// RequestEnded implements forward.Observer.
func (l *requestLog) RequestEnded(e forward.Summary) {
	if e.Kind == "" && e.Status < 500 && e.Sends <= 1 {
		return
	}
	if l.remaining.Add(-1) < 0 {
		l.dropped.Add(1)
		return
	}
	select {
	case l.lines <- e:
	default:
		l.dropped.Add(1)
	}
}

func (l *requestLog) run(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.remaining.Store(linesPerSecond)
			if n := l.dropped.Swap(0); n > 0 {
				log.WithFields(log.Fields{"event": "lines_dropped", "count": n}).Warn("log lines dropped")
			}
		case e := <-l.lines:
			writeLine(e)
		}
	}
}

func writeLine(e forward.Summary) {
	event := "request_not_served"
	if e.Kind == "" && e.Status < 500 {
		event = "request_retried"
	}
	entry := log.WithFields(log.Fields{
		"event": event, "request": e.RequestID, "route": e.Route, "team": e.Team, "service": e.Service, "server": e.Server,
		"via": e.Via, "kind": string(e.Kind), "outcome": string(e.Outcome), "status": e.Status, "sends": e.Sends,
		"took_ms": e.Took.Milliseconds(), "config": e.Version,
	})
	if e.Cause != nil {
		entry = entry.WithField("cause", e.Cause.Error())
	}
	entry.Info("request ended")
}
