package health

import "time"

// State is the ejection state of a server at its owner.
type State int

// The states of a server. String returns the name under which each is logged.
const (
	// InService servers get regular traffic.
	InService State = iota
	// Failing servers still serve, but entry instances prefer others, and the
	// owner asks the arbiter for a permit to eject them.
	Failing
	// Ejected servers get no requests until their backoff has elapsed.
	Ejected
	// HalfOpen servers get one trial request at a time.
	HalfOpen
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"in_service", "failing", "ejected", "trickling"}[s]
}

// Parameters of ejection and recovery.
const (
	minBackoff = time.Second
	maxBackoff = 60 * time.Second
	// acceptSlowBackoff is the backoff from which slow responses count as
	// successes while the server is half-open.
	acceptSlowBackoff = 16 * time.Second
	// backoffResetAfter is the time in service after which the next failure
	// starts from the minimal backoff again.
	backoffResetAfter = 5 * time.Minute
	// halfOpenSuccesses is the number of successes after which a half-open
	// server is back in service.
	halfOpenSuccesses = 3
	// recoverySuccesses is the number of successes after which a failing server
	// without a permit is in service again.
	recoverySuccesses = 5
)

// Change is a state transition, for the log.
type Change struct {
	From, To State
	// Reason is the evidence or event that caused the transition.
	Reason string
	// Backoff is the time until the server becomes half-open, on ejection.
	Backoff time.Duration
}

// Ejection is the ejection state machine of one server at its owner.
type Ejection struct {
	state State
	// since is when the current state began.
	since       time.Time
	permitUntil time.Time
	backoff     time.Duration
	retryAt     time.Time
	evidence    string
	// slow is set if slow responses were the evidence.
	slow          bool
	successes     int
	trialInFlight bool
	// backoffRaised is set once the current failure has raised the backoff.
	backoffRaised bool
}

// NewEjection returns a server in service.
func NewEjection(now time.Time) *Ejection { return &Ejection{since: now} }

// State returns the current state.
func (e *Ejection) State() State { return e.state }

// Avoid reports whether entry instances should prefer other servers.
func (e *Ejection) Avoid() bool { return e.state != InService }

// WantsPermit reports whether the owner needs a new or renewed permit.
func (e *Ejection) WantsPermit() bool { return e.state != InService }

// OutOfRotation reports whether the server gets no regular traffic.
func (e *Ejection) OutOfRotation() bool { return e.state == Ejected || e.state == HalfOpen }

// LastReason returns the reason of the last failure.
func (e *Ejection) LastReason() string { return e.evidence }

func (e *Ejection) transition(now time.Time, to State, reason string) *Change {
	c := &Change{From: e.state, To: to, Reason: reason}
	if to == Ejected {
		c.Backoff = e.backoff
		e.retryAt = now.Add(e.backoff)
	}
	e.state, e.since, e.successes, e.trialInFlight = to, now, 0, false
	return c
}

// ApplyAssessment moves to the state that the assessment calls for. It returns
// nil if the state doesn't change.
func (e *Ejection) ApplyAssessment(now time.Time, a Assessment) *Change {
	switch e.state {
	case InService:
		if a.Failing {
			if e.backoff > 0 && now.Sub(e.since) >= backoffResetAfter {
				e.backoff = 0
			}
			e.evidence, e.slow, e.backoffRaised = a.Reason, a.Slow, false
			return e.transition(now, Failing, a.Reason)
		}
	case Failing:
		if a.Failing {
			e.evidence = a.Reason
			return nil
		}
		if e.successes >= recoverySuccesses || now.Sub(e.since) >= sampleTTL {
			return e.transition(now, InService, "failure evidence no longer sufficient")
		}
	}
	return nil
}

// ApplyPermit applies a permit of the arbiter. Its TTL counts from requestedAt,
// when the owner sent the permit request, so it expires at the owner no later
// than at the arbiter.
func (e *Ejection) ApplyPermit(now, requestedAt time.Time, ttl time.Duration) *Change {
	until := requestedAt.Add(ttl)
	if e.state == InService || !until.After(now) {
		return nil
	}
	if until.After(e.permitUntil) {
		e.permitUntil = until
	}
	if e.state != Failing {
		return nil
	}
	e.raiseBackoff()
	return e.transition(now, Ejected, e.evidence)
}

// raiseBackoff doubles the backoff once per failure. A permit that expired and
// was granted again is not a new failure.
func (e *Ejection) raiseBackoff() {
	if e.backoffRaised {
		return
	}
	e.backoffRaised = true
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
}

// Advance applies the passage of time: when the permit expires, the server
// serves again as a failing one; when the backoff has elapsed, it becomes
// half-open.
func (e *Ejection) Advance(now time.Time) *Change {
	if !e.OutOfRotation() {
		return nil
	}
	if !e.permitUntil.After(now) {
		return e.transition(now, Failing, "permit expired")
	}
	if e.state == Ejected && !e.retryAt.After(now) {
		return e.transition(now, HalfOpen, "backoff elapsed")
	}
	return nil
}

// Admit reports whether a request may go to the server. In the half-open state
// it reserves the only trial request until Done.
func (e *Ejection) Admit() bool {
	switch e.state {
	case Ejected:
		return false
	case HalfOpen:
		if e.trialInFlight {
			return false
		}
		e.trialInFlight = true
	}
	return true
}

// RejectsSlow reports whether a slow response to a trial request counts as a
// failure, because the server was ejected for slow responses. From
// acceptSlowBackoff on, slow responses are accepted: the workload may have
// changed for good, and the baseline only follows responses that arrive.
func (e *Ejection) RejectsSlow() bool {
	return e.state == HalfOpen && e.slow && e.backoff < acceptSlowBackoff
}

// Done records the end of a request that Admit allowed.
func (e *Ejection) Done(now time.Time, o Outcome) *Change {
	e.trialInFlight = false
	if e.state != HalfOpen && e.state != Failing {
		return nil
	}
	switch o {
	case Success:
		e.successes++
		if e.state == HalfOpen && e.successes >= halfOpenSuccesses {
			return e.transition(now, InService, "trial requests succeeded")
		}
	case Failure, ConnectFailure, Dropped:
		e.successes = 0
		if e.state == HalfOpen {
			e.backoffRaised = false
			e.raiseBackoff()
			return e.transition(now, Ejected, "trial request failed")
		}
	}
	return nil
}

// UndoBackoffIncrease halves the backoff again after a crash that turned out to
// be caused by a quarantined request.
func (e *Ejection) UndoBackoffIncrease(now time.Time) {
	e.backoff = max(e.backoff/2, minBackoff)
	if e.state == Ejected {
		e.retryAt = minTime(e.retryAt, now.Add(minBackoff))
	}
}

// Wake returns when Advance has an effect, or the zero time.
func (e *Ejection) Wake() time.Time {
	switch e.state {
	case Ejected:
		return minTime(e.permitUntil, e.retryAt)
	case HalfOpen:
		return e.permitUntil
	}
	return time.Time{}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
