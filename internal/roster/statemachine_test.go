package roster

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawRecords(t *rapid.T) []Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Kind: rapid.SampledFrom([]Kind{Join, Drain, Leave, Down}).Draw(t, "kind"),
			Member: Member{
				ID:            fmt.Sprintf("i-%d", rapid.IntRange(0, 3).Draw(t, "id")),
				Incarnation:   uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				FailureDomain: "a", Region: "r",
			},
			Ends: uint64(rapid.IntRange(0, 2).Draw(t, "ends")),
		}
	}), 1, 30).Draw(t, "records")
}

// Guards against an append that is repeated after a lost response reviving a
// member or changing who is active.
func TestStateMachineIgnoresRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		once, again := NewStateMachine(true), NewStateMachine(true)
		var offset uint64
		for _, rec := range records {
			offset++
			once.Apply(offset, rec)
			again.Apply(offset, rec)
		}
		for _, rec := range records {
			offset++
			again.Apply(offset, rec)
		}
		for _, m := range once.Roster().Members() {
			n, _ := again.Roster().Find(m.Ref())
			if n.State < m.State {
				t.Fatalf("%v moved back from %d to %d", m.Ref(), m.State, n.State)
			}
			if m.State == Gone && n != m {
				t.Fatalf("a repeat changed %+v to %+v", m, n)
			}
		}
		ids := func(f *StateMachine) (ids []Ref) {
			for _, m := range f.Roster().Active(Scope{}) {
				ids = append(ids, m.Ref())
			}
			return ids
		}
		for _, ref := range ids(again) {
			if m, _ := once.Roster().Find(ref); m.State != Active {
				t.Fatalf("a repeat revived %v", ref)
			}
		}
	})
}

// Guards against a reader that starts from a snapshot disagreeing with one
// that read the whole log, including the witness sets of earlier epochs.
func TestResumeEqualsWholeLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		cut := rapid.IntRange(1, len(records)).Draw(t, "cut")
		whole, head := NewStateMachine(true), NewStateMachine(true)
		for i, rec := range records {
			whole.Apply(uint64(i+1), rec)
			if i < cut {
				head.Apply(uint64(i+1), rec)
			}
		}
		rest := Resume(New(head.Epoch(), head.Roster().Members()))
		for i := cut; i < len(records); i++ {
			rest.Apply(uint64(i+1), records[i])
		}
		if a, b := whole.Roster().Members(), rest.Roster().Members(); !reflect.DeepEqual(a, b) {
			t.Fatalf("whole log %+v, from snapshot %+v", a, b)
		}
		m := records[0].Member
		a, _ := whole.Roster().WitnessSets(m, 1, 2)
		b, _ := rest.Roster().WitnessSets(m, 1, 2)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("witness sets %+v and %+v", a, b)
		}
	})
}

// Guards against requests with opaque idempotency keys being executed twice
// because a member that is not the first of the fleet is taken for a founding
// one.
func TestOnlyFirstJoinOfTheLogIsFounding(t *testing.T) {
	join := func(id string) Record {
		return Record{Kind: Join, Member: Member{ID: id, Incarnation: 1, Founding: true}}
	}
	whole := NewStateMachine(true)
	whole.Apply(3, join("a"))
	whole.Apply(4, join("b"))
	partial := NewStateMachine(false)
	partial.Apply(3, join("a"))
	founding := func(f *StateMachine, id string) bool { m, _ := f.Roster().Get(id); return m.Founding }
	if !founding(whole, "a") || founding(whole, "b") || founding(partial, "a") {
		t.Fatal("founding flags are wrong")
	}
}

// Guards against a witness set that the loss of one failure domain reduces
// below a majority.
func TestWitnessesSurviveTheLossOfADomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(3, 5).Draw(t, "domains")
		n := rapid.IntRange(4*domains, 60).Draw(t, "members")
		var members []Member
		for i := range n {
			members = append(members, Member{ID: fmt.Sprintf("i-%d", i), Incarnation: 1, Region: "r",
				FailureDomain: fmt.Sprintf("d-%d", i%domains)})
		}
		r := New(1, members)
		set := r.Witnesses(members[0], DefaultWitnesses)
		lost := make(map[string]int)
		for _, w := range set {
			if w.ID == members[0].ID {
				t.Fatal("a member of a large fleet is its own witness")
			}
			lost[w.FailureDomain]++
		}
		for domain, k := range lost {
			if len(set)-k < Majority(len(set)) {
				t.Fatalf("%d of %d witnesses are in %s", k, len(set), domain)
			}
		}
	})
}

// Guards against a partitioned region taking its own members for a majority of
// the fleet, which would let it serve an old configuration.
func TestRegionPeersHaveNoMajorityInOwnRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 4).Draw(t, "regions")
		var members []Member
		for i := range rapid.IntRange(regions, 40).Draw(t, "members") {
			members = append(members, Member{ID: fmt.Sprintf("i-%d", i), Region: fmt.Sprintf("r-%d", i%regions)})
		}
		peers := New(1, members).RegionPeers(members[0], rapid.IntRange(3, 9).Draw(t, "k"))
		own := 0
		for _, p := range peers {
			if p.Region == members[0].Region {
				own++
			}
		}
		if regions == 1 && len(peers) > 0 || len(peers) > 0 && own >= Majority(len(peers)) {
			t.Fatalf("%d of %d peers are in the own region", own, len(peers))
		}
	})
}

func targetRoster() *Roster {
	var members []Member
	for i := range 2500 {
		members = append(members, Member{ID: fmt.Sprintf("instance-%04d", i), Incarnation: 1,
			FailureDomain: fmt.Sprintf("domain-%02d", i%13), Region: fmt.Sprintf("region-%d", i%13/4)})
	}
	return New(1, members)
}

// BenchmarkFirst190000Servers finds the holders of all servers at the target
// size once, each among the 192 members of its failure domain.
func BenchmarkFirst190000Servers(b *testing.B) {
	r := targetRoster()
	keys := make([]string, 190_000)
	for i := range keys {
		keys[i] = fmt.Sprintf("server/server-%06d", i)
	}
	var scopes []Scope
	for i := range 13 {
		scopes = append(scopes, Scope{fmt.Sprintf("region-%d", i/4), fmt.Sprintf("domain-%02d", i)})
	}
	b.ReportAllocs()
	for b.Loop() {
		for i, key := range keys {
			if _, ok := r.First(key, scopes[i%13], nil); !ok {
				b.Fatal("no holder")
			}
		}
	}
}

func BenchmarkRank192(b *testing.B) {
	r := targetRoster()
	for b.Loop() {
		r.Rank("server/server-000001", Scope{"region-0", "domain-00"})
	}
}

func BenchmarkWitnesses(b *testing.B) {
	r := targetRoster()
	m, _ := r.Get("instance-0000")
	for b.Loop() {
		r.Witnesses(m, 5)
	}
}
