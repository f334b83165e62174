package entry

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/apex/log"
)

// roomPoll is how often the server looks for room while it cannot accept a connection.
const roomPoll = 10 * time.Millisecond

// boundedListener accepts connections as long as there is room for them. It makes room by closing
// connections that are idle, or whose request has not arrived.
type boundedListener struct {
	net.Listener
	server *Server
	// failing is set while no descriptor is left.
	failing bool
}

// Accept implements net.Listener. It is called by one goroutine.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		for !l.server.hasRoom() {
			if !l.server.closeLongestIdle() {
				time.Sleep(roomPoll)
			}
		}
		c, err := l.Listener.Accept()
		short := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
		if short && !l.failing {
			log.WithField("event", "accept_failed").WithError(err).Warn("connections of callers cannot be accepted")
		}
		if l.failing = short; !short {
			return c, err
		}
		l.server.closeLongestIdle()
		time.Sleep(roomPoll)
	}
}

// hasRoom reports whether one more connection may be open. A server that drains accepts none, and
// need not wait.
func (s *Server) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxConns <= 0 || s.draining || len(s.conns) < s.maxConns
}

// closeLongestIdle closes the connection that has had no request for longest and whose caller
// waits for no response, and reports whether there is one.
func (s *Server) closeLongestIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []net.Conn
	for c, st := range s.conns {
		if st.idle {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b net.Conn) int { return s.conns[a].since.Compare(s.conns[b].since) })
	now := time.Now()
	for _, c := range idle {
		if h, ok := c.(*callerConn); ok && !h.mayGiveWay(now) {
			continue
		}
		closeNow(c)
		delete(s.conns, c)
		return true
	}
	return false
}
