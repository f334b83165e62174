package main

import (
	"net/http"
	"sort"
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
	coldTraffic   = 600 // requests a second
)

// playCold empties a zone and takes it back, when its backends are cold, and with trouble
// kills the coordinator just after that. It counts what reached each cold backend in a second.
func playCold(p *play) int {
	p.putConfig(1, 0, 0)
	if !p.addBackends("desk", 3, 2, 20*time.Millisecond) || !p.addBackends("board", 12, 4, 20*time.Millisecond) || !p.startFleet(6) {
		return cannotRun
	}
	first := p.fleet.coordinator()
	if first == nil {
		p.printf("no instance has written the coordinator's record")
		return cannotRun
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { p.sendSteadily(stop, first) })
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
	return p.judgeCold(back)
}

// sendSteadily sends lookups to all instances in turn, but to none that has ended.
func (p *play) sendSteadily(stop <-chan struct{}, mayEnd *instance) {
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
			a := ask(c, i.callers, http.MethodGet, "/look/1", 2*time.Second)
			p.printf("request %s sent to %d at %.3f, answered at %.3f with %d %v", a.id, i.number, p.at(a.sent), p.at(a.got), a.status, a.err)
		})
	}
}

// judgeCold looks for the second in which most requests reached a cold backend.
func (p *play) judgeCold(back time.Time) int {
	code, total := held, 0
	for _, b := range p.backends {
		if b.zone != "zone-a" {
			continue
		}
		var cold []time.Time
		for _, a := range b.allArrivals() {
			if !a.at.Before(back) && a.at.Before(back.Add(coldStart)) {
				cold = append(cold, a.at)
				p.printf("request %s reached %s, which is cold, at %.3f", a.id, b.id, p.at(a.at))
			}
		}
		sort.Slice(cold, func(i, j int) bool { return cold[i].Before(cold[j]) })
		most, at := 0, back
		for i := range cold {
			n := sort.Search(len(cold)-i, func(k int) bool { return cold[i+k].Sub(cold[i]) >= time.Second })
			if n > most {
				most, at = n, cold[i]
			}
		}
		total += len(cold)
		p.printf("%s: %d requests while it was cold, at most %d in a second, from %.3f; allowed are %.2f", b.id, len(cold), most, p.at(at), coldAllowed)
		if float64(most) > coldAllowed {
			code = broken
		}
	}
	if total == 0 {
		p.printf("nothing reached a cold backend")
		return cannotRun
	}
	return code
}
