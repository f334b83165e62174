package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"trefoilstream.example/trefoilstream/internal/logservice"
)

// InstanceList is an in-memory stand-in for the instance list.
type InstanceList struct {
	mu   sync.Mutex
	list []logservice.Instance
}

// Handler serves the list; PUT /control replaces it.
func (s *InstanceList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, map[string][]logservice.Instance{"instances": s.list})
	})
	mux.HandleFunc("PUT /control", func(w http.ResponseWriter, r *http.Request) {
		var list []logservice.Instance
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(list)
	})
	return mux
}

// Set replaces the list.
func (s *InstanceList) Set(list []logservice.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}
