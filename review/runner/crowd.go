package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// descriptorLimit is what a machine of the small sites has.
	descriptorLimit = 4100
	// usualUsers keep a connection each and send a request on it every userPause, which
	// is below four fifths of the idle timeout: usualPerSecond in all.
	usualUsers     = 3500
	userPause      = 10 * time.Second
	usualPerSecond = 350
	// A burst of burstFactor times the usual requests for burstTime: the others go on, and
	// new users bring what is more, each on a connection of its own.
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	lookupTime  = 5 * time.Millisecond
	// calmTime is how long after the burst the new clients come: more than contact.
	calmTime = 10 * time.Second
	// contact is the bound of that name; lateUsers try within it, again and again.
	contact   = 3 * time.Second
	lateUsers = 12
)

const lookupConfig = `{"version":3,"routes":{"columns":["name","host","path-prefix","kind","timeout","target-latency","priority","service","max-attempts","public"],` +
	`"rows":[["slot-lookup","desk.example","/look/","safe","4s","800ms",2,"slotboard",2,true]]},` +
	`"services":{"columns":["name","cold-start","cold-per-s","health-check-path"],"rows":[["slotboard","3s",2.6,"/health"]]},` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3s","idle-timeout":"15s"}}`

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
	c := &crowdClients{env: e, to: busy}
	stop := make(chan struct{})
	usual := c.come(usualUsers, usualPerSecond, stop)
	time.Sleep(userPause)
	e.rec.event("%d usual users keep a connection to %s and send %d requests/s", usual.connected.Load(), busy.name, usualPerSecond)
	if e.trouble {
		perSecond := usualPerSecond * (burstFactor - 1)
		count := int(perSecond * burstTime.Seconds())
		start := time.Now()
		burst := c.come(count, perSecond, nil)
		took := time.Since(start)
		time.Sleep(time.Second)
		e.rec.event("burst of %.2f s: %d more users came to %s, %d had an answer", took.Seconds(), count, busy.name, burst.answered.Load())
		burst.leave()
		e.rec.event("the users of the burst have left; %s has %d MB", busy.name, busy.memoryMB())
	}
	time.Sleep(calmTime)
	e.rec.event("%s is ready: %v, %s is ready: %v", busy.name, busy.ready(), other.name, other.ready())
	accepted := int64(0)
	for until := time.Now().Add(2 * contact); time.Now().Before(until); time.Sleep(time.Second) {
		late := c.come(lateUsers, 1000, nil)
		time.Sleep(time.Second)
		accepted += late.answered.Load()
		e.rec.event("%d new clients try %s, %d had an answer within a second; it is ready: %v", lateUsers, busy.name, late.answered.Load(), busy.ready())
		late.leave()
	}
	ready := busy.ready()
	before := usual.answered.Load()
	time.Sleep(2 * time.Second)
	e.rec.event("usual users had %d answers on their kept connections in 2 s", usual.answered.Load()-before)
	e.rec.summary("RECOVER: %s says that it is ready: %v; new clients over %v that were answered: %d", busy.name, ready, 2*contact, accepted)
	close(stop)
	usual.leave()
	return !ready || accepted > 0
}

// crowdClients sends requests to one instance.
type crowdClients struct {
	env  *env
	to   *instance
	last atomic.Int64
}

// users are clients that keep a connection each.
type users struct {
	mu                  sync.Mutex
	conns               []net.Conn
	connected, answered atomic.Int64
}

// come lets clients come one after the other. Each opens a connection and sends a request,
// and with stop one more every userPause until it is closed. It returns when the last one
// has come.
func (c *crowdClients) come(count int, perSecond float64, stop <-chan struct{}) *users {
	u := &users{}
	start := time.Now()
	for n := range count {
		time.Sleep(time.Until(start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))))
		go c.serve(u, stop)
	}
	return u
}

func (c *crowdClients) serve(u *users, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", c.to.callers, time.Second)
	if err != nil {
		c.env.rec.event("no connection to %s: %v", c.to.name, err)
		return
	}
	u.mu.Lock()
	u.conns = append(u.conns, conn)
	u.mu.Unlock()
	u.connected.Add(1)
	in := bufio.NewReader(conn)
	for {
		id := fmt.Sprintf("%016x", c.last.Add(1))
		ok := lookUp(conn, in, id)
		c.env.rec.event("request %s sent to %s, answered: %v", id, c.to.name, ok)
		if ok {
			u.answered.Add(1)
		}
		if stop == nil || !ok {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(userPause):
		}
	}
}

// lookUp sends a request on a connection and reports whether it is answered in a second.
func lookUp(conn net.Conn, in *bufio.Reader, id string) bool {
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err := fmt.Fprintf(conn, "GET /look/%s HTTP/1.1\r\nHost: desk.example\r\nX-Trefoilstream-Request-Id: %s\r\nX-Trefoilstream-Deadline-Milliseconds: 4000\r\n\r\n", id, id)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && (resp.StatusCode != http.StatusOK || strings.HasPrefix(string(body), "free"))
}

func (u *users) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
}
