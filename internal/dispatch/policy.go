package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Policy holds what the dispatcher weighs one server, request or refusal against
// another by. It is not a setting for operators: a simulation or a trial changes
// single values to measure what a mechanism is worth. Probabilities and shares are
// from 0 to 1; costs are relative to a probability of failure of 1.
type Policy struct {
	Belief    BeliefPolicy
	Choice    ChoicePolicy
	Floor     FloorPolicy
	Admission AdmissionPolicy
	Path      PathPolicy
	Crash     CrashPolicy
}

// BeliefPolicy estimates how likely a server is to fail its requests. A gray
// failure passes the health check and ends by itself, so each server is modelled as
// a two-state Markov process, good or bad, and each outcome updates the probability
// of the bad state (the belief).
type BeliefPolicy struct {
	// Prior is the belief without any observation. Without other faults, servers are
	// bad three tenths of the time, for about six seconds at a time, and good for
	// about fourteen.
	Prior float64
	// FailWhenGood and FailWhenBad are the shares of requests that fail on a server
	// in each state. With equal shares nothing is learned.
	FailWhenGood, FailWhenBad float64
	// TimeConstant is the time constant with which the belief returns to the prior
	// while nothing is observed: about 1/(1/6 s + 1/14 s).
	TimeConstant time.Duration
	// IgnoreOrder lets outcomes of requests sent before the last failed one count.
	IgnoreOrder bool
	// PromptPrior is the share of gray failures that show at once, rather than when the
	// work would be done, assumed before any was seen; PromptWeight is how many failures
	// the assumption is worth.
	PromptPrior, PromptWeight float64
	// PromptMemory is how many failures the estimate of that share rests on.
	PromptMemory float64
	// Trust is the probability below which a server is trusted.
	Trust float64
}

// ChoicePolicy ranks the servers that are free for a request.
type ChoicePolicy struct {
	// CrossDomainCost is the cost of a hop between failure domains, and CrossByteCost
	// that of each byte of request and response. The platform prices 250 KB between
	// failure domains like one request that is not served; half of that is used, so
	// that a nearby server that may fail is not preferred to a healthy one in another
	// failure domain.
	CrossDomainCost, CrossByteCost float64
	// RepeatableWeight and CanaryWeight are the weights of the probability of failure for
	// a first attempt that can be retried. The first holds where gray failures cost the
	// time of the work, the second where all of them are prompt and a retry costs
	// nothing; in between the weight is between the two. CanaryWeight is negative, so that
	// such requests test the trusted servers that are least certain before requests that
	// cannot be retried use them.
	RepeatableWeight, CanaryWeight float64
	// CanaryBudget is the share of the retry budget that must be free for that.
	CanaryBudget float64
	// BusyCost is multiplied by the share of occupied slots, so that servers with more
	// free slots are preferred.
	BusyCost float64
	// NewServerBonus attracts a first request to servers that never had one.
	NewServerBonus float64
	// ExploreBonus attracts a request to an idle server to meet the floor.
	ExploreBonus float64
	// IdleBonus, for each second, attracts it to the one that was idle for longest.
	IdleBonus float64
	// ToleratedSoon and ToleratedLate are the probabilities of failure that a request
	// accepts once it has waited for a quarter and for half of its latency objective;
	// before, it is BeliefPolicy.Trust. A late response is worth less, so a request
	// that has waited accepts more risk, but not a server that has just failed: it
	// fails quickly, so its slots are free again first and it would attract the whole
	// queue.
	ToleratedSoon, ToleratedLate float64
	// LastResortPause is the time between requests to a server while all servers of
	// its service fail.
	LastResortPause time.Duration
	// SuspectWait is how long a repeatable request waits for a trusted server before
	// its first attempt may go to a suspect one. Suspect servers have free slots and
	// fail quickly, so the attempt costs only a part of the retry budget.
	SuspectWait time.Duration
	// SuspectBudget is the share of the retry budget that such attempts leave for
	// requests that fail on trusted servers.
	SuspectBudget float64
}

// FloorPolicy meets the floor: the share of the healthy servers of a service that
// must get work in any two seconds while some of its requests fail.
type FloorPolicy struct {
	// ExploreAfter is the idle time after which a server that may be healthy gets a
	// request although more trusted ones are free, if fewer servers than the floor
	// requires had work within Window.
	ExploreAfter, Window time.Duration
	// HealthyAfter is the time after a failure from which a server counts as healthy
	// again.
	HealthyAfter time.Duration
	// Margin is added to the agreed share (Bounds.FloorShare). The operators may judge the
	// floor on a few of the servers, of which more are idle by chance.
	Margin float64
	// MaxSteadyIdleUnsafe is how many steady servers may be idle before requests that
	// are not repeatable are used to test them: with two of seven idle, a floor of 0.7
	// is still met.
	MaxSteadyIdleUnsafe int
	// ExploreUnsafe and ExploreRepeatable are the probabilities of failure below which
	// a healthy server is tested: by a request that is not repeatable, and by one that
	// is and can therefore be retried.
	ExploreUnsafe, ExploreRepeatable float64
}

