package ingress

import (
	"net"
	"time"

	"trefoilstream.example/trefoilstream/internal/delivery"
)

// untaken holds where the responses end that were written and that the caller may not have
// acknowledged, as offsets in what was written, in order.
type untaken struct {
	ends []int64
	// taken is up to where the caller has acknowledged, and since when.
	taken   int64
	takenAt time.Time
}

// add adds a response.
func (u *untaken) add(end int64) { u.ends = append(u.ends, end) }

// settle drops the responses that end before an offset that the caller has acknowledged.
func (u *untaken) settle(taken int64, now time.Time) {
	if taken > u.taken || u.takenAt.IsZero() {
		u.taken, u.takenAt = taken, now
	}
	n := 0
	for n < len(u.ends) && u.ends[n] <= taken {
		n++
	}
	u.ends = u.ends[n:]
}

// settle brings untaken up to date and returns the number of responses that the caller may not
// have received. The caller holds mu.
func (c *conn) settle(now time.Time) int {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		c.untaken.ends = nil
	}
	if len(c.untaken.ends) == 0 {
		return 0
	}
	// Read first, since more may be written meanwhile.
	written := c.written.Load()
	left, err := delivery.Unacknowledged(tcp)
	if err != nil {
		// The connection has ended.
		left = 0
	}
	c.untaken.settle(written-int64(left), now)
	return len(c.untaken.ends)
}

// undelivered returns the number of responses that were written and that the caller may not have
// received.
func (c *conn) undelivered(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settle(now)
}

// hasExpired reports whether the connection has been idle for too long. A caller may use it for
// that time after it has received the responses, unless it does not take them.
func (c *conn) hasExpired(now time.Time, idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settle(now) > 0 && now.Sub(c.untaken.takenAt) < delivery.CallerLimits.PieceTimeout {
		c.idleSince = now
	}
	return c.pending == 0 && now.Sub(c.idleSince) >= idle
}

// isEnding reports whether the connection ends by itself, see finish.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished || c.callerClosed
}

// endOutput ends the connection after the last response. If that is not complete, the requests
// behind it are cancelled. Broken says that the caller notices it, see Response.broken; otherwise
// the connection is closed at once.
func (c *conn) endOutput(complete, broken bool) {
	c.mu.Lock()
	c.finished = true
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	c.mu.Unlock()
	if !complete {
		c.cancel()
	}
	if !complete && !broken {
		_ = c.raw.Close()
	}
}

func (c *conn) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}

// setIdleDeadline sets the deadline for the first byte of a request, and returns false if none is
// read any more.
func (c *conn) setIdleDeadline(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return false
	}
	_ = c.raw.SetReadDeadline(t)
	return true
}

// finish closes the connection when its caller has received everything that was written. An idle
// one is closed at once, since a request that is read and discarded counts as lost.
func (c *conn) finish() {
	c.mu.Lock()
	idle := !c.finished && !c.callerClosed && c.settle(time.Now()) == 0
	atOnce := idle || c.urgent || c.closed
	callerClosed := c.callerClosed
	c.mu.Unlock()
	tcp, ok := c.raw.(*net.TCPConn)
	if atOnce || !ok {
		c.close()
		return
	}
	_ = delivery.Close(tcp, callerClosed, delivery.CallerLimits)
	c.close()
}
