package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// DirectionFault is the fault in one direction of every connection. Bytes are
// never dropped, duplicated or reordered within a connection, as in TCP.
type DirectionFault struct {
	// Cut withholds all bytes, and delays new connections, as a one-way
	// partition does: the sender sees an open connection that makes no
	// progress. The withheld bytes arrive late, once Cut is cleared.
	Cut bool `json:"cut,omitempty"`
	// DelayMS is the delay of each byte in milliseconds.
	DelayMS float64 `json:"delay_ms,omitempty"`
	// TruncateAfter closes a connection after this many bytes in this
	// direction, counted from its start. Zero means never.
	TruncateAfter int64 `json:"truncate_after,omitempty"`
}

// Fault is the set of faults that a FaultProxy injects. The zero value injects
// none.
type Fault struct {
	// ToServer applies to bytes from the side that opened the connection.
	ToServer DirectionFault `json:"to_server"`
	// ToClient applies to bytes to the side that opened the connection.
	ToClient DirectionFault `json:"to_client"`
	// Freeze cuts both directions.
	Freeze bool `json:"freeze,omitempty"`
	// Refuse closes the listener, so that new connections are refused. Open
	// connections stay.
	Refuse bool `json:"refuse,omitempty"`
}

// blocked reports whether bytes to the server (or to the client) are withheld.
func (f Fault) blocked(toServer bool) bool {
	return f.Freeze || f.direction(toServer).Cut
}

func (f Fault) direction(toServer bool) DirectionFault {
	if toServer {
		return f.ToServer
	}
	return f.ToClient
}

// FaultStats holds the counters of a FaultProxy.
type FaultStats struct {
	Open          int   `json:"open"`
	Accepted      int64 `json:"accepted"`
	BytesToServer int64 `json:"bytes_to_server"`
	BytesToClient int64 `json:"bytes_to_client"`
}

// FaultProxy forwards TCP connections from its listener to a target address and
// injects the faults of its Fault.
type FaultProxy struct {
	target string
	addr   string

	mu       sync.Mutex
	listener net.Listener
	fault    Fault
	changed  chan struct{}
	links    map[*link]struct{}
	stats    FaultStats
	closed   bool
	wg       sync.WaitGroup
}

// NewFaultProxy listens on the address and forwards to the target. Port 0 chooses
// a free port.
func NewFaultProxy(listen, target string) (*FaultProxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	p := &FaultProxy{
		target: target, addr: l.Addr().String(), listener: l,
		changed: make(chan struct{}), links: make(map[*link]struct{}),
	}
	p.wg.Add(1)
	go p.accept(l)
	return p, nil
}

// Addr returns the address of the listener, also while connections are refused.
func (p *FaultProxy) Addr() string { return p.addr }

// Fault returns the current faults.
func (p *FaultProxy) Fault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Stats returns the counters.
func (p *FaultProxy) Stats() FaultStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Open = len(p.links)
	return s
}

// Set replaces the faults for open and new connections. It returns an error if
// the listener cannot be reopened.
func (p *FaultProxy) Set(f Fault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return net.ErrClosed
	}
	if f.Refuse && p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	if !f.Refuse && p.listener == nil {
		l, err := net.Listen("tcp", p.addr)
		if err != nil {
			return fmt.Errorf("fault proxy: listen again: %w", err)
		}
		p.listener = l
		p.wg.Add(1)
		go p.accept(l)
	}
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// Reset aborts every open connection with a TCP reset on both sides.
func (p *FaultProxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.abort()
	}
}

// Close stops the listener, resets all connections and waits until they have
// ended.
func (p *FaultProxy) Close() error {
	p.mu.Lock()
	p.closed = true
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	for l := range p.links {
		l.abort()
	}
	p.mu.Unlock()
	p.wg.Wait()
	return nil
}

func (p *FaultProxy) accept(l net.Listener) {
	defer p.wg.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Running out of file descriptors is temporary; the pause avoids a
			// busy loop.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			conn.Close()
			continue
		}
		k := newLink(p, conn.(*net.TCPConn))
		p.links[k] = struct{}{}
		p.stats.Accepted++
		p.wg.Add(1)
		p.mu.Unlock()
		go k.run()
	}
}

// waitUntil returns the faults once ready accepts them, or an error when ctx ends.
func (p *FaultProxy) waitUntil(ctx context.Context, ready func(Fault) bool) (Fault, error) {
	for {
		p.mu.Lock()
		f, changed := p.fault, p.changed
		p.mu.Unlock()
		if ready(f) {
			return f, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return f, ctx.Err()
		}
	}
}

