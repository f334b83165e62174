package presence

import (
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
			views[i] = NewView(now, roster)
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
			sum += v.Share()
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
	v := NewView(now, []string{"a", "b", "c", "d"})
	for _, address := range []string{"a", "b", "c", "d"} {
		v.Join(address)
	}
	v.Lose(now, "a")
	v.Lose(now, "b")
	if got := v.Share(); got != 0.5 {
		t.Errorf("share %v with two of four lost", got)
	}
	v.Join("a")
	if got := v.Share(); got != 0.75 {
		t.Errorf("share %v after one has come back", got)
	}
	v.Join("b")
	v.Leave("b")
	if got := v.Share(); got != 1 || v.Missing() != 0 {
		t.Errorf("share %v, %d missing, after the other one has left", got, v.Missing())
	}
}
