package claim

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"
)

// BenchmarkClaims measures claim and settlement at an owner without replicas, and
// reports claims per MB of heap without and with a response body of 200 bytes.
func BenchmarkClaims(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, body := range []int{0, 200} {
		b.Run(map[int]string{0: "no answer", 200: "200 B answer"}[body], func(b *testing.B) {
			t := NewTable("i0", 4<<30, 1, now)
			for i := range Buckets {
				t.BeginTenure(BucketName(i), now, true)
			}
			one := func(i int) {
				var e Execution
				binary.BigEndian.PutUint64(e[:], uint64(i))
				h := Hash(e)
				binary.BigEndian.PutUint16(h[:], uint16(i*40503))
				q := Request{Hash: h, Execution: e, Deadline: time.Second}
				t.Begin(now, q)
				t.Confirm(now, h, e, now, nil)
				a := &Response{Status: 201}
				if body > 0 {
					a.Body = make([]byte, body)
				}
				t.Settle(now, h, e, OutcomeAnswered, a)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			const filled = 200_000
			for i := range filled {
				one(i)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			accounted := t.Bytes()
			b.ReportAllocs()
			for i := filled; b.Loop(); i++ {
				one(i)
			}
			b.ReportMetric(filled/(float64(after.HeapAlloc-before.HeapAlloc)/1e6), "claims/MB")
			b.ReportMetric(filled/(float64(accounted)/1e6), "accounted/MB")
		})
	}
}
