package dispatch

import (
	"fmt"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// BenchmarkOverload measures one arrival and one report while many requests wait, half
// of the servers are suspect and idle, and the others are full.
func BenchmarkOverload(b *testing.B) {
	for _, queued := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("servers=250/queued=%d", queued), func(b *testing.B) {
			d, now, running := overloaded(queued)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				p := running[i%len(running)]
				for _, x := range d.Done(now, Report{Permit: p.Number, Server: p.Server.ID, Outcome: Served, Took: serviceTime}) {
					if x.Permit != nil {
						running[i%len(running)] = x.Permit
					}
				}
				d.RequestPermit(now, overloadRequest(now, uint64(1_000_000+i)))
			}
		})
	}
}

func overloadRequest(now time.Time, number uint64) PermitRequest {
	return PermitRequest{Member: "a0", Number: number, Domain: "a", Route: "book", Deadline: now.Add(time.Hour), ArrivedAt: now, Resubmitted: true}
}

// overloaded returns a dispatcher with 250 servers and a queue, and the permits of the
// requests that run.
func overloaded(queued int) (*Dispatcher, time.Time, []*Permit) {
	now := time.Unix(1000, 0)
	policy := DefaultPolicy()
	policy.Admission.OverloadLoad, policy.Admission.SaturationLoad = 1e9, 1e9
	d := New(now, testBounds, &policy, 1)
	c := testConfig()
	c.Routes[0].Objective, c.Routes[0].Timeout = 100*time.Hour, 100*time.Hour
	d.SetConfig(now, c)
	d.SetMember("a0", "a", 1, false)
	for i := range 250 {
		d.SetServer(now, catalog.Server{ID: fmt.Sprintf("s%03d", i), Service: "desk", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: "a", Slots: 2})
		if i%2 == 0 {
			s := d.servers[fmt.Sprintf("s%03d", i)]
			for range 3 {
				s.observe(now, true)
			}
			s.lastUsed = now
		}
	}
	var running []*Permit
	for i := range 250 + queued {
		for _, x := range d.RequestPermit(now, overloadRequest(now, uint64(i))) {
			if x.Permit != nil {
				running = append(running, x.Permit)
			}
		}
	}
	return d, now, running
}
