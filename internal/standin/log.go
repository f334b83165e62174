// Package standin holds in-memory stand-ins for external systems: the log
// service, the instance list, a backend server and a fault-injecting TCP proxy.
// Tests, the demo and trefoilstreamd --dev use them.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/logservice"
)

// LogFaults are the faults that Log injects.
type LogFaults struct {
	// Down rejects every request with 503.
	Down bool `json:"down"`
	// DropAppendAnswers is the number of appends that are carried out and
	// whose connection is then closed without a response.
	DropAppendAnswers int `json:"drop_append_answers"`
	// DelayMS is the delay of every response in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Keep is the number of newest records that are retained; zero retains
	// all.
	Keep int `json:"keep"`
}

// Log is an in-memory stand-in for the log service.
type Log struct {
	mu      sync.Mutex
	records []logservice.Record
	next    uint64
	faults  LogFaults
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{next: 1, changed: make(chan struct{})} }

// Handler serves the log service; PUT /control replaces its faults.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control", l.control)
	mux.HandleFunc("POST /v1/records", l.append)
	mux.HandleFunc("GET /v1/records", l.read)
	return mux
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.expire()
}

func (l *Log) control(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
}

// admit applies the delay and reports whether the log is available. If not, it
// has written the response.
func (l *Log) admit(w http.ResponseWriter) bool {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.Down {
		http.Error(w, "log service is down", http.StatusServiceUnavailable)
	}
	return !f.Down
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w) {
		return
	}
	var body struct {
		Data []byte `json:"data"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, drop := l.store(body.Data)
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]uint64{"offset": offset})
}

func (l *Log) store(data []byte) (offset uint64, drop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset = l.next
	l.next++
	l.records = append(l.records, logservice.Record{Offset: offset, TimeUnixMS: time.Now().UnixMilli(), Data: data})
	l.expire()
	close(l.changed)
	l.changed = make(chan struct{})
	if l.faults.DropAppendAnswers > 0 {
		l.faults.DropAppendAnswers--
		drop = true
	}
	return offset, drop
}

func (l *Log) expire() {
	if k := l.faults.Keep; k > 0 && len(l.records) > k {
		l.records = l.records[len(l.records)-k:]
	}
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w) {
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be an offset", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit, _ := strconv.Atoi(q.Get("limit"))
	page, changed := l.page(after, limit)
	if len(page.Records) == 0 && wait > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		if !l.admit(w) {
			return
		}
		page, _ = l.page(after, limit)
	}
	writeJSON(w, page)
}

func (l *Log) page(after uint64, limit int) (logservice.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := logservice.Page{LastOffset: l.next - 1, FirstOffset: l.next}
	if len(l.records) > 0 {
		page.FirstOffset = l.records[0].Offset
	}
	for _, rec := range l.records {
		if rec.Offset > after && (limit <= 0 || len(page.Records) < limit) {
			page.Records = append(page.Records, rec)
		}
	}
	return page, l.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
