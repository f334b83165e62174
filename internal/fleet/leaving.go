package fleet

import (
	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/sender"
)

// noteResponse reports to the coordinator what a response says of its server.
func (m *Member) noteResponse(j *sender.Job, r dialect.ServerResponse) {
	m.noteLimit(j.Server, r)
	if !r.Leaving {
		return
	}
	m.mu.Lock()
	toCoordinator := m.toCoordinator
	m.mu.Unlock()
	if toCoordinator != nil {
		_ = toCoordinator.send(&peerpb.MemberMessage{ServerLeaving: &peerpb.LeavingServer{Server: j.Server, Incarnation: j.Incarnation}})
	}
}

// announceLeaving tells the standbys of servers that are newly known to leave: the instances
// that such a server has told may be lost together with this one. The caller holds mu.
func (c *coordinator) announceLeaving() {
	servers := leavingToProto(c.dispatcher.NewlyLeaving())
	if len(servers) == 0 {
		return
	}
	for _, l := range servers {
		log.WithFields(log.Fields{"event": "server_leaves", "server": l.Server}).Info("backend server leaves and gets no further requests")
	}
	c.fleet.noteServersLeaving(servers)
	c.broadcast(&peerpb.FleetState{ServersLeaving: servers})
}

// noteServersLeaving notes what the coordinator says of leaving servers. This instance tells
// the next coordinator, which may be itself.
func (f *Fleet) noteServersLeaving(servers []*peerpb.LeavingServer) {
	if f.opts.Sender == nil {
		return
	}
	for _, l := range servers {
		f.opts.Sender.SetLeaving(leavingFromProto(l))
	}
}

func leavingFromProto(l *peerpb.LeavingServer) dispatch.LeavingServer {
	return dispatch.LeavingServer{Server: l.Server, Incarnation: l.Incarnation}
}

func leavingToProto(servers []dispatch.LeavingServer) []*peerpb.LeavingServer {
	out := make([]*peerpb.LeavingServer, 0, len(servers))
	for _, l := range servers {
		out = append(out, &peerpb.LeavingServer{Server: l.Server, Incarnation: l.Incarnation})
	}
	return out
}
