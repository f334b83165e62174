package health

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// simServer simulates the requests and responses of one backend server and feeds
// them to an OutlierDetector. Latency is log-normal, with rare pauses that delay
// every request in flight. Arrivals are Poisson over teams of unequal size.
type simServer struct {
	r        *rand.Rand
	now      time.Time
	detector *OutlierDetector
	rate     float64
	// slots bounds the requests in flight. Others wait in a queue of 8 per slot,
	// as at an owner.
	slots int
	fault fault
	// badTeam is the index of the team whose requests all fail; -1 for none.
	badTeam int
	// badShare is the share of requests that badTeam sends; 0 keeps its usual
	// share.
	badShare float64

	events   events
	inFlight map[uint64]*simRequest
	queue    []*simRequest
	nextID   uint64
	ended    int
	pause    time.Time
}

// fault is a fault of the server that affects a share of its requests.
type fault struct {
	name  string
	share float64
	stall bool
	slow  float64
}

type simRequest struct {
	id    uint64
	team  int
	route int
	sent  time.Time
	end   time.Time
}

type event struct {
	at  time.Time
	req *simRequest
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

var (
	simStart  = time.Unix(1_700_000_000, 0)
	teamNames = []string{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7"}
	// A few of the eight teams send most requests.
	teamShares = []float64{0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03}
	routeNames = []string{"short", "long"}
	routeTimes = []time.Duration{15 * time.Millisecond, 60 * time.Millisecond}
)

const (
	simSigma    = 0.6
	simTimeout  = 10 * time.Second
	pauseRate   = 0.02 // pauses per second
	pauseLength = 150 * time.Millisecond
	errorShare  = 0.0005
	shedShare   = 0.01
	clientError = 0.02
	cancelShare = 0.01
)

func newSim(seed uint64, rate float64) *simServer {
	s := &simServer{r: rand.New(rand.NewPCG(seed, 42)), now: simStart, detector: NewOutlierDetector(NewLatencyBaselines()), rate: rate,
		slots: 4, badTeam: -1, inFlight: map[uint64]*simRequest{}}
	s.arrive()
	return s
}

func (s *simServer) arrive() {
	gap := time.Duration(s.r.ExpFloat64() / s.rate * float64(time.Second))
	heap.Push(&s.events, event{at: s.now.Add(gap)})
}

func (s *simServer) team() int {
	if s.badTeam >= 0 && s.badShare > 0 && s.r.Float64() < s.badShare {
		return s.badTeam
	}
	x := s.r.Float64()
	for i, share := range teamShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

// run advances to the given time, or to the first time at which the server is
// assessed as failing. It returns that time, or the zero time if there is none.
func (s *simServer) run(until time.Time) time.Time {
	for {
		at := s.events[0].at
		if wake := s.detector.Wake(); !wake.IsZero() && wake.Before(at) {
			if wake.After(until) {
				s.now = until
				return time.Time{}
			}
			s.now = wake
			s.detector.Check(s.now)
		} else {
			if at.After(until) {
				s.now = until
				return time.Time{}
			}
			ev := heap.Pop(&s.events).(event)
			s.now = ev.at
			s.step(ev.req)
		}
		if s.detector.Assess(s.now).Failing {
			return s.now
		}
	}
}

func (s *simServer) step(req *simRequest) {
	if req == nil {
		s.arrive()
		req = &simRequest{team: s.team(), route: s.r.IntN(2)}
		if len(s.inFlight) < s.slots {
			s.send(req)
		} else if len(s.queue) < 8*s.slots {
			s.queue = append(s.queue, req)
		}
		return
	}
	s.finish(req)
	delete(s.inFlight, req.id)
	s.ended++
	if len(s.queue) > 0 {
		s.send(s.queue[0])
		s.queue = s.queue[1:]
	}
}

func (s *simServer) send(req *simRequest) {
	s.nextID++
	req.id, req.sent = s.nextID, s.now
	s.inFlight[req.id] = req
	s.detector.Begin(s.now, req.id, teamNames[req.team], routeNames[req.route], false)
	d := float64(routeTimes[req.route]) * math.Exp(simSigma*s.r.NormFloat64())
	hit := s.r.Float64() < s.fault.share
	if hit && s.fault.slow > 0 {
		d *= s.fault.slow
	}
	if s.r.Float64() < pauseRate/s.rate {
		s.pause = s.now.Add(pauseLength)
	}
	req.end = s.now.Add(time.Duration(d))
	if req.end.Before(s.pause) {
		req.end = s.pause
	}
	if hit && s.fault.stall {
		req.end = s.now.Add(simTimeout)
	}
	heap.Push(&s.events, event{req.end, req})
}

func (s *simServer) finish(req *simRequest) {
	result := RequestResult{Team: teamNames[req.team], Route: routeNames[req.route], Latency: s.now.Sub(req.sent)}
	x := s.r.Float64()
	switch {
	case s.fault.stall && result.Latency >= simTimeout:
		result.Outcome = Ignored
	case s.fault.share > 0 && !s.fault.stall && s.fault.slow == 0 && s.r.Float64() < s.fault.share:
		result.Outcome = Failure
	case req.team == s.badTeam:
		result.Outcome = Failure
	case x < errorShare:
		result.Outcome = Failure
	case x < errorShare+shedShare+clientError+cancelShare:
		result.Outcome = Ignored
	}
	s.detector.End(s.now, req.id, result)
}
