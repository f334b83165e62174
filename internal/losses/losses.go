// Package losses accounts for the requests that callers lost: it reads the logs of
// instances and tells what was not served, late, or held long before a refusal, by
// cause, route, second, and what was believed of the server.
package losses

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Effect is what a caller met.
type Effect string

// The effects, the worst first.
const (
	// Failed requests got an error after they may have run.
	Failed Effect = "failed"
	// Held requests were refused after heldAfter or later.
	Held Effect = "held, then refused"
	// Refused requests were refused before.
	Refused Effect = "refused"
	// Late requests were served after their latency objective.
	Late Effect = "late"
)

// heldAfter is the time before a refusal from which a request counts as held.
const heldAfter = 250 * time.Millisecond

// Loss is one request that was not served in time.
type Loss struct {
	At      time.Time
	Request string
	Route   string
	Effect  Effect
	// Cause is the kind of the refusal or failure, or the server's own status.
	Cause string
	// Choice is why the server was chosen, empty if none was; FailureProbability and
	// OutcomeAge are what was believed of it then, and Waited is how long the request
	// had waited. A negative OutcomeAge means that nothing was known.
	Choice             string
	FailureProbability float64
	OutcomeAge, Waited time.Duration
}

// line is a log line about a request that ended.
type line struct {
	Timestamp time.Time `json:"timestamp"`
	Fields    struct {
		Event              string  `json:"event"`
		Request            string  `json:"request"`
		Route              string  `json:"route"`
		Kind               string  `json:"kind"`
		Outcome            string  `json:"outcome"`
		Status             int     `json:"status"`
		Sends              int     `json:"sends"`
		TookMS             int64   `json:"took_ms"`
		WaitedMS           int64   `json:"waited_ms"`
		Choice             string  `json:"choice"`
		FailureProbability float64 `json:"failure_probability"`
		OutcomeAgeMS       int64   `json:"outcome_age_ms"`
		Count              int     `json:"count"`
	} `json:"fields"`
}

// Account is what a log tells.
type Account struct {
	Losses []Loss
	// Dropped is the number of lines that instances did not write.
	Dropped int
}

// maxLine is the longest log line, in bytes.
const maxLine = 1 << 20

// Read reads log lines as JSON; text before the first brace of a line is skipped. Losses
// outside from and to are left out; a zero time does not limit. Refusals that the team
// or its key caused, and callers that left, are no losses.
func (a *Account) Read(r io.Reader, from, to time.Time) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		start := strings.IndexByte(text, '{')
		var l line
		if start < 0 || json.Unmarshal([]byte(text[start:]), &l) != nil {
			continue
		}
		if !from.IsZero() && l.Timestamp.Before(from) || !to.IsZero() && !l.Timestamp.Before(to) {
			continue
		}
		if l.Fields.Event == "lines_dropped" {
			a.Dropped += l.Fields.Count
		}
		if effect := effectOf(&l); effect != "" {
			a.Losses = append(a.Losses, lossOf(&l, effect))
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// ownCauses are the kinds of refusal that callers cause themselves.
var ownCauses = []string{
	"caller_left", "missing_key", "unknown_key", "no_route", "rate_limited", "invalid_request",
	"bad_request", "body_too_large", "head_too_large", "request_timeout",
}

func effectOf(l *line) Effect {
	f := &l.Fields
	switch {
	case f.Event == "request_late":
		return Late
	case f.Event != "request_not_served" || slices.Contains(ownCauses, f.Kind):
		return ""
	case f.Outcome != "not_run":
		return Failed
	case time.Duration(f.TookMS)*time.Millisecond >= heldAfter:
		return Held
	default:
		return Refused
	}
}

func lossOf(l *line, effect Effect) Loss {
	f := &l.Fields
	cause := f.Kind
	if cause == "" {
		cause = fmt.Sprintf("server responded %d", f.Status)
	}
	out := Loss{At: l.Timestamp, Request: f.Request, Route: f.Route, Effect: effect, Cause: cause, Waited: time.Duration(f.WaitedMS) * time.Millisecond}
	if f.Sends > 0 {
		out.Choice = f.Choice
		out.FailureProbability, out.OutcomeAge = f.FailureProbability, time.Duration(f.OutcomeAgeMS)*time.Millisecond
	} else if effect == Held || effect == Refused {
		out.Waited = time.Duration(f.TookMS) * time.Millisecond
	}
	return out
}

// Span is the time from the first loss to the last.
func (a *Account) Span() (from, to time.Time) {
	for _, l := range a.Losses {
		if from.IsZero() || l.At.Before(from) {
			from = l.At
		}
		if l.At.After(to) {
			to = l.At
		}
	}
	return from, to
}

// Series counts the losses of each effect in steps of the span.
func (a *Account) Series(step time.Duration) (from time.Time, counts map[Effect][]int) {
	from, to := a.Span()
	n := int(to.Sub(from)/step) + 1
	counts = make(map[Effect][]int)
	for _, l := range a.Losses {
		if counts[l.Effect] == nil {
			counts[l.Effect] = make([]int, n)
		}
		counts[l.Effect][int(l.At.Sub(from)/step)]++
	}
	return from, counts
}
