package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// smallCores and largeCores are the smallest and the largest machines of the pages.
	smallCores, largeCores = "0.16", "0.8"
	// perSecondOfLarger is what the team sends: some times its rate.
	perSecondOfLarger = 120
)

// larger plays: a machine with more cores is added to one zone of a fleet of small ones.
// Without the disruption a small one is added.
func larger(e *env) bool {
	e.store.put("keyed.op", "config", []byte(bookingConfig))
	var backends []*backend
	for i := range 12 {
		b := newBackend(fmt.Sprintf("i-%d", i), "berthdesk", zones[i%3], func(*http.Request) (time.Duration, []byte) { return bookingTime, []byte("booked") })
		backends = append(backends, b)
		go b.register(e.store, 0)
	}
	f := e.fleet
	var first []*instance
	for n := range 2 {
		for _, zone := range zones {
			i := f.newInstance(fmt.Sprintf("front-%s-%d", zone, n+1), zone)
			i.cores = smallCores
			first = append(first, i)
		}
	}
	f.seeds = []string{first[0].peer, first[1].peer, first[2].peer}
	for _, i := range first {
		f.start(i, true)
	}
	f.awaitReady()
	go f.checkReadiness()
	time.Sleep(4 * time.Second)
	sent := &sentRequests{at: make(map[string]time.Time)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		sent.book(e, perSecondOfLarger, loadTime)
	}()
	time.Sleep(5 * time.Second)
	added := f.newInstance("front-added", zones[0])
	added.cores = smallCores
	if e.trouble {
		added.cores = largeCores
	}
	f.start(added, false)
	<-done
	time.Sleep(time.Second)
	return quotaHeld(e, sent, backends)
}
