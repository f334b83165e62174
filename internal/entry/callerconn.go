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

// headListener accepts connections whose heads count toward an account.
type headListener struct {
	net.Listener
	account *memory.Account
	// onClosed is that of the connections.
	onClosed func(net.Conn)
}

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	h := &headConn{TCPConn: tcp, inHead: true, onClosed: l.onClosed}
	h.held = l.account.NewHolder(h.closeInHead)
	return h, nil
}

// headConn is a connection of a caller. It reserves memory for what it reads of a head before
// the HTTP server parses it, and fails if none is left. When memory is short, a connection is
// closed whose request has not arrived completely; that request has not run.
//
// Close waits until the caller has received what was written, see closeDelivered.
type headConn struct {
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
func (c *headConn) Read(p []byte) (int, error) {
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

func (c *headConn) isInHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inHead
}

// setInHead notes whether the next bytes belong to a head.
func (c *headConn) setInHead(inHead bool) {
	c.mu.Lock()
	c.inHead = inHead
	c.mu.Unlock()
}

// closeInHead ends the connection unless the handler has the request, and reports whether it
// did.
func (c *headConn) closeInHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead {
		c.endLocked()
	}
	return c.inHead
}

type headConnKey struct{}

// withHeadConn makes the connection known to the handlers of its requests.
func withHeadConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, headConnKey{}, c)
}

// endHead returns a handler that ends the head of each request.
func endHead(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(headConnKey{}).(*headConn); ok {
			c.setInHead(false)
			c.resume()
		}
		h.ServeHTTP(w, r)
	})
}

// trackHead releases the memory of a head when its request has ended.
func trackHead(c net.Conn, state http.ConnState) {
	h, ok := c.(*headConn)
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
