package budget

import (
	"runtime"
	"strconv"
	"testing"
	"time"
)

// heapBytes returns the bytes in use after a collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkEntry measures an admission at an entry instance with 650,000 active
// teams: a poll without reserve, the reply of the owner, the poll that admits. It
// reports the heap per active team.
func BenchmarkEntry(b *testing.B) {
	const teams = 650_000
	ids := make([]string, teams)
	for i := range ids {
		ids[i] = "team-" + strconv.Itoa(i)
	}
	l, now := NewLimiter(), epoch
	before := heapBytes()
	admit := func(i int) {
		tm := Team{ID: ids[i], Limits: Limits{Rate: 10, Burst: 30}, Shards: 3}
		var req Request
		d := l.Poll(now, tm, &req)
		for _, a := range d.Acquires {
			l.HandleReply(now, a, AcquireReply{IsOwner: true, Granted: a.Want, Level: 9})
		}
		for _, a := range l.Poll(now, tm, &req).Acquires {
			l.HandleReply(now, a, AcquireReply{IsOwner: true, Level: 9})
		}
	}
	for i := range teams {
		admit(i)
	}
	used := heapBytes() - before
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Second / 1520)
		admit(i * 7919 % teams)
	}
	b.ReportMetric(float64(used)/teams, "B/team")
}

// BenchmarkEntryReserve measures an admission from the reserve of a busy team.
func BenchmarkEntryReserve(b *testing.B) {
	l, now := NewLimiter(), epoch
	tm := Team{ID: "t", Limits: Limits{Rate: 1e6, Burst: 1e6}, Shards: 3}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond * 10)
		var req Request
		for d := l.Poll(now, tm, &req); ; d = l.Poll(now, tm, &req) {
			for _, a := range d.Acquires {
				l.HandleReply(now, a, AcquireReply{IsOwner: true, Granted: a.Want, Level: 9e5})
			}
			if d.State == Admitted {
				break
			}
		}
	}
}

// BenchmarkShardOwner measures an acquire request at the owner of 1,000 shards, each
// with 2 requests/s for one token and a report of the previous one. It reports the
// heap per shard.
func BenchmarkShardOwner(b *testing.B) {
	const shards = 1000
	ids := make([]string, shards)
	for i := range ids {
		ids[i] = "team-" + strconv.Itoa(i)
	}
	owner, start, now := NewShardOwner(), epoch, epoch.Add(time.Hour)
	before := heapBytes()
	acquire := func(i int) {
		seq := uint64(i)
		src := Source{Instance: "instance-" + strconv.Itoa(i%25), Incarnation: 1}
		owner.Acquire(now, start, Limits{Rate: 3, Burst: 10}, src, AcquireRequest{Team: ids[i%shards], Sequence: seq, Want: 1,
			Uses: []TokenUse{{Sequence: seq - 25*shards, Spent: 1}}})
		now = now.Add(time.Second / (2 * shards))
	}
	for i := range 10 * shards {
		acquire(i + 100*shards)
	}
	used := heapBytes() - before
	b.ReportAllocs()
	for i := 110 * shards; b.Loop(); i++ {
		acquire(i)
	}
	b.ReportMetric(float64(used)/shards, "B/shard")
}
