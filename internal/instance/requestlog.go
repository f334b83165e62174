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
	lines chan forward.Summary
	// remaining is the number of lines that may still be written in the current
	// second, dropped the number of lines dropped since it began.
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
func (o observers) RequestEnded(s forward.Summary) {
	for _, x := range o {
		x.RequestEnded(s)
	}
}

// metricsObserver records requests and their durations by class and team.
type metricsObserver struct {
	metrics *metrics.Metrics
}

// RequestEnded implements forward.Observer.
func (m metricsObserver) RequestEnded(s forward.Summary) {
	result := string(s.Kind)
	switch s.Kind {
	case "":
		result = metrics.ResultAnswered
	case forward.CallerLeft:
		result = metrics.ResultCancelled
	}
	m.metrics.Observe(metrics.Observation{
		Class: string(s.Class), Team: s.Team, Result: result, Status: s.Status, Took: s.Took,
	})
}

// RequestEnded implements forward.Observer.
func (l *requestLog) RequestEnded(s forward.Summary) {
	if s.Kind == "" && s.Status < 500 && s.Sends <= 1 {
		return
	}
	if l.remaining.Add(-1) < 0 {
		l.dropped.Add(1)
		return
	}
	select {
	case l.lines <- s:
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
		case s := <-l.lines:
			writeLine(s)
		}
	}
}

func writeLine(s forward.Summary) {
	event := "request_not_served"
	if s.Kind == "" && s.Status < 500 {
		event = "request_retried"
	}
	entry := log.WithFields(log.Fields{
		"event": event, "request": s.RequestID, "route": s.Route, "team": s.Team, "service": s.Service, "server": s.Server,
		"via": s.Via, "kind": string(s.Kind), "outcome": string(s.Outcome), "status": s.Status, "sends": s.Sends,
		"took_ms": s.Took.Milliseconds(), "config": s.Version,
	})
	if s.Cause != nil {
		entry = entry.WithField("cause", s.Cause.Error())
	}
	entry.Info("request ended")
}
