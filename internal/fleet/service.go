package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/election"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

var (
	errStopping       = errors.New("this instance is stopping")
	errNotCoordinator = errors.New("this instance is not the coordinator")
	errMemberSilent   = errors.New("member has missed several heartbeats")
	errSessionClosed  = errors.New("coordinator closed the session: it steps down, or the member reattached, is unresponsive or reads too slowly")
)

// coordinationServer serves the RPCs of other instances.
type coordinationServer struct {
	fleet *Fleet
}

// Who implements peerpb.DRPCCoordinationServer.
func (s *coordinationServer) Who(_ context.Context, r *peerpb.WhoRequest) (*peerpb.WhoReply, error) {
	// The querying instance is part of the fleet, even if it is in no roster yet.
	if p := peerFromProto(r.GetSelf()); p.Address != "" {
		s.fleet.replica.addPeer(p)
		s.fleet.yieldTo(p.Address, int(r.GetMembers()))
	}
	return s.fleet.currentCoordinator(), nil
}

// yieldTo makes this instance step down as the coordinator if another one, which has asked
// it, has more members. Members is 0 if that one does not coordinate.
func (f *Fleet) yieldTo(address string, members int) {
	f.mu.Lock()
	c := f.coordinator
	f.mu.Unlock()
	if c == nil || members == 0 {
		return
	}
	if election.ShouldStepDown(f.opts.Self.Address, c.memberCount(), address, members) {
		c.resign("another coordinator has more members")
	}
}

// Relay implements peerpb.DRPCCoordinationServer.
func (s *coordinationServer) Relay(ctx context.Context, c *peerpb.StoreCall) (*peerpb.StoreAnswer, error) {
	wait := time.Duration(c.WaitMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout+wait)
	defer cancel()
	answer, err := s.fleet.opts.Store.Call(ctx, StoreCall{Method: c.Method, Path: c.Path, Body: c.Body, Wait: wait})
	if err != nil {
		return nil, fmt.Errorf("relay call to the store: %w", err)
	}
	return &peerpb.StoreAnswer{Status: int32(answer.Status), Body: answer.Body, Era: answer.Era}, nil
}

// Attend implements peerpb.DRPCCoordinationServer.
func (s *coordinationServer) Attend(stream peerpb.DRPCCoordination_AttendStream) error {
	s.fleet.mu.Lock()
	c := s.fleet.coordinator
	s.fleet.mu.Unlock()
	if c == nil {
		return errNotCoordinator
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Hello.GetSelf().GetAddress() == "" {
		return errors.New("first message of a member has no address")
	}
	select {
	case <-c.accepting:
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
	closed := make(chan struct{})
	var once sync.Once
	session := &memberSession{
		peer: peerFromProto(first.Hello.Self), outbox: make(chan *peerpb.CoordinatorMessage, memberQueueLength),
		close: func() { once.Do(func() { close(closed) }) },
	}
	if err := c.join(session, first.Hello); err != nil {
		return err
	}
	received := make(chan error, 1)
	go func() { received <- s.receive(stream, c, session) }()
	err = s.write(stream, session, closed, received)
	c.removeMember(session, err)
	return err
}

func (s *coordinationServer) receive(stream peerpb.DRPCCoordination_AttendStream, c *coordinator, session *memberSession) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		c.receive(session, m)
	}
}

// write sends the messages queued by the coordinator until the stream or the
// session ends.
func (s *coordinationServer) write(stream peerpb.DRPCCoordination_AttendStream, session *memberSession, closed <-chan struct{}, received <-chan error) error {
	for {
		select {
		case m := <-session.outbox:
			if err := stream.Send(m); err != nil {
				return err
			}
		case err := <-received:
			return err
		case <-closed:
			return errSessionClosed
		}
	}
}
