package delivery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against closing before the peer has received everything, against waiting for ever for one
// that takes nothing, or too little, and against giving up one that reads slowly.
func TestWait(t *testing.T) {
	limits := Limits{Linger: 500 * time.Millisecond, PieceBytes: 100, PieceTimeout: 10 * time.Second}
	type look struct {
		at   time.Duration
		left int
		over bool
		want verdict
	}
	for name, looks := range map[string][]look{
		"nothing is left and the peer has closed": {{0, 0, true, done}},
		"the peer closes during the linger":       {{0, 0, false, waiting}, {499 * time.Millisecond, 0, false, waiting}, {499 * time.Millisecond, 0, true, done}},
		"the peer does not close":                 {{time.Second, 0, false, waiting}, {1500 * time.Millisecond, 0, false, done}},
		"the peer has closed and reads later":     {{0, 300, true, waiting}, {9 * time.Second, 300, true, waiting}, {9900 * time.Millisecond, 0, true, done}},
		"the peer takes nothing":                  {{9 * time.Second, 300, false, waiting}, {10 * time.Second, 300, false, givenUp}},
		"the peer takes too little":               {{5 * time.Second, 250, false, waiting}, {10 * time.Second, 201, false, givenUp}},
		"the peer reads slowly": {
			{9 * time.Second, 200, false, waiting}, {18 * time.Second, 100, false, waiting}, {27 * time.Second, 50, false, waiting},
			{27 * time.Second, 0, false, waiting}, {28 * time.Second, 0, false, done},
		},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			w := newWait(limits, start, 300)
			for i, l := range looks {
				if got := w.next(start.Add(l.at), l.left, l.over); got != l.want {
					t.Fatalf("look %d: %s, want %s", i, got, l.want)
				}
			}
		})
	}
}

// connect returns both ends of a connection; the peer has a small receive buffer.
func connect(t *testing.T) (own, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), accepted.Close() })
	peer = c.(*net.TCPConn)
	_ = peer.SetReadBuffer(32 << 10)
	_ = peer.SetDeadline(time.Now().Add(10 * time.Second))
	return accepted.(*net.TCPConn), peer
}

const (
	// sent is more than the peer's kernel receives before the peer reads.
	sent = 300_000
	// kernelBytes is above what both kernels hold of what was sent and not read.
	kernelBytes = 16 << 20
)

// Guards against a peer that goes on sending, reads only later, and gets a part of what was
// written.
func TestClosePeerReadsLate(t *testing.T) {
	own, peer := connect(t)
	if _, err := own.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		result <- Close(own, false, Limits{Linger: 200 * time.Millisecond, PieceBytes: 1 << 10, PieceTimeout: 5 * time.Second})
	}()
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		if _, err := peer.Write(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		if left, err := Unacknowledged(own); err != nil || left == 0 {
			t.Fatalf("%d bytes are unacknowledged of a peer that reads nothing, %v", left, err)
		}
	}
	if n, err := io.Copy(io.Discard, peer); n != sent || err != nil {
		t.Errorf("the peer got %d bytes of %d, %v", n, sent, err)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// Guards against a connection that is held for ever for a peer that takes nothing, one that looks
// complete to it, and against discarding for one that sends without end.
func TestClosePeerTakesNothing(t *testing.T) {
	own, peer := connect(t)
	if _, err := own.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		result <- Close(own, false, Limits{Linger: 200 * time.Millisecond, PieceBytes: 1 << 10, PieceTimeout: 500 * time.Millisecond})
	}()
	sentBack := 0
	_ = peer.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	for {
		n, err := peer.Write(make([]byte, 64<<10))
		if sentBack += n; err != nil {
			break
		}
	}
	select {
	case err := <-result:
		if err == nil {
			t.Error("a peer that takes nothing counts as served")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is held for a peer that takes nothing")
	}
	if sentBack > maxDiscardBytes+kernelBytes {
		t.Errorf("%d bytes were discarded", sentBack)
	}
	if n, err := io.Copy(io.Discard, peer); err == nil || n == sent {
		t.Errorf("the peer got %d bytes of %d, %v; want a reset", n, sent, err)
	}
}

// Guards against waiting for a peer that has closed its side and then reset the connection.
func TestClosePeerResets(t *testing.T) {
	own, peer := connect(t)
	if _, err := own.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	_ = peer.CloseWrite()
	if _, err := own.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read: %v, want the end of the peer's side", err)
	}
	result := make(chan error, 1)
	go func() {
		result <- Close(own, true, Limits{Linger: time.Second, PieceBytes: 1 << 10, PieceTimeout: 30 * time.Second})
	}()
	time.Sleep(50 * time.Millisecond)
	_ = peer.SetLinger(0)
	_ = peer.Close()
	select {
	case err := <-result:
		if err == nil {
			t.Error("a peer that reset the connection counts as served")
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is held although the peer has reset it")
	}
}

// Guards against a closed connection that counts as delivered.
func TestUnacknowledgedOfAClosedConnection(t *testing.T) {
	own, _ := connect(t)
	_ = own.Close()
	if _, err := Unacknowledged(own); !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.EINVAL) {
		t.Errorf("error %v", err)
	}
}

