package fleet

import (
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// namedLimit is the rate limit that a backend server named to this instance.
type namedLimit struct {
	// rate is in requests per second from all instances together.
	rate    float64
	namedAt time.Time
}

// limitRetention is how long a limit that no later response confirms is reported to a
// new coordinator.
const limitRetention = 30 * time.Second

// noteLimit reports the rate limit that a response names to the coordinator, or that
// a server no longer names one. Limits of servers that name none are not reported, and
// the others each time, since only the coordinator knows when a server has restarted.
func (m *Member) noteLimit(server string, r dialect.ServerResponse) {
	m.mu.Lock()
	_, known := m.limits[server]
	if r.RateLimited {
		m.limits[server] = namedLimit{rate: r.RateLimit, namedAt: time.Now()}
	} else {
		delete(m.limits, server)
	}
	toCoordinator := m.toCoordinator
	m.mu.Unlock()
	if !r.RateLimited && !known || toCoordinator == nil {
		return
	}
	_ = toCoordinator.send(&peerpb.MemberMessage{Limit: &peerpb.ServerLimit{Server: server, None: !r.RateLimited, Rate: r.RateLimit}})
}

// limitsToProto returns the limits that servers named to this instance, and forgets
// old ones. The caller holds mu.
func (m *Member) limitsToProto(now time.Time) []*peerpb.ServerLimit {
	var out []*peerpb.ServerLimit
	for server, l := range m.limits {
		if now.Sub(l.namedAt) > limitRetention {
			delete(m.limits, server)
			continue
		}
		out = append(out, &peerpb.ServerLimit{Server: server, Rate: l.rate})
	}
	return out
}

// setLimit applies what a member reports of a server's rate limit. The caller holds mu.
func (c *coordinator) setLimit(now time.Time, l *peerpb.ServerLimit) {
	if l.None {
		decisions, changed := c.dispatcher.ClearServerLimit(now, l.Server)
		c.deliver(decisions)
		if changed {
			log.WithFields(log.Fields{"event": "server_limit_ended", "server": l.Server}).Info("backend server names no rate limit any more")
		}
		return
	}
	if c.dispatcher.SetServerLimit(now, l.Server, l.Rate) {
		log.WithFields(log.Fields{"event": "server_limited", "server": l.Server, "rate": l.Rate}).Info("backend server named a rate limit")
	}
}
