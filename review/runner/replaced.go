package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	teamRate, teamBurst = 20, 20
	// quotaWindow, quotaOvershoot and quotaSlack are those of the bounds.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	// bookingsPerSecond is what the team sends: some times its rate.
	bookingsPerSecond = 90
	bookingTime       = 60 * time.Millisecond
	removedAfter      = 8 * time.Second
	addedAfter        = 400 * time.Millisecond
	loadTime          = 30 * time.Second
)

var bookingConfig = fmt.Sprintf(`{"version":3,"routes":{"columns":["name","host","path-prefix","kind","timeout","target-latency","priority","service","max-attempts","public"],`+
	`"rows":[["berth-booking","desk.example","/book/","unsafe","5s","800ms",1,"berthdesk",2,false]]},`+
	`"services":{"columns":["name","cold-start","cold-per-s","health-check-path"],"rows":[["berthdesk","3s",2.6,"/health"]]},`+
	`"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3s","idle-timeout":"15s"},`+
	`"tenants":{"columns":["name","api-keys","rate-per-s","burst"],"rows":[["dredge",["key-of-dredge"],%d,%d]]}}`, teamRate, teamBurst)

// replaced plays: the machine of the coordinator is removed for good, and another one is
// added at a new address. Without the disruption the machine is added, and none removed.
func replaced(e *env) bool {
	e.store.put("keyed.op", "config", []byte(bookingConfig))
	var backends []*backend
	for i := range 12 {
		b := newBackend(fmt.Sprintf("i-%d", i), "berthdesk", zones[i%3], func(*http.Request) (time.Duration, []byte) { return bookingTime, []byte("booked") })
		backends = append(backends, b)
		go b.register(e.store, 0)
	}
	f := e.fleet
	first := []*instance{f.newInstance("front-a1", zones[0]), f.newInstance("front-b1", zones[1]), f.newInstance("front-c1", zones[2])}
	// The seeds are the first machine, and two that were replaced long ago.
	f.seeds = []string{first[0].peer, freeAddress(), freeAddress()}
	for _, i := range first {
		f.start(i, true)
	}
	f.awaitReady()
	go f.checkReadiness()
	time.Sleep(3 * time.Second)
	e.rec.event("record of the coordinator: %s", e.store.newest("keyed.fleet", "coordinator"))
	sent := &sentRequests{at: make(map[string]time.Time)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		sent.book(e, bookingsPerSecond, loadTime)
	}()
	time.Sleep(removedAfter)
	if e.trouble {
		f.kill(first[0])
		e.rec.event("the machine of %s is removed for good", first[0].name)
	}
	time.Sleep(addedAfter)
	f.start(f.newInstance("front-a2", zones[0]), false)
	<-done
	time.Sleep(time.Second)
	e.rec.event("record of the coordinator: %s", e.store.newest("keyed.fleet", "coordinator"))
	return quotaHeld(e, sent, backends)
}

var zones = []string{"astoria", "longview", "vancouver-wa"}

// sentRequests holds when each request was sent and how it ended.
type sentRequests struct {
	mu       sync.Mutex
	at       map[string]time.Time
	statuses map[int]int
}

// book sends bookings of one team at a rate for a time, each on a new connection.
func (s *sentRequests) book(e *env, perSecond int, d time.Duration) {
	s.statuses = make(map[int]int)
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n, until := 0, time.Now().Add(d); time.Now().Before(until); n++ {
		<-tick.C
		wg.Go(func() {
			id := fmt.Sprintf("%016x", n)
			to := e.fleet.pick(n)
			req, err := http.NewRequest(http.MethodPost, "http://"+to.callers+"/book/"+id, bytes.NewReader([]byte("booking "+id)))
			if err != nil {
				cannotRun("%v", err)
			}
			req.Host = "desk.example"
			req.Header.Set("X-Trefoilstream-Request-Id", id)
			req.Header.Set("X-Trefoilstream-Credential", "key-of-dredge")
			req.Header.Set("X-Trefoilstream-Deadline-Milliseconds", "5000")
			s.mu.Lock()
			s.at[id] = time.Now()
			s.mu.Unlock()
			e.rec.event("request %s sent to %s", id, to.name)
			status := 0
			resp, err := client.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				status = resp.StatusCode
			}
			e.rec.event("request %s answered %d by %s", id, status, to.name)
			s.mu.Lock()
			s.statuses[status]++
			s.mu.Unlock()
		})
	}
	wg.Wait()
}

// quotaHeld checks rule QUOTA: requests that are both sent and arrive in a window.
func quotaHeld(e *env, s *sentRequests, backends []*backend) bool {
	type span struct{ sent, arrived time.Time }
	var spans []span
	for _, b := range backends {
		for _, r := range b.ran() {
			spans = append(spans, span{s.at[r.id], r.arrived})
			e.rec.event("request %s arrived at %s at %.3f s and ran for %q", r.id, r.server, e.rec.since(r.arrived), r.team)
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	allowed := (teamRate*quotaWindow.Seconds()+teamBurst)*(1+quotaOvershoot) + quotaSlack
	most, mostAt, broken := 0, time.Time{}, time.Duration(0)
	var brokenUntil time.Time
	for i, from := range spans {
		n := 0
		for _, x := range spans[i:] {
			if x.arrived.Before(from.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, mostAt = n, from.sent
		}
		if float64(n) > allowed {
			if i > 0 && !brokenUntil.IsZero() {
				broken += min(from.sent.Sub(brokenUntil), time.Second)
			}
			brokenUntil = from.sent
		}
	}
	e.rec.summary("sent %d, statuses %v, ran %d", len(s.at), s.statuses, len(spans))
	e.rec.summary("QUOTA: most in 5 s: %d from %.3f s; allowed %.0f; windows that begin in %.1f s exceed it", most, e.rec.since(mostAt), allowed, broken.Seconds())
	return float64(most) <= allowed
}
