// Package delivery ends TCP connections without cutting off what their peer has not received yet.
//
// A write that returns has only handed its bytes to the kernel. If the connection is closed while
// bytes of the peer are unread, or arrive later, the kernel sends a reset and discards what it has
// not sent (RFC 9112, section 9.6; RFC 1122, section 4.2.2.13). What the peer has received is known
// from its acknowledgements only.
package delivery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to the connection and that the
// peer's kernel has not acknowledged. The end of the stream counts as one of them on Linux. The
// error is that of the system, such as net.ErrClosed.
func Unacknowledged(c *net.TCPConn) (int, error) {
	n := 0
	err := control(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n, err
}

// stateClosed is TCP_CLOSE, the state after a reset.
const stateClosed = 7

// isReset reports whether the connection was reset, which only a read before the end of the peer's
// side shows.
func isReset(c *net.TCPConn) bool {
	info, err := tcpInfo(c)
	return err != nil || info.State == stateClosed
}

func control(c *net.TCPConn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

const (
	// maxDiscardBytes bounds what is discarded of a peer that goes on sending.
	maxDiscardBytes = 1 << 20
	// firstPoll and lastPoll bound the time between two looks at a connection.
	firstPoll = 10 * time.Millisecond
	lastPoll  = 160 * time.Millisecond
)

// Close ends a connection to which nothing more is written. It closes the write side, discards what
// the peer still sends, and closes the connection when the peer has received everything, see
// Limits. PeerClosed says that the peer has closed its side already.
//
// It returns an error if the connection broke or was given up before that. It may be called beside
// a read of the connection, which then gets a part of what is discarded.
func Close(c *net.TCPConn, peerClosed bool, l Limits) error {
	defer func() { _ = c.Close() }()
	left, err := Unacknowledged(c)
	if err != nil || left == 0 && peerClosed {
		return err
	}
	if err := c.CloseWrite(); err != nil {
		return err
	}
	d := &drain{conn: c, peerClosed: peerClosed}
	var s silence
	w := newWait(l, time.Now(), left)
	for poll := firstPoll; ; poll = min(2*poll, lastPoll) {
		if err := d.discard(poll); err != nil {
			return fmt.Errorf("connection broke with %d bytes unacknowledged: %w", left, err)
		}
		if left, err = Unacknowledged(c); err != nil {
			return err
		}
		switch w.next(time.Now(), left, d.isOver()) {
		case done:
			return nil
		case givenUp:
			_ = c.SetLinger(0)
			return fmt.Errorf("peer does not take the last %d bytes", left)
		}
		if d.isOver() && isReset(c) {
			return fmt.Errorf("peer reset the connection with %d bytes unacknowledged", left)
		}
		if s.look(c) {
			_ = c.SetLinger(0)
			return fmt.Errorf("%d bytes unacknowledged: %w", left, ErrPeerGone)
		}
	}
}

// drain discards what a peer sends.
type drain struct {
	conn       *net.TCPConn
	peerClosed bool
	// discarded is in bytes.
	discarded int64
}

// isOver reports whether nothing more is read: the peer has closed its side, or sends too much.
func (d *drain) isOver() bool { return d.peerClosed || d.discarded >= maxDiscardBytes }

// discard reads for a while, or waits if nothing more is read.
func (d *drain) discard(timeout time.Duration) error {
	if d.isOver() {
		time.Sleep(timeout)
		return nil
	}
	_ = d.conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := io.Copy(io.Discard, io.LimitReader(d.conn, maxDiscardBytes-d.discarded))
	d.discarded += n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	d.peerClosed = err == nil && d.discarded < maxDiscardBytes
	return err
}
