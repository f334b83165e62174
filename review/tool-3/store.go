package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// answerTime is how long the store takes for each answer, as the users' pages say.
const answerTime = 4 * time.Millisecond

// store is the platform's metadata store: a log with keyed topics of one partition.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	busy    bool
}

type topic struct {
	records [][]byte
	newest  map[string]int
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: make(map[string]*topic), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// setBusy makes the store respond with 503 to every call of the system, which means that
// nothing was done, or serve again.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.wake()
}

// wake ends the waits of all reads. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator and the backend servers do.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topicName, append(append([]byte{byte(len(key))}, key...), value...))
}

// append appends a record. The caller holds mu.
func (s *store) append(topicName string, content []byte) {
	t := s.topic(topicName)
	if len(content) > 0 && int(content[0])+1 <= len(content) {
		key := string(content[1 : 1+content[0]])
		if len(content) > len(key)+1 {
			t.newest[key] = len(t.records)
		} else {
			delete(t.newest, key)
		}
	}
	t.records = append(t.records, content)
	s.wake()
}

// value returns the newest value of a key, or nil.
func (s *store) value(topicName, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	at, ok := t.newest[key]
	if !ok {
		return nil
	}
	return t.records[at][1+len(key):]
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /trefoilstream/log-append":
		s.serveAppend(w, r, body)
	case "GET /trefoilstream/log-read":
		s.serveRead(w, r)
	case "GET /trefoilstream/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	t := s.topic(name)
	end := len(t.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end-offset": end})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		s.append(name, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end-offset": len(t.records)})
}

// serveRead is called with mu held, which it releases while it waits for a record.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-timeout-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		t := s.topic(q.Get("topic"))
		end := len(t.records)
		switch {
		case s.busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from > end:
			w.WriteHeader(http.StatusGone)
			return
		case from < end || wait <= 0:
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			_, _ = w.Write(out)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
		s.mu.Lock()
	}
}

// pageItems is how many items a page holds at most.
const pageItems = 500

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := []map[string]any{}
	for _, k := range keys {
		value := t.records[t.newest[k]][1+len(k):]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(value), "offset": t.newest[k]})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has-more": more, "end-offset": len(t.records)})
}
