package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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

	address string
	sem     chan struct{}
	mu      sync.Mutex
	runs    []*run
	waiting int
}

// queueLength is how many requests wait at a backend beside those that run.
const queueLength = 16

func (b *backend) start(s *store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address = l.Addr().String()
	b.sem = make(chan struct{}, b.slots)
	go func() { _ = http.Serve(l, b) }()
	born := time.Now().UnixMilli()
	beat := func(sequence int) {
		entry, _ := json.Marshal(map[string]any{
			"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots,
			"state": "ready", "cold-remaining": "0ms", "sequence": sequence, "born": born,
		})
		s.put("keyed.servers", "servers/"+b.id, entry)
	}
	beat(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(beatInterval)
			beat(n)
		}
	}()
	return nil
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
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	full := b.waiting >= queueLength
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
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
	select {
	case <-time.After(b.workTime):
	case <-r.Context().Done():
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
