package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// conn is one connection of a caller. One goroutine reads requests, another
// writes the responses in the order of the requests.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *limitedReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// responses holds the responses in request order; the writer waits for
	// each in turn.
	responses chan *Response

	mu sync.Mutex
	// pending counts the requests that are being read or await a response.
	pending   int
	idleSince time.Time
	closed    bool
	finished  bool
}

// limitedReader bounds the bytes of a request's head.
type limitedReader struct {
	r    io.Reader
	left int
}

var errHeadTooLarge = errors.New("head of the request is too large")

// unlimited disables the bound, as while a body is read.
const unlimited = int(^uint(0) >> 1)

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	if l.left != unlimited {
		l.left -= n
	}
	return n, err
}

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4096

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	l := &limitedReader{r: raw, left: unlimited}
	return &conn{
		server: s, raw: raw, limit: l, reader: bufio.NewReaderSize(l, readBufferBytes), ctx: ctx, cancel: cancel,
		responses: make(chan *Response, maxPipelined), idleSince: time.Now(),
	}
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.responses)
	<-written
	c.cancel()
	c.close()
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.raw.Close()
}

// closeIfIdle closes the connection if it has no pending request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.pending == 0
	if idle {
		c.closed = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.raw.Close()
	}
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
	c.server.active.Add(-1)
	c.idleSince = time.Now()
}

// read reads requests until the caller disconnects or the last request of the
// connection has been read.
func (c *conn) read() {
	for {
		if !c.awaitRequest() || !c.beginRequest() {
			return
		}
		limits := c.server.limits()
		r, reqErr := c.readRequest(limits)
		if reqErr == nil && r == nil {
			c.endRequest()
			c.cancel()
			return
		}
		w := newResponse(c, r)
		if reqErr != nil {
			w.last = true
			w.refuse(reqErr)
			close(w.done)
			c.responses <- w
			c.lingerAfterError()
			return
		}
		last := r.closeAfter || c.server.draining.Load()
		w.last = last
		go func() {
			defer close(w.done)
			c.server.handler.Serve(c.ctx, r, w)
		}()
		c.responses <- w
		if last {
			c.watchForDisconnect()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the
// caller disconnects, or if the connection is idle for too long.
func (c *conn) awaitRequest() bool {
	for {
		idle := c.server.limits().IdleTimeout
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
		c.limit.left = unlimited
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return false
		}
		c.mu.Lock()
		expired := c.pending == 0 && time.Since(c.idleSince) >= idle
		c.mu.Unlock()
		if expired {
			return false
		}
	}
}

// watchForDisconnect keeps reading after the last request to detect that the
// caller disconnects. It discards the bytes of any further requests.
func (c *conn) watchForDisconnect() {
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		buf := make([]byte, 512)
		for {
			if _, err := c.raw.Read(buf); err != nil {
				c.cancel()
				return
			}
		}
	}()
}

// lingerTimeout is how long bytes are discarded before a connection is closed:
// the rest of a refused request, or what follows the last request. Closing with
// unread data would send a reset, which can destroy the response before the
// caller reads it.
const lingerTimeout = 500 * time.Millisecond

// lingerAfterError discards the rest of a refused request, up to 1 MiB of it.
func (c *conn) lingerAfterError() {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.limit.left = unlimited
	_, _ = io.CopyN(io.Discard, c.reader, 1<<20)
}

// readRequest reads a request with its body. It returns neither a request nor
// an error if the caller has disconnected.
func (c *conn) readRequest(l catalog.Limits) (*Request, error) {
	start := time.Now()
	_ = c.raw.SetReadDeadline(start.Add(l.HeaderTimeout))
	c.limit.left = max(0, l.HeaderBytes-c.reader.Buffered()) + readAheadBytes
	in, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, headError(err)
	}
	c.limit.left = unlimited
	_ = c.raw.SetReadDeadline(start.Add(bodyTimeout))
	if err := checkFraming(in); err != nil {
		return nil, err
	}
	if strings.EqualFold(in.Header.Get("Expect"), "100-continue") && c.isOnlyPending() {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	body, err := readBody(in, l.BodyBytes)
	if errors.Is(err, errBodyTooLarge) {
		return nil, errkind.Errorf(errkind.BodyTooLarge, "%w", err)
	}
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errkind.Errorf(errkind.RequestTimeout, "%w", err)
		}
		var ne net.Error
		if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne) {
			return nil, nil
		}
		return nil, errkind.Errorf(errkind.BadRequest, "%w", err)
	}
	return newRequest(in, body, time.Now()), nil
}

const (
	// readAheadBytes is added to the header limit, since the buffered reader
	// reads ahead.
	readAheadBytes = readBufferBytes
	// bodyTimeout bounds the time to read a request, from its first byte to
	// the end of its body.
	bodyTimeout = 30 * time.Second
)

// headError returns the error for a head that could not be read, or nil if the
// caller has disconnected.
func headError(err error) error {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return errkind.Errorf(errkind.HeadTooLarge, "%w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Errorf(errkind.RequestTimeout, "%w", err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	}
	var ne net.Error
	if errors.As(err, &ne) {
		return nil
	}
	return errkind.Errorf(errkind.BadRequest, "%w", err)
}

// isOnlyPending reports whether no earlier response is outstanding.
func (c *conn) isOnlyPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 1
}

// write writes the responses in order.
func (c *conn) write() {
	w := bufio.NewWriterSize(c.raw, readBufferBytes)
	for r := range c.responses {
		ok := r.writeTo(w)
		last := r.last
		c.endRequest()
		if !ok || last {
			c.closeAfterLast(ok)
			for r := range c.responses {
				<-r.done
				c.endRequest()
			}
			return
		}
	}
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

// closeAfterLast ends a connection after its last response. It closes the write
// side first, so that the caller can read the response to its end.
func (c *conn) closeAfterLast(complete bool) {
	c.mu.Lock()
	c.finished = true
	c.mu.Unlock()
	tcp, ok := c.raw.(*net.TCPConn)
	if !complete || !ok {
		c.cancel()
		_ = c.raw.Close()
		return
	}
	_ = tcp.CloseWrite()
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
}
