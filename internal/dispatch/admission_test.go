package dispatch

import (
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/errkind"
)

// Guards against queueing requests that cannot be served in time.
func TestUnservableRequestsAreRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.permit("book")
	f.permit("book")
	refused := 0
	for range 60 {
		for _, d := range f.request("book", nil) {
			if d.Refusal != nil && d.Refusal.Kind == errkind.Overloaded {
				refused++
			}
		}
	}
	if refused == 0 {
		t.Error("60 requests wait for two slots although 2 s do not suffice")
	}
}

// Guards against sending a request that will be cut off by its deadline while the
// server runs it.
func TestTooLateRequestIsNotSent(t *testing.T) {
	f := newFixture(t, 1)
	for range 20 {
		f.done(f.permit("book"), Served)
	}
	f.permit("book")
	p := f.permit("book")
	if out := f.request("book", func(req *PermitRequest) { req.Deadline = f.now.Add(300 * time.Millisecond) }); len(out) != 0 {
		t.Fatalf("decided at once: %+v", out)
	}
	f.now = f.now.Add(220 * time.Millisecond)
	out := append(f.d.Tick(f.now), f.done(p, Served)...)
	if len(out) != 1 || out[0].Refusal == nil {
		t.Errorf("request with 80 ms left for 200 ms of work: %+v", out)
	}
}

// Guards against a queue that makes every response late: under twice the load that
// can be served, the requests that are served meet their latency objective.
func TestOverloadAnswersSomeOnTime(t *testing.T) {
	f := newFixture(t, 4)
	type job struct {
		p     *Permit
		since time.Time
		at    time.Time
	}
	since := make(map[uint64]time.Time)
	var jobs []job
	onTime, late := 0, 0
	start := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Permit != nil {
				jobs = append(jobs, job{d.Permit, since[d.RequestNumber], f.now.Add(200 * time.Millisecond)})
			}
		}
	}
	for i := range 1000 {
		f.now = f.now.Add(10 * time.Millisecond)
		if i%5 < 4 {
			since[f.next+1] = f.now
			start(f.request("book", func(req *PermitRequest) { req.Deadline = f.now.Add(2500 * time.Millisecond) }))
		}
		due := jobs
		jobs = nil
		for _, j := range due {
			if j.at.After(f.now) {
				jobs = append(jobs, j)
				continue
			}
			if f.now.Sub(j.since) <= 800*time.Millisecond {
				onTime++
			} else {
				late++
			}
			start(f.done(j.p, Served))
		}
		if i%3 == 0 {
			start(f.d.Tick(f.now))
		}
	}
	if onTime < 300 {
		t.Errorf("of 400 requests that fit into 10 s %d were served within the objective, %d late", onTime, late)
	}
}

// Guards against granting a permit to a queued request whose route is not in the
// configuration any more.
func TestQueuedRequestOfRemovedRouteIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	f.permit("book")
	f.permit("book")
	if out := f.request("look", nil); len(out) != 0 {
		t.Fatalf("decided at once: %+v", out)
	}
	c := testConfig()
	c.Version, c.Routes = 2, c.Routes[:1]
	out := f.d.SetConfig(f.now, c)
	if len(out) != 1 || out[0].Refusal == nil || out[0].Refusal.Kind != errkind.NoRoute {
		t.Fatalf("queued request after its route was removed: %+v", out)
	}
}

// Guards against a coordinator whose work grows with the square of the queue length.
func BenchmarkAskWithLongQueue(b *testing.B) {
	t := &testing.T{}
	f := newFixture(t, 160)
	for range 320 {
		f.request("book", nil)
	}
	for range 300 {
		f.request("book", func(req *PermitRequest) { req.Deadline = f.now.Add(time.Hour) })
	}
	for b.Loop() {
		f.next++
		f.d.RequestPermit(f.now, PermitRequest{Member: "a0", Number: f.next, Domain: "a", Route: "book", Deadline: f.now.Add(time.Hour), ArrivedAt: f.now})
		f.d.Withdraw("a0", f.next)
	}
}
