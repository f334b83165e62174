package fleet

import (
	"math"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// logTransitions logs each server that became suspect or trusted. Their number
// is bounded by the outcomes reported in a tick.
func logTransitions(transitions []dispatch.Transition) {
	for _, t := range transitions {
		event := "server_trusted"
		if t.Suspected {
			event = "server_suspected"
		}
		log.WithFields(log.Fields{
			"event": event, "server": t.Server, "service": t.Service, "outcome": t.Outcome.String(), "probability": t.FailureProbability,
		}).Info("health estimate of a backend server changed")
	}
}

// logShortfalls logs each service whose healthy servers got less work than the
// floor requires.
func logShortfalls(shortfalls []dispatch.FloorShortfall) {
	for _, f := range shortfalls {
		log.WithFields(log.Fields{
			"event": "floor_missed", "service": f.Service, "steady": f.Steady, "used": f.Used, "required": f.Required,
			"queued": f.Queued, "idle": f.Idle,
		}).Warn("steady backend servers got no work for two seconds")
	}
}

// logSpentRetryBudgets logs each service whose retries are refused.
func logSpentRetryBudgets(spent []dispatch.SpentRetryBudget) {
	for _, b := range spent {
		log.WithFields(log.Fields{
			"event": "retry_budget_spent", "service": b.Service, "used": math.Round(b.Used), "limit": math.Round(b.Limit), "refused": b.Refused,
		}).Warn("retries refused")
	}
}
