package delivery

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// watchInterval is how often a connection is looked at that has unacknowledged bytes.
const watchInterval = 200 * time.Millisecond

// Watched is a connection that ends when its peer is gone without a word: when what was written
// to it, or a probe of its closed window, is not acknowledged for silenceTimeout. A peer that
// lives and only reads later keeps it. A connection with nothing to be acknowledged is left to
// keep-alive probes.
type Watched struct {
	*net.TCPConn

	mu    sync.Mutex
	timer *time.Timer
	// running is set while the timer is set or its function runs.
	running bool
	unacked unacked
	// gone is set once the connection has been ended.
	gone atomic.Bool
}

// Watch returns a connection that ends when its peer is gone. Others than TCP connections are
// returned as they are.
func Watch(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &Watched{TCPConn: tcp}
}

// Write implements net.Conn.
func (w *Watched) Write(p []byte) (int, error) {
	w.start(time.Now())
	n, err := w.TCPConn.Write(p)
	return n, w.reason(err)
}

// Read implements net.Conn.
func (w *Watched) Read(p []byte) (int, error) {
	n, err := w.TCPConn.Read(p)
	return n, w.reason(err)
}

// reason returns ErrPeerGone for errors of a connection that was ended for it.
func (w *Watched) reason(err error) error {
	if err != nil && w.gone.Load() {
		return ErrPeerGone
	}
	return err
}

// ReadFrom implements io.ReaderFrom by way of Write.
func (w *Watched) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{w}, r)
}

func (w *Watched) start(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running {
		return
	}
	w.running, w.unacked = true, unacked{since: now}
	if w.timer == nil {
		w.timer = time.AfterFunc(watchInterval, w.check)
		return
	}
	w.timer.Reset(watchInterval)
}

// check looks at the connection until everything is acknowledged.
func (w *Watched) check() {
	left, err := Unacknowledged(w.TCPConn)
	if err == nil && left > 0 {
		info, infoErr := tcpInfo(w.TCPConn)
		if infoErr == nil && w.unacked.isGone(time.Now(), info.Unacked > 0 || info.Probes > 0, time.Duration(info.Last_ack_recv)*time.Millisecond) {
			w.gone.Store(true)
			_ = w.SetLinger(0)
			_ = w.Close()
			left = 0
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running = err == nil && left > 0; w.running {
		w.timer.Reset(watchInterval)
	}
}

// unacked follows whether the peer of a connection acknowledges what is sent to it.
type unacked struct {
	// since is the time from which on something awaits an acknowledgement.
	since time.Time
}

// isGone reports whether nothing was acknowledged for silenceTimeout although something awaits it.
// lastAck is the time since the last acknowledgement.
func (u *unacked) isGone(now time.Time, awaited bool, lastAck time.Duration) bool {
	if at := now.Add(-lastAck); !awaited {
		u.since = now
	} else if at.After(u.since) {
		u.since = at
	}
	return now.Sub(u.since) >= silenceTimeout
}

// Listener accepts watched connections.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Watch(c), nil
}
