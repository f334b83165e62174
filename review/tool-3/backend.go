package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	headerID        = "X-Trefoilstream-Request-Id"
	headerDeadline  = "X-Trefoilstream-Deadline-Milliseconds"
	headerKey       = "X-Trefoilstream-Credential"
	headerTenant    = "X-Trefoilstream-Tenant-Name"
	headerExpected  = "X-Trefoilstream-Expected-Instance"
	headerSignature = "X-Trefoilstream-Response-Signature"
	headerNotRun    = "X-Trefoilstream-Request-Not-Run"
)

// beatInterval is the heartbeat interval of the settings.
const beatInterval = 1500 * time.Millisecond

// run is one request at a backend.
type run struct {
	id, uri, tenant string
	// began is when the backend began to work on it, ended when it stopped; zero if it still
	// works. cancelled is set if the connection closed first.
	began, ended time.Time
	cancelled    bool
}

// backend is a sound backend server: it runs slots requests at a time and rejects what does
// not fit into its queue, and drops a request whose connection closes.
type backend struct {
	id, service, zone string
	slots             int
	workTime          time.Duration
	// respond writes the response of a request that has run; by default a short body.
	respond func(w http.ResponseWriter, r *http.Request)
	// readsInPieces makes the backend work on the first piece of a body for three quarters of
	// its work time before it reads the rest.
	readsInPieces bool
	// coldCrash is how many requests within a second crash the backend while it is cold; 0 for none.
	coldCrash int
	// phase is when its first heartbeat after the start comes, within the interval.
	phase time.Duration

	address string
	sem     chan struct{}
	mu      sync.Mutex
	runs    []*run
	waiting int
	// coldUntil is until when the backend is cold.
	coldUntil time.Time
	arrivals  []arrival
	// server is nil while the backend is down after a crash.
	server  *http.Server
	born    int64
	crashes int
}

// queueLength is how many requests wait at a backend beside those that run.
const queueLength = 16

func (b *backend) start(s *store) error {
	l, err := b.listen()
	if err != nil {
		return err
	}
	b.address = l.Addr().String()
	b.sem = make(chan struct{}, b.slots)
	b.serve(l)
	beat := func(sequence int) {
		born, up := b.lifetime()
		if !up {
			return
		}
		entry, _ := json.Marshal(map[string]any{
			"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots,
			"state": "ready", "cold-remaining": fmt.Sprintf("%dms", max(0, time.Until(b.coldEnd())).Milliseconds()), "sequence": sequence, "born": born,
		})
		s.put("keyed.servers", "servers/"+b.id, entry)
	}
	beat(1)
	go func() {
		time.Sleep(b.phase)
		for n := 2; ; n++ {
			beat(n)
			time.Sleep(beatInterval)
		}
	}()
	return nil
}

// arrival is a request that reached the backend and was meant for it.
type arrival struct {
	id string
	at time.Time
}

func (b *backend) coldEnd() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.coldUntil
}

// turnCold makes the backend cold for some time. Its next heartbeat tells it.
func (b *backend) turnCold(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(d)
}

// allArrivals returns a copy of what arrived.
func (b *backend) allArrivals() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

// allRuns returns a copy of what the backend worked on.
func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]run, 0, len(b.runs))
	for _, r := range b.runs {
		out = append(out, *r)
	}
	return out
}

func (b *backend) notRun(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Trefoilstream-Instance-Id", b.id)
		w.Header().Set("X-Trefoilstream-Cold-Milliseconds", fmt.Sprint(max(0, time.Until(b.coldEnd())).Milliseconds()))
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if id == "" {
		b.notRun(w, http.StatusBadRequest)
		return
	}
	if e := r.Header.Get(headerExpected); e != "" && e != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{id, time.Now()})
	crashes := b.coldCrash > 0 && b.coldLoad() >= b.coldCrash
	full := b.waiting >= queueLength
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	if crashes {
		b.crash()
		return
	}
	if full {
		b.notRun(w, http.StatusServiceUnavailable)
		return
	}
	leaves := false
	select {
	case b.sem <- struct{}{}:
	case <-r.Context().Done():
		leaves = true
	}
	b.mu.Lock()
	b.waiting--
	if leaves {
		b.mu.Unlock()
		return
	}
	work := &run{id: id, uri: r.RequestURI, tenant: r.Header.Get(headerTenant), began: time.Now()}
	b.runs = append(b.runs, work)
	b.mu.Unlock()
	defer func() { <-b.sem }()
	if !b.work(r) {
		b.end(work, true)
		return
	}
	w.Header().Set(headerSignature, "sig-"+id)
	if b.respond != nil {
		b.respond(w, r)
	} else {
		_, _ = fmt.Fprintf(w, "%s ran %s", b.id, id)
	}
	b.end(work, r.Context().Err() != nil)
}

func (b *backend) end(work *run, cancelled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	work.ended, work.cancelled = time.Now(), cancelled
}

// firstPiece is how much of a body is read before the work on it begins.
const firstPiece = 64 << 10

// work reads the body and works on the request. It reports false if the connection ended first.
func (b *backend) work(r *http.Request) bool {
	first, rest := time.Duration(0), b.workTime
	if b.readsInPieces {
		first, rest = b.workTime*3/4, b.workTime/4
		if _, err := io.CopyN(io.Discard, r.Body, firstPiece); err != nil && err != io.EOF {
			return false
		}
	}
	time.Sleep(first)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	select {
	case <-time.After(rest):
		return true
	case <-r.Context().Done():
		return false
	}
}

// smallWindow is the receive buffer of a backend's connections, in bytes.
const smallWindow = 64 << 10

func (b *backend) listen() (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		}); e != nil {
			return e
		}
		return err
	}}
	address := b.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	return c.Listen(context.Background(), "tcp", address)
}

// serve begins a lifetime of the backend.
func (b *backend) serve(l net.Listener) {
	s := &http.Server{Handler: b}
	b.mu.Lock()
	b.server, b.born = s, time.Now().UnixMilli()
	b.mu.Unlock()
	go func() { _ = s.Serve(l) }()
}

// lifetime returns when the backend started, and whether it is up.
func (b *backend) lifetime() (born int64, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.born, b.server != nil
}

// coldLoad returns how many requests arrived in the last second, or 0 if the backend is warm.
// The caller holds mu.
func (b *backend) coldLoad() int {
	now := time.Now()
	if now.After(b.coldUntil) {
		return 0
	}
	n := 0
	for _, a := range b.arrivals {
		if now.Sub(a.at) < time.Second {
			n++
		}
	}
	return n
}

// downAfterCrash is how long a backend is away after a crash.
const downAfterCrash = 3 * time.Second

// crash ends the listener and all connections, as the end of a process does, and starts the
// backend again later, under its id and at its address.
func (b *backend) crash() {
	b.mu.Lock()
	s := b.server
	b.server = nil
	if s != nil {
		b.crashes++
	}
	b.mu.Unlock()
	if s == nil {
		return
	}
	_ = s.Close()
	time.AfterFunc(downAfterCrash, func() {
		if l, err := b.listen(); err == nil {
			b.serve(l)
		}
	})
}

func (b *backend) crashCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}
