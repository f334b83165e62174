package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["14"] = playCold }

// Figures of the case. The bounds, the cold rate and the cold start are those of the users'
// pages.
const (
	coldStart     = 3 * time.Second
	coldAllowed   = 9.5*1.5 + 5
	evacuatedFor  = 5 * time.Second
	killAfterBack = 200 * time.Millisecond
	coldTraffic   = 800 // requests a second
	// Each of so many requests is a booking.
	bookingEach = 5
	// coldCrash is well above what a cold backend bears: twice what the rule allows.
	coldCrash = 39
)

// playCold empties a zone and takes it back, when its backends are cold, and with trouble
// kills the coordinator just after that. It counts what reached each cold backend in a second.
func playCold(p *play) int {
	p.putConfig(1, 0, 0)
	if !p.addBackends("board", 12, 4, 20*time.Millisecond) {
		return cannotRun
	}
	for _, b := range p.backends {
		b.coldCrash = coldCrash
	}
	if !p.startFleet(6) {
		return cannotRun
	}
	first := p.fleet.coordinator()
	if first == nil {
		p.printf("no instance has written the coordinator's record")
		return cannotRun
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	t := &traffic{answers: make(map[string]answer), bookings: make(map[string]bool)}
	wg.Go(func() { p.sendSteadily(stop, first, t) })
	time.Sleep(4 * time.Second)
	p.store.put("keyed.op", "op/evacuate/zone-a", []byte("{}"))
	p.printf("zone-a is to get nothing")
	time.Sleep(evacuatedFor)
	back := time.Now()
	for _, b := range p.backends {
		if b.zone == "zone-a" {
			b.turnCold(coldStart)
		}
	}
	p.store.put("keyed.op", "op/evacuate/zone-a", nil)
	p.printf("zone-a is taken back; its backends are cold for %v", coldStart)
	if p.trouble {
		time.Sleep(killAfterBack)
		first.kill()
		p.printf("instance %d, the coordinator, is killed", first.number)
		time.AfterFunc(time.Second, func() {
			_ = first.start()
			p.printf("instance %d is started again", first.number)
		})
	}
	time.Sleep(time.Until(back.Add(coldStart + 2*time.Second)))
	close(stop)
	wg.Wait()
	return p.judgeCold(back, t)
}

// traffic is what clients have sent.
type traffic struct {
	mu      sync.Mutex
	answers map[string]answer
	// bookings holds the ids of those that may run once at most.
	bookings map[string]bool
}

// sendSteadily sends lookups and bookings to all instances in turn, but to none that has ended.
func (p *play) sendSteadily(stop <-chan struct{}, mayEnd *instance, t *traffic) {
	c := newClient(64)
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-time.After(time.Second / coldTraffic):
		}
		i := p.fleet.instances[n%len(p.fleet.instances)]
		if i == mayEnd {
			continue
		}
		wg.Go(func() {
			method, path := http.MethodGet, "/look/1"
			if n%bookingEach == 0 {
				method, path = http.MethodPost, "/note/1"
			}
			a := ask(c, i.callers, method, path, 2*time.Second)
			t.mu.Lock()
			t.answers[a.id] = a
			t.bookings[a.id] = method == http.MethodPost
			t.mu.Unlock()
			p.printf("request %s sent to %d at %.3f, answered at %.3f with %d %v", a.id, i.number, p.at(a.sent), p.at(a.got), a.status, a.err)
		})
	}
}

// judgeCold looks for the second in which most requests were sent and reached a cold backend.
func (p *play) judgeCold(back time.Time, t *traffic) int {
	type hit struct{ sent, at time.Time }
	code, total, lost := held, 0, make(map[string]bool)
	for _, b := range p.backends {
		if b.zone != "zone-a" {
			continue
		}
		var cold []hit
		for _, a := range b.allArrivals() {
			if !a.at.Before(back) && a.at.Before(back.Add(coldStart)) {
				cold = append(cold, hit{t.answers[a.id].sent, a.at})
				if status := t.answers[a.id].status; b.crashCount() > 0 && t.bookings[a.id] && status != http.StatusOK && status != http.StatusServiceUnavailable {
					lost[a.id] = true
				}
				p.printf("request %s sent at %.3f reached %s, which is cold, at %.3f", a.id, p.at(t.answers[a.id].sent), b.id, p.at(a.at))
			}
		}
		most, from := 0, back
		for _, first := range cold {
			n := 0
			for _, h := range cold {
				if !h.sent.Before(first.sent) && h.at.Before(first.sent.Add(time.Second)) {
					n++
				}
			}
			if n > most {
				most, from = n, first.sent
			}
		}
		total += len(cold)
		p.printf("%s: %d requests while it was cold, at most %d sent and arrived in a second, from %.3f; allowed are %.2f; it crashed %d times", b.id, len(cold), most, p.at(from), coldAllowed, b.crashCount())
		if float64(most) > coldAllowed {
			code = broken
		}
	}
	p.printf("%d bookings that had reached a cold backend which crashed were lost: no success and no promise that they did not run", len(lost))
	if total == 0 {
		p.printf("nothing reached a cold backend")
		return cannotRun
	}
	return code
}
