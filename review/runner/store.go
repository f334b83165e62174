package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for a call.
const storeAnswerTime = 4 * time.Millisecond

// maxPageItems is the most records that a page of the newest ones holds.
const maxPageItems = 500

// store is a stand-in of the platform's store: keyed topics with one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records [][]byte
	values  map[string][]byte
	offsets map[string]int64
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{values: make(map[string][]byte), offsets: make(map[string]int64)}
		s.topics[name] = t
	}
	return t
}

// put appends a record as operators and backend servers do.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) append(name string, content []byte) {
	t := s.topic(name)
	offset := int64(len(t.records))
	t.records = append(t.records, content)
	if len(content) > 0 && int(content[0])+1 <= len(content) {
		key, value := string(content[1:1+content[0]]), content[1+int(content[0]):]
		delete(t.values, key)
		delete(t.offsets, key)
		if len(value) > 0 {
			t.values[key], t.offsets[key] = value, offset
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// newest returns the newest value of a key.
func (s *store) newest(name, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.topic(name).values[key])
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	name := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /trefoilstream/log-append":
		s.serveAppend(w, r, name)
	case "GET /trefoilstream/log-read":
		s.serveRead(w, r, name)
	case "GET /trefoilstream/log-newest":
		s.serveNewest(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
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
		s.append(name, body[4:4+n])
		body = body[4+n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end-offset": len(s.topic(name).records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-timeout-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records := s.topic(name).records
		changed := s.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range records[min(from, len(records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(rec)))
				body = append(body, rec...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var keys []string
	for k := range t.values {
		if k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxPageItems
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), maxPageItems)] {
		items = append(items, map[string]any{
			"key": k, "value": base64.StdEncoding.EncodeToString(t.values[k]), "offset": t.offsets[k],
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has-more": more, "end-offset": len(t.records)})
}
