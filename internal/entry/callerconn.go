package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/memory"
)

// callerListener accepts connections of callers. Their heads count toward an account.
type callerListener struct {
	net.Listener
	account *memory.Account
	// onClosed is that of the connections.
	onClosed func(net.Conn)
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	h := &callerConn{TCPConn: tcp, inHead: true, onClosed: l.onClosed}
	h.held = l.account.NewHolder(h.closeInHead)
	return h, nil
}

// callerConn is a connection of a caller. It reserves memory for what it reads of a head before
// the HTTP server parses it, and fails if none is left. When memory is short, a connection is
// closed whose request has not arrived completely; that request has not run.
//
// It stays open after Close until the caller has received what was written, see closing.go.
type callerConn struct {
	*net.TCPConn
	held *memory.Holder
	// onClosed is called if the connection is closed later than Close returns.
	onClosed func(net.Conn)

	mu sync.Mutex
	// inHead is set until the handler gets the request.
	inHead bool
	// idle is set between two requests.
	idle bool
	// callerClosed is set once the caller has closed its side.
	callerClosed bool
	// failed is set if a write has failed or the end of the connection has to be a reset.
	failed bool
	// ending is set by end; reads fail.
	ending bool
	// closing is set once Close was called, closed once the connection is closed.
	closing, closed bool
	// left is how much was unacknowledged at the last look, and since when.
	left      int
	leftSince time.Time
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF {
		c.mu.Lock()
		c.callerClosed = true
		c.mu.Unlock()
	}
	if n == 0 || !c.isInHead() {
		return n, err
	}
	if err := c.held.Reserve(memory.HeadBytes(p[:n])); err != nil {
		return 0, err
	}
	return n, err
}

func (c *callerConn) isInHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inHead
}

// setInHead notes whether the next bytes belong to a head.
func (c *callerConn) setInHead(inHead bool) {
	c.mu.Lock()
	c.inHead = inHead
	c.mu.Unlock()
}

// closeInHead ends the connection unless the handler has the request, and reports whether it
// did.
func (c *callerConn) closeInHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead {
		c.endLocked()
	}
	return c.inHead
}

type callerConnKey struct{}

// withCallerConn makes the connection known to the handlers of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// endHead returns a handler that ends the head of each request.
func endHead(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
			c.setInHead(false)
			c.resume()
		}
		h.ServeHTTP(w, r)
	})
}

// trackConn notes what the HTTP server says of a connection, and releases the memory of a head when
// its request has ended.
func trackConn(c net.Conn, state http.ConnState) {
	h, ok := c.(*callerConn)
	if !ok {
		return
	}
	h.setIdle(state == http.StateIdle || state == http.StateNew)
	switch state {
	case http.StateActive:
		h.resume()
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		h.setInHead(true)
		h.held.ReleaseAll()
	}
}
