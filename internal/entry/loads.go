package entry

import (
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/routing"
)

const (
	// unreachableOwnerBackoff is how long other servers are preferred after
	// the owner of a server was unreachable or did not own it. A new owner
	// takes over about 3 s after the death of an instance; until then the
	// server is tried several times, which costs little.
	unreachableOwnerBackoff = 500 * time.Millisecond
	// pruneInterval is the minimum time between removals of servers and
	// services that left the configuration.
	pruneInterval = time.Minute
)

// loadTable holds the loads of the backend servers, as known to this entry, and
// the retry budgets of the services.
type loadTable struct {
	mu      sync.Mutex
	servers map[string]*serverState
	budgets map[string]*routing.RetryBudget
	pruned  time.Time
	// ignoreAvoid is set before the first request and then only read.
	ignoreAvoid bool
}

type serverState struct {
	routing.Load
	// unreachableUntil is until when the owner counts as unreachable.
	unreachableUntil time.Time
}

func newLoadTable() *loadTable {
	return &loadTable{servers: make(map[string]*serverState), budgets: make(map[string]*routing.RetryBudget)}
}

// get returns the state of a server and creates it if needed. The caller holds
// mu.
func (t *loadTable) get(server string) *serverState {
	l, ok := t.servers[server]
	if !ok {
		l = &serverState{}
		t.servers[server] = l
	}
	return l
}

func (t *loadTable) budget(service string) *routing.RetryBudget {
	b, ok := t.budgets[service]
	if !ok {
		b = &routing.RetryBudget{}
		t.budgets[service] = b
	}
	return b
}

// recordRequest counts a request for the retry budget of its service.
func (t *loadTable) recordRequest(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(service).RecordRequest()
}

// decide returns whether another attempt is made.
func (t *loadTable) decide(now time.Time, service string, attempt routing.Attempt) routing.RetryDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return routing.Decide(now, attempt, t.budget(service))
}

// candidates appends the servers of a service with their loads.
func (t *loadTable) candidates(now time.Time, list []routing.Candidate, b *board.InstanceState, service, domain string, tried map[string]bool) []routing.Candidate {
	servers := b.Config().ServersOf(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range servers {
		c := routing.Candidate{
			Server: s.ID, Local: s.FailureDomain == domain, Slots: s.Slots,
			Excluded: !b.InService(s.ID), Attempted: tried[s.ID],
		}
		if l, ok := t.servers[s.ID]; ok {
			c.Load = l.Load
			c.Unreachable = now.Before(l.unreachableUntil)
		}
		list = append(list, c)
	}
	return list
}

// addPending changes the number of this entry's in-flight requests to a server.
func (t *loadTable) addPending(server string, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(server).Pending += change
}

// report stores the load that the owner of a server reported.
func (t *loadTable) report(now time.Time, r *peerpb.ServerLoad) {
	if r == nil || r.Server == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(r.Server)
	l.ReportedAt, l.InUse, l.Queued, l.Limit = now, int(r.InUse), int(r.Queued), int(r.Limit)
	l.AvoidUntil, l.unreachableUntil = time.Time{}, time.Time{}
	if r.Avoid && !t.ignoreAvoid {
		l.AvoidUntil = now.Add(routing.AvoidFor)
	}
}

// markUnreachable prefers other servers for a while after the owner of a server
// was unreachable or did not own it.
func (t *loadTable) markUnreachable(now time.Time, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(server).unreachableUntil = now.Add(unreachableOwnerBackoff)
}

// prune removes servers and services that left the configuration.
func (t *loadTable) prune(now time.Time, cfg *document.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.pruned) < pruneInterval {
		return
	}
	t.pruned = now
	for id, l := range t.servers {
		if _, ok := cfg.Servers[id]; !ok && l.Pending == 0 {
			delete(t.servers, id)
		}
	}
	for id := range t.budgets {
		if _, ok := cfg.Services[id]; !ok {
			delete(t.budgets, id)
		}
	}
}
