package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against retries that were allowed by the requests of one window and are too many
// for another one: requests have just begun, end, or come in bursts, as on a short day.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	const tick, ticksPerWindow = 100 * time.Millisecond, 100
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		start := time.Unix(1000, 0)
		budget := newRetryBudget(start, testBounds)
		// Requests and retries of each tick, with a window without any at both ends.
		requests, retries := make([]int, ticksPerWindow), make([]int, ticksPerWindow)
		for range 1 + rng.IntN(4) {
			rate, asked := rng.IntN(3)*rng.IntN(100), rng.IntN(60)
			for range 1 + rng.IntN(150) {
				now := start.Add(time.Duration(len(requests)) * tick)
				n := 0
				for range rate {
					budget.countRequest(now, testBounds)
				}
				for range asked {
					if budget.allow(now, testBounds, 1) {
						budget.send(now, testBounds)
						n++
					}
				}
				requests, retries = append(requests, rate), append(retries, n)
			}
		}
		requests, retries = append(requests, make([]int, 2*ticksPerWindow)...), append(retries, make([]int, 2*ticksPerWindow)...)
		in := func(counts []int, from int) int {
			n := 0
			for _, x := range counts[max(0, from):min(len(counts), max(0, from+ticksPerWindow))] {
				n += x
			}
			return n
		}
		for from := range retries {
			most := max(in(requests, from), in(requests, from-ticksPerWindow), in(requests, from-ticksPerWindow/2))
			bound := testBounds.RetryRatio*float64(most) + testBounds.RetrySlack
			if n := in(retries, from); float64(n) > bound {
				t.Errorf("seed %d: %d retries in the window from tick %d, bound %.0f", seed, n, from, bound)
				break
			}
		}
	}
}
