package simulation

import (
	"math"
	"runtime"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// PlayAll plays the days of consecutive seeds under a policy on all cores. It calls
// progress, if set, after each day.
func PlayAll(first uint64, days int, length time.Duration, policy dispatch.Policy, progress func()) []*Result {
	out := make([]*Result, days)
	next := make(chan int)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				out[i] = Play(Draw(first+uint64(i), length), policy)
				if progress != nil {
					progress()
				}
			}
		})
	}
	for i := range days {
		next <- i
	}
	close(next)
	wg.Wait()
	return out
}

// Estimate is a mean with the half width of its confidence interval.
type Estimate struct {
	Mean, HalfWidth float64
}

// confidence of the intervals.
const confidence = 0.95

// Mean returns the mean of a figure over days.
func Mean(results []*Result, figure func(*Result) float64) Estimate {
	x := make([]float64, len(results))
	for i, r := range results {
		x[i] = figure(r)
	}
	return estimate(x)
}

// Difference returns the mean of the differences of a figure between two policies on
// the same days.
func Difference(base, other []*Result, figure func(*Result) float64) Estimate {
	x := make([]float64, len(base))
	for i := range base {
		x[i] = figure(other[i]) - figure(base[i])
	}
	return estimate(x)
}

func estimate(x []float64) Estimate {
	if len(x) < 2 {
		return Estimate{Mean: stat.Mean(x, nil), HalfWidth: math.Inf(1)}
	}
	mean, deviation := stat.MeanStdDev(x, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(1 - (1-confidence)/2)
	return Estimate{Mean: mean, HalfWidth: t * deviation / math.Sqrt(float64(len(x)))}
}
