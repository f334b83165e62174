package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/memory"
)

// limitedReader bounds the bytes of a request's head.
type limitedReader struct {
	r    io.Reader
	left int
	// arrived is when bytes arrived last, in Unix nanoseconds.
	arrived *atomic.Int64
	// charge, if it is not nil, is called with the bytes that were read.
	charge func(p []byte) error
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
	if l.arrived != nil {
		l.arrived.Store(time.Now().UnixNano())
	}
	if l.left != unlimited {
		l.left -= n
	}
	if l.charge != nil && n > 0 {
		if chargeErr := l.charge(p[:n]); chargeErr != nil {
			return n, chargeErr
		}
	}
	return n, err
}

// readRequest reads a request with its body. It returns neither a request nor
// an error if the caller has disconnected.
func (c *conn) readRequest(l catalog.Limits) (*Request, error) {
	start := time.Now()
	c.setReadDeadline(start.Add(l.HeaderTimeout))
	c.limit.left = max(0, l.HeaderBytes-c.reader.Buffered()) + readAheadBytes
	in, err := c.readHead()
	if in != nil {
		c.head = in.Header
	}
	if err != nil {
		return nil, headError(err)
	}
	c.limit.left = unlimited
	c.setReadDeadline(start.Add(bodyTimeout))
	if err := checkFraming(in); err != nil {
		return nil, err
	}
	if total := c.server.Memory.Limits().Total; in.ContentLength > total && in.ContentLength <= l.BodyBytes {
		return nil, instanceFull(fmt.Errorf("body of %d bytes exceeds the %d bytes for all callers", in.ContentLength, total))
	}
	if in.ContentLength <= l.BodyBytes && strings.EqualFold(in.Header.Get("Expect"), "100-continue") && c.isOnlyPending() {
		n, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")
		if err != nil {
			return nil, nil
		}
		c.written.Add(int64(n))
	}
	body, err := readBody(in, l.BodyBytes, c.reading)
	if err == nil {
		err = c.reading.Reserve(requestBytes)
	}
	if errors.Is(err, memory.ErrTooLarge) {
		return nil, errkind.Errorf(errkind.BodyTooLarge, "%w", err)
	}
	if errors.Is(err, memory.ErrShort) {
		return nil, instanceFull(err)
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

// readHead reads the head of a request. What it takes is reserved as it arrives, and corrected
// once it is known which of the bytes belong to the head.
func (c *conn) readHead() (*http.Request, error) {
	charged := int64(0)
	c.limit.charge = func(p []byte) error {
		n := memory.HeadBytes(p)
		if err := c.reading.Reserve(n); err != nil {
			return err
		}
		charged += n
		return nil
	}
	in, err := http.ReadRequest(c.reader)
	c.limit.charge = nil
	if err != nil {
		return nil, err
	}
	n := headBytes(in)
	if n < charged {
		c.reading.Release(charged - n)
		return in, nil
	}
	return in, c.reading.Reserve(n - charged)
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
	case errors.Is(err, memory.ErrShort):
		return instanceFull(err)
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

// instanceFull returns the refusal of a request for which no memory or connection is left.
func instanceFull(err error) error {
	e := errkind.Errorf(errkind.InstanceFull, "%w", err)
	e.RetryAfter = errkind.Lookup(errkind.InstanceFull).RetryAfter
	return e
}

// isOnlyPending reports whether no earlier response is outstanding.
func (c *conn) isOnlyPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 1
}
