package entry

import (
	"net"
	"time"

	"trefoilstream.example/trefoilstream/internal/delivery"
)

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.fail()
	}
	return n, err
}

// SetLinger makes Close reset the connection if the argument is 0, see abort.
func (c *callerConn) SetLinger(seconds int) error {
	if seconds == 0 {
		c.fail()
	}
	return c.TCPConn.SetLinger(seconds)
}

// fail makes Close wait for nothing.
func (c *callerConn) fail() {
	c.mu.Lock()
	c.failed = true
	c.mu.Unlock()
}

func (c *callerConn) setIdle(idle bool) {
	c.mu.Lock()
	c.idle = idle
	c.mu.Unlock()
}

// SetReadDeadline implements net.Conn. It does nothing once the connection ends.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// end makes the HTTP server close a connection that has no request, in its own time: its reads
// fail.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked()
}

func (c *callerConn) endLocked() {
	c.ending = true
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// resume takes end back for a request that had arrived before it.
func (c *callerConn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		c.ending = false
		_ = c.TCPConn.SetReadDeadline(time.Time{})
	}
}

// Close implements net.Conn. The HTTP server calls it after the last response, which the caller
// may not have received: the connection stays open until it has, see delivery.Close. One that is
// idle is closed at once. So is one whose writes fail, and any one at the second call.
func (c *callerConn) Close() error {
	c.held.ReleaseAll()
	c.mu.Lock()
	defer c.mu.Unlock()
	atOnce := c.closing || c.failed || c.idle && c.isDelivered()
	if atOnce {
		c.closing, c.closed = true, true
		return c.TCPConn.Close()
	}
	c.closing = true
	go func(callerClosed bool) {
		_ = delivery.Close(c.TCPConn, callerClosed, delivery.CallerLimits)
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.onClosed(c)
	}(c.callerClosed)
	return nil
}

// isOpen reports whether the connection stays open although the HTTP server has closed it.
func (c *callerConn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && !c.closed
}

// isDelivered reports whether the caller has received all that was written. The caller holds mu.
func (c *callerConn) isDelivered() bool {
	left, err := delivery.Unacknowledged(c.TCPConn)
	return err != nil || left == 0
}

// stalledAfter is after which time without an acknowledgement a caller counts as one that does not
// take its response.
const stalledAfter = time.Second

// mayGiveWay reports whether the connection, which has no request, can be closed for another one:
// its caller has received all responses, or takes no more of them.
func (c *callerConn) mayGiveWay(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, err := delivery.Unacknowledged(c.TCPConn)
	if err != nil || left == 0 {
		return true
	}
	if left != c.left || c.leftSince.IsZero() {
		c.left, c.leftSince = left, now
	}
	return now.Sub(c.leftSince) >= stalledAfter
}

// closeNow closes a connection that has no request without waiting for its caller.
func closeNow(c net.Conn) {
	if h, ok := c.(*callerConn); ok {
		_ = h.TCPConn.Close()
		return
	}
	_ = c.Close()
}
