package ingress

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
	"time"

	"trefoilstream.example/trefoilstream/internal/delivery"
	"trefoilstream.example/trefoilstream/internal/memory"
)

// conn is one connection of a caller. One goroutine reads requests, another
// writes the responses in the order of the requests.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *limitedReader
	reader *bufio.Reader
	// head is the header of the request that is being read, nil until it has been read.
	head   http.Header
	ctx    context.Context
	cancel context.CancelFunc
	// responses holds the responses in request order; the writer waits for
	// each in turn.
	responses chan *Response

	// idle, reading, serving and output hold the memory of the connection itself, of the
	// request that is being read, of the requests at the handler and of the responses.
	idle, reading, serving, output *memory.Holder
	// lastRead is when bytes of a request arrived last, in Unix nanoseconds.
	lastRead atomic.Int64
	// writeStart is when a write to the caller began, in Unix nanoseconds; 0 if none is under way.
	writeStart atomic.Int64
	// written is how many bytes were handed to the kernel.
	written atomic.Int64

	mu sync.Mutex
	// untaken holds the responses that the caller may not have received.
	untaken untaken
	// pending counts the requests that are being read or await a response.
	pending int
	// served counts the requests that have ended.
	served    int
	idleSince time.Time
	closed    bool
	// finished is set once no further request is read.
	finished bool
	// callerClosed is set once the caller has closed its side.
	callerClosed bool
	// isReading is set while a request is being read.
	isReading bool
	// evicted is set if the request that is being read has to give way.
	evicted bool
	// urgent is set if the descriptor of the connection is needed.
	urgent bool

	// leaving is set if the server has closed the connection to make room. It is guarded by the
	// server's mutex.
	leaving bool
}

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4096

// connBytes is the memory that a connection takes: its buffers and goroutines.
const connBytes = 24 << 10

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	l := &limitedReader{r: raw, left: unlimited}
	c := &conn{
		server: s, raw: raw, limit: l, reader: bufio.NewReaderSize(l, readBufferBytes), ctx: ctx, cancel: cancel,
		responses: make(chan *Response, maxPipelined), idleSince: time.Now(),
	}
	l.arrived = &c.lastRead
	c.idle, c.reading = s.Memory.NewHolder(func() bool { return c.closeIfIdle() || c.closeIfStalled() }), s.Memory.NewHolder(func() bool { return c.evictRequest(false) })
	c.serving, c.output = s.Memory.NewHolder(nil), s.Memory.NewHolder(c.closeIfStalled)
	return c
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	if err := c.idle.Reserve(connBytes); err != nil {
		c.cancel()
		c.close()
		return
	}
	defer c.idle.ReleaseAll()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	c.reading.ReleaseAll()
	close(c.responses)
	<-written
	c.cancel()
	c.finish()
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.raw.Close()
}

// beginRequest counts a request that is being read. It returns false if the
// connection is closed.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.finished {
		return false
	}
	c.pending++
	if c.pending == 1 {
		c.idle.SetEvictable(false)
	}
	c.server.active.Add(1)
	return true
}

// finishIfLast reports whether no other request of the connection is being read or
// awaits a response. If so, no further one is read.
func (c *conn) finishIfLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = c.finished || c.pending == 1
	return c.finished
}

func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.served++
	c.server.active.Add(-1)
	c.idleSince = time.Now()
	c.untaken.add(c.written.Load())
	if len(c.untaken.ends) >= maxPipelined {
		c.settle(c.idleSince)
	}
	if c.pending == 0 {
		c.idle.Moved(c.idleSince)
		c.idle.SetEvictable(true)
	}
}

// read reads requests until the caller disconnects or the last request of the
// connection has been read.
func (c *conn) read() {
	for {
		if !c.awaitRequest() || !c.beginRequest() {
			return
		}
		limits, start := c.server.limits(), time.Now()
		c.setReading(true)
		r, reqErr := c.readRequest(limits)
		c.setReading(false)
		head := c.head
		c.head = nil
		if c.isEvicted() {
			r, reqErr = nil, instanceFull(errors.New("request was not received in time to hold its memory or connection any longer"))
		}
		if c.isFinished() {
			// A response before this request has ended the connection.
			r, reqErr = nil, nil
		}
		if reqErr == nil && r == nil {
			c.endRequest()
			c.cancel()
			return
		}
		w := newResponse(c, r)
		if reqErr != nil {
			c.reading.ReleaseAll()
			w.last = true
			w.refuse(reqErr)
			close(w.done)
			if c.server.OnRefused != nil {
				c.server.OnRefused(Refusal{Header: head, Err: reqErr, Took: time.Since(start)})
			}
			c.responses <- w
			return
		}
		last := r.closeAfter || c.server.draining.Load()
		w.last = last
		r.held = c.reading.MoveTo(c.serving)
		go func() {
			defer close(w.done)
			c.server.handler.Serve(c.ctx, r, w)
			// The response may wait behind others for long.
			r.Header, r.Body = nil, memory.Buffer{}
			c.serving.Release(r.held + w.held.Load())
		}()
		c.responses <- w
		if last {
			c.watchForDisconnect()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the
// caller disconnects, if the connection is idle for too long, or after the last response.
func (c *conn) awaitRequest() bool {
	for {
		idle := c.server.limits().IdleTimeout
		if !c.setIdleDeadline(time.Now().Add(idle)) {
			return false
		}
		c.limit.left = unlimited
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.noteDisconnect(err)
			return false
		}
		if c.hasExpired(time.Now(), idle) {
			return false
		}
	}
}

// watchForDisconnect keeps reading after the last request to detect that the
// caller disconnects. It discards the bytes of any further requests.
func (c *conn) watchForDisconnect() {
	if !c.setIdleDeadline(time.Time{}) {
		return
	}
	go func() {
		buf := make([]byte, 512)
		for {
			if _, err := c.raw.Read(buf); err != nil {
				c.noteDisconnect(err)
				return
			}
		}
	}()
}

// noteDisconnect cancels the requests of a caller that has disconnected, by the error of a read.
func (c *conn) noteDisconnect(err error) {
	c.mu.Lock()
	c.callerClosed = c.callerClosed || errors.Is(err, io.EOF)
	c.mu.Unlock()
	c.cancel()
}

// write writes the responses in order.
func (c *conn) write() {
	w := bufio.NewWriterSize(callerWriter{c}, readBufferBytes)
	for r := range c.responses {
		ok := r.writeTo(w)
		last := r.last
		if ok {
			// After a failure the handler may still fill the response.
			r.release()
			c.endRequest()
		}
		if !ok || last {
			c.endOutput(ok, r.broken)
			if !ok {
				c.giveUp(r)
			}
			for r := range c.responses {
				c.giveUp(r)
			}
			return
		}
	}
}

// giveUp ends a request whose response is not written.
func (c *conn) giveUp(r *Response) {
	<-r.done
	r.release()
	c.endRequest()
}

// callerWriter writes to the caller in pieces, each of which must be taken in time, see
// delivery.CallerLimits.
type callerWriter struct{ c *conn }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		now := time.Now()
		w.c.writeStart.Store(now.UnixNano())
		var m int
		m, err = delivery.Write(w.c.raw, p[n:min(len(p), n+delivery.CallerLimits.PieceBytes)], delivery.CallerLimits.PieceTimeout)
		n += m
		w.c.written.Add(int64(m))
		w.c.output.Moved(now)
	}
	w.c.writeStart.Store(0)
	return n, err
}

// setResetOnClose makes any close of the connection a reset, also that by the system when
// the process ends, or makes it orderly again.
func (c *conn) setResetOnClose(reset bool) {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds)
}
