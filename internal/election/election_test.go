package election

import (
	"fmt"
	"testing"
)

func roster(n int) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: []string{"a", "b", "c"}[i%3], Capacity: 0.3})
	}
	return out
}

// Guards against a partition whose members must query many unreachable instances before
// they find a successor on their own side.
func TestEachDomainHasAnEarlySuccessor(t *testing.T) {
	domains := make(map[string]bool)
	for _, p := range SuccessionOrder(roster(40))[:3] {
		domains[p.Domain] = true
	}
	if len(domains) != 3 {
		t.Errorf("the first three successors are in %d failure domains", len(domains))
	}
}

// Guards against instances that derive different orders of succession from the same
// roster.
func TestOrderDoesNotDependOnTheListing(t *testing.T) {
	r := roster(40)
	want := SuccessionOrder(r)
	r[3], r[17], r[0], r[39] = r[17], r[3], r[39], r[0]
	for i, p := range SuccessionOrder(r) {
		if p != want[i] {
			t.Fatalf("place %d: %v and %v", i, p, want[i])
		}
	}
}

// Guards against a small instance that coordinates while larger ones are available.
func TestLargeInstancesGoFirst(t *testing.T) {
	r := roster(40)
	r[7].Capacity = 0.8
	if first := SuccessionOrder(r)[0:3]; first[0] != r[7] && first[1] != r[7] && first[2] != r[7] {
		t.Errorf("the large instance is not among the first of the domains: %v", first)
	}
	if !ShouldHandOver(r[0], r) || ShouldHandOver(r[7], r) {
		t.Error("a small coordinator does not hand over, or a large one does")
	}
}

// Guards against an instance that takes over although a coordinator is known or a
// candidate ahead of it is reachable, and against one that follows a blocked
// coordinator, or a lost one that only others still name.
func TestDecide(t *testing.T) {
	order := SuccessionOrder(roster(6))
	self, first, lost := order[2].Address, order[0].Address, order[5].Address
	candidates := order[:4]
	reached := func(from, coordinator string, members int) Reply {
		return Reply{From: from, Reached: true, Coordinator: coordinator, Members: members}
	}
	for _, c := range []struct {
		name    string
		replies []Reply
		blocked map[string]bool
		want    Action
	}{
		{"the first of the succession takes over, so wait", []Reply{reached(first, "", 0)}, nil, Action{}},
		{"nobody before self answers", []Reply{{From: first}}, nil, Action{TakeOver: true}},
		{"another coordinator is known", []Reply{reached(first, first, 3)}, nil, Action{Attach: first}},
		{"others still follow the lost one", []Reply{reached(first, lost, 3)}, nil, Action{}},
		{"the lost one says that it coordinates", []Reply{reached(first, "", 0), reached(lost, lost, 3)}, nil, Action{Attach: lost}},
		{"the larger of two", []Reply{reached(first, first, 3), reached(order[1].Address, order[1].Address, 9)}, nil, Action{Attach: order[1].Address}},
		{"one that could not be attached to", []Reply{reached(first, first, 3)}, map[string]bool{first: true}, Action{}},
	} {
		if got := Decide(self, false, candidates, c.replies, lost, c.blocked, false); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against instances that wait for a candidate that never takes over.
func TestDecidePassesOverAnIdleCandidate(t *testing.T) {
	order := SuccessionOrder(roster(6))
	replies := []Reply{{From: order[0].Address, Reached: true}, {From: order[1].Address, Reached: true}}
	if got := Decide(order[2].Address, false, order[:4], replies, "", nil, true); !got.TakeOver {
		t.Errorf("decided %+v while no candidate ahead takes over, want to take over", got)
	}
}

// Guards against seconds without a coordinator while members wait for one ahead of them that
// has just started or is stopping, and against passing over one that is about to take over.
func TestDecideWaitsForElectingCandidatesOnly(t *testing.T) {
	order := SuccessionOrder(roster(6))
	self, first := order[1].Address, order[0].Address
	for _, c := range []struct {
		name     string
		electing bool
		reply    Reply
		takeOver bool
	}{
		{"an idle one", true, Reply{Reached: true}, true},
		{"one that looks for the successor too", true, Reply{Reached: true, Electing: true}, false},
		{"one that has not noticed the loss", true, Reply{Reached: true, Coordinator: "lost"}, false},
		{"an idle one, and self has just started as well", false, Reply{Reached: true}, false},
	} {
		c.reply.From = first
		if got := Decide(self, c.electing, order[:2], []Reply{c.reply}, "lost", nil, false); got.TakeOver != c.takeOver {
			t.Errorf("%s is first: %+v, want to take over: %v", c.name, got, c.takeOver)
		}
	}
}

// Guards against two coordinators that both step down, or both stay.
func TestOneOfTwoStepsDown(t *testing.T) {
	for _, c := range [][2]int{{3, 3}, {1, 39}, {20, 19}} {
		a := ShouldStepDown("a", c[0], "b", c[1])
		b := ShouldStepDown("b", c[1], "a", c[0])
		if a == b {
			t.Errorf("with %v members both decide %v", c, a)
		}
	}
}

// Guards against an instance that never becomes one of its own candidates.
func TestCandidatesComeToIncludeSelf(t *testing.T) {
	order := SuccessionOrder(roster(40))
	last := order[39].Address
	for round := range 10 {
		for _, c := range Candidates(order, last, round) {
			if c.Address == last {
				return
			}
		}
	}
	t.Error("the last of the succession is no candidate after ten rounds")
}
