package health

import (
	"math"
	"time"
)

// Parameters of the latency baselines.
const (
	// minBaselineSamples is the number of responses of a route before its
	// baseline is used.
	minBaselineSamples = 30
	// baselineStep is the change of the logarithm of the baseline per response.
	// A step by sign follows the median and moves by at most 35% in 30
	// responses, so a server that becomes five times slower is detected long
	// before it shifts its own baseline.
	baselineStep = 0.01
	// maxBaselines bounds the number of routes with a baseline.
	maxBaselines = 1024
	// slowGroupRatio is the ratio of the median latency of the owner's servers
	// to that of the service above which baselines are scaled down to the
	// service. A smaller difference may come from the mix of routes.
	slowGroupRatio = 2
)

type baseline struct {
	// logNs is the natural logarithm of the baseline in nanoseconds.
	logNs float64
	n     int
}

// LatencyBaselines holds the usual latency of each route of one service, learned
// from all servers of the service that belong to one owner.
type LatencyBaselines struct {
	routes map[string]*baseline
	// scale is at most 1. It lowers every baseline when the owner's servers as
	// a group are slower than the service.
	scale float64
}

// NewLatencyBaselines returns empty baselines.
func NewLatencyBaselines() *LatencyBaselines {
	return &LatencyBaselines{routes: make(map[string]*baseline), scale: 1}
}

// learn applies the latency of one successful response.
func (l *LatencyBaselines) learn(route string, latency time.Duration) {
	v := math.Log(float64(max(latency, time.Microsecond)))
	b := l.routes[route]
	if b == nil {
		if len(l.routes) >= maxBaselines {
			return
		}
		b = &baseline{}
		l.routes[route] = b
	}
	b.n++
	switch {
	case b.n <= minBaselineSamples:
		b.logNs += (v - b.logNs) / float64(b.n)
	case v > b.logNs:
		b.logNs += baselineStep
	default:
		b.logNs -= baselineStep
	}
}

// Latency returns the baseline latency of a route, or false if it rests on too
// few responses.
func (l *LatencyBaselines) Latency(route string) (time.Duration, bool) {
	b := l.routes[route]
	if b == nil || b.n < minBaselineSamples {
		return 0, false
	}
	return time.Duration(l.scale * math.Exp(b.logNs)), true
}

// SetServiceMedian applies the median latency of the service, as reported by the
// arbiter, and that of the owner's own servers. Without it, servers that were
// slow from the start would set a slow baseline and never be detected.
func (l *LatencyBaselines) SetServiceMedian(service, own time.Duration) {
	l.scale = 1
	if service > 0 && own > slowGroupRatio*service {
		l.scale = float64(service) / float64(own)
	}
}
