package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"trefoilstream.example/trefoilstream/internal/backend"
	"trefoilstream.example/trefoilstream/internal/budget"
	"trefoilstream.example/trefoilstream/internal/entry"
	"trefoilstream.example/trefoilstream/internal/owner"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/settings"
)

// register adds the services that other instances call.
func (n *Node) register() error {
	n.arbiters = newArbiters(n)
	n.owner = owner.New(n.state, n.rights, backend.New(), &ownerNetwork{node: n})
	n.owner.OnHandover = n.members.noteReleased
	n.RegisterRights(n.serverRights())
	n.budgets = newBudgets(n.state, n.rights, n.peers)
	n.claims = newClaims(n.rights, n.peers, n.state)
	n.RegisterRights(n.claims.rightKind())
	n.addExplainer(n.explainPlatform)
	own := &countedOwner{DRPCOwnerServer: n.owner, calls: &n.inFlight}
	return errors.Join(
		n.server.Register(n.arbiters, peerpb.DRPCArbiterDescription{}),
		n.server.Register(n.budgets, peerpb.DRPCBudgetDescription{}),
		n.server.Register(claimService{n.claims}, peerpb.DRPCClaimsDescription{}),
		n.server.Register(own, peerpb.DRPCOwnerDescription{}),
		n.server.Register(&configurationService{node: n}, peerpb.DRPCConfigurationDescription{}),
		n.server.Register(memberServer{n.members}, peerpb.DRPCMembershipDescription{}),
		n.server.Register(reachability{}, peerpb.DRPCReachabilityDescription{}),
	)
}

// callerHandler serves callers and the load balancer's health checks.
func (n *Node) callerHandler() http.Handler {
	forwarder := entry.NewForwarder(n.state, n.rights, n.peers, rand.Uint64())
	if n.settings.Ejection == settings.EjectNone {
		forwarder.IgnoreAvoidance()
	}
	var admission entry.Admission = n.budgets
	if n.settings.Rates == settings.RatesStatic {
		admission = &staticRates{state: n.state, buckets: budget.NewShardOwner()}
	}
	e := &entry.Entry{
		State: n.state, Admission: admission, Claims: n.claims, Dispatcher: forwarder, Observer: n.metrics,
		MachineBytes: n.settings.MemoryBytes(),
	}
	return e.Handler()
}

// reachability responds to pings.
type reachability struct{}

// Ping implements peerpb.DRPCReachabilityServer.
func (reachability) Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{}, nil
}

// withMetrics serves /metrics in front of the administration API, without an
// operator key for scrapers: the listener isn't exposed to callers.
func (n *Node) withMetrics(api http.Handler) http.Handler {
	scrape := n.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/metrics" && r.Method == http.MethodGet {
			scrape.ServeHTTP(w, r)
			return
		}
		api.ServeHTTP(w, r)
	})
}
