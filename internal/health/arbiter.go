package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Timing of ejection permits.
const (
	// PermitTTL is how long an ejection permit is valid.
	PermitTTL = 5 * time.Second
	// reportTTL is how long a report counts. Owners report every 5 s, so one
	// report may be lost.
	reportTTL = 11 * time.Second
)

// Capacity describes a server of the service to the arbiter.
type Capacity struct {
	Slots     int
	ColdSlots int
	// InService is false if operators took the server or its failure domain
	// out of service, or if the server is leaving.
	InService bool
}

// Report is the state of a server as its owner reports it to the arbiter.
type Report struct {
	Server string
	// Score is the failure evidence relative to the ejection threshold.
	Score  float64
	Median time.Duration
	Cold   bool
	// WantsPermit is set if the owner asks for a permit or its renewal.
	WantsPermit bool
	// Ejected is set if the server is ejected under an earlier permit.
	Ejected bool
}

// PermitDecision is the arbiter's decision on one permit request.
type PermitDecision struct {
	Server  string
	Granted bool
	// Reason says why the permit was refused.
	Reason string
}

type timedReport struct {
	Report
	at time.Time
}

// Arbiter decides which servers of one service may be ejected, so that all
// owners together never take the service below its floor: the share of its
// slots that has to stay in service.
type Arbiter struct {
	floor   float64
	servers map[string]Capacity
	reports map[string]timedReport
	permits map[string]time.Time
	// newPermitsFrom is when all permits of the previous arbiter have expired.
	newPermitsFrom time.Time
}

// NewArbiter returns an arbiter that became active at since. Unless it is the
// first of the service, it only renews permits until those of the previous
// arbiter have expired, because it doesn't know them all.
func NewArbiter(since time.Time, first bool) *Arbiter {
	a := &Arbiter{reports: make(map[string]timedReport), permits: make(map[string]time.Time), newPermitsFrom: since}
	if !first {
		a.newPermitsFrom = since.Add(PermitTTL)
	}
	return a
}

// Configure sets the floor, as a share of all slots, and the servers.
func (a *Arbiter) Configure(floor float64, servers map[string]Capacity) {
	a.floor, a.servers = floor, servers
	for id := range a.reports {
		if _, ok := servers[id]; !ok {
			delete(a.reports, id)
			delete(a.permits, id)
		}
	}
}

// Report applies the reports of an owner and decides on the permits that it
// asks for.
func (a *Arbiter) Report(now time.Time, reports []Report) []PermitDecision {
	for _, r := range reports {
		if _, ok := a.servers[r.Server]; !ok {
			continue
		}
		a.reports[r.Server] = timedReport{r, now}
		switch {
		case !r.WantsPermit:
			// The owner has put the server back into service.
			delete(a.permits, r.Server)
		case r.Ejected && a.permits[r.Server].IsZero():
			// A permit of the previous arbiter; it is renewed or refused
			// below like any other.
			a.permits[r.Server] = now.Add(PermitTTL)
		}
	}
	var decisions []PermitDecision
	for _, r := range reports {
		if _, ok := a.servers[r.Server]; ok && r.WantsPermit {
			decisions = append(decisions, a.decide(now, r.Server))
		}
	}
	return decisions
}

func (a *Arbiter) decide(now time.Time, server string) PermitDecision {
	if a.permitted(now, server) {
		return a.renew(now, server)
	}
	delete(a.permits, server)
	if now.Before(a.newPermitsFrom) {
		return PermitDecision{Server: server, Reason: "permits of the previous arbiter may still be valid"}
	}
	remaining := a.ServingSlots(now)
	// Highest score first, so that the healthiest servers keep serving.
	for _, id := range a.permitRequests(now) {
		c := a.capacity(now, id)
		if remaining-c < a.requiredSlots() {
			if id == server {
				return PermitDecision{Server: server, Reason: fmt.Sprintf(
					"floor: %d of %d slots would remain, %.1f are needed", remaining-c, a.totalSlots(), a.floorSlots())}
			}
			continue
		}
		if id == server {
			a.permits[server] = now.Add(PermitTTL)
			return PermitDecision{Server: server, Granted: true}
		}
		remaining -= c
	}
	return PermitDecision{Server: server, Reason: "unknown server"}
}

// renew extends a permit. If capacity has fallen below the floor since, it
// refuses the server with the lowest score. A new arbiter doesn't know every
// server's capacity yet and renews what the previous one granted.
func (a *Arbiter) renew(now time.Time, server string) PermitDecision {
	if !now.Before(a.newPermitsFrom) && a.ServingSlots(now) < a.requiredSlots() {
		lowest := server
		for id := range a.permits {
			if a.permitted(now, id) && a.scoresLower(id, lowest) {
				lowest = id
			}
		}
		if lowest == server {
			delete(a.permits, server)
			return PermitDecision{Server: server, Reason: fmt.Sprintf(
				"floor: %d of %d slots remain, %.1f are needed", a.ServingSlots(now), a.totalSlots(), a.floorSlots())}
		}
	}
	a.permits[server] = now.Add(PermitTTL)
	return PermitDecision{Server: server, Granted: true}
}

// scoresLower orders servers by score and, at equal scores, by ID.
func (a *Arbiter) scoresLower(x, y string) bool {
	if c := cmp.Compare(a.reports[x].Score, a.reports[y].Score); c != 0 {
		return c < 0
	}
	return x < y
}

// permitRequests returns the servers that need a permit and have none, highest
// score first.
func (a *Arbiter) permitRequests(now time.Time) []string {
	var list []string
	for id, r := range a.reports {
		if r.WantsPermit && now.Sub(r.at) <= reportTTL && !a.permitted(now, id) {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(x, y string) int {
		if a.scoresLower(y, x) {
			return -1
		}
		return 1
	})
	return list
}

func (a *Arbiter) permitted(now time.Time, server string) bool {
	return a.permits[server].After(now)
}

// capacity returns the slots with which a server serves. A server without a
// recent report has none, because it may have no owner.
func (a *Arbiter) capacity(now time.Time, server string) int {
	c := a.servers[server]
	r, ok := a.reports[server]
	if !ok || !c.InService || now.Sub(r.at) > reportTTL || a.permitted(now, server) {
		return 0
	}
	if r.Cold {
		return min(c.ColdSlots, c.Slots)
	}
	return c.Slots
}

// ServingSlots returns the number of slots in service.
func (a *Arbiter) ServingSlots(now time.Time) int {
	n := 0
	for id := range a.servers {
		n += a.capacity(now, id)
	}
	return n
}

func (a *Arbiter) totalSlots() int {
	n := 0
	for _, c := range a.servers {
		n += c.Slots
	}
	return n
}

func (a *Arbiter) floorSlots() float64 { return a.floor * float64(a.totalSlots()) }

// requiredSlots is the floor in whole slots, rounded up. The tolerance keeps
// floating-point errors in products such as 0.7*10 from adding a slot.
func (a *Arbiter) requiredSlots() int {
	n := a.floorSlots()
	whole := int(n)
	if n-float64(whole) > 1e-9 {
		whole++
	}
	return whole
}

// Permits returns the servers with a valid permit, sorted by ID.
func (a *Arbiter) Permits(now time.Time) []string {
	var list []string
	for id := range a.permits {
		if a.permitted(now, id) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Median returns the median of the servers' median latencies, or zero if none
// is known.
func (a *Arbiter) Median(now time.Time) time.Duration {
	var list []time.Duration
	for _, r := range a.reports {
		if r.Median > 0 && now.Sub(r.at) <= reportTTL {
			list = append(list, r.Median)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}
