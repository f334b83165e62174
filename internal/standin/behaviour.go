package standin

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Behaviour is how a Backend handles requests. Rates are shares of requests,
// 0 to 1. The zero value responds immediately and without faults.
type Behaviour struct {
	// Slots is how many concurrent requests run at full speed. A request that
	// starts above it takes proportionally longer. Zero means no limit.
	Slots int `json:"slots,omitempty"`
	// MaxConcurrent is the number of concurrent requests above which requests
	// are shed with a 503 that lacks Trefoilstream-Not-Run. Zero means no limit.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// ServiceMS is the median service time in milliseconds and ServiceSigma
	// the shape of its log-normal distribution; sigma zero makes it constant.
	ServiceMS    float64 `json:"service_ms,omitempty"`
	ServiceSigma float64 `json:"service_sigma,omitempty"`
	// SlowFactor multiplies the service time; zero means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`

	// ColdSlots is how many concurrent requests a cold server can take, and
	// ColdAnswers after how many responses it can take one more, up to Slots.
	// Above that it collapses: for CollapseMS the service time is multiplied
	// by CollapseFactor, and the server is cold again. Zero turns cold starts
	// off.
	ColdSlots   int `json:"cold_slots,omitempty"`
	ColdAnswers int `json:"cold_answers,omitempty"`
	// ColdFactor multiplies the service time while cold; zero means 1.
	ColdFactor     float64 `json:"cold_factor,omitempty"`
	CollapseFactor float64 `json:"collapse_factor,omitempty"`
	CollapseMS     int     `json:"collapse_ms,omitempty"`
	// SayCold sends the header Trefoilstream-Cold: true while cold.
	SayCold bool `json:"say_cold,omitempty"`

	// ErrorRate responds with ErrorStatus (default 500) after the service time.
	ErrorRate   float64 `json:"error_rate,omitempty"`
	ErrorStatus int     `json:"error_status,omitempty"`
	// ErrorBody responds with ErrorStatus when a request body contains it.
	ErrorBody string `json:"error_body,omitempty"`
	// RefuseRate responds with 503 and Trefoilstream-Not-Run: true without
	// executing the request.
	RefuseRate float64 `json:"refuse_rate,omitempty"`
	// StallRate sends no response until the caller disconnects.
	StallRate float64 `json:"stall_rate,omitempty"`
	// TruncateRate closes the connection in the middle of the response body.
	TruncateRate float64 `json:"truncate_rate,omitempty"`
	// LateRate adds LateMS milliseconds to the service time.
	LateRate float64 `json:"late_rate,omitempty"`
	LateMS   int     `json:"late_ms,omitempty"`

	// CrashBody crashes the server when a request body contains it: all
	// connections are dropped, and new ones are refused for CrashMS. The
	// server is cold when it restarts.
	CrashBody string `json:"crash_body,omitempty"`
	CrashMS   int    `json:"crash_ms,omitempty"`

	// BytesPerSecond limits the rate of response bodies; zero means no limit.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
	// Probe is what the probe endpoint reports: "" the actual state,
	// "healthy" or "failing" always that.
	Probe string `json:"probe,omitempty"`
	// LoadLie overrides the number of running requests that the load endpoint
	// reports.
	LoadLie *int `json:"load_lie,omitempty"`
}

// Validate returns all invalid settings as one error, or nil.
func (b Behaviour) Validate() error {
	var errs []error
	for name, v := range map[string]float64{
		"error_rate": b.ErrorRate, "refuse_rate": b.RefuseRate, "stall_rate": b.StallRate,
		"truncate_rate": b.TruncateRate, "late_rate": b.LateRate,
	} {
		if !(v >= 0 && v <= 1) {
			errs = append(errs, fmt.Errorf("%s must be from 0 to 1", name))
		}
	}
	for name, v := range map[string]float64{
		"service_ms": b.ServiceMS, "service_sigma": b.ServiceSigma, "slow_factor": b.SlowFactor,
		"cold_factor": b.ColdFactor, "collapse_factor": b.CollapseFactor,
	} {
		if !(v >= 0) || math.IsInf(v, 0) {
			errs = append(errs, fmt.Errorf("%s must not be negative", name))
		}
	}
	if b.ErrorStatus != 0 && (b.ErrorStatus < 400 || b.ErrorStatus > 599) {
		errs = append(errs, errors.New("error_status must be from 400 to 599"))
	}
	if b.Probe != "" && b.Probe != "healthy" && b.Probe != "failing" {
		errs = append(errs, errors.New(`probe must be "", "healthy" or "failing"`))
	}
	return errors.Join(errs...)
}

// serviceTime returns a random service time for a request, given the number of
// running requests.
func (b Behaviour) serviceTime(rng *rand.Rand, running int, cold, collapsed bool) time.Duration {
	ms := b.ServiceMS
	if b.ServiceSigma > 0 {
		ms *= math.Exp(b.ServiceSigma * rng.NormFloat64())
	}
	factor := func(f float64, on bool) {
		if on && f > 0 {
			ms *= f
		}
	}
	factor(b.SlowFactor, true)
	factor(b.ColdFactor, cold)
	factor(b.CollapseFactor, collapsed)
	if b.Slots > 0 {
		factor(float64(running)/float64(b.Slots), running > b.Slots)
	}
	return time.Duration(ms * float64(time.Millisecond))
}
