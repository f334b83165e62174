package node

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/entry"
)

// startMeter forwards connections to an address and counts the bytes in both
// directions.
func startMeter(b *testing.B, to string, count *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	pipe := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			count.Add(int64(n))
			if n > 0 {
				_, _ = dst.Write(buf[:n])
			}
			if err != nil {
				_ = dst.Close()
				return
			}
		}
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			go pipe(in, out)
			go pipe(out, in)
		}
	}()
	return l.Addr().String()
}

// BenchmarkAdmitLocal measures an admission with 650,000 teams in the
// configuration, at an instance that is owner of every shard.
func BenchmarkAdmitLocal(b *testing.B) {
	const teams = 650_000
	list := make([]document.Team, teams)
	for i := range list {
		list[i] = document.Team{ID: fmt.Sprint("team-", i), Rate: 10, Burst: 30}
	}
	var before, after runtime.MemStats
	in, _ := startInstances(b, 1, nil, list...)
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		_ = in[0].budgets.Admit(context.Background(), list[i*7919%teams])
		i++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1e6, "MB")
	b.ReportMetric(float64(i), "admissions")
}

// BenchmarkAdmitRemote measures an admission whose shards are held by other
// instances, and the bytes on the wire for the acquire request and the report that
// follows.
func BenchmarkAdmitRemote(b *testing.B) {
	teams := make([]document.Team, 2000)
	for i := range teams {
		teams[i] = document.Team{ID: fmt.Sprint("team-", i), Rate: 10, Burst: 30}
	}
	var bytes atomic.Int64
	in, shared := startInstances(b, 4, func(to string) string { return startMeter(b, to, &bytes) }, teams...)
	// The admitting instance holds no rights of its own.
	shared.kill(in[0], false)
	time.Sleep(takeoverDelay)
	bytes.Store(0)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		_ = in[0].budgets.Admit(context.Background(), teams[i%len(teams)])
		i++
	}
	time.Sleep(100 * time.Millisecond)
	b.ReportMetric(float64(bytes.Load())/float64(i), "wire-B/op")
}

// BenchmarkClaimRemote measures claim, copy and settlement over loopback, with
// the bytes on the wire between the three instances.
func BenchmarkClaimRemote(b *testing.B) {
	var bytes atomic.Int64
	in, _ := startInstances(b, 3, func(to string) string { return startMeter(b, to, &bytes) })
	time.Sleep(3 * time.Second)
	idle := bytes.Load()
	time.Sleep(2 * time.Second)
	idle = (bytes.Load() - idle) / 2 / 3
	bytes.Store(0)
	b.ReportAllocs()
	i := 0
	start := time.Now()
	for b.Loop() {
		c := entry.Claim{Team: "t", Service: "s", Key: uuid.Must(uuid.NewV7()).String(), Digest: make([]byte, 32), Deadline: time.Now().Add(time.Second)}
		id, _, err := in[0].claims.Begin(context.Background(), c)
		if err != nil {
			b.Fatal(err)
		}
		in[0].claims.Settle(context.Background(), c, id, entry.SettleAnswered, &entry.RecordedResponse{Status: 201, Body: make([]byte, 200)})
		i++
	}
	renewals := time.Since(start).Seconds() * float64(bytesPerSecond(b, &bytes))
	b.ReportMetric(float64(idle), "idle-B/s/instance")
	b.ReportMetric((float64(bytes.Load())-renewals)/float64(i), "wire-B/op")
}

// bytesPerSecond returns the current idle traffic.
func bytesPerSecond(b *testing.B, count *atomic.Int64) int64 {
	before := count.Load()
	time.Sleep(time.Second)
	idle := count.Load() - before
	count.Add(-idle)
	return idle
}
