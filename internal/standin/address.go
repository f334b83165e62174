package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addresses counts the loopback addresses that this process has handed out.
var addresses atomic.Uint32

// FreeAddress returns an address for a program that listens on it later. It uses
// a loopback IP of its own, since on 127.0.0.1 an outgoing connection could take
// the port in the meantime.
func FreeAddress() (string, error) {
	n, pid := addresses.Add(1), os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+(pid>>8+int(n>>8))%250, pid%256, n%256))
	if err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	return l.Addr().String(), l.Close()
}
