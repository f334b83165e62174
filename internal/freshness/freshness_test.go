package freshness

import (
	"fmt"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

var start = time.Unix(1_800_000_000, 0)

func members(region string, n int) (list []roster.Member) {
	for i := range n {
		list = append(list, roster.Member{ID: fmt.Sprintf("%s-%d", region, i), Region: region})
	}
	return list
}

// Guards against an instance that serves an old configuration, or that refuses
// although its configuration is current, for each combination of log and peers
// that it can reach.
func TestReachability(t *testing.T) {
	const applied = 7
	rows := []struct {
		name       string
		log        bool // the instance reads the log
		peers      int  // how many of nine witnesses reply
		peerOffset uint64
		want       Reason
	}{
		{"log and peers", true, 9, applied, ByLog},
		{"log without peers, log up", true, 0, applied, ByLog},
		{"no log, peers have the log", false, 9, applied, ByPeers},
		{"no log, peers have it and are ahead", false, 9, applied + 1, Stale},
		{"no log for anybody", false, 5, applied, ByPeers},
		{"no log, peers behind", false, 9, applied - 1, ByPeers},
		{"no log, minority of peers", false, 4, applied, Stale},
		{"no log, no peers", false, 0, applied, Stale},
		// The peers receive the instance's requests over a link that is broken in
		// the other direction.
		{"no log, replies of peers lost", false, 0, 0, Stale},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := New("self")
			f.SetPeers(members("a", 9), nil)
			f.LogRead(start)
			f.Applied(applied)
			if got := f.Decide(start.Add(FreshFor - 1)); got != ByLog {
				t.Fatalf("before the last read is too old: %s", got)
			}
			now := start.Add(FreshFor)
			if row.log {
				f.LogRead(now.Add(-time.Second))
			}
			for i := range row.peers {
				f.Exchanged(fmt.Sprintf("a-%d", i), now.Add(-time.Second), row.peerOffset, -1)
			}
			if got := f.Decide(now); got != row.want {
				t.Fatalf("decided %s, want %s", got, row.want)
			}
			if got := f.Decide(now.Add(FreshFor)); got != Stale {
				t.Fatalf("without further confirmation: %s", got)
			}
		})
	}
}

// Guards against a region that is cut off serving on confirmations of its own
// members, which cannot know what the rest of the fleet has accepted.
func TestRegionCutOffIsStale(t *testing.T) {
	f := New("self")
	own, others := members("a", 9), append(members("b", 4), members("a", 2)...)
	f.SetPeers(own, others)
	for _, m := range append(own, others...) {
		if m.Region == "a" {
			f.Exchanged(m.ID, start, 0, -1)
		}
	}
	if got := f.Decide(start); got != Stale {
		t.Fatalf("decided %s", got)
	}
	for _, m := range others {
		f.Exchanged(m.ID, start, 0, -1)
	}
	if got := f.Decide(start); got != ByPeers {
		t.Fatalf("with the other regions: %s", got)
	}
}

// Guards against a single instance refusing while the log is down, and against
// an instance without a roster serving before it has read anything.
func TestAlone(t *testing.T) {
	f := New("self")
	if got := f.Decide(start); got != Stale {
		t.Fatalf("without roster: %s", got)
	}
	f.SetPeers([]roster.Member{{ID: "self"}}, nil)
	if got := f.Decide(start); got != ByPeers {
		t.Fatalf("alone: %s", got)
	}
}
