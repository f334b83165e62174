package delivery

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silenceTimeout is after which time a peer is gone that acknowledges nothing.
	silenceTimeout = 1500 * time.Millisecond
	// silenceCheck is how often a write that does not end looks for that.
	silenceCheck = 200 * time.Millisecond
)

// ErrPeerGone says that the peer acknowledges nothing any more.
var ErrPeerGone = errors.New("peer acknowledges nothing")

// silence tells a peer that is gone without a word from one that does not read. The kernel of the
// latter acknowledges what fits its window, and probes of a window that is closed. TCP_USER_TIMEOUT
// does not tell the two apart: it also counts the time for which the window is closed.
type silence struct {
	// since is when something was first seen to await an acknowledgement; zero if nothing does.
	since time.Time
}

// isGone reports whether the peer is gone. Awaited says that something that was sent awaits an
// acknowledgement; lastAck is the time since the last one.
func (s *silence) isGone(now time.Time, awaited bool, lastAck time.Duration) bool {
	if !awaited || lastAck < silenceTimeout {
		s.since = time.Time{}
		return false
	}
	if s.since.IsZero() {
		// A probe may have been sent just now.
		s.since = now
	}
	return now.Sub(s.since) >= silenceCheck
}

// look reports whether the peer of a connection is gone.
func (s *silence) look(c *net.TCPConn) bool {
	info, err := tcpInfo(c)
	if err != nil {
		return false
	}
	return s.isGone(time.Now(), info.Unacked > 0 || info.Probes > 0, time.Duration(info.Last_ack_recv)*time.Millisecond)
}

func tcpInfo(c *net.TCPConn) (info *unix.TCPInfo, err error) {
	err = control(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}

// Write writes to a connection until the timeout. It returns ErrPeerGone earlier if the peer is
// gone without a word, and does not if the peer lives and only reads later.
func Write(c net.Conn, p []byte, timeout time.Duration) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c.Write(p)
	}
	w := watchWrite(tcp)
	n, err := tcp.Write(p)
	if w.stop() && err != nil {
		return n, ErrPeerGone
	}
	return n, err
}

// writeWatch ends a write whose peer is gone.
type writeWatch struct {
	conn *net.TCPConn

	mu      sync.Mutex
	timer   *time.Timer
	silence silence
	gone    bool
	stopped bool
}

func watchWrite(c *net.TCPConn) *writeWatch {
	w := &writeWatch{conn: c}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceCheck, w.check)
	return w
}

func (w *writeWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.gone = w.silence.look(w.conn); w.gone {
		_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
		return
	}
	w.timer.Reset(silenceCheck)
}

// stop ends the watch and reports whether the peer was gone.
func (w *writeWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.gone
}
