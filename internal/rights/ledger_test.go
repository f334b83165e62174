package rights

import (
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// Guards against the first member of a failure domain treating its servers as
// busy with requests of predecessors that never existed, and against a later
// member assuming that the requests of a live predecessor have ended.
func TestFirstOfADomainHasNoPredecessor(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	scope := roster.Scope{FailureDomain: "b"}
	for _, c := range []struct {
		domain string
		want   bool
	}{{"a", true}, {"b", false}} {
		stateMachine := roster.NewStateMachine(true)
		for i, m := range []roster.Member{{ID: "x", Incarnation: 1, Region: "r", FailureDomain: c.domain}, {ID: "y", Incarnation: 1, Region: "r", FailureDomain: "b"}} {
			stateMachine.Apply(uint64(i+1), roster.Record{Kind: roster.Join, Member: m})
		}
		self, _ := stateMachine.Roster().Get("y")
		l := NewLedger(self)
		l.Apply(now, stateMachine.Roster())
		l.Settle(now, Region, false)
		l.SetLease(now.Add(time.Hour))
		key := ""
		for i := byte('a'); key == ""; i++ {
			if m, ok := l.Holder(ServerKey(string(i)), scope); ok && m.ID == "y" {
				key = ServerKey(string(i))
			}
		}
		if tenure, held := l.Tenure(now.Add(SuccessorGuard), key, scope); !held || tenure.Moved == (c.domain == "a") {
			// Guards also against slots held for minutes after a move between
			// live members.
			t.Errorf("predecessor in %s: held %v, %+v", c.domain, held, tenure)
		}
		if _, held := l.Tenure(now, key, scope); held {
			t.Error("held before the guard has passed")
		}
		tenure, held := l.Tenure(now.Add(SuccessorGuard), key, scope)
		if !held || tenure.Released != c.want {
			t.Errorf("earlier member in %s: held %v, released %v, want %v", c.domain, held, tenure.Released, c.want)
		}
	}
}

// Guards against counting the slots of a dead owner as busy until the longest
// route timeout although its process, and with it its requests, has ended.
func TestEndedProcessReleases(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	stateMachine := roster.NewStateMachine(true)
	for i, id := range []string{"x", "y", "z"} {
		stateMachine.Apply(uint64(i+1), roster.Record{Kind: roster.Join, Member: roster.Member{ID: id, Incarnation: 1, Region: "r", FailureDomain: "b"}})
	}
	scope := roster.Scope{FailureDomain: "b"}
	self, _ := stateMachine.Roster().Get("y")
	l := NewLedger(self)
	l.Apply(now, stateMachine.Roster())
	l.Settle(now, Region, false)
	l.SetLease(now.Add(time.Hour))
	key := ""
	for i := byte('a'); key == ""; i++ {
		rank := l.Rank(ServerKey(string(i)), scope)
		if rank[0].ID == "x" && rank[1].ID == "y" {
			key = ServerKey(string(i))
		}
	}
	fenced := now.Add(time.Minute)
	x, _ := stateMachine.Roster().Get("x")
	l.Fence(fenced, x.Ref())
	if list := l.PossiblyRunning(fenced, time.Second); len(list) != 1 || list[0].ID != "x" {
		t.Fatalf("possibly running: %v", list)
	}
	after := fenced.Add(SuccessorGuard)
	if tenure, held := l.Tenure(after, key, scope); !held || tenure.Released || tenure.Moved {
		t.Fatalf("after the fence: held %v, %+v", held, tenure)
	}
	l.Stopped(x.Ref())
	if _, held := l.Tenure(after.Add(-1), key, scope); held {
		t.Error("the successor acts before the guard has passed")
	}
	if tenure, held := l.Tenure(after, key, scope); !held || !tenure.Released || len(l.PossiblyRunning(fenced, time.Second)) != 0 {
		t.Errorf("after the process ended: held %v, %+v", held, tenure)
	}
}
