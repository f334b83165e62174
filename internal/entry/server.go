package entry

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/memory"
)

const (
	// readHeaderTimeout bounds how long a connection may take to send the
	// head of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than the idle timeout of usual load balancers
	// (60 s), so that the load balancer closes an idle connection first and
	// sends no request on a connection that is being closed.
	idleTimeout = 90 * time.Second
	// serverHeaderBytes is the hard limit of the HTTP server. It is above
	// maxHeaderBytes, so that most callers with too large headers get a problem
	// document.
	serverHeaderBytes = 64 << 10
)

// DefaultIdleGrace is how long Drain waits for a request on an idle connection.
// Closing it earlier could reset a request that is in flight; after this time a
// caller is not expected to use the connection.
const DefaultIdleGrace = 10 * time.Second

// Server is the HTTP server for callers. Its graceful shutdown, Drain, resets no
// request.
type Server struct {
	http http.Server
	// IdleGrace replaces DefaultIdleGrace if it is set before Drain.
	IdleGrace time.Duration
	// heads counts the memory of the heads of requests.
	heads *memory.Account
	// maxConns bounds the open connections; 0 does not.
	maxConns int

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]connState
	draining bool
}

type connState struct {
	idle  bool
	since time.Time
}

// NewServer returns a server that does not listen yet, on a machine with a number of bytes of
// memory; 0 means defaultMachineBytes. It keeps up to maxConns connections open; 0 sets no limit.
func NewServer(h http.Handler, machine int64, maxConns int) *Server {
	s := &Server{
		conns: make(map[net.Conn]connState), IdleGrace: DefaultIdleGrace,
		heads: memory.NewAccount(limitsOf(machine, headShare), nil), maxConns: maxConns,
	}
	s.http = http.Server{
		Handler: endHead(h), ConnContext: withCallerConn, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: serverHeaderBytes, ConnState: s.track,
	}
	return s
}

// Serve accepts connections until Drain; it then returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	err := s.http.Serve(&boundedListener{Listener: callerListener{l, s.heads, s.remove}, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	// After the connection counts as busy, closeIdle does not end it again.
	defer trackConn(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		if h, ok := c.(*callerConn); ok && h.isOpen() {
			// Its caller still receives the last response.
			s.conns[c] = connState{idle: true, since: time.Now()}
			return
		}
		delete(s.conns, c)
	default:
		s.conns[c] = connState{idle: state != http.StateActive, since: time.Now()}
	}
}

// remove forgets a connection.
func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain stops accepting connections and waits until every request is
// finished and its caller has received the response, however long that takes. From before the call, the handler must send
// Connection: close with its responses. An idle connection is kept for IdleGrace
// after its last request or the call of Drain, whichever is later.
//
// http.Server.Shutdown is not used, because it closes idle connections at
// once, and a request may be in flight on one of them.
func (s *Server) Drain() {
	start := time.Now()
	s.mu.Lock()
	s.draining = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	const poll = 20 * time.Millisecond
	for s.closeIdle(start) > 0 {
		time.Sleep(poll)
	}
	_ = s.http.Close()
}

// closeIdle ends the connections that have been idle for IdleGrace and returns
// the number of open connections.
func (s *Server) closeIdle(start time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c, st := range s.conns {
		since := st.since
		if since.Before(start) {
			since = start
		}
		if !st.idle || now.Sub(since) < s.IdleGrace {
			continue
		}
		if h, ok := c.(*callerConn); ok {
			h.end()
			continue
		}
		_ = c.Close()
		delete(s.conns, c)
	}
	return len(s.conns)
}
