package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against retries that multiply the load on a failing service.
func TestBudgetKeepsTenPercent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		requests, retries := 0, 0
		quiet := rapid.IntRange(0, 500).Draw(t, "quiet")
		for range quiet {
			b.RecordRequest()
		}
		for _, isRequest := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if isRequest {
				b.RecordRequest()
				requests++
			} else if b.TakeRetry() {
				retries++
			}
		}
		saved := min(RetryShare*float64(quiet), RetryBurst)
		if float64(retries) > RetryShare*float64(requests)+saved+1e-6 {
			t.Fatalf("%d retries after %d requests and %.1f saved", retries, requests, saved)
		}
	})
}

// Guards against a rounding error by which ten requests earn no retry.
func TestTenRequestsEarnOneRetry(t *testing.T) {
	var b RetryBudget
	for range 10 {
		b.RecordRequest()
	}
	if !b.TakeRetry() || b.TakeRetry() {
		t.Error("ten requests must earn exactly one retry")
	}
}

// Guards against running a non-idempotent request twice, against a response put
// together from two attempts, and against retries that can't succeed.
func TestDecide(t *testing.T) {
	retryable := Attempt{Number: 1, NotRun: true, RetryElsewhere: true, Deadline: now.Add(time.Second)}
	change := func(f func(*Attempt)) Attempt { x := retryable; f(&x); return x }
	for _, c := range []struct {
		name    string
		attempt Attempt
		want    RetryDecision
	}{
		{"proven not run", retryable, Retry},
		{"may have run", change(func(t *Attempt) { t.NotRun = false }), MayHaveRun},
		{"idempotent", change(func(t *Attempt) { t.NotRun, t.Idempotent = false, true }), Retry},
		{"response started", change(func(t *Attempt) { t.ResponseStarted, t.Idempotent = true, true }), ResponseStarted},
		{"every server refuses", change(func(t *Attempt) { t.RetryElsewhere = false }), SameOnEveryServer},
		{"body consumed", change(func(t *Attempt) { t.BodyConsumed = true }), BodyConsumed},
		{"third attempt", change(func(t *Attempt) { t.Number = MaxAttempts }), AttemptsExhausted},
		{"deadline near", change(func(t *Attempt) { t.Deadline = now.Add(MinRemaining - 1) }), DeadlineNear},
		{"caller disconnected", change(func(t *Attempt) { t.Cancelled = true }), CallerDisconnected},
	} {
		b := RetryBudget{tokens: 1}
		if got := Decide(now, c.attempt, &b); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
		if spent := b.tokens == 0; spent != (c.want == Retry) {
			t.Errorf("%s: budget spent: %v", c.name, spent)
		}
	}
	if got := Decide(now, retryable, &RetryBudget{}); got != BudgetExhausted {
		t.Errorf("empty budget: got %s", got)
	}
}
