package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

const (
	// backendSlots and backendQueue are how many requests a backend server processes
	// and queues.
	backendSlots = 2
	backendQueue = 8
	// heartbeatInterval is the time between a server's entries in the store.
	heartbeatInterval = 1500 * time.Millisecond
)

// run is one request that a backend server ran.
type run struct {
	id, team, server string
	arrived          time.Time
}

// backend is a stand-in of a backend server.
type backend struct {
	id, service, zone string
	// work returns the time and the body of the response to a request.
	work func(r *http.Request) (time.Duration, []byte)

	// crashes, if set, reports whether a request brings the server down.
	crashes func(r *http.Request) bool
	// crashed is called when the server has gone down, with the request's ID.
	crashed func(id string)

	server  *httptest.Server
	born    int64
	down    chan struct{}
	slots   chan struct{}
	waiting chan struct{}

	mu   sync.Mutex
	runs []run
}

func newBackend(id, service, zone string, work func(r *http.Request) (time.Duration, []byte)) *backend {
	b := &backend{
		id: id, service: service, zone: zone, work: work, born: time.Now().UnixMilli(),
		down: make(chan struct{}), slots: make(chan struct{}, backendSlots), waiting: make(chan struct{}, backendSlots+backendQueue),
	}
	b.server = httptest.NewServer(b)
	return b
}

// register writes the server's entries into the store until it goes down. The entry goes
// after three heartbeats of silence.
func (b *backend) register(s *store, cold time.Duration) {
	start := time.Now()
	for n := 1; ; n++ {
		s.put("keyed.servers", b.id, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-remaining":"%dms","sequence":%d,"born":%d}`,
			b.service, b.server.Listener.Addr(), b.zone, backendSlots, max(0, cold-time.Since(start)).Milliseconds(), n, b.born))
		select {
		case <-time.After(heartbeatInterval):
		case <-b.down:
			time.Sleep(3 * heartbeatInterval)
			s.put("keyed.servers", b.id, nil)
			return
		}
	}
}

// crash ends the server: it closes its listener and all connections.
func (b *backend) crash() {
	select {
	case <-b.down:
		return
	default:
	}
	close(b.down)
	_ = b.server.Listener.Close()
	b.server.CloseClientConnections()
}

// ran returns what the server ran.
func (b *backend) ran() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

func (b *backend) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Trefoilstream-Request-Not-Run", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	arrived := time.Now()
	id := r.Header.Get("X-Trefoilstream-Request-Id")
	w.Header().Set("X-Trefoilstream-Request-Id", id)
	if id == "" {
		b.refuse(w, http.StatusBadRequest)
		return
	}
	if e := r.Header.Get("X-Trefoilstream-Expected-Instance"); e != "" && e != b.id {
		b.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.waiting <- struct{}{}:
		defer func() { <-b.waiting }()
	default:
		b.refuse(w, http.StatusServiceUnavailable)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Trefoilstream-Deadline-Milliseconds"))
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-deadline:
		b.refuse(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, run{id: id, team: r.Header.Get("X-Trefoilstream-Tenant-Name"), server: b.id, arrived: arrived})
	b.mu.Unlock()
	if b.crashes != nil && b.crashes(r) {
		b.mu.Lock()
		b.crash()
		b.mu.Unlock()
		b.crashed(id)
		panic(http.ErrAbortHandler)
	}
	takes, answer := b.work(r)
	w.Header().Set("X-Trefoilstream-Response-Signature", "sig-"+id)
	select {
	case <-time.After(takes):
	case <-deadline:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	case <-b.down:
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.Copy(w, bytes.NewReader(answer))
	_ = body
}
