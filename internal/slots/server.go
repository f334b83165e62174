// Package slots limits the concurrent requests of one backend server. It holds the
// concurrency limit, the ramp that raises it after a cold start, a bounded queue
// that is fair between teams, and the state that is passed to the next owner of
// the server.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use;
// the owner of the server serialises the calls.
package slots

import (
	"slices"
	"time"
)

// Config describes a backend server.
type Config struct {
	// Slots is the concurrency limit of a warm server.
	Slots int
	// ColdSlots is the concurrency limit of a cold server.
	ColdSlots int
	// RampStep is the number of healthy responses that raise the limit of a
	// cold server by one.
	RampStep int
	// Shared is set if routes of the bulk class share the server with others.
	Shared bool
}

// Parameters of slots and queue.
const (
	// QueuePerSlot is the number of queued requests per slot.
	QueuePerSlot = 8
	// AbortDelay is how long a slot stays in use after the connection of an
	// unfinished request was closed. The server notices the close only after a
	// network delay and its own scheduling.
	AbortDelay = 20 * time.Millisecond
	// StreamCreditInterval is the streaming time that counts as one healthy
	// response. Without it, a server of long downloads needs minutes to leave its
	// cold limit, and downloads that wait behind others miss their deadlines.
	StreamCreditInterval = 500 * time.Millisecond
	// holdTimeGain is the weight of one request in the moving average of the time
	// that a request holds a slot.
	holdTimeGain = 0.1
	// startTolerance is the fraction of the expected wait that must fit before
	// the deadline. The wait is an estimate; a request is refused at once only if
	// it would miss its deadline by far.
	startTolerance = 0.5
)

// Request describes a request that needs a slot.
type Request struct {
	Team     string
	Bulk     bool
	Deadline time.Time
}

// Decision is the result of Acquire.
type Decision int

// The decisions on a request.
const (
	// Started means that the request holds a slot.
	Started Decision = iota
	// Queued means that a later Effects contains the ID of the request.
	Queued
	// RefusedFull means that the queue has no room.
	RefusedFull
	// RefusedDeadline means that the request cannot start in time.
	RefusedDeadline
	// RefusedClosed means that the server was handed over or removed.
	RefusedClosed
)

// Effects lists the queued requests whose state changed.
type Effects struct {
	// Started requests hold a slot from now on.
	Started []uint64
	// Expired requests passed their deadline in the queue.
	Expired []uint64
	// Evicted requests were removed from a full queue in favour of a team with
	// a shorter queue, or were queued when the queue was emptied.
	Evicted []uint64
	// TurnedCold is set if a finished request turned a warm server cold.
	TurnedCold bool
}

// Result classifies how a request ended.
type Result int

// The results of a request.
const (
	// OK is a complete response that took work on the server.
	OK Result = iota
	// Failed is an error of the server.
	Failed
	// Shed is a refusal by the server because of its load.
	Shed
	// Aborted is a request whose connection was closed before its response was
	// complete: cancelled, timed out or broken.
	Aborted
	// NotSent is a request of which no byte was sent.
	NotSent
)

// Completion describes how a request ended.
type Completion struct {
	Result Result
	// Route selects the latency baseline.
	Route string
	// Latency is the time from sending the request to the first byte of the
	// response.
	Latency time.Duration
	// Cold is set if the server declared itself cold.
	Cold bool
}

// State is the state that is passed to the next owner of a server.
type State struct {
	// Limit is the concurrency limit; zero means that of a cold server.
	Limit int
	// Running holds the deadline of each request that still runs.
	Running []time.Time
}

// AssumedState returns the state that a new owner assumes if its predecessor did
// not hand the server over: the predecessor may have filled every slot until
// lastSend, and its requests run for at most timeout. The server starts cold.
func AssumedState(cfg Config, lastSend time.Time, timeout time.Duration) State {
	running := make([]time.Time, cfg.Slots)
	for i := range running {
		running[i] = lastSend.Add(timeout)
	}
	return State{Running: running}
}

