package dispatch

import (
	"time"
)

// An outcome tells about the time at which its request was sent. A gray failure often
// shows at once: the server resets the connection or responds with an error before any
// work. Then the responses to requests that it got before it turned bad still arrive
// afterwards, and say nothing about it; and a request that has been running for longer
// than such failures take has told already that the server was good when it was sent.
// Where failures show only when the work would be done, neither holds. Which of the two
// a service shows is estimated from its failures. Those of the application show late as
// well, so a late one counts only if it was confirmed: a request sent later to the same
// server failed too. A server that stops responding counts as late once, whatever the
// cause: it costs the time of a request as well.

const (
	// promptShare of the mean service time of a route is the time within which a failure
	// counts as prompt.
	promptShare = 0.25
	// promptDelayFactor times the mean delay of prompt failures must have passed before a
	// request counts as having survived them.
	promptDelayFactor = 3
	// promptDelayWeight is the weight of a new sample of that delay.
	promptDelayWeight = 0.1
	// initialPromptDelay is the delay assumed before the first sample.
	initialPromptDelay = 10 * time.Millisecond
	// maxPromptTrust is how much rarer prompt failures of good servers are than late ones,
	// as a share, where gray failures are prompt.
	maxPromptTrust = 0.9
	// confirmWithin is how long after a late failure another one confirms it.
	confirmWithin = 3 * time.Second
)

// promptness estimates how the gray failures of a service show.
type promptness struct {
	policy *BeliefPolicy
	// prompt and late count gray failures, with decreasing weight.
	prompt, late float64
	// delay is the mean time from the permit to the report of a prompt failure.
	delay time.Duration
	// unproven are the requests in flight that have not outlasted prompt failures, in the
	// order in which they were sent.
	unproven []*permit
}

func newPromptness(p *BeliefPolicy) promptness {
	return promptness{policy: p, delay: initialPromptDelay}
}

// share is the share of gray failures that are prompt, 0 to 1.
func (e *promptness) share() float64 {
	return (e.prompt + e.policy.PromptPrior*e.policy.PromptWeight) / (e.prompt + e.late + e.policy.PromptWeight)
}

// count counts a gray failure.
func (e *promptness) count(prompt bool) {
	memory := e.policy.PromptMemory
	if total := e.prompt + e.late; total >= memory {
		e.prompt *= (memory - 1) / total
		e.late *= (memory - 1) / total
	}
	if prompt {
		e.prompt++
	} else {
		e.late++
	}
}

// window returns the time after which a request has outlasted prompt failures.
func (e *promptness) window() time.Duration { return promptDelayFactor * e.delay }

// suspicion is a late failure of a server that was not confirmed yet.
type suspicion struct {
	sentAt, failedAt time.Time
}

// recordSuccess records that a server responded without a failure.
func (d *Dispatcher) recordSuccess(now time.Time, p *pool, s *server, pm *permit) {
	if pm.grantedAt.Before(s.failedSentAt) && !d.policy.Belief.IgnoreOrder {
		return
	}
	s.unconfirmed, s.outlasted, s.silent = suspicion{}, false, false
	b := &d.policy.Belief
	good, bad := 1-b.FailWhenGood, 1-b.FailWhenBad
	if pm.outlasted {
		// The first part of the evidence has counted already.
		bad /= 1 - b.FailWhenBad*p.promptness.share()
	}
	s.update(now, good, bad)
}

// recordFailure records that a server failed a request.
func (d *Dispatcher) recordFailure(now time.Time, p *pool, s *server, pm *permit) {
	b := &d.policy.Belief
	took := now.Sub(pm.grantedAt)
	mean := d.stats(pm.route).meanServiceTime
	if mean == 0 {
		mean = p.meanServiceTime
	}
	prompt := took < time.Duration(promptShare*float64(mean))
	if u := s.unconfirmed; !u.sentAt.IsZero() && pm.grantedAt.After(u.sentAt) && now.Sub(u.failedAt) < confirmWithin {
		p.promptness.count(false)
	}
	s.unconfirmed = suspicion{}
	switch {
	case pm.adopted:
	case prompt:
		p.promptness.delay += time.Duration(promptDelayWeight * float64(took-p.promptness.delay))
		p.promptness.count(true)
	default:
		s.unconfirmed = suspicion{sentAt: pm.grantedAt, failedAt: now}
	}
	good, bad := b.FailWhenGood, b.FailWhenBad
	share := p.promptness.share()
	if prompt {
		// Failures of the application show when its work is done.
		good *= 1 - maxPromptTrust*share
	} else {
		// On bad servers they are as frequent as on good ones.
		bad = good + (1-share)*b.FailWhenBad
		if pm.outlasted {
			bad = good + (1-share)*b.FailWhenBad/(1-share*b.FailWhenBad)
		}
	}
	s.failed(now, pm.grantedAt)
	s.update(now, good, min(bad, 1))
}

// recordOutlasting counts the requests in flight that have outlasted prompt failures, one
// between two responses of a server: on a server that hangs all of them do.
func (d *Dispatcher) recordOutlasting(now time.Time, p *pool) {
	e := &p.promptness
	n := 0
	for _, pm := range e.unproven {
		if now.Sub(pm.grantedAt) < e.window() {
			break
		}
		n++
		s := d.servers[pm.server]
		if s == nil || d.permits[pm.number] != pm || pm.overdue || pm.grantedAt.Before(s.failedSentAt) {
			continue
		}
		if s.outlasted {
			continue
		}
		pm.outlasted, s.outlasted = true, true
		s.update(now, 1, 1-d.policy.Belief.FailWhenBad*e.share())
	}
	clear(e.unproven[:n])
	e.unproven = e.unproven[n:]
}
