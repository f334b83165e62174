package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// BackendServer is the listener of a Backend. A crash closes it for some time.
type BackendServer struct {
	*Backend
	// listen is the requested address, bound the address of the first
	// listener, which later ones reuse.
	listen, bound string

	serverMu     sync.Mutex
	server       *http.Server
	restartTimer *time.Timer
	closed       bool
	err          error
}

// ListenBackend serves the backend at the address; port 0 chooses a free port.
func ListenBackend(listen string, b *Backend) (*BackendServer, error) {
	s := &BackendServer{Backend: b, listen: listen}
	if err := s.start(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.crash = s.Crash
	b.mu.Unlock()
	return s, nil
}

// Addr returns the address of the listener, also while the server is down.
func (s *BackendServer) Addr() string { return s.bound }

func (s *BackendServer) address() string {
	if s.bound != "" {
		return s.bound
	}
	return s.listen
}

// start opens the listener. The caller holds serverMu or is the only user.
func (s *BackendServer) start() error {
	l, err := net.Listen("tcp", s.address())
	if err != nil {
		return fmt.Errorf("backend %s: %w", s.ID, err)
	}
	if s.bound == "" {
		s.bound = l.Addr().String()
	}
	srv := &http.Server{Handler: s.Backend, ReadHeaderTimeout: 10 * time.Second}
	s.server = srv
	go func() { _ = srv.Serve(l) }()
	return nil
}

// Crash drops all connections and refuses new ones for the given time. The server
// is cold when it restarts.
func (s *BackendServer) Crash(downtime time.Duration) {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.closed || s.server == nil {
		return
	}
	s.stop()
	s.TurnCold()
	s.restartTimer = time.AfterFunc(downtime, s.restart)
}

// stop closes the listener and drops the connections. The caller holds
// serverMu.
func (s *BackendServer) stop() {
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

func (s *BackendServer) restart() {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.closed || s.server != nil {
		return
	}
	if err := s.start(); err != nil {
		// Another program may occupy the port for a moment.
		s.err = err
		s.restartTimer = time.AfterFunc(100*time.Millisecond, s.restart)
	}
}

// Close stops the server. It returns the last error of a failed restart.
func (s *BackendServer) Close() error {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	s.closed = true
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	s.stop()
	return s.err
}

// BackendControl serves the control interface of backend servers:
//
//	GET  /v1/backends                 {ID: {"address", "stats"}}
//	GET  /v1/backends/ID/behaviour    the Behaviour
//	PUT  /v1/backends/ID/behaviour    replaces the Behaviour
//	POST /v1/backends/ID/cold         makes the server cold
//	POST /v1/backends/ID/crash?ms=N   crashes it for N milliseconds
//	GET  /v1/executions               executions per key and tag of all servers
//
// Unknown fields are rejected, so that a misspelt fault is not silently ignored.
func BackendControl(servers map[string]*BackendServer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/backends", func(w http.ResponseWriter, _ *http.Request) {
		all := make(map[string]any, len(servers))
		for id, s := range servers {
			all[id] = map[string]any{"address": s.Addr(), "stats": s.Stats()}
		}
		writeJSON(w, all)
	})
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, SumExecutions(servers))
	})
	handle := func(pattern string, f func(s *BackendServer, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			s, ok := servers[r.PathValue("id")]
			if !ok {
				http.Error(w, "no backend server of that ID", http.StatusNotFound)
				return
			}
			v, err := f(s, r)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			writeJSON(w, v)
		})
	}
	handle("GET /v1/backends/{id}/behaviour", func(s *BackendServer, _ *http.Request) (any, error) {
		return s.Behaviour(), nil
	})
	handle("PUT /v1/backends/{id}/behaviour", func(s *BackendServer, r *http.Request) (any, error) {
		var v Behaviour
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := errors.Join(d.Decode(&v), v.Validate()); err != nil {
			return nil, err
		}
		return v, s.SetBehaviour(v)
	})
	handle("POST /v1/backends/{id}/cold", func(s *BackendServer, _ *http.Request) (any, error) {
		s.TurnCold()
		return s.Stats(), nil
	})
	handle("POST /v1/backends/{id}/crash", func(s *BackendServer, r *http.Request) (any, error) {
		downtime, err := time.ParseDuration(r.URL.Query().Get("ms") + "ms")
		if err != nil {
			return nil, err
		}
		s.Crash(downtime)
		return s.Stats(), nil
	})
	return mux
}

// Executions holds how many requests ran per Idempotency-Key and per tag.
type Executions struct {
	Keys map[string]int `json:"keys"`
	Tags map[string]int `json:"tags"`
}

// SumExecutions returns the total executions of the servers.
func SumExecutions(servers map[string]*BackendServer) Executions {
	sum := Executions{Keys: make(map[string]int), Tags: make(map[string]int)}
	for _, s := range servers {
		for k, n := range s.Executions() {
			sum.Keys[k] += n
		}
		for k, n := range s.Tags() {
			sum.Tags[k] += n
		}
	}
	return sum
}