type running struct {
	req   Request
	start time.Time
	// credited is the time up to which the streaming of the response has been
	// counted; zero before its first byte.
	credited time.Time
}

// Server manages the slots of one backend server.
type Server struct {
	cfg         Config
	ramp        *ramp
	queue       *queue
	running     map[uint64]running
	bulkRunning int
	// unobservedEnds are the ends of slots in use by requests whose end this owner
	// does not observe: those of a predecessor, and aborted ones.
	unobservedEnds []time.Time
	lastID         uint64
	meanHoldTime   time.Duration
	closed         bool
}

// New returns a Server that continues from the state of its predecessor.
func New(cfg Config, state State) *Server {
	cfg.Slots = max(cfg.Slots, 1)
	cfg.ColdSlots = min(max(cfg.ColdSlots, 1), cfg.Slots)
	cfg.RampStep = max(cfg.RampStep, 1)
	return &Server{
		cfg:            cfg,
		ramp:           newRamp(cfg, state.Limit),
		queue:          newQueue(),
		running:        make(map[uint64]running),
		unobservedEnds: slices.Clone(state.Running),
	}
}

// Reconfigure applies a changed configuration of the server. Additional slots
// become available through the ramp.
func (s *Server) Reconfigure(now time.Time, cfg Config) Effects {
	cfg.Slots = max(cfg.Slots, 1)
	cfg.ColdSlots = min(max(cfg.ColdSlots, 1), cfg.Slots)
	cfg.RampStep = max(cfg.RampStep, 1)
	s.cfg, s.ramp.cfg = cfg, cfg
	s.ramp.limit = min(max(s.ramp.limit, cfg.ColdSlots), cfg.Slots)
	return s.Advance(now)
}

// Acquire requests a slot. The ID identifies the request in later calls and
// effects; it is zero if the request was refused.
func (s *Server) Acquire(now time.Time, req Request) (uint64, Decision, Effects) {
	if s.closed {
		return 0, RefusedClosed, Effects{}
	}
	eff := s.Advance(now)
	if !req.Deadline.After(now) {
		return 0, RefusedDeadline, eff
	}
	// After Advance no queued request may start, so the new request overtakes
	// only requests that the bulk limit holds back.
	if s.mayStart(req.Bulk) {
		s.lastID++
		s.start(now, s.lastID, req)
		return s.lastID, Started, eff
	}
	if now.Add(s.requiredWait(req.Team)).After(req.Deadline) {
		return 0, RefusedDeadline, eff
	}
	if s.queue.size >= QueuePerSlot*s.cfg.Slots {
		evicted, ok := s.queue.evictFor(req.Team)
		if !ok {
			return 0, RefusedFull, eff
		}
		eff.Evicted = append(eff.Evicted, evicted)
	}
	s.lastID++
	s.queue.push(waiting{s.lastID, req})
	return s.lastID, Queued, eff
}

// requiredWait returns the part of the expected wait that has to fit before the
// deadline of the team's next request.
func (s *Server) requiredWait(team string) time.Duration {
	starts := float64(s.queue.ahead(team)+1) / float64(s.ramp.limit)
	return time.Duration(startTolerance * starts * float64(s.meanHoldTime))
}

// Finish ends a request that holds a slot. An unknown ID changes nothing.
func (s *Server) Finish(now time.Time, id uint64, c Completion) Effects {
	r, ok := s.running[id]
	if !ok {
		return s.Advance(now)
	}
	delete(s.running, id)
	if r.req.Bulk {
		s.bulkRunning--
	}
	if c.Result == Aborted {
		s.unobservedEnds = append(s.unobservedEnds, now.Add(AbortDelay))
	}
	if c.Result == OK {
		s.updateHoldTime(now.Sub(r.start))
	}
	turned := false
	if c.Result != NotSent {
		turned = s.ramp.observe(c)
	}
	eff := s.Advance(now)
	eff.TurnedCold = turned
	return eff
}

