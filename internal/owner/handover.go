package owner

import (
	"context"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
	"trefoilstream.example/trefoilstream/internal/slots"
)

// receivedStateTTL is how long a handed-over state is kept until the ownership
// begins.
const receivedStateTTL = 30 * time.Second

// movedSlotHold bounds how long the slots of a server count as in use if its
// previous owners are alive but none of them handed the server over. When the
// whole fleet starts at once, no member has a lease yet that would let it
// answer. Holding the slots for the time limit of a bulk route, 5 minutes, would
// leave download servers without traffic.
const movedSlotHold = 2 * time.Second

type receivedState struct {
	state      slots.State
	receivedAt time.Time
}

// holder returns the ID of the member that should own a server.
func (o *Owner) holder(srv document.Server) (string, bool) {
	m, ok := o.rights.Holder(rights.ServerKey(srv.ID), roster.Scope{FailureDomain: srv.FailureDomain})
	return m.ID, ok
}

// serviceProperties are properties of a service that are derived from its
// routes.
type serviceProperties struct {
	// shared is set if the service has routes of the bulk class and of other
	// classes.
	shared      bool
	bulk, other bool
	// longest is the longest time limit of its routes.
	longest time.Duration
}

// properties returns the properties of a service. They are computed once per
// revision, since a configuration holds hundreds of thousands of routes. The
// caller holds mu.
func (o *Owner) properties(service string) serviceProperties {
	cfg := o.state.Config()
	if o.propertiesByService == nil || o.propertiesRevision != cfg.Revision {
		o.propertiesByService, o.propertiesRevision = make(map[string]serviceProperties), cfg.Revision
		for _, r := range cfg.Routes {
			f := o.propertiesByService[r.Service]
			bulk := r.ClassOrDefault() == document.ClassBulk
			f.bulk, f.other = f.bulk || bulk, f.other || !bulk
			f.shared = f.bulk && f.other
			f.longest = max(f.longest, r.TimeLimit())
			o.propertiesByService[r.Service] = f
		}
	}
	return o.propertiesByService[service]
}

// slotConfig returns the concurrency settings of a server. The caller holds mu.
func (o *Owner) slotConfig(srv document.Server) slots.Config {
	service := o.state.Config().Services[srv.Service]
	return slots.Config{Slots: srv.Slots, ColdSlots: service.ColdLimit(), RampStep: service.RampResponses(), Shared: o.properties(srv.Service).shared}
}

// initialState returns the state that a new ownership begins with: what the
// previous owner handed over, an empty state if there was none, and otherwise
// every slot in use until the longest time limit of the service has passed, but
// at most for movedSlotHold if the previous owners are alive. Requests that
// still run from an earlier ownership by this instance are added. The caller
// holds mu.
func (o *Owner) initialState(now time.Time, srv document.Server, t rights.Tenure, cfg slots.Config) slots.State {
	st := slots.State{}
	handed, ok := o.receivedStates[srv.ID]
	delete(o.receivedStates, srv.ID)
	switch {
	case ok && t.Moved && now.Sub(handed.receivedAt) <= receivedStateTTL:
		st = handed.state
	case t.Moved && !t.Founding:
		st = slots.AssumedState(cfg, t.Since, min(movedSlotHold, o.properties(srv.Service).longest))
	case !t.Released && !t.Founding:
		st = slots.AssumedState(cfg, t.Since, o.properties(srv.Service).longest)
	case ok && now.Sub(handed.receivedAt) <= receivedStateTTL:
		st = handed.state
	}
	st.Running = append(st.Running, o.unfinished[srv.ID]...)
	delete(o.unfinished, srv.ID)
	return st
}

