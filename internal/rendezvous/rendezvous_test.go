package rendezvous

import (
	"fmt"
	"math"
	"testing"
)

// Guards against shares that do not follow the weights, and against a membership
// change that moves keys other than those of the lost instance.
func TestWeightedShares(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 1, "c": 4}
	first := func(key, without string) string {
		best, bestScore := "", -1.0
		for name, w := range weights {
			if score := WeightedScore(name, key, w); name != without && score > bestScore {
				best, bestScore = name, score
			}
		}
		return best
	}
	const n = 6000
	counts := make(map[string]float64)
	for i := range n {
		key := fmt.Sprint(i)
		owner := first(key, "")
		counts[owner]++
		if owner != "a" && first(key, "a") != owner {
			t.Fatalf("key %s moved from %s although a was lost", key, owner)
		}
	}
	for name, w := range weights {
		if share := counts[name] / n; math.Abs(share-w/6) > 0.03 {
			t.Errorf("%s with weight %g has a share of %.3f", name, w, share)
		}
	}
}
