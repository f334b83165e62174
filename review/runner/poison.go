package main

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonEvery is how often the request comes again that brings servers down.
	poisonEvery = 2 * time.Second
	// downTime is how long a server is down after a crash; coldTime is how long its
	// successor is cold.
	downTime, coldTime = 3 * time.Second, 3 * time.Second
	poisonTime         = 84 * time.Second
	otherBookings      = 70
	otherTime          = 220 * time.Millisecond
	// mostRetries is how many retries rule BUDGET allows.
	mostRetries = 3
)

// crashLog holds when a request reached servers and brought them down.
type crashLog struct {
	mu      sync.Mutex
	e       *env
	crashes []time.Time
	started int
}

// serve starts a server of the service that goes down on the request, and another one, with
// a new ID and address, some seconds after each crash.
func (c *crashLog) serve(zone string, cold time.Duration) {
	c.mu.Lock()
	c.started++
	id := fmt.Sprintf("i-%d", c.started)
	c.mu.Unlock()
	b := newBackend(id, "berthdesk", zone, func(*http.Request) (time.Duration, []byte) { return otherTime, []byte("booked") })
	b.server.Config.ErrorLog = log.New(io.Discard, "", 0)
	b.crashes = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/book/poison") }
	b.crashed = func(request string) {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		n := len(c.crashes)
		c.mu.Unlock()
		c.e.rec.event("request %s brings server %s down, the %d-th", request, id, n)
		go func() {
			time.Sleep(downTime)
			c.serve(zone, coldTime)
		}()
	}
	go b.register(c.e.store, cold)
}

// poison plays: a request that brings down each server that begins to run it comes again
// and again, with the same path, caller and body, at any instance, while others book.
func poison(e *env) bool {
	e.store.put("keyed.op", "config", []byte(strings.Replace(bookingConfig, fmt.Sprintf("%d,%d]]}}", teamRate, teamBurst), "0,0]]}}", 1)))
	c := &crashLog{e: e}
	for i := range 12 {
		c.serve(zones[i%3], 0)
	}
	f := e.fleet
	list := []*instance{f.newInstance("front-a1", zones[0]), f.newInstance("front-b1", zones[1]), f.newInstance("front-c1", zones[2])}
	f.seeds = []string{list[0].peer, list[1].peer, list[2].peer}
	for _, i := range list {
		f.start(i, true)
	}
	f.awaitReady()
	go f.checkReadiness()
	time.Sleep(4 * time.Second)
	until := time.Now().Add(poisonTime)
	var wg sync.WaitGroup
	if e.trouble {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				to := f.pick(n)
				id := fmt.Sprintf("bad%013x", n)
				e.rec.event("request %s, the one that brings servers down, answered %d by %s", id, post(to, "/book/poison", id, "the same body"), to.name)
				time.Sleep(poisonEvery)
			}
		})
	}
	statuses, failed := make(map[int]int), 0
	var mu sync.Mutex
	tick := time.NewTicker(time.Second / otherBookings)
	defer tick.Stop()
	for n := 0; time.Now().Before(until); n++ {
		<-tick.C
		wg.Go(func() {
			to := f.pick(n)
			id := fmt.Sprintf("%016x", n)
			status := post(to, "/book/"+id, id, "booking "+id)
			e.rec.event("request %s answered %d by %s", id, status, to.name)
			mu.Lock()
			defer mu.Unlock()
			if statuses[status]++; status != http.StatusOK {
				failed++
			}
		})
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	if len(c.crashes) >= 3 {
		for _, at := range c.crashes[3:] {
			if at.After(c.crashes[2].Add(contact)) {
				late++
			}
		}
	}
	var at []string
	for _, t := range c.crashes {
		at = append(at, fmt.Sprintf("%.1f", e.rec.since(t)))
	}
	e.rec.summary("servers brought down at %v s; %d of %d other bookings not served: %v", at, failed, total(statuses), statuses)
	e.rec.summary("BUDGET: retries that reached servers later than %v after the third crash: %d; allowed %d", contact, late, mostRetries)
	return late <= mostRetries
}

func total(counts map[int]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// post sends a booking on a new connection and returns the status of the answer; 0 without.
func post(to *instance, path, id, body string) int {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	req, err := http.NewRequest(http.MethodPost, "http://"+to.callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	req.Host = "desk.example"
	req.Header.Set("X-Trefoilstream-Request-Id", id)
	req.Header.Set("X-Trefoilstream-Credential", "key-of-dredge")
	req.Header.Set("X-Trefoilstream-Deadline-Milliseconds", "5000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}
