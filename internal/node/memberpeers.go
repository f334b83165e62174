package node

import (
	"context"
	"errors"
	"time"

	"trefoilstream.example/trefoilstream/internal/lease"
	"trefoilstream.example/trefoilstream/internal/membership"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// errOtherIncarnation rejects a request that was meant for another process of
// this instance, and any request after this instance has left the fleet.
var errOtherIncarnation = errors.New("request is for another incarnation of this instance")

// contact describes this instance to a peer. The caller holds m.mu.
func (m *members) contact(self roster.Ref, epoch uint64, fenced []roster.Ref) *peerpb.Contact {
	c := &peerpb.Contact{
		Instance: self.ID, Incarnation: self.Incarnation, Epoch: epoch,
		Offset: m.node.state.Offset(), Revision: m.node.state.Config().Revision,
	}
	// The message holds the age plus 1 ms, since 0 means that it is not known.
	if age, ok := m.fresh.LogAge(time.Now()); ok {
		c.LogAgeMs = uint64(age.Milliseconds()) + 1
	}
	for _, ref := range fenced {
		c.Fenced = append(c.Fenced, &peerpb.FencedMember{Instance: ref.ID, Incarnation: ref.Incarnation})
	}
	return c
}

func refOf(c *peerpb.Contact) roster.Ref {
	return roster.Ref{ID: c.GetInstance(), Incarnation: c.GetIncarnation()}
}

func fencedOf(c *peerpb.Contact) []roster.Ref {
	var list []roster.Ref
	for _, f := range c.GetFenced() {
		list = append(list, roster.Ref{ID: f.Instance, Incarnation: f.Incarnation})
	}
	return list
}

// call sends one request and passes the reply to the membership state machine.
// A failed call is treated like one without a reply.
func (m *members) call(ctx context.Context, r membership.Request) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	m.mu.Lock()
	from := m.contact(r.From, r.Epoch, r.Fenced)
	m.mu.Unlock()
	client := peerpb.NewDRPCMembershipClient(m.node.peers.Conn(ctx, r.To.PeerAddress))
	var reply membership.Reply
	var peer *peerpb.Contact
	switch {
	case r.Renew != nil:
		out, err := client.Renew(ctx, &peerpb.RenewRequest{From: from, Witness: r.To.ID, WitnessIncarnation: r.To.Incarnation})
		if err != nil {
			return
		}
		peer = out.From
		reply.Renew = lease.RenewReply{Granted: out.Granted, Fenced: out.Fenced, Epoch: peer.GetEpoch()}
	case r.Fence != nil:
		out, err := client.Fence(ctx, &peerpb.FenceRequest{
			From: from, Witness: r.To.ID, WitnessIncarnation: r.To.Incarnation, Instance: r.Fence.Member.ID,
			Incarnation: r.Fence.Member.Incarnation, BelowEpoch: r.Fence.BelowEpoch, Peek: r.Fence.Peek,
		})
		if err != nil {
			return
		}
		peer = out.From
		reply.Fence = lease.FenceReply{
			Fenced: out.Fenced, Remaining: time.Duration(out.RemainingMs) * time.Millisecond, Epoch: peer.GetEpoch(), MemberEpoch: out.MemberEpoch,
		}
	default:
		out, err := client.Exchange(ctx, &peerpb.ExchangeRequest{From: from, Instance: r.To.ID, Incarnation: r.To.Incarnation})
		if err != nil {
			return
		}
		peer = out.From
	}
	reply.From, reply.Epoch, reply.Fenced = refOf(peer), peer.GetEpoch(), fencedOf(peer)
	ahead := m.handleReply(r, reply, peer)
	if ahead && m.fetch(ctx, r.To.PeerAddress) == nil && r.Renew != nil {
		m.mu.Lock()
		m.agent.RenewNow(r.Renew.Witness)
		m.mu.Unlock()
		m.wakeNow()
	}
}

// handleReply passes a reply to the state machine and reports whether the peer
// has records that this instance lacks.
func (m *members) handleReply(r membership.Request, reply membership.Reply, peer *peerpb.Contact) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.agent.HandleReply(now, r, reply)
	age := time.Duration(-1)
	if peer.LogAgeMs > 0 {
		age = time.Duration(peer.LogAgeMs-1) * time.Millisecond
	}
	m.fresh.Exchanged(peer.Instance, r.SentAt, peer.Offset, age)
	m.decide(now)
	return peer.Offset > m.node.state.Offset()
}

// memberServer implements peerpb.DRPCMembershipServer.
type memberServer struct{ *members }

// handle handles a request of a peer. If the peer has applied more of the log,
// its records are fetched in the background.
func (s memberServer) handle(c *peerpb.Contact, r membership.Request) (membership.Reply, *peerpb.Contact, error) {
	m := s.members
	m.mu.Lock()
	defer m.mu.Unlock()
	r.From, r.Epoch, r.Fenced = refOf(c), c.GetEpoch(), fencedOf(c)
	if m.leaving {
		return membership.Reply{}, nil, errOtherIncarnation
	}
	reply, ok := m.agent.Handle(time.Now(), r)
	if !ok {
		return reply, nil, errOtherIncarnation
	}
	from, known := m.agent.Roster().Find(r.From)
	if known && c.GetOffset() > m.node.state.Offset() && m.relay.fetchRequested.CompareAndSwap(false, true) {
		go func() {
			defer m.relay.fetchRequested.Store(false)
			ctx, cancel := context.WithTimeout(context.Background(), memberTimeout)
			defer cancel()
			_ = m.fetch(ctx, from.PeerAddress)
		}()
	}
	return reply, m.contact(reply.From, reply.Epoch, reply.Fenced), nil
}

func memberWithID(id string, incarnation uint64) roster.Member {
	return roster.Member{ID: id, Incarnation: incarnation}
}

// Renew implements peerpb.DRPCMembershipServer.
func (s memberServer) Renew(_ context.Context, in *peerpb.RenewRequest) (*peerpb.RenewReply, error) {
	w := memberWithID(in.Witness, in.WitnessIncarnation)
	r := membership.Request{To: w, Renew: &lease.RenewRequest{Member: refOf(in.From), Epoch: in.From.GetEpoch(), Witness: w.Ref()}}
	reply, contact, err := s.handle(in.From, r)
	if err != nil {
		return nil, err
	}
	return &peerpb.RenewReply{From: contact, Granted: reply.Renew.Granted, Fenced: reply.Renew.Fenced}, nil
}

// Fence implements peerpb.DRPCMembershipServer.
func (s memberServer) Fence(_ context.Context, in *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	w := memberWithID(in.Witness, in.WitnessIncarnation)
	r := membership.Request{To: w, Fence: &lease.FenceRequest{
		Member: memberWithID(in.Instance, in.Incarnation).Ref(), BelowEpoch: in.BelowEpoch, Peek: in.Peek, Witness: w.Ref(),
	}}
	reply, contact, err := s.handle(in.From, r)
	if err != nil {
		return nil, err
	}
	remaining := (reply.Fence.Remaining + time.Millisecond - 1).Milliseconds()
	return &peerpb.FenceReply{From: contact, Fenced: reply.Fence.Fenced, RemainingMs: uint64(remaining), MemberEpoch: reply.Fence.MemberEpoch}, nil
}

// Exchange implements peerpb.DRPCMembershipServer.
func (s memberServer) Exchange(_ context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	_, contact, err := s.handle(in.From, membership.Request{To: memberWithID(in.Instance, in.Incarnation)})
	if err != nil {
		return nil, err
	}
	return &peerpb.ExchangeReply{From: contact}, nil
}
