package simulation

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// server is the model of a backend server.
type server struct {
	catalog.Server
	rng *rand.Rand
	// number is its place among the servers; disruptions choose by it.
	number int
	// busyUntil holds, for each slot, when it is free.
	busyUntil []time.Duration
	// ends holds the ends of the requests at the server.
	ends []time.Duration
	bad  bool
	// turnsAt is when the server next changes between good and bad, turnedGoodAt when it
	// last became good.
	turnsAt, turnedGoodAt time.Duration
	// goneUntil and coldUntil are the ends of the last absence and of the cold start
	// after it.
	goneUntil, coldUntil time.Duration
	// arrivals are the times of the requests since the server became cold.
	arrivals []time.Duration
	lastUsed time.Duration
}

func newServer(e *Environment, s catalog.Server, number int) *server {
	out := &server{Server: s, rng: rand.New(rand.NewPCG(e.Seed, uint64(number)+100)), number: number, busyUntil: make([]time.Duration, s.Slots)}
	out.bad = out.rng.Float64() < e.Bad
	out.turnsAt = out.nextTurn(e, 0)
	return out
}

// nextTurn draws the end of the current good or bad time.
func (s *server) nextTurn(e *Environment, at time.Duration) time.Duration {
	if e.Bad == 0 {
		return math.MaxInt64
	}
	mean := e.BadFor.Seconds()
	if !s.bad {
		mean *= (1 - e.Bad) / e.Bad
	}
	return at + time.Duration(s.rng.ExpFloat64()*mean*float64(time.Second))
}

// advance brings the state up to a time of the day.
func (s *server) advance(e *Environment, at time.Duration) {
	for s.turnsAt <= at {
		if s.bad {
			s.turnedGoodAt = s.turnsAt
		}
		s.bad = !s.bad
		s.turnsAt = s.nextTurn(e, s.turnsAt)
	}
	e.active(Gone, at, func(i int, d *Disruption) {
		if s.hit(e, i, d) && s.goneUntil < d.To {
			s.goneUntil, s.coldUntil = d.To, d.To+e.ColdStart
			s.ends, s.arrivals = nil, nil
			clear(s.busyUntil)
		}
	})
}

// hit reports whether a disruption hits the server.
func (s *server) hit(e *Environment, i int, d *Disruption) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(e.Seed), byte(e.Seed >> 8), byte(i), byte(s.number)})
	return float64(h.Sum64()>>11)/(1<<53) < d.Share
}

// disrupted reports whether a disruption, or the end of one within the last span, may
// affect the server.
func (s *server) disrupted(e *Environment, at, span time.Duration) bool {
	for i := range e.Disruptions {
		d := &e.Disruptions[i]
		if d.Kind != Burst && d.Kind != GreedyTeam && d.Kind != Leaving && at >= d.From && at < d.To+span && s.hit(e, i, d) {
			return true
		}
	}
	return at < s.coldUntil
}

// reply is what a server makes of a request.
type reply struct {
	outcome outcome
	// after is the time from the arrival to the reply.
	after time.Duration
	// work is how much of a slot's time the request took.
	work time.Duration
	// application is set for a failure that is not the server's.
	application bool
}

// outcome is the fate of a request at a server.
type outcome uint8

const (
	served outcome = iota
	failed
	reset
	silent
	shed
	unreachable
)

// connectTimeout is how long an instance waits for a connection.
const connectTimeout = 300 * time.Millisecond

// earlyReply is how long a server takes for a reply without work.
const earlyReply = time.Millisecond

// serve returns the reply to a request that arrives with a time limit.
func (s *server) serve(e *Environment, at, limit time.Duration) reply {
	s.advance(e, at)
	if at < s.goneUntil {
		return reply{outcome: unreachable, after: min(connectTimeout, limit)}
	}
	if at < s.coldUntil {
		s.arrivals = append(s.arrivals, at)
	}
	s.lastUsed = at
	shedShare, slow := 0.0, 1.0
	e.active(Shedding, at, func(i int, d *Disruption) {
		if s.hit(e, i, d) {
			shedShare = d.Factor
		}
	})
	e.active(Slow, at, func(i int, d *Disruption) {
		if s.hit(e, i, d) {
			slow = d.Factor
		}
	})
	kept := s.ends[:0]
	for _, end := range s.ends {
		if end > at {
			kept = append(kept, end)
		}
	}
	s.ends = kept
	if s.rng.Float64() < shedShare || len(s.ends) >= s.Slots+e.Queue {
		return reply{outcome: shed, after: earlyReply}
	}
	fails := s.bad && s.rng.Float64() < e.BadFails
	switch {
	case fails && e.BadManner == FailsEarly:
		return reply{outcome: failed, after: earlyReply}
	case fails && e.BadManner == Resets:
		return reply{outcome: reset, after: earlyReply}
	case fails && e.BadManner == Hangs:
		return reply{outcome: silent, after: limit}
	}
	if at < s.coldUntil {
		slow *= 2
	}
	slot := 0
	for i, until := range s.busyUntil {
		if until < s.busyUntil[slot] {
			slot = i
		}
	}
	work := time.Duration(float64(e.Work) * slow * math.Exp(s.rng.NormFloat64()*e.WorkSpread-e.WorkSpread*e.WorkSpread/2))
	start := max(at, s.busyUntil[slot])
	end := start + work
	if end-at > limit {
		s.busyUntil[slot] = max(start, at+limit)
		s.ends = append(s.ends, at+limit)
		return reply{outcome: silent, after: limit, work: max(0, at+limit-start)}
	}
	s.busyUntil[slot] = end
	s.ends = append(s.ends, end)
	application := s.rng.Float64() < e.ApplicationFailures
	if fails || application {
		return reply{outcome: failed, after: end - at, work: work, application: application && !fails}
	}
	return reply{outcome: served, after: end - at, work: work}
}
