package main

import (
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { cases["14"] = playPoison }

// Figures of the case.
const (
	// poisonFor is how long the request comes again, poisonGap the time between.
	poisonFor = 68 * time.Second
	poisonGap = time.Second
	// downAfterCrash is how long a backend is away after a crash.
	downAfterCrash = 3 * time.Second
	contact        = 3 * time.Second
	allowedRetries = 3
	poisonPath     = "/look/poison"
)

// playPoison sends a request again and again that, with trouble, crashes each backend that
// begins to run it, and counts how often it reaches backends once it has crashed three.
func playPoison(p *play) int {
	p.putConfig(1, 0, 0)
	if !p.addBackends("desk", 3, 2, 20*time.Millisecond) || !p.addBackends("board", 9, 4, 20*time.Millisecond) {
		return cannotRun
	}
	for _, b := range p.backends {
		if p.trouble {
			b.crashesOn = poisonPath
		}
	}
	if !p.startFleet(6) {
		return cannotRun
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	failed, others := 0, 0
	wg.Go(func() { failed, others = p.lookSlowly(stop) })
	c := newClient(1)
	sentAt := make(map[string]time.Time)
	for n, end := 0, time.Now().Add(poisonFor); time.Now().Before(end); n++ {
		i := p.fleet.instances[n%len(p.fleet.instances)]
		a := ask(c, i.callers, http.MethodGet, poisonPath, 2*time.Second)
		sentAt[a.id] = a.sent
		p.printf("the request %s sent to %d at %.3f, answered at %.3f with %d %v", a.id, i.number, p.at(a.sent), p.at(a.got), a.status, a.err)
		time.Sleep(poisonGap)
	}
	close(stop)
	wg.Wait()
	p.printf("%d of %d other lookups were not served", failed, others)
	type hit struct {
		at time.Time
		by string
		id string
	}
	var hits []hit
	for _, b := range p.backends {
		for _, r := range b.allRuns() {
			if _, ok := sentAt[r.id]; ok {
				hits = append(hits, hit{r.began, b.id, r.id})
			}
		}
	}
	sort.Slice(hits, func(i, j int) bool { return hits[i].at.Before(hits[j].at) })
	for n, h := range hits {
		p.printf("arrival %d of the request: %s at %s at %.3f", n+1, h.id, h.by, p.at(h.at))
	}
	if !p.trouble {
		if len(hits) == 0 {
			return cannotRun
		}
		p.printf("the request crashed nothing and ran %d times", len(hits))
		return held
	}
	if len(hits) < 3 {
		return cannotRun
	}
	late := 0
	for _, h := range hits[3:] {
		if sentAt[h.id].After(hits[2].at.Add(contact)) {
			late++
		}
	}
	p.printf("%d arrivals were sent later than contact after the third crash; allowed are %d", late, allowedRetries)
	if late > allowedRetries {
		return broken
	}
	return held
}

// lookSlowly sends other lookups, and returns how many of them were not served.
func (p *play) lookSlowly(stop <-chan struct{}) (failed, sent int) {
	c := newClient(4)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return failed, sent
		case <-time.After(100 * time.Millisecond):
		}
		i := p.fleet.instances[n%len(p.fleet.instances)]
		a := ask(c, i.callers, http.MethodGet, "/look/1", 2*time.Second)
		sent++
		if a.err != nil || !a.signed {
			failed++
		}
		p.printf("request %s sent to %d at %.3f, answered at %.3f with %d %v", a.id, i.number, p.at(a.sent), p.at(a.got), a.status, a.err)
	}
}
