package dispatch

import (
	"math"
	"time"
)

// pace spreads the requests to a server evenly over time.
type pace struct {
	// tokens are the requests that may be sent now, at most one.
	tokens     float64
	refilledAt time.Time
}

// allows reports whether a request may be sent at a rate in requests per second.
func (p *pace) allows(now time.Time, rate float64) bool {
	if dt := now.Sub(p.refilledAt).Seconds(); dt > 0 {
		p.tokens = math.Min(1, p.tokens+dt*rate)
		p.refilledAt = now
	}
	return p.tokens >= 1
}

// paceAllows reports whether the rate that a server bears while it is cold, and the
// limit that it named, allow one more request. Both hold for the whole fleet, so a
// coordinator of a part of it uses only its share.
func (d *Dispatcher) paceAllows(now time.Time, s *server) bool {
	if s.limited && !s.limitPace.allows(now, s.usableLimit()*d.connectedShare) {
		return false
	}
	coldRate := d.index.Config.Services[s.Service].ColdRate
	if !now.Before(s.coldUntil) || coldRate <= 0 {
		return true
	}
	return s.coldPace.allows(now, coldRate*d.policy.Admission.ColdFactor*d.connectedShare)
}

// recordPaced counts a request that is sent to the server.
func (s *server) recordPaced(now time.Time) {
	if s.limited {
		s.limitPace.tokens--
	}
	if now.Before(s.coldUntil) {
		s.coldPace.tokens--
	}
}

// minUsableLimit is the rate, in requests per second, at which requests go to a server
// that names a lower limit: only a response can tell that the limit was raised.
const minUsableLimit = 0.2

func (s *server) usableLimit() float64 { return math.Max(s.limit, minUsableLimit) }

// SetServerLimit notes the rate, in requests per second from all instances together,
// that a server takes as its last response says. It reports whether the limit is new or
// has changed.
func (d *Dispatcher) SetServerLimit(now time.Time, id string, limit float64) bool {
	s := d.servers[id]
	if s == nil {
		return false
	}
	s.limitNamedAt = now
	if s.limited && s.limit == limit {
		return false
	}
	if !s.limited {
		s.limitPace = pace{refilledAt: now}
	}
	// What was saved up until now was so at the old rate.
	s.limitPace.allows(now, s.usableLimit()*d.connectedShare)
	s.limited, s.limit = true, limit
	return true
}

// ClearServerLimit notes that a server names no limit. It reports whether it had one.
func (d *Dispatcher) ClearServerLimit(now time.Time, id string) ([]Decision, bool) {
	s := d.servers[id]
	if s == nil || !s.limited {
		return nil, false
	}
	s.limited = false
	d.serveQueue(now, s.Service)
	return d.flush(), true
}

// endUnnamedLimit ends the limit of a server that has responded to a request without
// naming it. The instance that sent the request reports a limit before the end of the
// request; it does not report that there is none if another instance was told of one.
func (s *server) endUnnamedLimit(pm *permit) {
	if s.limited && !pm.adopted && pm.grantedAt.After(s.limitNamedAt) {
		s.limited = false
	}
}

// ServerLimit returns the rate limit that a server names; false if it names none.
func (d *Dispatcher) ServerLimit(id string) (limit float64, limited bool) {
	s := d.servers[id]
	if s == nil {
		return 0, false
	}
	return s.limit, s.limited
}

// usableSlots returns how many slots of the server its limit lets work at a mean service
// time.
func (s *server) usableSlots(serviceTime time.Duration) float64 {
	if !s.limited {
		return float64(s.Slots)
	}
	return math.Min(float64(s.Slots), s.usableLimit()*serviceTime.Seconds())
}
