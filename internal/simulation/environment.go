// Package simulation plays a load with faults against a dispatch.Dispatcher on a
// driven clock: a model of callers, instances and backend servers takes the place of
// the network. A run depends on its seed and policy only, so two policies can be
// compared on the same days.
package simulation

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// Manner is how a gray failure shows.
type Manner uint8

// The manners of a gray failure.
const (
	// FailsEarly responds with a failure at once.
	FailsEarly Manner = iota
	// Resets closes the connection at once.
	Resets
	// FailsLate responds with a failure when the work would be done.
	FailsLate
	// Hangs never responds.
	Hangs
	manners
)

// Disruption is a fault or a load that lasts from From to To, counted from the start
// of the day.
type Disruption struct {
	Kind     DisruptionKind
	From, To time.Duration
	// Share is the share of the things it hits, 0 to 1.
	Share float64
	// Factor is how strong it is: of a Burst or a GreedyTeam the multiple of the usual
	// rate, of Slow the multiple of the work, of Shedding the share of requests shed.
	Factor float64
}

// DisruptionKind says what a disruption does.
type DisruptionKind uint8

// The kinds of disruption.
const (
	// Burst multiplies the arrivals.
	Burst DisruptionKind = iota
	// GreedyTeam multiplies the arrivals of one team.
	GreedyTeam
	// Shedding makes servers refuse a part of their requests.
	Shedding
	// Slow makes servers take longer.
	Slow
	// Gone cuts servers off; they come back cold.
	Gone
	// Leaving makes callers leave before their deadline.
	Leaving
	disruptionKinds
)

// Environment describes a service, its servers, its callers and a day's disruptions.
type Environment struct {
	Seed   uint64
	Length time.Duration
	// Servers is the number of backend servers, in three failure domains.
	Servers, Slots int
	// Queue is how many requests a server queues beyond its slots.
	Queue int
	// Work is the mean service time, WorkSpread the standard deviation of its logarithm.
	Work       time.Duration
	WorkSpread float64
	// Rate is the usual arrival rate in requests per second; it swings by the share
	// Swing.
	Rate, Swing float64
	// Repeatable is the share of requests that may be repeated, 0 to 1.
	Repeatable float64
	// Objective and Deadline count from the arrival of the first attempt.
	Objective, Deadline time.Duration
	// ComeBack is the share of callers that send a refused request again when
	// Retry-After says, AtOnce the share that do so without waiting.
	ComeBack, AtOnce float64
	// Bad is the share of time that a server is bad, for BadFor on average; while it
	// is, the share BadFails of its requests fail in the manner BadManner.
	Bad, BadFails float64
	BadFor        time.Duration
	BadManner     Manner
	// ApplicationFailures is the share of requests that fail on any server.
	ApplicationFailures float64
	ColdStart           time.Duration
	// ColdRate is what a cold server bears, in requests per second.
	ColdRate    float64
	Disruptions []Disruption
}

// instances is the number of instances, in three failure domains.
const instances = 9

// bounds are the limits that a run is checked against.
func bounds() dispatch.Bounds {
	return dispatch.Bounds{
		RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second,
		QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 20, FloorShare: 0.7, SteadyAfter: 6 * time.Second,
	}
}

// maxRate bounds the arrival rate, so that a day takes a fraction of a second.
const maxRate = 250

// Draw returns the environment of a seed.
func Draw(seed uint64, length time.Duration) Environment {
	rng := rand.New(rand.NewPCG(seed, 1))
	between := func(from, to float64) float64 { return distuv.Uniform{Min: from, Max: to, Src: rng}.Rand() }
	duration := func(from, to time.Duration) time.Duration {
		return time.Duration(between(float64(from), float64(to)))
	}
	e := Environment{
		Seed: seed, Length: length,
		Servers: 6 + rng.IntN(55), Slots: 1 + rng.IntN(8),
		Work: duration(60*time.Millisecond, 400*time.Millisecond), WorkSpread: between(0.2, 0.6),
		Swing: between(0, 0.3), Repeatable: between(0.05, 0.9),
		ComeBack: between(0, 0.9), AtOnce: between(0, 0.3),
		Bad: between(0, 0.4), BadFails: between(0.3, 1), BadFor: duration(time.Second, 8*time.Second), BadManner: Manner(rng.IntN(int(manners))),
		ApplicationFailures: between(0, 0.04),
		ColdStart:           3 * time.Second, ColdRate: between(1, 8),
	}
	e.Queue = 4 * e.Slots
	e.Objective = time.Duration(between(2.5, 5) * float64(e.Work))
	e.Deadline = time.Duration(between(2, 5) * float64(e.Objective))
	capacity := float64(e.Servers*e.Slots) / e.Work.Seconds() * (1 - e.Bad)
	e.Rate = min(maxRate, between(0.25, 0.8)*capacity)
	for range 1 + rng.IntN(4) {
		from := duration(length/8, length*3/4)
		d := Disruption{Kind: DisruptionKind(rng.IntN(int(disruptionKinds))), From: from, To: from + duration(2*time.Second, 7*time.Second), Share: between(0.1, 0.5)}
		switch d.Kind {
		case Burst:
			d.Factor = between(1.3, 2.5)
		case GreedyTeam:
			d.Factor = between(3, 8)
		case Shedding:
			d.Factor = between(0.3, 0.7)
			if rng.IntN(2) == 0 {
				d.Share = 1
			}
		case Slow:
			d.Factor = between(2, 6)
		}
		e.Disruptions = append(e.Disruptions, d)
	}
	return e
}

// active calls f for each disruption of a kind at a time of the day.
func (e *Environment) active(kind DisruptionKind, at time.Duration, f func(i int, d *Disruption)) {
	for i := range e.Disruptions {
		if d := &e.Disruptions[i]; d.Kind == kind && at >= d.From && at < d.To {
			f(i, d)
		}
	}
}