func (p *FaultProxy) count(toServer bool, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if toServer {
		p.stats.BytesToServer += int64(n)
	} else {
		p.stats.BytesToClient += int64(n)
	}
}

// link is one forwarded connection.
type link struct {
	proxy  *FaultProxy
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	client *net.TCPConn
	server *net.TCPConn
}

func newLink(p *FaultProxy, client *net.TCPConn) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{proxy: p, ctx: ctx, cancel: cancel, client: client}
}

func (k *link) run() {
	defer k.proxy.wg.Done()
	defer func() {
		k.proxy.mu.Lock()
		delete(k.proxy.links, k)
		k.proxy.mu.Unlock()
		k.close()
	}()
	// A connection attempt makes no progress while either direction is cut.
	if _, err := k.proxy.waitUntil(k.ctx, func(f Fault) bool { return !f.blocked(true) && !f.blocked(false) }); err != nil {
		return
	}
	var d net.Dialer
	conn, err := d.DialContext(k.ctx, "tcp", k.proxy.target)
	if err != nil {
		k.abort()
		return
	}
	k.mu.Lock()
	k.server = conn.(*net.TCPConn)
	k.mu.Unlock()
	if k.ctx.Err() != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); k.pump(k.client, k.server, true) }()
	go func() { defer wg.Done(); k.pump(k.server, k.client, false) }()
	wg.Wait()
}

// chunk is the result of one read in one direction. eof marks the end of the
// direction.
type chunk struct {
	data   []byte
	eof    bool
	readAt time.Time
}

const (
	// chunkBytes and chunkQueue limit the bytes in flight per direction to
	// 1 MiB, like a TCP window; a larger buffer would hide back-pressure.
	chunkBytes = 32 << 10
	chunkQueue = 32
)

func (k *link) pump(from, to *net.TCPConn, toServer bool) {
	chunks := make(chan chunk, chunkQueue)
	go k.read(from, chunks)
	var sent int64
	for c := range chunks {
		f, err := k.waitForRelease(c, toServer)
		if err != nil {
			return
		}
		if limit := f.direction(toServer).TruncateAfter; limit > 0 && sent+int64(len(c.data)) >= limit {
			keep := max(0, limit-sent)
			k.proxy.count(toServer, int(keep))
			_, _ = to.Write(c.data[:keep])
			k.close()
			return
		}
		if c.eof {
			to.CloseWrite()
			return
		}
		// Counted before the write, so that the counters include every byte
		// that was received.
		k.proxy.count(toServer, len(c.data))
		n, err := to.Write(c.data)
		sent += int64(n)
		if err != nil {
			k.abort()
			return
		}
	}
	// The read failed, which a reset signals to the other side.
	k.abort()
}

// waitForRelease waits until the chunk may be forwarded.
func (k *link) waitForRelease(c chunk, toServer bool) (Fault, error) {
	for {
		f, err := k.proxy.waitUntil(k.ctx, func(f Fault) bool { return !f.blocked(toServer) })
		if err != nil {
			return f, err
		}
		delay := time.Duration(f.direction(toServer).DelayMS * float64(time.Millisecond))
		wait := time.Until(c.readAt.Add(delay))
		if wait <= 0 {
			return f, nil
		}
		if wait < preciseBelow {
			ts := syscall.NsecToTimespec(int64(wait))
			_ = syscall.Nanosleep(&ts, nil)
			continue
		}
		select {
		case <-time.After(wait - preciseBelow/2):
		case <-k.ctx.Done():
			return f, k.ctx.Err()
		}
	}
}

// preciseBelow is the wait below which the thread sleeps instead of the
// goroutine: the runtime's timers are up to 1 ms late on an idle processor, which
// is as much as the delay between instances.
const preciseBelow = 4 * time.Millisecond

func (k *link) read(from *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		now := time.Now()
		if n > 0 && !k.put(chunks, chunk{data: buf[:n], readAt: now}) {
			return
		}
		if errors.Is(err, io.EOF) {
			k.put(chunks, chunk{eof: true, readAt: now})
			return
		}
		if err != nil {
			return
		}
	}
}

func (k *link) put(chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-k.ctx.Done():
		return false
	}
}

// abort closes both sides with a TCP reset.
func (k *link) abort() {
	k.mu.Lock()
	for _, c := range []*net.TCPConn{k.client, k.server} {
		if c != nil {
			c.SetLinger(0)
		}
	}
	k.mu.Unlock()
	k.close()
}

func (k *link) close() {
	k.cancel()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.client.Close()
	if k.server != nil {
		k.server.Close()
	}
}
