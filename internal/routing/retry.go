package routing

import "time"

const (
	// RetryShare is the share of a service's requests that may be retried.
	RetryShare = 0.1
	// RetryBurst bounds the retries that can accumulate.
	RetryBurst = 10
	// MaxAttempts bounds the attempts of one request. Two retries get it past
	// one failing server and one whose owner is lost.
	MaxAttempts = 3
	// MinRemaining is the least time before the deadline at which a retry is
	// worth its load: the round trip between failure domains takes 3 ms, and
	// the backend server needs some time too.
	MinRemaining = 5 * time.Millisecond
)

// RetryBudget is the retry budget of one service at one entry instance: a token
// bucket to which each request adds RetryShare of a token. The zero value is
// empty. It is not safe for concurrent use.
type RetryBudget struct {
	tokens float64
}

// RecordRequest records the first attempt of a request.
func (b *RetryBudget) RecordRequest() { b.tokens = min(b.tokens+RetryShare, RetryBurst) }

// TakeRetry takes a token for one retry, or returns false if there is none.
func (b *RetryBudget) TakeRetry() bool {
	// In floating point, ten additions of 0.1 give slightly less than 1.
	const rounding = 1e-9
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number of attempts made, including this one.
	Number int
	// NotRun is set if it is certain that the server didn't run the request.
	NotRun bool
	// RetryElsewhere is set if another server could succeed. It is unset for a
	// refusal that every server would repeat, such as that of a revoked key.
	RetryElsewhere bool
	// Idempotent is set if the route is declared idempotent.
	Idempotent bool
	// ResponseStarted is set once the caller has received part of the response.
	ResponseStarted bool
	// BodyConsumed is set if the request's body was read and not buffered.
	BodyConsumed bool
	// Cancelled is set if the caller closed the connection.
	Cancelled bool
	Deadline  time.Time
}

// RetryDecision says whether a failed attempt is retried.
type RetryDecision string

// The decisions. Each one but Retry is the reason not to retry.
const (
	Retry              RetryDecision = "retry"
	MayHaveRun         RetryDecision = "may_have_run"
	SameOnEveryServer  RetryDecision = "same_elsewhere"
	ResponseStarted    RetryDecision = "answer_started"
	BodyConsumed       RetryDecision = "body_gone"
	CallerDisconnected RetryDecision = "caller_gone"
	AttemptsExhausted  RetryDecision = "tries_used_up"
	DeadlineNear       RetryDecision = "deadline_near"
	BudgetExhausted    RetryDecision = "budget_exhausted"
)

// Decide says whether a failed attempt is retried at now, and takes the retry
// from the budget if so.
func Decide(now time.Time, a Attempt, b *RetryBudget) RetryDecision {
	switch {
	case a.Cancelled:
		return CallerDisconnected
	case a.ResponseStarted:
		return ResponseStarted
	case !a.NotRun && !a.Idempotent:
		return MayHaveRun
	case !a.RetryElsewhere:
		return SameOnEveryServer
	case a.BodyConsumed:
		return BodyConsumed
	case a.Number >= MaxAttempts:
		return AttemptsExhausted
	case a.Deadline.Sub(now) < MinRemaining:
		return DeadlineNear
	case !b.TakeRetry():
		return BudgetExhausted
	}
	return Retry
}
