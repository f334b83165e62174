package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"trefoilstream.example/trefoilstream/internal/delivery"
	"trefoilstream.example/trefoilstream/internal/sockopt"
)

// unlimited disables the limit on bytes read.
const unlimited = math.MaxInt64

// conn is a connection that counts its bytes.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// written counts the bytes of the current request that the kernel has
	// accepted or, during a write, may have accepted.
	written  atomic.Int64
	received atomic.Int64
	// writing is held during a write. writeErr is the error of the write that failed.
	writing  sync.Mutex
	writeErr error
	// used is set once a request was sent.
	used bool
	// headerBytesLeft is the number of bytes that may still be read before
	// the end of the headers.
	headerBytesLeft int64
	// head holds what was read since the head of a response began, unless it begins with
	// HTTP/1.1, as isHTTP11 says.
	head     []byte
	isHTTP11 bool
	// maxIdle is how long the connection may stay idle.
	maxIdle   time.Duration
	idleTimer *time.Timer
	client    *Client
	close     sync.Once
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// brokenInWrite returns the error of a connection that broke while the request was being
// written, or nil. It ends the write.
//
// Linux reports a reset once, to the writer or to the reader. If the writer got it, the reader
// sees io.EOF, as after an orderly close. A reset that follows an orderly close is reported to
// the writer as EPIPE.
func (c *conn) brokenInWrite() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}

// headerLimitReader reads from a connection up to its header limit.
type headerLimitReader struct{ c *conn }

// Read implements io.Reader.
func (l headerLimitReader) Read(p []byte) (int, error) {
	if l.c.headerBytesLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	if l.c.headerBytesLeft != unlimited && int64(len(p)) > l.c.headerBytesLeft {
		p = p[:l.c.headerBytesLeft]
	}
	n, err := l.c.Conn.Read(p)
	l.c.received.Add(int64(n))
	if l.c.headerBytesLeft != unlimited {
		l.c.headerBytesLeft -= int64(n)
		l.c.recordHead(p[:n])
	}
	return n, err
}

// beginHead prepares for reading the head of a response.
func (c *conn) beginHead() {
	c.headerBytesLeft = maxHeaderBytes
	c.head, c.isHTTP11 = nil, false
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.recordHead(buffered)
}

func (c *conn) recordHead(p []byte) {
	if len(c.head) == 0 && bytes.HasPrefix(p, []byte("HTTP/1.1")) {
		c.isHTTP11 = true
	}
	if !c.isHTTP11 {
		c.head = append(c.head, p...)
	}
}

// recordedHead returns the head that was read, without what was read ahead.
func (c *conn) recordedHead() []byte { return c.head[:max(0, len(c.head)-c.reader.Buffered())] }

// closeAndRelease closes the connection and releases its reservation. When it
// returns, no further write can succeed, whichever goroutine closed the
// connection.
func (c *conn) closeAndRelease() {
	c.close.Do(func() {
		_ = c.Conn.Close()
		c.client.release(c.address)
	})
}

// reusable reports whether an idle connection is open and has no unread bytes.
// Unsolicited bytes would be taken for the next response.
func (c *conn) reusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	// DialTimeout overrides the default connect timeout if it is set before
	// the first request.
	DialTimeout time.Duration

	mu        sync.Mutex
	openCount map[string]int
	idle      map[string][]*conn
}

// New returns a client.
func New() *Client { return &Client{openCount: make(map[string]int), idle: make(map[string][]*conn)} }

// preconnectIdleTimeout is how long a connection that Preconnect made stays
// idle. It is short because the server has not announced its idle timeout yet.
const preconnectIdleTimeout = 3 * time.Second

// Preconnect opens a connection and keeps it for the next request. It returns an
// error that wraps ErrConnect if the address cannot be reached.
func (c *Client) Preconnect(ctx context.Context, address string) error {
	cn, err := c.get(ctx, address, false)
	if err != nil {
		return err
	}
	cn.maxIdle = preconnectIdleTimeout
	c.put(cn)
	return nil
}

// get returns a connection: an idle one if reuse is set, else a new one.
func (c *Client) get(ctx context.Context, address string, reuse bool) (*conn, error) {
	for reuse {
		cn := c.pop(address)
		if cn == nil {
			break
		}
		cn.idleTimer.Stop()
		if cn.reusable() {
			cn.written.Store(0)
			return cn, nil
		}
		cn.closeAndRelease()
	}
	if err := c.reserve(address); err != nil {
		return nil, err
	}
	dialer := sockopt.WatchedDialer(c.dialTimeout())
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.release(address)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	cn := &conn{Conn: delivery.Watch(raw), address: address, client: c}
	cn.reader = bufio.NewReader(io.Reader(headerLimitReader{cn}))
	return cn, nil
}

func (c *Client) dialTimeout() time.Duration {
	if c.DialTimeout > 0 {
		return c.DialTimeout
	}
	return dialTimeout
}

// reserve counts a new connection towards MaxConnections. At the limit, it
// first closes the connection that has been idle the longest.
func (c *Client) reserve(address string) error {
	c.mu.Lock()
	var oldest *conn
	if c.openCount[address] >= MaxConnections && len(c.idle[address]) > 0 {
		oldest = c.idle[address][0]
		c.idle[address] = c.idle[address][1:]
	}
	c.mu.Unlock()
	if oldest != nil {
		oldest.idleTimer.Stop()
		oldest.closeAndRelease()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCount[address] >= MaxConnections {
		return fmt.Errorf("%d connections to %s are in use", MaxConnections, address)
	}
	c.openCount[address]++
	return nil
}

func (c *Client) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCount[address]--; c.openCount[address] == 0 {
		delete(c.openCount, address)
	}
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	if len(list) == 1 {
		delete(c.idle, address)
	}
	return cn
}

func (c *Client) put(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.address] = append(c.idle[cn.address], cn)
	cn.idleTimer = time.AfterFunc(cn.maxIdle, func() { c.expire(cn) })
}

// expire closes a connection if it is still idle.
func (c *Client) expire(cn *conn) {
	c.mu.Lock()
	list, found := c.idle[cn.address], false
	for i, other := range list {
		if other == cn {
			c.idle[cn.address] = append(list[:i:i], list[i+1:]...)
			found = true
			break
		}
	}
	if len(c.idle[cn.address]) == 0 {
		delete(c.idle, cn.address)
	}
	c.mu.Unlock()
	if found {
		cn.closeAndRelease()
	}
}

// Connections returns the number of reserved or open connections to a server.
func (c *Client) Connections(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCount[address]
}

// CanConnect reports whether a connection to the address can be made.
func CanConnect(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
