package standin

import (
	"io"
	"net"
	"net/http"
	"time"
)

// RawResponse is an http.Handler that reads each request, writes the same bytes, which need
// not be HTTP, and ends the connection.
type RawResponse struct {
	Bytes string
	// Reset ends the connection with a reset, once the bytes have had time to arrive.
	Reset bool
}

// resetDelay is how long the bytes before a reset have to arrive.
const resetDelay = 5 * time.Millisecond

// ServeHTTP implements http.Handler.
func (r RawResponse) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, r.Bytes)
	if tcp, ok := c.(*net.TCPConn); ok && r.Reset {
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
	}
}
