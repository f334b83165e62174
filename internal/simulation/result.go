package simulation

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// ending is how a call ended for its caller.
type ending uint8

const (
	answered ending = iota
	serverFailed
	refusedForGood
	deadlinePassed
)

// Result is what the callers of a day met.
type Result struct {
	Seed uint64
	// Requests are the calls whose callers stayed; Served and Late the ones answered
	// within and after the latency objective, Failed and Refused the others.
	Requests, Served, Late, Failed, Refused int
	// ApplicationFailures are the failed ones that would have failed on any server.
	ApplicationFailures int
	// Owed and Earned are in units of the worth of a repeatable request.
	Owed, Earned float64
	// Refusals counts refusals, also of calls that came back and were served.
	// HeldBeforeRefusal is the sum of the times held, in latency objectives.
	Refusals          int
	HeldBeforeRefusal float64
	// Retries are the arrivals at servers beyond the first of each request.
	Retries int
	// SoundIdle is the share of the sound servers without work in two seconds, 0 to 1, on
	// average over the day.
	SoundIdle float64
	// Breaches describes each breach of a bound.
	Breaches []string
	// Sent and Lost count, by the reason of the choice, the requests sent to servers and
	// those that the server failed; failures of the application are not counted.
	Sent, Lost map[dispatch.Reason]int
	// DispatchTime is the wall-clock time spent in the dispatcher.
	DispatchTime time.Duration
}

// Credit is the share of the worth owed that was earned, 0 to 1.
func (r *Result) Credit() float64 { return share(r.Earned, r.Owed) }

// ServedShare is the share of requests answered at all, 0 to 1.
func (r *Result) ServedShare() float64 { return share(float64(r.Served+r.Late), float64(r.Requests)) }

// Held is the mean time before a refusal, in latency objectives.
func (r *Result) Held() float64 { return share(r.HeldBeforeRefusal, float64(r.Refusals)) }

// Cost is the mean time in the dispatcher for each request.
func (r *Result) Cost() time.Duration {
	return time.Duration(share(float64(r.DispatchTime), float64(r.Requests)))
}

func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// end records the end of a call.
func (y *day) end(c *call, how ending) {
	if c.ended {
		return
	}
	c.ended = true
	delete(y.calls, c.number)
	y.audit.ended(y.now, how == answered)
	switch how {
	case answered:
		if y.now+2*hop-c.firstSent <= y.e.Objective {
			y.r.Served++
			y.r.Earned += c.worth()
		} else {
			y.r.Late++
			y.r.Earned += lateCredit * c.worth()
		}
	case serverFailed, deadlinePassed:
		y.r.Failed++
	case refusedForGood:
		y.r.Refused++
	}
}
