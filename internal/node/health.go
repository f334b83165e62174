package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/backend"
	"trefoilstream.example/trefoilstream/internal/health"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// quarantinePushTimeout bounds how long a quarantine is pushed to the owners.
const quarantinePushTimeout = 200 * time.Millisecond

// arbiters decides on ejections of backend servers for the services whose right
// this instance holds.
type arbiters struct {
	node      *Node
	mu        sync.Mutex
	byService map[string]*arbiter
}

// arbiter is the state kept for one service.
type arbiter struct {
	rules   *health.Arbiter
	crashes *health.CrashTracker
	// since is the start of the tenure that the state belongs to.
	since time.Time
	// reporters maps the instances that have reported to the time of their last
	// report.
	reporters map[string]time.Time
}

func newArbiters(n *Node) *arbiters { return &arbiters{node: n, byService: make(map[string]*arbiter)} }

// current returns the arbiter of a service, or nil if this instance does not
// hold the right. The caller holds mu.
func (a *arbiters) current(now time.Time, service string) *arbiter {
	n := a.node
	tenure, held := n.rights.Tenure(now, rights.ServiceKey(service), roster.Scope{Region: n.self.Region})
	if !held {
		delete(a.byService, service)
		return nil
	}
	arb := a.byService[service]
	if arb == nil || !arb.since.Equal(tenure.Since) {
		since := tenure.Since
		if since.IsZero() {
			since = now
		}
		arb = &arbiter{rules: health.NewArbiter(since, tenure.Founding), crashes: health.NewCrashTracker(), since: tenure.Since,
			reporters: make(map[string]time.Time)}
		a.byService[service] = arb
	}
	a.configure(arb, service)
	return arb
}

// configure passes the service's servers in this instance's region to the
// rules. It runs on every use, since the set of servers that the platform lists
// as leaving changes without a configuration revision.
func (a *arbiters) configure(arb *arbiter, service string) {
	b := a.node.state
	cfg := b.Config()
	servers := make(map[string]health.Capacity)
	for _, srv := range cfg.ServersOf(service) {
		if region := cfg.Domains[srv.FailureDomain].Region; region != "" && region != a.node.self.Region {
			continue
		}
		servers[srv.ID] = health.Capacity{Slots: srv.Slots, ColdSlots: cfg.Services[service].ColdLimit(), InService: b.InService(srv.ID)}
	}
	arb.rules.Configure(cfg.Services[service].Floor, servers)
}

// Report implements peerpb.DRPCArbiterServer.
func (a *arbiters) Report(ctx context.Context, r *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	now := time.Now()
	a.mu.Lock()
	arb := a.current(now, r.Service)
	if arb == nil {
		a.mu.Unlock()
		return &peerpb.ReportReply{}, nil
	}
	if len(r.Servers) > 0 {
		arb.reporters[r.Instance] = now
	}
	reply := &peerpb.ReportReply{Held: true}
	var reports []health.Report
	for _, s := range r.Servers {
		reports = append(reports, health.Report{Server: s.Server, Score: s.Score, Median: time.Duration(s.MedianUs) * time.Microsecond,
			Cold: s.Cold, WantsPermit: s.WantsEjection, Ejected: s.Ejected})
	}
	for _, ruling := range arb.rules.Report(now, reports) {
		if ruling.Granted {
			reply.Permits = append(reply.Permits, &peerpb.EjectionPermit{Server: ruling.Server, TtlMs: uint64(health.PermitTTL.Milliseconds())})
		} else {
			reply.Reason = ruling.Reason
		}
	}
	var newlyQuarantined []health.Fingerprint
	for _, s := range r.Suspects {
		var f health.Fingerprint
		if len(s.Fingerprint) != len(f) {
			continue
		}
		copy(f[:], s.Fingerprint)
		if arb.crashes.Report(now, f, s.Server) {
			newlyQuarantined = append(newlyQuarantined, f)
		}
	}
	for f, until := range arb.crashes.Quarantined(now) {
		reply.Quarantined = append(reply.Quarantined, f[:])
		reply.QuarantinedMs = append(reply.QuarantinedMs, uint64(until.Sub(now).Milliseconds()))
	}
	reply.ServiceMedianUs = uint64(arb.rules.Median(now).Microseconds())
	owners := arb.recentReporters(now)
	a.mu.Unlock()
	if len(newlyQuarantined) > 0 {
		// The reporting owner responds to the entry instance only after the
		// other owners know, so that the next attempt finds the request quarantined.
		a.pushQuarantine(ctx, r.Service, newlyQuarantined, owners)
	}
	return reply, nil
}

// recentReporters returns the owners that have reported within ownerTTL.
func (a *arbiter) recentReporters(now time.Time) []string {
	const ownerTTL = time.Minute
	var list []string
	for id, reportedAt := range a.reporters {
		if now.Sub(reportedAt) > ownerTTL {
			delete(a.reporters, id)
			continue
		}
		list = append(list, id)
	}
	return list
}

// pushQuarantine sends quarantined requests to the owners of a service and waits
// for them for at most quarantinePushTimeout.
func (a *arbiters) pushQuarantine(ctx context.Context, service string, list []health.Fingerprint, owners []string) {
	n := a.node
	request := &peerpb.QuarantineRequest{Service: service, TtlMs: uint64(health.QuarantineTTL.Milliseconds())}
	for _, f := range list {
		request.Fingerprints = append(request.Fingerprints, f[:])
	}
	ctx, cancel := context.WithTimeout(ctx, quarantinePushTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, id := range owners {
		m, ok := n.state.Roster().Get(id)
		if !ok || id == n.self.ID {
			continue
		}
		group.Go(func() {
			client := peerpb.NewDRPCArbiterClient(n.peers.Conn(ctx, m.PeerAddress))
			if _, err := client.Quarantine(ctx, request); err != nil {
				log.WithFields(log.Fields{"event": "quarantine_not_pushed", "service": service, "to": id}).
					WithError(err).Warn("quarantine not pushed to the owner, which learns of it with its next report")
			}
		})
	}
	n.owner.ApplyQuarantine(request)
	group.Wait()
}

// Quarantine implements peerpb.DRPCArbiterServer.
func (a *arbiters) Quarantine(_ context.Context, r *peerpb.QuarantineRequest) (*peerpb.QuarantineReply, error) {
	a.node.owner.ApplyQuarantine(r)
	return &peerpb.QuarantineReply{}, nil
}

// Dial implements peerpb.DRPCArbiterServer. It connects only to addresses in
// the configuration, so that it can't be used to probe other hosts.
func (a *arbiters) Dial(ctx context.Context, r *peerpb.DialRequest) (*peerpb.DialReply, error) {
	for _, srv := range a.node.state.Config().Servers {
		if srv.Address == r.Address {
			return &peerpb.DialReply{Connected: backend.CanConnect(ctx, r.Address)}, nil
		}
	}
	return &peerpb.DialReply{}, nil
}
