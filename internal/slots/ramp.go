package slots

import (
	"math"
	"time"
)

// Parameters of the ramp.
const (
	// coldFactor is the ratio of latency to warm baseline above which a response
	// counts as slow.
	coldFactor = 3
	// coldStreak is the number of consecutive slow responses or shed requests
	// that mark a warm server as cold. With a log-normal latency of sigma 0.6, a
	// response exceeds three times the median with probability 0.034, so five in
	// a row by chance are expected once in 2e7 responses.
	coldStreak = 5
	// minBaselineSamples is the number of warm responses of a route before its
	// baseline is used.
	minBaselineSamples = 20
	// maxBaselines bounds the routes with their own baseline; further routes
	// have none.
	maxBaselines = 256
	// warmGain and coldGain are the weights of one response in the logarithm of
	// the baseline. The baseline also follows slow responses and those of a cold
	// server, though more slowly: otherwise a lasting change of the workload would
	// keep the server at its cold limit forever.
	warmGain = 0.05
	coldGain = 0.005
)

// baseline is the geometric mean of the response latency of one route.
type baseline struct {
	// logNs is the natural logarithm of the baseline in nanoseconds.
	logNs float64
	n     int
}

func (b *baseline) add(latency time.Duration, gain float64) {
	v := math.Log(float64(max(latency, time.Microsecond)))
	b.n++
	if b.n <= minBaselineSamples {
		b.logNs += (v - b.logNs) / float64(b.n)
		return
	}
	b.logNs += gain * (v - b.logNs)
}

func (b *baseline) slow(latency time.Duration) bool {
	return b != nil && b.n >= minBaselineSamples && float64(latency) > coldFactor*math.Exp(b.logNs)
}

// ramp controls the concurrency limit of a server: slow start after a cold start
// and detection of a warm server that has become cold.
type ramp struct {
	cfg          Config
	limit        int
	healthyCount int
	slowStreak   int
	baselines    map[string]*baseline
}

func newRamp(cfg Config, limit int) *ramp {
	return &ramp{
		cfg:       cfg,
		limit:     min(max(limit, cfg.ColdSlots), cfg.Slots),
		baselines: make(map[string]*baseline),
	}
}

// cold reports whether the limit is still below that of a warm server.
func (r *ramp) cold() bool { return r.limit < r.cfg.Slots }

// turnCold lowers the limit to that of a cold server.
func (r *ramp) turnCold() {
	r.limit, r.healthyCount, r.slowStreak = r.cfg.ColdSlots, 0, 0
}

// observe applies a finished request and reports whether it turned the server
// cold.
func (r *ramp) observe(c Completion) bool {
	wasCold := r.cold()
	switch {
	case c.Cold:
		r.turnCold()
		return !wasCold && r.cold()
	case c.Result == Shed:
		return r.shed()
	case c.Result != OK:
		// Failures are handled by package health and do not show whether the
		// server is cold, but the limit must not rise on them.
		return false
	}
	b := r.baselines[c.Route]
	slow := b.slow(c.Latency)
	if slow {
		r.slowStreak++
	} else {
		r.slowStreak = 0
	}
	r.updateBaseline(c, b, slow)
	if wasCold {
		if !slow {
			r.countHealthy()
		}
		return false
	}
	if r.slowStreak >= coldStreak {
		r.turnCold()
		return r.cold()
	}
	return false
}

// shed lowers the limit of a cold server by one, since the server reports that it
// is overloaded. For a warm server it counts towards turning cold.
func (r *ramp) shed() bool {
	r.healthyCount = 0
	if r.cold() {
		r.limit = max(r.cfg.ColdSlots, r.limit-1)
		return false
	}
	r.slowStreak++
	if r.slowStreak < coldStreak {
		return false
	}
	r.turnCold()
	return r.cold()
}

func (r *ramp) countHealthy() {
	r.healthyCount++
	if r.healthyCount >= r.cfg.RampStep {
		r.healthyCount = 0
		r.limit++
	}
}

// updateBaseline updates the baseline of the route. A baseline starts with warm
// responses only, so that a server in its first ramp does not set a cold one.
func (r *ramp) updateBaseline(c Completion, b *baseline, slow bool) {
	if b == nil {
		if r.cold() || len(r.baselines) >= maxBaselines {
			return
		}
		b = &baseline{}
		r.baselines[c.Route] = b
	}
	switch {
	case slow || r.cold():
		b.add(c.Latency, coldGain)
	default:
		b.add(c.Latency, warmGain)
	}
}
