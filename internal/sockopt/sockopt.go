// Package sockopt sets TCP options that detect an unresponsive peer. A network
// partition or a power loss sends no reset, so a connection without these
// options hangs.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout closes a connection whose data is not acknowledged in time.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead peer
	// of an idle connection within two probe intervals.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeout = 0x12
)

// KeepAlive is the configuration of keep-alive probes.
var KeepAlive = net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
}

// Dialer returns a dialer whose connections have the options set.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: setUserTimeout}
}

// watchedKeepAlive detects a dead peer of an idle connection after one unanswered probe, as
// TCP_USER_TIMEOUT does.
var watchedKeepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 1}

// WatchedDialer returns a dialer for connections whose peer may read late: they have no limit on
// unacknowledged data, which would also end those. Wrap them with delivery.Watch, which tells a
// peer that reads late from one that is gone.
func WatchedDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: watchedKeepAlive}
}

// WatchedListenConfig returns a listen configuration for such connections. Accept them with
// delivery.Listener.
func WatchedListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: watchedKeepAlive}
}

// callerBufferBytes bounds what the kernel receives from a caller before it is read. It counts
// toward the machine's memory and not toward that of the process.
const callerBufferBytes = 64 << 10

// CallerListenConfig returns a listen configuration for connections of callers. They have a
// bounded receive buffer, and no limit on unacknowledged data, which would also end the
// connection of a caller that reads later: see package delivery.
func CallerListenConfig() *net.ListenConfig {
	c := &net.ListenConfig{KeepAliveConfig: KeepAlive}
	c.Control = func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, callerBufferBytes)
		})
		return errors.Join(err, sockErr)
	}
	return c
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
