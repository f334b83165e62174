package dispatch

import (
	"math"
	"time"
)

const (
	// floorWindow is the time within which the floor requires work.
	floorWindow = 2 * time.Second
	// shortfallInterval is the time between counts of the servers without work.
	shortfallInterval = time.Second
	// maxShortfallServers bounds the servers that a FloorShortfall lists.
	maxShortfallServers = 8
)

// FloorShortfall tells that fewer of a service's steady servers had work than the
// floor requires.
type FloorShortfall struct {
	Service string
	// Steady servers have been known and without a failure for Bounds.SteadyAfter;
	// Used of them had a request within two seconds, Required should have.
	Steady, Used, Required int
	// Queued is the number of requests that wait for the service.
	Queued int
	// Idle lists some of the servers without a request.
	Idle []IdleServer
}

// IdleServer is a steady server without work.
type IdleServer struct {
	Server             string  `json:"server"`
	FailureProbability float64 `json:"failure_probability"`
	// IdleMS is the time since the last permit; -1 without one.
	IdleMS int64 `json:"idle_ms"`
	// Running and Overdue count the requests that occupied it.
	Running int `json:"running"`
	Overdue int `json:"overdue"`
	// Usable is set if the server could have taken a request.
	Usable bool `json:"usable"`
}

// FloorShortfalls returns the shortfalls found since the last call.
func (d *Dispatcher) FloorShortfalls() []FloorShortfall {
	out := d.shortfalls
	d.shortfalls = nil
	return out
}

// checkFloor looks for services whose steady servers do not get the work that the
// floor requires, once per shortfallInterval.
func (d *Dispatcher) checkFloor(now time.Time) {
	for name, p := range d.pools {
		if now.Sub(p.shortfallCheckedAt) < shortfallInterval {
			continue
		}
		p.shortfallCheckedAt = now
		p.arrivals.decay(now)
		f := d.shortfall(now, name, p)
		enoughRequests := p.arrivals.rate*floorWindow.Seconds() >= float64(f.Required)
		if f.Used < f.Required && enoughRequests {
			d.shortfalls = append(d.shortfalls, f)
		}
	}
}

func (d *Dispatcher) shortfall(now time.Time, service string, p *pool) FloorShortfall {
	f := FloorShortfall{Service: service, Queued: len(p.queue)}
	for _, s := range p.servers {
		if s.Draining || s.domainOut || d.limitedBelowFloor(s) || now.Sub(s.knownSince) < d.bounds.SteadyAfter || !d.steady(now, s) {
			continue
		}
		f.Steady++
		if !s.lastUsed.IsZero() && now.Sub(s.lastUsed) < floorWindow {
			f.Used++
			continue
		}
		if len(f.Idle) < maxShortfallServers {
			idle := int64(-1)
			if !s.lastUsed.IsZero() {
				idle = now.Sub(s.lastUsed).Milliseconds()
			}
			f.Idle = append(f.Idle, IdleServer{
				Server: s.ID, FailureProbability: math.Round(s.failureProbability(now)*1000) / 1000, IdleMS: idle,
				Running: s.running, Overdue: s.overdue, Usable: d.usable(now, s),
			})
		}
	}
	f.Required = int(math.Ceil(d.bounds.FloorShare * float64(f.Steady)))
	return f
}
