package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimitMB is what a machine of the small sites has. The platform kills a process
	// that exceeds it and restarts it.
	memoryLimitMB = 284
	restartDelay  = 500 * time.Millisecond
	// slowTime and largeTime are the work of a lookup and of a download.
	slowTime, largeTime = 600 * time.Millisecond, 20 * time.Millisecond
	largeBytes          = 3 << 19
	// clientsPerSecond send a lookup and further downloads behind it on one connection.
	clientsPerSecond = 14
	furtherDownloads = 6
	// In each episode of episodeTime, with pauseTime between two, leaverShare of these
	// clients leave after leaveAfter, which is half the objective of the route.
	episodeTime, pauseTime = 5 * time.Second, 3 * time.Second
	leaverShare            = 0.3
	leaveAfter             = 400 * time.Millisecond
	leaversTime            = 60 * time.Second
	// patientClients keep a connection each and send lookups on it, one after the other.
	patientClients = 30
	// mostCut is how many requests rule LOST allows to be cut.
	mostCut = 3
)

const downloadConfig = `{"version":3,"routes":{"columns":["name","host","path-prefix","kind","timeout","target-latency","priority","service","max-attempts","public"],` +
	`"rows":[["slot-lookup","desk.example","/look/","safe","4s","800ms",2,"slotboard",2,true],["manifest-pull","desk.example","/pull/","download","4s","800ms",2,"docvault",2,true]]},` +
	`"services":{"columns":["name","cold-start","cold-per-s","health-check-path"],"rows":[["slotboard","3s",2.6,"/health"],["docvault","3s",2.6,"/health"]]},` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3s","idle-timeout":"15s"}}`

