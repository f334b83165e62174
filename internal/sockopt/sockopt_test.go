package sockopt

import (
	"context"
	"net"
	"syscall"
	"testing"
)

// Guards against a receive buffer that grows to the system's limit, and that connections do not
// inherit from their listener.
func TestConnectionsOfCallersHaveABoundedReceiveBuffer(t *testing.T) {
	l, err := CallerListenConfig().Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	size := 0
	if err := raw.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF) }); err != nil {
		t.Fatal(err)
	}
	// Linux doubles the value for its own structures.
	if err != nil || size <= 0 || size > 2*callerBufferBytes {
		t.Errorf("receive buffer of %d bytes, %v; want at most %d", size, err, 2*callerBufferBytes)
	}
}