// Guards against taking a peer for gone that only reads later, and against holding a connection
// for one that is gone without a word.
func TestSilence(t *testing.T) {
	type look struct {
		at, lastAck time.Duration
		awaited     bool
		gone        bool
	}
	for name, looks := range map[string][]look{
		"nothing is awaited":      {{0, time.Hour, false, false}, {time.Hour, time.Hour, false, false}},
		"acknowledgements arrive": {{0, 100 * time.Millisecond, true, false}, {5 * time.Second, 1400 * time.Millisecond, true, false}},
		"a probe was sent just now, and is acknowledged": {
			{0, 3 * time.Second, true, false}, {200 * time.Millisecond, 200 * time.Millisecond, false, false},
			{5 * time.Second, 5 * time.Second, true, false}, {5200 * time.Millisecond, 0, false, false},
		},
		"data is not acknowledged":    {{0, 0, true, false}, {1400 * time.Millisecond, 1400 * time.Millisecond, true, false}, {1600 * time.Millisecond, 1600 * time.Millisecond, true, false}, {1800 * time.Millisecond, 1800 * time.Millisecond, true, true}},
		"a probe is not acknowledged": {{0, 3 * time.Second, true, false}, {200 * time.Millisecond, 3200 * time.Millisecond, true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var s silence
			start := time.Unix(1000, 0)
			for i, l := range looks {
				if got := s.isGone(start.Add(l.at), l.awaited, l.lastAck); got != l.gone {
					t.Fatalf("look %d: gone %v, want %v", i, got, l.gone)
				}
			}
		})
	}
}

// vanish makes the kernel of a peer drop whatever arrives for it, as after a loss of power.
func vanish(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	if err := control(peer, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	}); err != nil {
		t.Fatal(err)
	}
}

// Guards against cutting off a peer that reads nothing for some seconds, and against keeping
// memory for as long for one that is gone.
func TestWriteToAPeerThatReadsLaterOrIsGone(t *testing.T) {
	const readsAfter, timeout = 3 * time.Second, 20 * time.Second
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("gone %v", gone), func(t *testing.T) {
			t.Parallel()
			own, peer := connect(t)
			_ = own.SetWriteBuffer(32 << 10)
			received := make(chan int64, 1)
			if gone {
				vanish(t, peer)
			} else {
				go func() {
					time.Sleep(readsAfter)
					n, _ := io.Copy(io.Discard, peer)
					received <- n
				}()
			}
			start := time.Now()
			n, err := Write(own, make([]byte, 10*sent), timeout)
			took := time.Since(start)
			if gone {
				if !errors.Is(err, ErrPeerGone) || took > 2*readsAfter {
					t.Errorf("%d bytes after %v, %v", n, took, err)
				}
				return
			}
			if err != nil {
				t.Fatalf("%d bytes after %v: %v", n, took, err)
			}
			if err := Close(own, false, CallerLimits); err != nil {
				t.Error(err)
			}
			if n := <-received; n != 10*sent {
				t.Errorf("the peer got %d bytes of %d", n, 10*sent)
			}
		})
	}
}

// Guards against holding a connection at its end for a peer that is gone without a word.
func TestClosePeerIsGone(t *testing.T) {
	own, peer := connect(t)
	vanish(t, peer)
	if _, err := own.Write(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if err := Close(own, false, CallerLimits); !errors.Is(err, ErrPeerGone) {
		t.Errorf("error %v", err)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("the connection is held for %v", took)
	}
}
