package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// descriptorLimit is what a machine of the small sites has.
	descriptorLimit = 4100
	// usualUsers keep a connection each, well below the limit; a burst of burstFactor
	// brings more for burstTime.
	usualUsers  = 2500
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	// arrivalGap is the time between the usual users' first requests.
	arrivalGap = 4 * time.Millisecond
	lookupTime = 5 * time.Millisecond
	// calmTime is how long after the burst the new clients come: more than contact.
	calmTime = 10 * time.Second
	// contact is the bound of that name; lateUsers try within it, again and again.
	contact   = 3 * time.Second
	lateUsers = 12
)

const lookupConfig = `{"version":3,"routes":{"columns":["name","host","path-prefix","kind","timeout","target-latency","priority","service","max-attempts","public"],` +
	`"rows":[["slot-lookup","desk.example","/look/","safe","4s","800ms",1,"slotboard",2,true]]},` +
	`"services":{"columns":["name","cold-start","cold-per-s","health-check-path"],"rows":[["slotboard","3s",2.6,"/health"]]},` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3s","idle-timeout":"90s"}}`

// crowd plays: many users come at once to one machine, and leave again. Without the
// disruption only the usual ones are there.
func crowd(e *env) bool {
	e.store.put("keyed.op", "config", []byte(lookupConfig))
	for i := range 9 {
		b := newBackend(fmt.Sprintf("i-%d", i), "slotboard", zones[i%3], func(*http.Request) (time.Duration, []byte) { return lookupTime, []byte("free") })
		go b.register(e.store, 0)
	}
	f := e.fleet
	f.descriptors = descriptorLimit
	busy, other := f.newInstance("front-a1", zones[0]), f.newInstance("front-b1", zones[1])
	f.seeds = []string{busy.peer, other.peer}
	f.start(busy, true)
	f.start(other, true)
	f.awaitReady()
	time.Sleep(4 * time.Second)
	n := 0
	usual := e.users(busy, usualUsers, arrivalGap, &n)
	e.rec.event("%d usual users keep a connection to %s, %d had an answer", len(usual.conns), busy.name, usual.served)
	if e.trouble {
		more := int(usualUsers * (burstFactor - 1))
		burst := e.users(busy, more, burstTime/time.Duration(more), &n)
		e.rec.event("burst: %d more users came to %s, %d had an answer", more, busy.name, burst.served)
		burst.leave()
		e.rec.event("the users of the burst have left")
	}
	time.Sleep(calmTime)
	e.rec.event("%s is ready: %v, %s is ready: %v", busy.name, busy.ready(), other.name, other.ready())
	accepted := 0
	for until := time.Now().Add(2 * contact); time.Now().Before(until); time.Sleep(time.Second) {
		late := e.users(busy, lateUsers, time.Millisecond, &n)
		accepted += late.served
		e.rec.event("%d new clients try %s, %d had an answer within a second; it is ready: %v", lateUsers, busy.name, late.served, busy.ready())
		late.leave()
	}
	ready := busy.ready()
	kept := usual.again(e, &n)
	e.rec.event("%d of %d usual users get an answer on their kept connection", kept, len(usual.conns))
	e.rec.summary("RECOVER: %s says that it is ready: %v; new clients over %v that were answered: %d", busy.name, ready, 2*contact, accepted)
	usual.leave()
	return !ready || accepted > 0
}

// users are clients that keep a connection each.
type users struct {
	mu     sync.Mutex
	conns  []net.Conn
	served int
}

// users lets clients come one after the other. Each opens a connection and sends a
// request; it allows a second for the answer.
func (e *env) users(to *instance, count int, gap time.Duration, n *int) *users {
	u := &users{}
	var wg sync.WaitGroup
	for range count {
		*n++
		id := fmt.Sprintf("%016x", *n)
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", to.callers, time.Second)
			if err != nil {
				e.rec.event("request %s: no connection to %s: %v", id, to.name, err)
				return
			}
			ok := lookUp(conn, id)
			e.rec.event("request %s sent to %s, answered: %v", id, to.name, ok)
			u.mu.Lock()
			defer u.mu.Unlock()
			u.conns = append(u.conns, conn)
			if ok {
				u.served++
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
	return u
}

// lookUp sends a request on a connection and reports whether it is answered in a second.
func lookUp(conn net.Conn, id string) bool {
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err := fmt.Fprintf(conn, "GET /look/%s HTTP/1.1\r\nHost: desk.example\r\nX-Trefoilstream-Request-Id: %s\r\nX-Trefoilstream-Deadline-Milliseconds: 4000\r\n\r\n", id, id)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && (resp.StatusCode != http.StatusOK || strings.HasPrefix(string(body), "free"))
}

// again sends one more request on each connection and returns how many were answered.
func (u *users) again(e *env, n *int) int {
	answered := 0
	for _, c := range u.conns {
		*n++
		if lookUp(c, fmt.Sprintf("%016x", *n)) {
			answered++
		}
	}
	return answered
}

func (u *users) leave() {
	for _, c := range u.conns {
		_ = c.Close()
	}
}
