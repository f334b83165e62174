package measure

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errNotConnected means that no connection could be established, so that
// nothing was sent.
var errNotConnected = errors.New("not connected")

// connectionPool is an HTTP/1.1 client with keep-alive that never retries. The
// client of net/http retries on its own, which would hide broken connections.
type connectionPool struct {
	mu   sync.Mutex
	idle map[string][]*connection
}

type connection struct {
	net.Conn
	reader *bufio.Reader
}

// maxIdle bounds the idle connections per instance.
const maxIdle = 64

func (c *connectionPool) get(ctx context.Context, address string) (*connection, error) {
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		conn := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if conn.alive() {
			return conn, nil
		}
		_ = conn.Close()
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(errNotConnected, err)
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// alive reports whether the server has left the idle connection open. It peeks
// at the socket, as a load balancer does.
func (c *connection) alive() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	_ = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return alive
}

func (c *connectionPool) put(address string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*connection)
	}
	if len(c.idle[address]) >= maxIdle {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// do sends a request once. consume reads the body; its error or that of the
// connection is returned with the head of the response, if one arrived.
func (c *connectionPool) do(ctx context.Context, address string, r *http.Request, consume func(*http.Response) error) (*http.Response, error) {
	conn, err := c.get(ctx, address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := r.Write(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	resp, err := http.ReadResponse(conn.reader, r)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := consume(resp); err != nil {
		_ = conn.Close()
		return resp, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		_ = conn.Close()
		return resp, err
	}
	_ = resp.Body.Close()
	if resp.Close || !stop() {
		_ = conn.Close()
		return resp, nil
	}
	c.put(address, conn)
	return resp, nil
}

func (c *connectionPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
	c.idle = nil
}

// balancer models the load balancer in front of the instances: round robin over
// those that are ready.
type balancer struct {
	fleet *Fleet
	ready atomic.Pointer[[]*Instance]
	next  atomic.Uint64
}

// balancerInterval is the time between two checks of /readyz.
const balancerInterval = 200 * time.Millisecond

func newBalancer(f *Fleet) *balancer {
	b := &balancer{fleet: f}
	all := f.Instances
	b.ready.Store(&all)
	return b
}

// run polls the readiness of the instances until ctx ends. While none is ready,
// the last list stays in use.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		results := make([]bool, len(b.fleet.Instances))
		var wg sync.WaitGroup
		for n, i := range b.fleet.Instances {
			wg.Go(func() { results[n] = i.Ready() })
		}
		wg.Wait()
		var ready []*Instance
		for n, i := range b.fleet.Instances {
			if results[n] {
				ready = append(ready, i)
			}
		}
		if len(ready) > 0 {
			b.ready.Store(&ready)
		}
		select {
		case <-ctx.Done():
		case <-time.After(balancerInterval):
		}
	}
}

// pick returns the next ready instance that is not excluded, or an excluded one
// if no other is ready.
func (b *balancer) pick(excluded map[*Instance]bool) *Instance {
	list := *b.ready.Load()
	start := b.next.Add(1)
	for n := range list {
		if i := list[(start+uint64(n))%uint64(len(list))]; !excluded[i] {
			return i
		}
	}
	return list[start%uint64(len(list))]
}

// timedOut reports whether the error is an expired deadline.
func timedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
