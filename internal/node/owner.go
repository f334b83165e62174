package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilstream.example/trefoilstream/internal/health"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
	"trefoilstream.example/trefoilstream/internal/settings"
)

// handoverWait bounds the handover of all servers of a stopping instance, and
// likewise that of its claims.
const handoverWait = 2 * time.Second

var errNoArbiter = errors.New("service has no arbiter")

// ownerNetwork implements owner.Network over drpc.
type ownerNetwork struct{ node *Node }

// Report implements owner.Network.
func (w *ownerNetwork) Report(ctx context.Context, r *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	n := w.node
	if n.settings.Ejection != settings.EjectArbiter {
		return baselineReply(n.settings.Ejection, r), nil
	}
	holder, ok := n.rights.Holder(rights.ServiceKey(r.Service), roster.Scope{Region: n.self.Region})
	if !ok {
		return nil, errNoArbiter
	}
	if holder.ID == n.self.ID {
		return n.arbiters.Report(ctx, r)
	}
	return peerpb.NewDRPCArbiterClient(n.peers.Conn(ctx, holder.PeerAddress)).Report(ctx, r)
}

// baselineReply replies to a report without an arbiter, as a baseline for
// measurements: it permits every ejection (EjectLocal) or none.
func baselineReply(mode string, r *peerpb.ReportRequest) *peerpb.ReportReply {
	reply := &peerpb.ReportReply{Held: true}
	for _, s := range r.Servers {
		if mode == settings.EjectLocal && (s.WantsEjection || s.Ejected) {
			reply.Permits = append(reply.Permits, &peerpb.EjectionPermit{Server: s.Server, TtlMs: uint64(health.PermitTTL.Milliseconds())})
		}
	}
	return reply
}

// Dial implements owner.Network. It asks another instance to connect to the
// address, preferably one in this instance's failure domain, since a partition
// between domains doesn't indicate a fault in this instance's own network path.
func (w *ownerNetwork) Dial(ctx context.Context, address string) (bool, error) {
	n := w.node
	for _, scope := range []roster.Scope{{FailureDomain: n.self.FailureDomain}, {Region: n.self.Region}} {
		for _, m := range n.rights.Rank("dial/"+address, scope) {
			if m.ID == n.self.ID {
				continue
			}
			reply, err := peerpb.NewDRPCArbiterClient(n.peers.Conn(ctx, m.PeerAddress)).Dial(ctx, &peerpb.DialRequest{Address: address})
			if err != nil {
				return false, err
			}
			return reply.Connected, nil
		}
	}
	return false, errors.New("no other instance is available")
}

// Handover implements owner.Network.
func (w *ownerNetwork) Handover(ctx context.Context, to roster.Member, r *peerpb.HandoverRequest) (bool, error) {
	reply, err := peerpb.NewDRPCOwnerClient(w.node.peers.Conn(ctx, to.PeerAddress)).Handover(ctx, r)
	if err != nil {
		return false, err
	}
	return reply.Accepted, nil
}

// handOverServers hands the owned servers over to the next owners.
func (n *Node) handOverServers() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverWait)
	defer cancel()
	n.owner.HandOverAll(ctx)
}

// serverRights hands servers over when a roster change moves them to another
// instance.
func (n *Node) serverRights() RightKind {
	const prefix = "server/"
	return RightKind{
		Prefix: prefix,
		Wanted: func() []Right {
			var list []Right
			for _, srv := range n.owner.RankedFirst() {
				list = append(list, Right{Key: rights.ServerKey(srv.ID), Scope: roster.Scope{FailureDomain: srv.FailureDomain}})
			}
			return list
		},
		Release: func(key string) ([]byte, bool) {
			state, err := proto.Marshal(n.owner.Release(strings.TrimPrefix(key, prefix)))
			return state, err == nil
		},
		Restore: func(_ string, state []byte) {
			r := &peerpb.HandoverRequest{}
			if err := proto.Unmarshal(state, r); err == nil {
				n.owner.AcceptState(r)
			}
		},
	}
}