// Release ends the ownership of a server that moves to another instance and
// returns the state to hand over. A member that never owned the server releases
// it at once, with an empty state.
func (o *Owner) Release(server string) *peerpb.HandoverRequest {
	o.mu.Lock()
	s := o.servers[server]
	o.mu.Unlock()
	if s != nil {
		o.drop(s)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	st := o.releasedStates[server]
	now, self := time.Now(), o.rights.Self()
	r := &peerpb.HandoverRequest{Server: server, Instance: self.ID, Incarnation: self.Incarnation, Limit: uint32(st.Limit)}
	for _, end := range st.Running {
		if end.After(now) {
			r.RunningMs = append(r.RunningMs, uint64(end.Sub(now).Milliseconds()))
		}
	}
	return r
}

// AcceptState stores the state of a server that its owner has released. The
// empty state of a member that never owned the server does not replace that of
// one that did.
func (o *Owner) AcceptState(r *peerpb.HandoverRequest) {
	now := time.Now()
	st := slots.State{Limit: int(r.Limit)}
	for _, ms := range r.RunningMs {
		st.Running = append(st.Running, now.Add(time.Duration(ms)*time.Millisecond))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.receivedStates[r.Server]; ok && now.Sub(old.receivedAt) <= receivedStateTTL && st.Limit == 0 {
		return
	}
	o.receivedStates[r.Server] = receivedState{st, now}
}

// RankedFirst returns the servers for which this instance ranks first as owner.
func (o *Owner) RankedFirst() []document.Server {
	var list []document.Server
	self := o.rights.Self()
	for _, srv := range o.state.Config().Servers {
		if !o.mayOwn(self, srv) {
			continue
		}
		if holder, ok := o.holder(srv); ok && holder == self.ID {
			list = append(list, srv)
		}
	}
	return list
}

// mayOwn reports whether the instance can rank first for a server: it is in
// the server's failure domain, or that domain has no active member.
func (o *Owner) mayOwn(self roster.Member, srv document.Server) bool {
	return srv.FailureDomain == self.FailureDomain || len(o.state.Roster().Active(roster.Scope{FailureDomain: srv.FailureDomain})) == 0
}

// Handover implements peerpb.DRPCOwnerServer: it receives the state of a server
// that its owner releases.
func (o *Owner) Handover(_ context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	if _, ok := o.state.Config().Servers[r.Server]; !ok {
		return &peerpb.HandoverReply{}, nil
	}
	o.AcceptState(r)
	if o.OnHandover != nil {
		o.OnHandover(rights.ServerKey(r.Server), r.Instance, r.Incarnation)
	}
	return &peerpb.HandoverReply{Accepted: true}, nil
}

// HandOverAll releases every owned server and transfers its state to the member
// that ranks next. Running requests finish on this instance.
func (o *Owner) HandOverAll(ctx context.Context) {
	self := o.rights.Self()
	o.mu.Lock()
	o.closing = true
	o.mu.Unlock()
	for _, s := range o.owned() {
		o.drop(s)
		if o.network == nil {
			continue
		}
		now := time.Now()
		s.mu.Lock()
		st := s.slots.State()
		s.mu.Unlock()
		request := &peerpb.HandoverRequest{Server: s.doc.ID, Instance: self.ID, Incarnation: self.Incarnation,
			Epoch: o.state.Roster().Epoch, Limit: uint32(st.Limit)}
		for _, end := range st.Running {
			request.RunningMs = append(request.RunningMs, uint64(max(0, end.Sub(now).Milliseconds())))
		}
		for _, m := range o.rights.Rank(rights.ServerKey(s.doc.ID), roster.Scope{FailureDomain: s.doc.FailureDomain}) {
			if m.ID == self.ID {
				continue
			}
			accepted, err := o.network.Handover(ctx, m, request)
			entry := log.WithFields(log.Fields{"event": "server_handed_over", "server": s.doc.ID, "to": m.ID,
				"accepted": accepted, "running": len(request.RunningMs), "limit": st.Limit})
			if err != nil {
				entry.WithError(err).Warn("handover failed")
			} else {
				entry.Info("server handed over")
			}
			break
		}
	}
}
