package forward

import (
	"context"
	"errors"
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/fleet"
	"trefoilstream.example/trefoilstream/internal/sender"
)

// send is one attempt under way.
type send struct {
	permit  *fleet.Permit
	reply   *collector
	start   time.Time
	giveUp  context.CancelFunc
	ended   chan struct{}
	outcome dispatch.Outcome
	cause   error
}

// attempt sends the request to a server, and to a second one if the first is silent for too
// long. It returns true if the request has ended.
func (r *request) attempt(ctx context.Context, p *fleet.Permit) bool {
	r.streamer.Store(nil)
	if err := r.hold(); err != nil {
		r.h.fleet.Release(p, dispatch.Cancelled, 0, 0)
		r.endWithoutPermit(ctx, err)
		return true
	}
	s := r.start(ctx, p)
	if r.mayRepeat(p) {
		s = r.repeatIfStalled(ctx, s)
	}
	<-s.ended
	r.release(s, s.outcome)
	r.summarize(s.permit)
	r.summary.Cause = s.cause
	if s.reply.streaming {
		r.w.Finish(s.outcome == dispatch.Served || s.outcome == dispatch.Failed)
		r.end(s.reply.status)
		return true
	}
	switch s.outcome {
	case dispatch.Served:
		r.respond(s.reply)
		return true
	case dispatch.Failed:
		r.failure = s.reply
	}
	if ctx.Err() != nil {
		r.endExpired(ctx, s.outcome)
		return true
	}
	return r.endUnlessRetryable(s.outcome)
}

// sendBytes is the memory that an attempt takes beside the copies of the head: goroutines,
// buffers, and the parts of a response that is streamed.
const sendBytes = 96 << 10

// headCopies is how often the head of a request is copied for an attempt.
const headCopies = 2

// hold reserves the memory of an attempt.
func (r *request) hold() error {
	if err := r.w.Hold(sendBytes + headCopies*r.in.HeadBytes); err != nil {
		return &fleet.Refused{Kind: errkind.InstanceFull, RetryAfter: errkind.Lookup(errkind.InstanceFull).RetryAfter, Reason: err.Error()}
	}
	return nil
}

// start sends the request with a permit.
func (r *request) start(ctx context.Context, p *fleet.Permit) *send {
	r.admitted = true
	r.service = p.Service
	r.triedServers = append(r.triedServers, p.Server)
	r.sends++
	r.summary.Waited = time.Since(r.in.Arrived)
	r.summarize(p)
	sendCtx, giveUp := context.WithCancel(ctx)
	s := &send{permit: p, reply: &collector{ctx: sendCtx, w: r.w, streamer: &r.streamer}, start: time.Now(), giveUp: giveUp, ended: make(chan struct{})}
	job := &sender.Job{
		Method: r.in.Method, URI: r.in.URI, Host: r.in.Host, Header: r.in.Header, RequestID: r.caller.RequestID,
		Team: r.team, Body: r.in.Body, Deadline: r.deadline, Repeatable: r.route.Kind.Repeatable(),
	}
	go func() {
		defer close(s.ended)
		s.outcome, s.cause = r.h.fleet.Send(sendCtx, p, job, s.reply)
		if s.outcome == dispatch.Cancelled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			s.outcome = dispatch.Stalled
		}
	}()
	return s
}

func (r *request) summarize(p *fleet.Permit) {
	r.summary.Basis, r.summary.Server, r.summary.Service, r.summary.Via, r.summary.Sends = p.Basis, p.Server, p.Service, p.Via, r.sends
}

// release reports how an attempt ended.
func (r *request) release(s *send, o dispatch.Outcome) {
	s.giveUp()
	r.h.fleet.Release(s.permit, o, time.Since(s.start), r.in.Body.Len()+s.reply.received)
}

// count counts an attempt that ended without a response to pass on. It reports whether the
// request may have run.
func (r *request) count(o dispatch.Outcome) (ran bool) {
	switch o {
	case dispatch.Unreachable, dispatch.Unsent, dispatch.Leaving:
	case dispatch.Shed, dispatch.Misdirected:
		r.reachedServer = true
	default:
		ran, r.reachedServer = true, true
		r.mayHaveRun++
	}
	return ran
}

// mayRepeat reports whether the request may be sent to a second server while the first is
// silent.
func (r *request) mayRepeat(p *fleet.Permit) bool {
	return p.StallTimeout > 0 && r.route.Kind.Repeatable() && time.Until(r.deadline) > 2*p.StallTimeout &&
		r.mayHaveRun+1 < r.route.MaxAttempts && r.sends < maxSends
}

// repeatIfStalled asks for a second permit if the first attempt exceeds its stall timeout.
// The first one goes on until another server has responded: a silent server may still
// respond, and the second one may turn the request away. It returns the attempt whose
// outcome decides; the other one has ended.
func (r *request) repeatIfStalled(ctx context.Context, first *send) *send {
	stalled := time.NewTimer(first.permit.StallTimeout)
	defer stalled.Stop()
	select {
	case <-first.ended:
		return first
	case <-stalled.C:
	}
	permit := r.acquireUntil(ctx, first.ended)
	if permit == nil {
		return first
	}
	if r.hold() != nil {
		r.h.fleet.Release(permit, dispatch.Cancelled, 0, 0)
		return first
	}
	second := r.start(ctx, permit)
	select {
	case <-first.ended:
		if r.decides(first) {
			r.abandon(second, dispatch.Cancelled)
			return first
		}
		r.passOver(first)
		return second
	case <-second.ended:
		if r.decides(second) {
			r.abandon(first, dispatch.Stalled)
			r.count(dispatch.Stalled)
			return second
		}
		r.passOver(second)
		return first
	}
}

// acquireUntil acquires a permit for a second attempt. It returns nil if there is none before
// the first attempt has ended.
func (r *request) acquireUntil(ctx context.Context, firstEnded <-chan struct{}) *fleet.Permit {
	acquireCtx, withdraw := context.WithCancel(ctx)
	defer withdraw()
	acquired := make(chan *fleet.Permit, 1)
	go func() {
		p, err := r.acquire(acquireCtx, true)
		if err != nil {
			p = nil
		}
		acquired <- p
	}()
	select {
	case p := <-acquired:
		return p
	case <-firstEnded:
	}
	withdraw()
	if p := <-acquired; p != nil {
		r.h.fleet.Release(p, dispatch.Cancelled, 0, 0)
	}
	return nil
}

// decides reports whether the response of an attempt that has ended is passed on.
func (r *request) decides(s *send) bool {
	return s.reply.streaming || s.outcome == dispatch.Served && s.reply.claim()
}

// passOver counts an attempt that has ended while another one goes on.
func (r *request) passOver(s *send) {
	r.release(s, s.outcome)
	if s.outcome == dispatch.Failed {
		r.failure = s.reply
	}
	r.count(s.outcome)
}

// abandon gives up an attempt, which ends with an outcome unless it has one already.
func (r *request) abandon(s *send, o dispatch.Outcome) {
	s.giveUp()
	<-s.ended
	if s.outcome != dispatch.Cancelled {
		o = s.outcome
	}
	r.release(s, o)
}

var errOtherAttempt = errors.New("the response of another attempt is passed on")
