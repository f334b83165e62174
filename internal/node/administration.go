package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilstream.example/trefoilstream/internal/admin"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// queryTimeout bounds one status or explain call to another instance.
	queryTimeout = time.Second
	// queryConcurrency bounds the concurrent status calls.
	queryConcurrency = 64
)

// serveAdmin serves the administration API until the context is done.
func (n *Node) serveAdmin(ctx context.Context) error {
	l, err := net.Listen("tcp", n.settings.AdminAddress)
	if err != nil {
		return fmt.Errorf("administration listener: %w", err)
	}
	operators, err := admin.ParseOperators(n.settings.OperatorKeys)
	if err != nil {
		return err
	}
	config, err := n.settings.AdminTLS()
	if err != nil {
		return err
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	api := &admin.Server{Operators: operators, State: n.stateMachine, Fleet: n}
	srv := &http.Server{Handler: n.withMetrics(api.Handler()), ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("administration listener: %w", err)
	}
	return ctx.Err()
}

// configurationService reports this instance's status and findings to the
// instance that serves an operator.
type configurationService struct {
	peerpb.DRPCConfigurationUnimplementedServer
	node *Node
}

// Held implements peerpb.DRPCConfigurationServer.
func (s *configurationService) Held(context.Context, *peerpb.HeldRequest) (*peerpb.HeldReply, error) {
	return s.node.status(), nil
}

// Explain implements peerpb.DRPCConfigurationServer.
func (s *configurationService) Explain(_ context.Context, r *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	return &peerpb.ExplainReply{Findings: s.node.findings(r.Kind, r.Id)}, nil
}

func (n *Node) status() *peerpb.HeldReply {
	return &peerpb.HeldReply{
		Instance: n.self.ID, Incarnation: n.self.Incarnation, Revision: n.state.Config().Revision,
		Offset: n.state.Offset(), Fresh: n.state.Fresh(), Stopping: n.state.Stopping(),
	}
}

// Instances implements admin.Fleet.
func (n *Node) Instances(ctx context.Context) []admin.Instance {
	members := n.servingMembers()
	list := make([]admin.Instance, len(members))
	var group errgroup.Group
	group.SetLimit(queryConcurrency)
	for i, m := range members {
		group.Go(func() error {
			list[i] = n.queryInstance(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

// servingMembers returns the members that may serve callers: also those that
// are leaving, and this instance if it has not joined yet.
func (n *Node) servingMembers() []roster.Member {
	list := slices.DeleteFunc(n.state.Roster().Members(), func(m roster.Member) bool { return m.State == roster.Gone })
	if !slices.ContainsFunc(list, func(m roster.Member) bool { return m.ID == n.self.ID }) {
		list = append(list, n.self)
	}
	return list
}

func (n *Node) queryInstance(ctx context.Context, m roster.Member) admin.Instance {
	inst := admin.Instance{
		Instance: m.ID, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain, Region: m.Region,
		State: admin.StateUnreachable,
	}
	reply := n.status()
	if m.ID != n.self.ID {
		ctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		conn := n.peers.Conn(ctx, m.PeerAddress)
		defer func() { _ = conn.Close() }()
		var err error
		if reply, err = peerpb.NewDRPCConfigurationClient(conn).Held(ctx, &peerpb.HeldRequest{}); err != nil || reply.Instance != m.ID {
			return inst
		}
	}
	inst.Incarnation, inst.Revision, inst.Offset = reply.Incarnation, reply.Revision, reply.Offset
	switch {
	case reply.Stopping:
		inst.State = admin.StateStopping
	case reply.Fresh:
		inst.State = admin.StateServing
	default:
		inst.State = admin.StateRefusing
	}
	return inst
}

// explainer returns what one component of this instance knows about an entity.
type explainer func(kind, id string) []string

// addExplainer adds a component's explainer. It must be called before Run.
func (n *Node) addExplainer(e explainer) { n.explainers = append(n.explainers, e) }

// findings returns what this instance knows about an entity.
func (n *Node) findings(kind, id string) []string {
	var list []string
	for _, e := range n.explainers {
		list = append(list, e(kind, id)...)
	}
	return list
}

// explainPlatform reports what the platform's instance list says about an
// entity.
func (n *Node) explainPlatform(kind, id string) []string {
	if kind == "server" && n.state.Leaving(id) {
		return []string{"the platform lists the server as leaving"}
	}
	return nil
}

// Explain implements admin.Fleet. It asks the instance responsible for the
// entity: the owner of a server or the arbiter of a service.
func (n *Node) Explain(ctx context.Context, kind, id string) []string {
	holder, ok := n.responsibleInstance(kind, id)
	if !ok {
		return n.findings(kind, id)
	}
	list := []string{"decided by instance " + holder.ID}
	if holder.ID == n.self.ID {
		return append(list, n.findings(kind, id)...)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	conn := n.peers.Conn(ctx, holder.PeerAddress)
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCConfigurationClient(conn).Explain(ctx, &peerpb.ExplainRequest{Kind: kind, Id: id})
	if err != nil {
		return append(list, "that instance does not answer")
	}
	return append(list, reply.Findings...)
}

func (n *Node) responsibleInstance(kind, id string) (roster.Member, bool) {
	config := n.state.Config()
	switch kind {
	case "server":
		domain := config.Servers[id].FailureDomain
		if m, ok := n.rights.Holder(rights.ServerKey(id), roster.Scope{FailureDomain: domain}); ok {
			return m, true
		}
		return n.rights.Holder(rights.ServerKey(id), roster.Scope{Region: config.Domains[domain].Region})
	case "service":
		return n.rights.Holder(rights.ServiceKey(id), roster.Scope{Region: n.self.Region})
	}
	return roster.Member{}, false
}
