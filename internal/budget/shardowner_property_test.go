package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// heldGrant is a grant as the simulated entry instances of TestOwnerBoundsAnyEntry
// know it.
type heldGrant struct {
	use         TokenUse
	acquireSent time.Duration
	left        uint32
}

// TestOwnerBoundsAnyEntry guards against more than rate x window + burst tokens
// spent by entry instances that spend, return and report correctly but at any
// time, while messages are lost, repeated and delayed and the owner changes. The
// simulated entry instances of TestNeverOverRateAndBurst spend soon and so leave
// late spends untested.
func TestOwnerBoundsAnyEntry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := Limits{
			Rate:  rapid.Float64Range(0.5, 20).Draw(rt, "rate"),
			Burst: float64(rapid.IntRange(1, 12).Draw(rt, "burst")),
		}
		offset := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "offset"))
		var now, since time.Duration = time.Hour, 0
		clock := func(d time.Duration) time.Time { return epoch.Add(offset + d) }
		type reply struct {
			sequence uint64
			AcquireReply
		}
		owner, grants := NewShardOwner(), map[uint64]*heldGrant{}
		var acquires []AcquireRequest
		var replies []reply
		var spends []time.Duration
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		any := func() *heldGrant {
			g := grants[uint64(rapid.IntRange(1, len(grants)).Draw(rt, "grant"))]
			if now >= g.acquireSent+GrantTTL {
				g.left = 0
			}
			return g
		}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch op := rapid.IntRange(0, 12).Draw(rt, "op"); {
			case op <= 1:
				now += time.Duration(rapid.IntRange(1, 700).Draw(rt, "ms")) * time.Millisecond
			case op <= 4 || len(grants) == 0:
				acquire := AcquireRequest{Team: "t", Sequence: uint64(len(grants) + 1), Want: uint32(rapid.IntRange(0, 12).Draw(rt, "want"))}
				for seq := range uint64(len(grants)) {
					if g := grants[seq+1]; g.use.Spent+g.use.Returned > 0 && rapid.Bool().Draw(rt, "report") {
						acquire.Uses = append(acquire.Uses, g.use)
					}
				}
				grants[acquire.Sequence] = &heldGrant{use: TokenUse{Sequence: acquire.Sequence}, acquireSent: now}
				acquires = append(acquires, acquire)
			case op <= 7 && len(acquires) > 0:
				// Usually the newest message; an older one is late or repeated.
				i := len(acquires) - 1
				if op == 7 {
					i = pick(len(acquires))
				}
				r := owner.Acquire(clock(now), clock(since), limits, Source{"a", 1}, acquires[i])
				replies = append(replies, reply{acquires[i].Sequence, r})
				if op == 5 {
					now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "delay")) * time.Millisecond
				}
				got := replies[len(replies)-1]
				if op == 7 {
					got = replies[pick(len(replies))]
				}
				if g := grants[got.sequence]; g.use.Spent+g.use.Returned+g.left == 0 && now < g.acquireSent+GrantTTL {
					g.left = got.Granted
				}
			case op <= 10:
				if g := any(); g.left > 0 {
					n := uint32(rapid.IntRange(1, int(g.left)).Draw(rt, "spend"))
					g.left -= n
					g.use.Spent += n
					for range n {
						spends = append(spends, now)
					}
				}
			case op == 11:
				if g := any(); g.left > 0 {
					n := uint32(rapid.IntRange(1, int(g.left)).Draw(rt, "return"))
					g.left -= n
					g.use.Returned += n
				}
			case rapid.IntRange(0, 4).Draw(rt, "move") == 0:
				owner, since = NewShardOwner(), now
			}
		}
		if over := excess(limits, spends); over > 1e-6 {
			rt.Fatalf("%d tokens spent, %.3f too many in the worst window", len(spends), over)
		}
	})
}
