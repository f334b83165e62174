package simulation

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// call is a caller's request over all its attempts.
type call struct {
	repeatable bool
	member     int
	team       string
	route      string
	// firstSent is when the caller first sent it, arrived when this attempt arrived.
	firstSent, arrived time.Duration
	deadline           time.Duration
	number             uint64
	tried              []string
	mayHaveRun, sends  int
	reached, admitted  bool
	// returns is how often the caller has sent it again.
	returns int
	ended   bool
}

func (c *call) worth() float64 {
	if c.repeatable {
		return 1
	}
	return unsafeWorth
}

// refused handles a refusal: some callers come back, up to a third of their time later.
func (y *day) refused(c *call, r *dispatch.Refusal) {
	if c.ended {
		return
	}
	if c.mayHaveRun > 0 {
		y.end(c, serverFailed)
		return
	}
	if r.Kind == errkind.RateLimited {
		// What a team asks beyond its rate limit is not owed.
		y.disown(c)
		return
	}
	y.r.Refusals++
	y.r.HeldBeforeRefusal += (y.now - c.arrived).Seconds() / y.e.Objective.Seconds()
	back := max(r.RetryAfter, 0)
	u := y.rng.Float64()
	switch {
	case u < y.e.AtOnce:
		back = 0
	case u > y.e.AtOnce+y.e.ComeBack || back == 0 || back > (c.deadline-y.now)/3:
		y.end(c, refusedForGood)
		return
	}
	delete(y.calls, c.number)
	y.comeBack(c, back)
}

// callerReturns is how often a caller sends a refused request again.
const callerReturns = 3

// comeBack lets a caller send a refused request again.
func (y *day) comeBack(c *call, after time.Duration) {
	y.at(y.now+after+2*hop, func() {
		if c.ended {
			return
		}
		if c.returns++; c.returns > callerReturns || y.now >= c.deadline {
			y.end(c, refusedForGood)
			return
		}
		y.start(c)
	})
}
