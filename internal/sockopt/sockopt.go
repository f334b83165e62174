// Package sockopt makes TCP connections that notice a silent peer. A partition
// or a loss of power sends no reset, so a connection without these options
// hangs.
package sockopt

import (
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout ends a connection whose data is not acknowledged.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find a dead peer of an idle
	// connection within two intervals.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 0x12
)

// KeepAlive is the configuration of keep-alive probes.
var KeepAlive = net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
}

// Dialer returns a dialer whose connections carry the options.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: setUserTimeout}
}

// ListenConfig returns a listen configuration whose accepted connections carry
// the options.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: KeepAlive, Control: setUserTimeout}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var fault error
	err := raw.Control(func(fd uintptr) {
		fault = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}
