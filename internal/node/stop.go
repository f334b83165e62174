package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/entry"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// quietPeriod is how long no other instance must have called before an instance
// that left the fleet exits. Others learn of the departure within a log poll
// (250 ms) or a lease renewal (500 ms) and forward requests here until then.
const quietPeriod = time.Second

// drainTimeout bounds the wait for the instance's Drain record to be read back
// from the log. Without the record, others take over its rights once its lease
// expires.
const drainTimeout = 2 * time.Second

// stop shuts the instance down without interrupting a request. It fails the
// load balancer's health check first, then drains the callers' connections and
// last the calls from other instances.
func (n *Node) stop(srv *entry.Server) {
	n.state.SetStopping()
	log.WithField("event", "instance_stopping").Info("instance stopping")
	time.Sleep(n.settings.DrainWait)
	srv.Drain()
	n.handOverServers()
	n.claims.renewBeforeStop()
	n.members.drain(context.Background(), drainTimeout)
	n.inFlight.waitQuiet(quietPeriod)
	n.members.leave(context.Background())
}

// inFlightCalls counts the requests that other instances forward through this
// one as owner of a backend server. A request counts until that instance has
// read the whole response.
type inFlightCalls struct {
	mu         sync.Mutex
	running    int
	lastChange time.Time
}

func (s *inFlightCalls) add(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += delta
	s.lastChange = time.Now()
}

// waitQuiet waits until no call is in flight and none has started or ended for
// the duration d.
func (s *inFlightCalls) waitQuiet(d time.Duration) {
	start := time.Now()
	const poll = 20 * time.Millisecond
	for {
		s.mu.Lock()
		last := s.lastChange
		if last.Before(start) {
			last = start
		}
		quiet := s.running == 0 && time.Since(last) >= d
		s.mu.Unlock()
		if quiet {
			return
		}
		time.Sleep(poll)
	}
}

// countedOwner counts the calls in flight to an owner and reads each request
// stream to its end.
type countedOwner struct {
	peerpb.DRPCOwnerServer
	calls *inFlightCalls
}

// Execute implements peerpb.DRPCOwnerServer.
func (o *countedOwner) Execute(stream peerpb.DRPCOwner_ExecuteStream) error {
	counted := &countedStream{DRPCOwner_ExecuteStream: stream}
	o.calls.add(1)
	defer o.calls.add(-1)
	err := o.DRPCOwnerServer.Execute(counted)
	// drpc reads nothing further from a connection until the current frame is
	// consumed. A frame left unread, for example after a refusal, would hang
	// the next call on the connection.
	for err == nil && !counted.ended {
		if _, recvErr := counted.Recv(); recvErr != nil {
			break
		}
	}
	if err == nil {
		counted.awaitReceipt()
	}
	return err
}

// countedStream records whether the end frame of a request was received.
type countedStream struct {
	peerpb.DRPCOwner_ExecuteStream
	ended bool
	// deadline is that of the request.
	deadline time.Time
}

// awaitReceipt waits until the other instance ends the call, which it does once it has read the
// response, or until the request's deadline.
func (s *countedStream) awaitReceipt() {
	ctx, cancel := context.WithDeadline(s.Context(), s.deadline)
	defer cancel()
	<-ctx.Done()
}

// Recv implements peerpb.DRPCOwner_ExecuteStream.
func (s *countedStream) Recv() (*peerpb.ExecuteFrame, error) {
	frame, err := s.DRPCOwner_ExecuteStream.Recv()
	if head := frame.GetHead(); err == nil && head != nil {
		s.deadline = time.Now().Add(time.Duration(head.DeadlineMs) * time.Millisecond)
	}
	s.ended = s.ended || err == nil && frame.End
	return frame, err
}
