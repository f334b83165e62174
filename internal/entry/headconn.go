package entry

import (
	"context"
	"net"
	"net/http"
	"sync"

	"trefoilstream.example/trefoilstream/internal/memory"
)

// headListener accepts connections whose heads count toward an account.
type headListener struct {
	net.Listener
	account *memory.Account
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
	h := &headConn{TCPConn: tcp, inHead: true}
	h.held = l.account.NewHolder(h.closeInHead)
	return h, nil
}

// headConn is a connection of a caller. It reserves memory for what it reads of a head before
// the HTTP server parses it, and fails if none is left. When memory is short, a connection is
// closed whose request has not arrived completely; that request has not run.
type headConn struct {
	*net.TCPConn
	held *memory.Holder

	mu sync.Mutex
	// inHead is set until the handler gets the request.
	inHead bool
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
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

// closeInHead closes the connection unless the handler has the request, and reports whether it
// did.
func (c *headConn) closeInHead() bool {
	inHead := c.isInHead()
	if inHead {
		_ = c.Close()
	}
	return inHead
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
	switch state {
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		h.setInHead(true)
		h.held.ReleaseAll()
	}
}
