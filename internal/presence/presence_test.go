package presence

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against shares of several coordinators that exceed the whole fleet, whatever each of
// them has seen of the others' members.
func TestSharesOfAllSidesAreAtMostTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var roster []string
		for i := range rapid.IntRange(1, 30).Draw(t, "instances") {
			roster = append(roster, string(rune('a'+i)))
		}
		views := make([]*View, rapid.IntRange(1, 3).Draw(t, "coordinators"))
		for i := range views {
			views[i] = NewView(now, roster, now)
		}
		follows := make(map[string]int)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			address := rapid.SampledFrom(roster).Draw(t, "instance")
			if i, ok := follows[address]; ok {
				views[i].Lose(now, address)
				delete(follows, address)
				continue
			}
			i := rapid.IntRange(0, len(views)-1).Draw(t, "coordinator")
			views[i].Join(address)
			follows[address] = i
		}
		sum := 0.0
		for _, v := range views {
			sum += v.Share(now)
		}
		// A share of 0.95 counts as the whole.
		if sum > 1+(1-fullShare)+1e-9 {
			t.Errorf("shares add up to %.3f", sum)
		}
	})
}

// Guards against an instance that announced its end, or came back, and is still counted as
// missing.
func TestEvidenceEndsAbsence(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(now, []string{"a", "b", "c", "d"}, now)
	for _, address := range []string{"a", "b", "c", "d"} {
		v.Join(address)
	}
	v.Lose(now, "a")
	v.Lose(now, "b")
	if got := v.Share(now); got != 0.5 {
		t.Errorf("share %v with two of four lost", got)
	}
	v.Join("a")
	if got := v.Share(now); got != 0.75 {
		t.Errorf("share %v after one has come back", got)
	}
	v.Join("b")
	v.Leave("b")
	if got := v.Share(now); got != 1 || v.Missing() != 0 {
		t.Errorf("share %v, %d missing, after the other one has left", got, v.Missing())
	}
}

// storeOfRecords is the newest record of each coordinator.
type storeOfRecords map[string]Record

func (s storeOfRecords) readBy(address string) (out []Record) {
	for a, r := range s {
		if a != address {
			out = append(out, r)
		}
	}
	return out
}

// Guards against a bound that returns to the whole because time has passed: both sides of a cut
// grant it once they have forgotten each other's members.
func TestSidesOfALongCutDoNotForgetEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		n := rapid.IntRange(2, 40).Draw(t, "instances")
		var roster []string
		for i := range n {
			roster = append(roster, fmt.Sprint(i))
		}
		sides := rapid.IntRange(2, min(3, n)).Draw(t, "sides")
		views, store := make([]*View, sides), make(storeOfRecords)
		members := make([]int, sides)
		for i := range views {
			views[i] = NewView(start, roster, start)
		}
		for i, address := range roster {
			// The first instances are the coordinators.
			side := i
			if i >= sides {
				side = rapid.IntRange(0, sides-1).Draw(t, "side")
			}
			views[side].Join(address)
			members[side]++
		}
		// Each side is cut off from the store now and then. A majority that counts as the whole
		// has to read it now and then, to learn of a minority that comes back.
		away := make([]int, sides)
		phase := rapid.IntRange(0, 4).Draw(t, "phase")
		for second := range 200 {
			now := start.Add(time.Duration(second) * time.Second)
			for i, v := range views {
				if away[i]--; away[i] < -20 && rapid.IntRange(0, 20).Draw(t, "store away") == 0 {
					longest := 120
					if 2*members[i] > n {
						longest = int(MaxReadGap.Seconds()) - 10
					}
					away[i] = rapid.IntRange(1, longest).Draw(t, "for")
				}
				address := roster[i]
				if (second+i*phase)%5 == 0 {
					if away[i] > 0 {
						v.StoreFailed()
					} else {
						if v.Share(now) < 1 {
							store[address] = Record{Address: address, Written: now.UnixMilli(), Members: members[i]}
							v.StoreReached(now, true)
						}
						v.StoreRead(now, store.readBy(address))
					}
				}
				v.Forget(now)
			}
			sum := 0.0
			for _, v := range views {
				sum += v.Share(now)
			}
			if sum > 1+(1-fullShare)+1e-9 {
				t.Fatalf("after %d s the shares of sides with %v members add up to %.3f", second, members, sum)
			}
		}
	})
}

