// Package ingress serves callers over HTTP/1.x: it reads their requests,
// including pipelined ones, passes each to a handler, and writes the responses
// in order. Package instance uses it; package node uses package entry instead.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/memory"
)

const (
	// maxPipelined bounds the requests of one connection that are served at
	// the same time.
	maxPipelined = 16
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply
	// until a configuration sets limits.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 90 * time.Second
	// defaultBodyBytes bounds a body until a configuration sets a limit.
	defaultBodyBytes = 64 << 20
)

// Handler serves one request. The context is cancelled when the caller
// disconnects. Serve completes the response w before it returns.
type Handler interface {
	Serve(ctx context.Context, r *Request, w *Response)
	// Limits returns the active limits.
	Limits() catalog.Limits
}

// Refusal describes a request that was refused while it was read.
type Refusal struct {
	// Header is nil if the request was refused before the end of its head.
	Header http.Header
	Err    error
	// Took is the time since the first byte of the request.
	Took time.Duration
}

// Server accepts connections of callers.
type Server struct {
	handler Handler
	// Memory bounds what all connections hold together, if it is set before Serve.
	Memory *memory.Account
	// MaxConnections bounds the open connections, if it is set before Serve; 0 does not.
	MaxConnections int
	// OnRefused, if it is set before Serve, is called for each request that is refused while it
	// is read. Such requests do not reach the handler.
	OnRefused func(Refusal)

	mu    sync.Mutex
	conns map[*conn]struct{}
	// leaving counts the connections that are being closed to make room.
	leaving  int
	draining atomic.Bool
	active   atomic.Int64
}

// NewServer returns a server that does not listen yet.
func NewServer(h Handler) *Server { return &Server{handler: h, conns: make(map[*conn]struct{})} }

// roomPoll is how often the server looks for room while it cannot accept a connection.
const roomPoll = 10 * time.Millisecond

// Serve accepts connections until the listener is closed. Other errors, such as the lack of
// descriptors, are temporary: connections wait in the listener's queue until others end.
func (s *Server) Serve(l net.Listener) {
	failing := false
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !failing {
				log.WithField("event", "accept_failed").WithError(err).Warn("connections of callers cannot be accepted")
			}
			failing = true
			s.makeRoom(time.Now())
			time.Sleep(roomPoll)
			continue
		}
		failing = false
		for !s.hasRoom() && !s.makeRoom(time.Now()) {
			time.Sleep(roomPoll)
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.serve()
	}
}

// Drain makes each connection close after the responses to the requests that it has
// read.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests that are being read or served, or whose callers have not
// acknowledged the whole response.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int(s.active.Load())
	for c := range s.conns {
		n += c.undelivered(time.Now())
	}
	return n
}

// Open returns the number of open connections, including those whose callers still receive the
// last response.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle closes the connections on which no request is being read or served and no response is
// on its way to the caller.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.isEnding() {
			c.closeIfIdle()
		}
	}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.leaving {
		s.leaving--
	}
}

// limits returns the active limits, with defaults for those that are unset.
func (s *Server) limits() catalog.Limits {
	l := s.handler.Limits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