// leavers plays: clients send a lookup and large downloads on one connection, and some
// leave before they are answered. Without the disruption all wait.
func leavers(e *env) bool {
	e.store.put("keyed.op", "config", []byte(downloadConfig))
	large := make([]byte, largeBytes)
	var backends []*backend
	for i := range 34 {
		service, work := "slotboard", func(*http.Request) (time.Duration, []byte) { return slowTime, []byte("free") }
		if i%2 == 1 {
			service, work = "docvault", func(*http.Request) (time.Duration, []byte) { return largeTime, large }
		}
		b := newBackend(fmt.Sprintf("i-%d", i), service, zones[i/2%3], work)
		backends = append(backends, b)
		go b.register(e.store, 0)
	}
	f := e.fleet
	list := []*instance{f.newInstance("front-a1", zones[0]), f.newInstance("front-b1", zones[1])}
	f.seeds = []string{list[0].peer, list[1].peer}
	for _, i := range list {
		f.start(i, true)
	}
	f.awaitReady()
	go f.checkReadiness()
	time.Sleep(4 * time.Second)
	ends := make(map[string]int)
	var mu sync.Mutex
	for _, i := range list {
		go f.limitMemory(i, func(mb int) {
			mu.Lock()
			defer mu.Unlock()
			ends[i.name]++
			e.rec.event("%s has %d MB, over %d MB: killed by the platform", i.name, mb, memoryLimitMB)
		})
	}
	start := time.Now()
	until := start.Add(leaversTime)
	var wg sync.WaitGroup
	var cut []string
	for n := range patientClients {
		wg.Go(func() {
			lost := e.lookUpAgain(n, until)
			mu.Lock()
			defer mu.Unlock()
			cut = append(cut, lost...)
		})
	}
	whole, partly, left := 0, 0, 0
	tick := time.NewTicker(time.Second / clientsPerSecond)
	defer tick.Stop()
	for n := 0; time.Now().Before(until); n++ {
		<-tick.C
		episode := time.Since(start)%(episodeTime+pauseTime) < episodeTime
		leaves := e.trouble && episode && n%10 < int(10*leaverShare)
		wg.Go(func() {
			to := f.pick(n)
			answered := pipeline(to, n, leaves)
			e.rec.event("requests %08x0 to %08x%x sent to %s: client leaves early: %v, answered: %d", n, n, furtherDownloads, to.name, leaves, answered)
			mu.Lock()
			defer mu.Unlock()
			switch answered {
			case 1 + furtherDownloads:
				whole++
			default:
				partly++
			}
			if leaves {
				left++
				partly--
			}
		})
		if n%(5*clientsPerSecond) == 0 {
			for _, i := range list {
				e.rec.event("%s has %d MB", i.name, i.memoryMB())
			}
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, i := range list {
		e.rec.summary("%s has %d MB without a client, ended %d times over its memory", i.name, i.memoryMB(), ends[i.name])
	}
	e.rec.summary("clients with downloads: %d left early, %d had all answers, %d had not", left, whole, partly)
	ran := make(map[string]bool)
	for _, b := range backends {
		for _, r := range b.ran() {
			ran[r.id] = true
		}
	}
	lost := 0
	for _, id := range cut {
		if ran[id] {
			lost++
			e.rec.event("request %s was passed on from a kept connection, which was closed without an answer", id)
		}
	}
	e.rec.summary("LOST: passed on from kept connections that were closed without an answer: %d; allowed %d", lost, mostCut)
	return lost <= mostCut
}

// lookUpAgain sends lookups on a kept connection, one after the other, and returns those
// after the first of a connection on which it was closed without an answer.
func (e *env) lookUpAgain(client int, until time.Time) (cut []string) {
	var conn net.Conn
	var in *bufio.Reader
	var to *instance
	for k := 0; time.Now().Before(until); k++ {
		kept := conn != nil
		if !kept {
			to = e.fleet.pick(client + k)
			opened, err := net.DialTimeout("tcp", to.callers, time.Second)
			if err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			conn, in = opened, bufio.NewReader(opened)
		}
		id := fmt.Sprintf("f%03x%08x", client, k)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		status, err := exchange(conn, in, "/look/", id)
		e.rec.event("request %s sent to %s on a kept connection: %v, answered %d %v", id, to.name, kept, status, err)
		if err != nil {
			if kept && !errors.Is(err, os.ErrDeadlineExceeded) {
				cut = append(cut, id)
			}
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Second)
	}
	return cut
}

// exchange sends a request and reads its answer.
func exchange(conn net.Conn, in *bufio.Reader, path, id string) (status int, err error) {
	_, err = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: desk.example\r\nX-Trefoilstream-Request-Id: %s\r\nX-Trefoilstream-Deadline-Milliseconds: 4000\r\n\r\n", path, id, id)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// pipeline sends a lookup and downloads on one connection, and returns how many were
// answered.
func pipeline(to *instance, n int, leaves bool) (answered int) {
	conn, err := net.DialTimeout("tcp", to.callers, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	for k := range 1 + furtherDownloads {
		path := "/pull/"
		if k == 0 {
			path = "/look/"
		}
		id := fmt.Sprintf("%08x%x", n, k)
		_, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: desk.example\r\nX-Trefoilstream-Request-Id: %s\r\nX-Trefoilstream-Deadline-Milliseconds: 4000\r\n\r\n", path, id, id)
		if err != nil {
			return 0
		}
	}
	if leaves {
		time.Sleep(leaveAfter)
		return 0
	}
	in := bufio.NewReader(conn)
	for range 1 + furtherDownloads {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return answered
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return answered
		}
		answered++
	}
	return answered
}

// memoryMB returns the resident memory of the process, in MB.
func (i *instance) memoryMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1000
		}
	}
	return 0
}

// limitMemory ends the process of an instance that exceeds its memory, and starts it again.
func (f *fleet) limitMemory(i *instance, exceeded func(mb int)) {
	for ; ; time.Sleep(50 * time.Millisecond) {
		if mb := i.memoryMB(); mb > memoryLimitMB {
			exceeded(mb)
			f.kill(i)
			time.Sleep(restartDelay)
			f.start(i, false)
		}
	}
}