// Guards against a share that stays reduced for good after instances have ended for good, and
// against one that returns while the store is away or another coordinator writes to it.
func TestStoreSettlesAbsence(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		// records returns what is read at a time since the start; not ok is a failed read.
		records func(d time.Duration) (records []Record, ok bool)
		settles bool
	}{
		"quiet store":       {func(time.Duration) ([]Record, bool) { return nil, true }, true},
		"old record":        {func(time.Duration) ([]Record, bool) { return []Record{{Address: "x", Written: 1, Members: 9}}, true }, true},
		"store away":        {func(time.Duration) ([]Record, bool) { return nil, false }, false},
		"away now and then": {func(d time.Duration) ([]Record, bool) { return nil, d%(25*time.Second) != 0 }, false},
		"other coordinator": {func(d time.Duration) ([]Record, bool) {
			return []Record{{Address: "d", Written: int64(d / (25 * time.Second)), Members: 2}}, true
		}, false},
	} {
		v := NewView(start, []string{"a", "b", "c", "d"}, start)
		v.Join("a")
		v.Join("b")
		v.Join("c")
		for d := RecordInterval; d < 4*SettleTime; d += RecordInterval {
			if records, ok := c.records(d); ok {
				v.StoreRead(start.Add(d), records)
			} else {
				v.StoreFailed()
			}
			v.Forget(start.Add(d))
		}
		if settled := v.Share(start.Add(4*SettleTime)) == 1; settled != c.settles {
			t.Errorf("%s: share %v, %d missing, want settled %v", name, v.Share(start.Add(4*SettleTime)), v.Missing(), c.settles)
		}
	}
	v := NewView(start, []string{"a", "b", "c"}, start)
	v.Join("a")
	v.Join("b")
	v.StoreRead(start, nil)
	if v.Forget(start.Add(10 * SettleTime)); v.Missing() != 1 {
		t.Error("an instance is forgotten after one read of the store, long ago")
	}
}

// Guards against the members of a coordinator that no roster names not being counted, and
// against counting them once it has stepped down.
func TestMembersOfOthersAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(now, nil, now)
	v.Join("a")
	v.StoreRead(now, []Record{{Address: "b", Written: 1, Members: 5}})
	if got := v.Share(now); got != 1 {
		t.Errorf("share %v beside a coordinator that may have ended", got)
	}
	now = now.Add(RecordInterval)
	v.StoreRead(now, []Record{{Address: "b", Written: 2, Members: 3}, {Address: "b", Claim: true, Written: 1, Members: 1}})
	if got := v.Share(now); got != 0.25 {
		t.Errorf("share %v beside a coordinator of three", got)
	}
	v.Join("b")
	if got := v.Share(now); got != 1 {
		t.Errorf("share %v after the other coordinator has joined", got)
	}
	v.Lose(now, "b")
	v.StoreRead(now, []Record{{Address: "c", Written: 2, Members: 8}})
	if got := v.Share(now); got != 1.0/9 {
		t.Errorf("share %v beside one lost member and a coordinator of eight", got)
	}
	for range int(SettleTime / RecordInterval) {
		now = now.Add(RecordInterval)
		v.StoreRead(now, []Record{{Address: "c", Written: 2, Members: 8}})
		v.Forget(now)
	}
	if got := v.Share(now); got != 0.5 {
		t.Errorf("share %v with one lost member, after the other coordinator has fallen silent", got)
	}
}

// Guards against a minority that neither the fleet nor the store can see and that goes on
// granting its share while the others take its members for ended.
func TestUnseenMinorityGrantsNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	roster := []string{"a", "b", "c", "d", "e"}
	for members, want := range map[int]float64{2: 0, 3: 0.6} {
		v := NewView(start, roster, start)
		for _, address := range roster[:members] {
			v.Join(address)
		}
		if got := v.Share(start.Add(LeaseTime)); got != float64(members)/5 {
			t.Errorf("%d of 5: share %v while the store may come back", members, got)
		}
		later := start.Add(LeaseTime + time.Second)
		if got := v.Share(later); got != want {
			t.Errorf("%d of 5: share %v without the store, want %v", members, got, want)
		}
		v.StoreReached(later, false)
		if got := v.Share(later.Add(MaxReadGap)); got != want {
			t.Errorf("%d of 5: share %v without a record of its own, want %v", members, got, want)
		}
		v.StoreReached(later, true)
		if got := v.Share(later.Add(MaxReadGap - time.Millisecond)); got != want {
			t.Errorf("%d of 5: share %v before others have read its record, want %v", members, got, want)
		}
		if got := v.Share(later.Add(MaxReadGap)); got != float64(members)/5 {
			t.Errorf("%d of 5: share %v once others have read its record", members, got)
		}
	}
	// A successor knows when its predecessor was last in contact.
	v := NewView(start, roster, start.Add(-LeaseTime-time.Second))
	v.Join("a")
	if got := v.Share(start); got != 0 {
		t.Errorf("share %v of a successor in a minority, long after the last contact", got)
	}
}