func (s *Server) updateHoldTime(d time.Duration) {
	if s.meanHoldTime == 0 {
		s.meanHoldTime = d
		return
	}
	s.meanHoldTime += time.Duration(holdTimeGain * float64(d-s.meanHoldTime))
}

// Progress records that the server is sending a response. A long response counts
// as one healthy response of a cold server for each StreamCreditInterval.
func (s *Server) Progress(now time.Time, id uint64) Effects {
	r, ok := s.running[id]
	if !ok {
		return Effects{}
	}
	if r.credited.IsZero() {
		r.credited = now
	}
	for ; now.Sub(r.credited) >= StreamCreditInterval; r.credited = r.credited.Add(StreamCreditInterval) {
		if s.ramp.cold() {
			s.ramp.countHealthy()
		}
	}
	s.running[id] = r
	return s.Advance(now)
}

// Cancel removes a request from the queue and reports whether it was queued. A
// request that holds a slot ends with Finish.
func (s *Server) Cancel(id uint64) bool { return s.queue.remove(id) }

// Advance expires queued requests and starts those for which slots are free.
func (s *Server) Advance(now time.Time) Effects {
	s.unobservedEnds = slices.DeleteFunc(s.unobservedEnds, func(end time.Time) bool { return !end.After(now) })
	eff := Effects{Expired: s.queue.expire(now)}
	for s.mayStart(false) {
		w, ok := s.queue.pop(s.mayStart(true))
		if !ok {
			break
		}
		s.start(now, w.id, w.req)
		eff.Started = append(eff.Started, w.id)
	}
	return eff
}

// NextAdvance returns the next time at which Advance may have effects without any
// other call, or the zero time if there is none.
func (s *Server) NextAdvance() time.Time {
	if s.queue.size == 0 {
		return time.Time{}
	}
	at := s.queue.earliest
	for _, end := range s.unobservedEnds {
		if end.Before(at) {
			at = end
		}
	}
	return at
}

// Reset lowers the limit to that of a cold server, as after an ejection.
func (s *Server) Reset() { s.ramp.turnCold() }

// Close refuses further requests and empties the queue, before a handover.
func (s *Server) Close() Effects {
	s.closed = true
	return s.Flush()
}

// State returns the state for the next owner.
func (s *Server) State() State {
	st := State{Limit: s.ramp.limit, Running: slices.Clone(s.unobservedEnds)}
	for _, r := range s.running {
		st.Running = append(st.Running, r.req.Deadline)
	}
	return st
}

// InUse returns the number of slots in use at now, including those of a
// predecessor's requests and of aborted ones.
func (s *Server) InUse(now time.Time) int {
	n := len(s.running)
	for _, end := range s.unobservedEnds {
		if end.After(now) {
			n++
		}
	}
	return n
}

// Limit returns the concurrency limit.
func (s *Server) Limit() int { return s.ramp.limit }

// QueueLen returns the number of queued requests.
func (s *Server) QueueLen() int { return s.queue.size }

// Cold reports whether the limit is below that of a warm server.
func (s *Server) Cold() bool { return s.ramp.cold() }

// mayStart reports whether a request may take a slot. On a shared server with a
// limit above one, bulk requests leave one slot to others.
func (s *Server) mayStart(bulk bool) bool {
	if s.closed || len(s.running)+len(s.unobservedEnds) >= s.ramp.limit {
		return false
	}
	return !bulk || !s.cfg.Shared || s.bulkRunning < max(1, s.ramp.limit-1)
}

func (s *Server) start(now time.Time, id uint64, req Request) {
	s.running[id] = running{req: req, start: now}
	if req.Bulk {
		s.bulkRunning++
	}
}

// Flush empties the queue, as after an ejection.
func (s *Server) Flush() Effects {
	return Effects{Evicted: s.queue.removeIf(func(waiting) bool { return true })}
}