// AdmissionPolicy orders the queue and refuses what it cannot serve in time.
type AdmissionPolicy struct {
	// IgnorePriority queues by time of arrival only.
	IgnorePriority bool
	// IgnoreObjective serves requests past their latency objective in their turn, not
	// after those that can still meet it.
	IgnoreObjective bool
	// SaturationLoad is the load, relative to capacity, above which the queue is not
	// expected to shrink: queued requests past their objective are refused.
	SaturationLoad float64
	// OverloadLoad is the load, relative to capacity, above which new requests that
	// would wait long are refused at once. A burst that is too short to reach it is
	// served late rather than refused.
	OverloadLoad float64
	// OverloadWaitShare is the part of a request's slack before its objective that it
	// may wait in the queue under overload.
	OverloadWaitShare float64
	// ShedPause is how long a server gets no requests after it shed one.
	ShedPause time.Duration
	// ColdFactor is multiplied by the rate that a cold server bears.
	ColdFactor float64
	// MinTimeFactor times the mean service time of the route must be left before the
	// deadline for a request to be sent. With less, the request would occupy a slot and
	// be cut off.
	MinTimeFactor float64
	// StallFactor times the mean service time of its route, but at least StallMin, is
	// how long a request may run before it counts as stalled. One in a hundred requests
	// takes three to five times the mean.
	StallFactor float64
	StallMin    time.Duration
}

// PathPolicy tells a hanging server from a lost network path.
type PathPolicy struct {
	// Disabled requests no path checks.
	Disabled bool
	// UnreachableTTL is how long an instance that could not connect to a server is not
	// used to send to it.
	UnreachableTTL time.Duration
	// CheckResultTTL is how long the result of a path check is valid. Each return to a
	// path that is still lost costs a request.
	CheckResultTTL time.Duration
	// CheckInterval is the minimum time between path checks of one server.
	CheckInterval time.Duration
	// DoubtFailProb is the least probability of failure of a server that may only have
	// lost its path: either cause is equally likely.
	DoubtFailProb float64
}

// CrashPolicy stops requests that bring servers down.
type CrashPolicy struct {
	// QuarantineDrops is how many server connections a request may make drop before it
	// is refused.
	QuarantineDrops int
	// QuarantineTTL is how long the crashes caused by a request are remembered.
	QuarantineTTL time.Duration
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	return Policy{
		Belief: BeliefPolicy{
			Prior: 0.28, FailWhenGood: 0.015, FailWhenBad: 0.8, TimeConstant: 4500 * time.Millisecond, Trust: 0.4,
			PromptPrior: 0.3, PromptWeight: 2, PromptMemory: 30,
		},
		Choice: ChoicePolicy{
			CrossDomainCost: 0.005, CrossByteCost: 2e-6, RepeatableWeight: 0.5, CanaryWeight: -0.3, CanaryBudget: 0.25, BusyCost: 0.02, NewServerBonus: 0.3, ExploreBonus: 0.6, IdleBonus: 0.1,
			ToleratedSoon: 0.6, ToleratedLate: 0.75, LastResortPause: 300 * time.Millisecond,
			SuspectWait: 100 * time.Millisecond, SuspectBudget: 0.5,
		},
		Floor: FloorPolicy{
			ExploreAfter: 1300 * time.Millisecond, Window: 1600 * time.Millisecond, HealthyAfter: 2 * time.Second, Margin: 0.15,
			MaxSteadyIdleUnsafe: 2, ExploreUnsafe: 0.6, ExploreRepeatable: 0.75,
		},
		Admission: AdmissionPolicy{
			SaturationLoad: 1.1, OverloadLoad: 1.25, OverloadWaitShare: 0.5, ShedPause: 150 * time.Millisecond, ColdFactor: 1,
			MinTimeFactor: 0.5, StallFactor: 4, StallMin: 500 * time.Millisecond,
		},
		Path: PathPolicy{
			UnreachableTTL: 5 * time.Second, CheckResultTTL: 10 * time.Second, CheckInterval: 2 * time.Second, DoubtFailProb: 0.5,
		},
		Crash: CrashPolicy{QuarantineDrops: 3, QuarantineTTL: 30 * time.Second},
	}
}

// ParsePolicy returns the default policy with the values that a JSON document
// changes; durations are in nanoseconds. An unknown field is an error.
func ParsePolicy(text string) (Policy, error) {
	p := DefaultPolicy()
	if text == "" {
		return p, nil
	}
	in := json.NewDecoder(strings.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(&p); err != nil {
		return p, fmt.Errorf("policy %q: %w", text, err)
	}
	return p, nil
}
