package instance

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/forward"
	"trefoilstream.example/trefoilstream/internal/metrics"
)

const (
	// linesPerSecond limits the log lines about requests that failed, were
	// retried or late.
	linesPerSecond = 20
	// lateReserve is how many of these are kept for requests that were read and not served.
	lateReserve = 10
	// lineQueueSize bounds the lines that wait to be written.
	lineQueueSize = 64
)

// requestLog writes one line for each request that failed, was retried or late. It
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
	if s.Kind == "" && s.Status < 500 && s.Sends <= 1 && !late(s) {
		return
	}
	left := l.remaining.Add(-1)
	if left < 0 || left < lateReserve && (s.RefusedUnread || s.Kind == "" && s.Status < 500) {
		l.remaining.Add(1)
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

// late reports whether a response came after the latency objective of its route.
func late(s forward.Summary) bool { return s.Objective > 0 && s.Took > s.Objective }

func writeLine(s forward.Summary) {
	event := "request_not_served"
	if s.Kind == "" && s.Status < 500 {
		event = "request_retried"
		if late(s) {
			event = "request_late"
		}
	}
	entry := log.WithFields(log.Fields{
		"event": event, "request": s.RequestID, "route": s.Route, "team": s.Team, "service": s.Service, "server": s.Server,
		"via": s.Via, "kind": string(s.Kind), "outcome": string(s.Outcome), "status": s.Status, "sends": s.Sends,
		"took_ms": s.Took.Milliseconds(), "config": s.Version,
	})
	if s.Sends > 0 {
		// The belief at the time of the choice tells a bad choice from bad luck.
		entry = entry.WithFields(log.Fields{
			"waited_ms": s.Waited.Milliseconds(), "choice": string(s.Basis.Reason),
			"failure_probability": math.Round(s.Basis.FailureProbability*1000) / 1000, "outcome_age_ms": s.Basis.OutcomeAge.Milliseconds(),
		})
	}
	if s.Cause != nil {
		entry = entry.WithField("cause", s.Cause.Error())
	}
	entry.Info("request ended")
}
