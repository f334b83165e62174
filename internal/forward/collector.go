package forward

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"

	"trefoilstream.example/trefoilstream/internal/ingress"
)

// maxBufferedBytes is the size up to which a response is buffered until it is
// complete, so that a request whose response is cut off can be retried.
const maxBufferedBytes = 1 << 20

// partBytes is the size of the parts in which a buffered body is passed on.
const partBytes = 32 << 10

// collector buffers a response. It streams a response to the caller that exceeds
// maxBufferedBytes, or for which no memory is left.
type collector struct {
	// ctx ends with the attempt.
	ctx    context.Context
	w      *ingress.Response
	status int
	header http.Header
	length int64
	body   []byte
	// held is the memory that was reserved for body, in bytes.
	held int64
	// received counts the bytes of the body that have arrived.
	received  int64
	streaming bool
	// streamer is the collector whose response is passed on.
	streamer *atomic.Pointer[collector]
}

// claim makes this response the one that is passed on. It returns false if that is another
// one.
func (c *collector) claim() bool {
	return c.streamer.CompareAndSwap(nil, c) || c.streamer.Load() == c
}

// Head implements sender.Reply.
func (c *collector) Head(status int, h http.Header, length int64) error {
	ingress.DropHopHeaders(h)
	c.status, c.header, c.length = status, h, length
	return nil
}

// Body implements sender.Reply.
func (c *collector) Body(p []byte) error {
	c.received += int64(len(p))
	if c.streaming {
		return c.w.WritePart(c.ctx, p)
	}
	if c.grow(len(c.body) + len(p)) {
		c.body = append(c.body, p...)
		return nil
	}
	if !c.claim() {
		return errOtherAttempt
	}
	c.streaming = true
	c.w.Start(c.status, c.header, c.length)
	for part := range slices.Chunk(c.body, partBytes) {
		if err := c.w.WritePart(c.ctx, part); err != nil {
			return err
		}
	}
	c.body = nil
	c.w.ReleaseBody(c.held)
	c.held = 0
	return c.w.WritePart(c.ctx, p)
}

// grow makes room for a body of n bytes, and reports whether there is any.
func (c *collector) grow(n int) bool {
	if n <= cap(c.body) {
		return true
	}
	if n > maxBufferedBytes {
		return false
	}
	size := min(max(n, 2*cap(c.body)), maxBufferedBytes)
	if c.length >= int64(n) && c.length <= maxBufferedBytes {
		size = int(c.length)
	}
	if !c.w.HoldBody(int64(size) - c.held) {
		return false
	}
	c.held = int64(size)
	c.body = append(make([]byte, 0, size), c.body...)
	return true
}
