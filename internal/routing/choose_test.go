package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

func reported(inUse, limit int) Load { return Load{ReportedAt: now, InUse: inUse, Limit: limit} }

func servers(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Server: fmt.Sprint(i), Slots: 4, Load: reported(1, 4)}
	}
	return list
}

// shares returns how often each candidate is chosen in 10,000 runs.
func shares(t *testing.T, candidates []Candidate, floor float64) []int {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	counts := make([]int, len(candidates))
	for range 10_000 {
		i, ok := Choose(now, rng, candidates, floor)
		if !ok {
			t.Fatal("no candidate chosen")
		}
		counts[i]++
	}
	return counts
}

// Guards against choosing an excluded server, one that was already attempted, an
// unreachable one while others are left or, above the floor, one to avoid; and
// against choosing none while a server is left.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "servers")
		candidates := make([]Candidate, n)
		usable, reachable, total, kept, preferred := 0, 0, 0, 0, 0
		for i := range candidates {
			c := &candidates[i]
			c.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
			c.Excluded = rapid.Bool().Draw(t, "out")
			c.Attempted = rapid.IntRange(0, 3).Draw(t, "tried") == 0
			c.Local = rapid.Bool().Draw(t, "local")
			c.Unreachable = rapid.IntRange(0, 3).Draw(t, "unreachable") == 0
			if rapid.Bool().Draw(t, "known") {
				c.Load = reported(rapid.IntRange(0, 8).Draw(t, "use"), c.Slots)
			}
			avoid := rapid.Bool().Draw(t, "avoid")
			if avoid {
				c.Load.AvoidUntil = now.Add(time.Second)
			}
			if c.Excluded {
				continue
			}
			total += c.Slots
			if !avoid && !c.Unreachable {
				kept += c.Slots
			}
			if !c.Attempted {
				usable++
				if !c.Unreachable {
					reachable++
				}
				if !avoid && !c.Unreachable {
					preferred++
				}
			}
		}
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		i, ok := Choose(now, rng, candidates, floor)
		if ok != (usable > 0) {
			t.Fatalf("chosen %v with %d usable servers", ok, usable)
		}
		if !ok {
			return
		}
		c := candidates[i]
		if c.Excluded || c.Attempted {
			t.Fatalf("server %+v must not be chosen", c)
		}
		if c.Unreachable && reachable > 0 {
			t.Fatalf("unreachable server chosen with %d others: %+v", reachable, c)
		}
		if c.avoided(now) && preferred > 0 && float64(kept) >= floor*float64(total) {
			t.Fatalf("avoided server chosen above the floor: %+v", c)
		}
	})
}

// Guards against overloading the remaining servers when many servers are
// reported as failing at once.
func TestChooseKeepsFloor(t *testing.T) {
	list := servers(10)
	for i := range 6 {
		list[i].Load.AvoidUntil = now.Add(AvoidFor)
	}
	counts := shares(t, list, 0.7)
	for i, n := range counts {
		if inUse := i < 3 || i >= 6; inUse != (n > 0) {
			t.Errorf("server %d was chosen %d times; want three avoided servers back", i, n)
		}
	}
}

// Guards against a server that is avoided forever, because nothing is sent to it
// and so no response reports its recovery.
func TestAvoidanceEnds(t *testing.T) {
	list := servers(3)
	list[0].Load.AvoidUntil = now
	if counts := shares(t, list, 0); counts[0] == 0 {
		t.Error("the server is still avoided")
	}
}

// Guards against loaded servers that get as many requests as idle ones.
func TestChoosePrefersLowerLoad(t *testing.T) {
	list := servers(10)
	list[0].Load = reported(8, 4)
	list[1].Load = reported(0, 4)
	counts := shares(t, list, 0)
	if counts[0] != 0 || counts[1] < 1_700 {
		t.Errorf("loaded server chosen %d times, idle server %d times", counts[0], counts[1])
	}
}

// Guards against ignoring the limit of a server: a cold server with a limit of 1
// and one request is more loaded than a warm one with two of four.
func TestChooseCountsLoadPerSlot(t *testing.T) {
	list := servers(2)
	list[0].Load = reported(1, 1)
	list[1].Load = reported(2, 4)
	if counts := shares(t, list, 0); counts[0] != 0 {
		t.Errorf("cold server chosen %d times", counts[0])
	}
}

// Guards against all entry instances sending to a server of unknown load at
// once, and against none of them sending to it.
func TestUnknownServerGetsAnEqualShare(t *testing.T) {
	list := servers(10)
	list[4].Load = Load{}
	if counts := shares(t, list, 0); counts[4] < 700 || counts[4] > 1_300 {
		t.Errorf("unknown server chosen %d times of 10,000, want about 1,000", counts[4])
	}
}

// Guards against old load reports that affect the choice, and against ignoring
// the entry instance's own requests in flight when the report is old.
func TestOldReportsDoNotCount(t *testing.T) {
	list := servers(3)
	list[0].Load = Load{ReportedAt: now.Add(-time.Minute), InUse: 8, Limit: 4}
	if counts := shares(t, list, 0); counts[0] == 0 {
		t.Error("an old report keeps the server from being chosen")
	}
	list[0].Load.Pending = 3
	if counts := shares(t, list, 0); counts[0] != 0 {
		t.Error("pending requests do not count")
	}
}

// Guards against needless traffic between failure domains, and against a loaded
// domain that keeps its traffic while others are idle.
func TestChoosePrefersOwnDomain(t *testing.T) {
	list := servers(6)
	list[0].Local, list[1].Local = true, true
	if counts := shares(t, list, 0); counts[0]+counts[1] != 10_000 {
		t.Errorf("own domain got %d of 10,000 at equal load", counts[0]+counts[1])
	}
	list[0].Load, list[1].Load = reported(4, 4), reported(4, 4)
	if counts := shares(t, list, 0); counts[0]+counts[1] > 1_000 {
		t.Errorf("own domain got %d of 10,000 while it is more loaded", counts[0]+counts[1])
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 32, 320} {
		list := servers(n)
		for i := range n / 3 {
			list[i].Local = true
		}
		rng := rand.New(rand.NewPCG(1, 2))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Choose(now, rng, list, 0.5)
			}
		})
	}
}

// Guards against a request that queues behind another of the same entry instance
// while a server is idle: two random choices out of six usually miss the idle
// one.
func TestChooseFindsTheIdleServer(t *testing.T) {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		candidates := make([]Candidate, 6)
		for n := range candidates {
			i, ok := Choose(now, rng, candidates, 0)
			if !ok || candidates[i].Load.Pending > 0 {
				t.Fatalf("request %d went to a busy server: %+v", n, candidates)
			}
			candidates[i].Load.Pending++
		}
	}
}
