package ingress

import "time"

// hasRoom reports whether one more connection may be open.
func (s *Server) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.MaxConnections <= 0 || len(s.conns)-s.leaving < s.MaxConnections
}

// maxLeaving bounds the connections that are being closed and still use a descriptor.
const maxLeaving = 32

// makeRoom closes the connection that has been idle for longest, see idleFor, and reports whether
// there is one that can be closed.
func (s *Server) makeRoom(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving >= maxLeaving {
		return false
	}
	var least *conn
	longest := time.Duration(0)
	for c := range s.conns {
		if waited := c.idleFor(now); waited > longest {
			least, longest = c, waited
		}
	}
	if least == nil || !least.closeIfIdle() && !least.closeIfStalled() && !least.evictRequest(true) {
		return false
	}
	least.leaving = true
	s.leaving++
	return true
}

// closeIfIdle closes the connection if it has no pending request and its caller has received all
// responses, and reports whether it did.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	idle := c.pending == 0 && c.settle(time.Now()) == 0
	if idle {
		c.closed = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.raw.Close()
	}
	return idle
}

// evictRequest makes the request that is being read end with a refusal, and reports whether
// there is one. If the connection itself has to go, urgently, it must have no other request.
func (c *conn) evictRequest(urgent bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isReading || urgent && c.pending+c.settle(time.Now()) > 1 {
		return false
	}
	c.evicted, c.urgent = true, c.urgent || urgent
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	return true
}

// stalledAfter is after which time a write counts as one that the caller does not take.
const stalledAfter = time.Second

// closeIfStalled closes the connection if the caller does not take its responses, and reports
// whether it did.
func (c *conn) closeIfStalled() bool {
	if !c.isStalled(time.Now()) {
		return false
	}
	c.cancel()
	c.setResetOnClose(true)
	c.close()
	return true
}

// isStalled reports whether the caller has taken nothing for a while of what is written, or of
// what the kernel holds when nothing more is.
func (c *conn) isStalled(now time.Time) bool {
	if start := c.writeStart.Load(); start != 0 {
		return now.Sub(time.Unix(0, start)) >= stalledAfter
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0 && c.settle(now) > 0 && now.Sub(c.untaken.takenAt) >= stalledAfter
}

// unusedWeight times its idle time is how long a connection counts as idle on which no request
// has ended: callers that keep their connections for further requests come first.
const unusedWeight = 8

// idleFor returns how long the connection has neither served nor received anything, weighted by
// its use; 0 if it cannot be closed without cutting off a request that was read. A connection whose
// caller takes nothing counts as idle for as long.
func (c *conn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.idleSince
	switch start := c.writeStart.Load(); {
	case !c.leaving && !c.closed && start != 0 && now.Sub(time.Unix(0, start)) >= stalledAfter:
		// The responses behind the one that the caller does not take cannot reach it either.
		return now.Sub(time.Unix(0, start))
	case c.leaving || c.closed || c.pending > 1 || c.pending == 1 && !c.isReading:
		return 0
	case c.settle(now) > 0:
		// Cannot be closed before the caller counts as stalled.
		if c.pending > 0 || now.Sub(c.untaken.takenAt) < stalledAfter {
			return 0
		}
		since = c.untaken.takenAt
	case c.isReading:
		since = time.Unix(0, c.lastRead.Load())
	}
	if c.served == 0 {
		return unusedWeight * now.Sub(since)
	}
	return now.Sub(since)
}

// setReading notes whether a request is being read.
func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	c.isReading = reading
	c.mu.Unlock()
}

// setReadDeadline sets the deadline for reading a request, unless the request was evicted or the
// connection ends.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted && !c.finished {
		_ = c.raw.SetReadDeadline(t)
	}
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}
