package entry

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

const (
	// maxBufferedBytes is how much of a body on an idempotent route is
	// buffered for retries. Longer bodies are streamed.
	maxBufferedBytes = 1 << 20
	// bodyMemoryBytes bounds the memory of all buffered bodies together: a
	// quarter of the 256 MB of a small instance.
	bodyMemoryBytes = 64 << 20
	chunkBytes      = 32 << 10
)

// Body is the body of a request.
type Body struct {
	// Buffered is the beginning of the body, or all of it if Remaining is nil.
	Buffered []byte
	// Remaining streams what follows Buffered. It can be read once.
	Remaining io.Reader
	// Length is in bytes, or -1 if it is not known.
	Length int64
	// Digest is the SHA-256 digest, or nil if Remaining is not nil.
	Digest []byte

	memory   *bodyMemory
	reserved int64
	// readDone is closed when Remaining is no longer read. It is nil if
	// Remaining was never read.
	readDone chan struct{}
	// interrupt makes a blocked read of Remaining return.
	interrupt func()
}

// release waits until the body is no longer read, since it must not be read
// after the handler has returned, and releases its memory.
func (b *Body) release() {
	if b.readDone != nil {
		select {
		case <-b.readDone:
		default:
			b.interrupt()
			<-b.readDone
		}
	}
	if b.memory != nil {
		b.memory.reserved.Add(-b.reserved)
		b.reserved = 0
	}
}

// bodyMemory bounds the memory of all buffered bodies.
type bodyMemory struct{ reserved atomic.Int64 }

func (m *bodyMemory) reserve(n int64) bool {
	if m.reserved.Add(n) <= bodyMemoryBytes {
		return true
	}
	m.reserved.Add(-n)
	return false
}

func tooLarge(route document.Route) error {
	return errkind.Errorf(errkind.BodyTooLarge, "body exceeds %d bytes", route.MaxBodyBytes())
}

// read reads the body of a request, all of it or up to maxBufferedBytes. Bodies
// on non-idempotent routes are buffered completely, since idempotency claims
// compare digests of complete bodies.
func (m *bodyMemory) read(w http.ResponseWriter, r *http.Request, route document.Route) (*Body, error) {
	limit := route.MaxBodyBytes()
	bufferLimit := limit
	if route.Idempotent {
		bufferLimit = min(bufferLimit, maxBufferedBytes)
	}
	b := &Body{Length: r.ContentLength, memory: m}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.Length = 0
		b.digest()
		return b, nil
	}
	source := http.MaxBytesReader(w, r.Body, limit)
	whole, err := b.buffer(source, bufferLimit)
	if err != nil {
		b.release()
		return nil, bodyError(err, route)
	}
	if whole {
		b.Length = int64(len(b.Buffered))
		b.digest()
		return b, nil
	}
	b.Remaining = &restReader{source: source, route: route}
	return b, nil
}

func (b *Body) digest() {
	sum := sha256.Sum256(b.Buffered)
	b.Digest = sum[:]
}

// buffer reads up to n bytes, and one more, which tells a body of n bytes from a longer one. It
// reports whether that was the whole body.
func (b *Body) buffer(source io.Reader, n int64) (whole bool, err error) {
	for int64(len(b.Buffered)) <= n {
		if len(b.Buffered) == cap(b.Buffered) {
			if err := b.grow(n + 1); err != nil {
				return false, err
			}
		}
		got, err := source.Read(b.Buffered[len(b.Buffered):cap(b.Buffered)])
		b.Buffered = b.Buffered[:len(b.Buffered)+got]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// grow doubles the buffer, up to a number of bytes or the known length of the body. The larger
// buffer is reserved before the smaller one is released.
func (b *Body) grow(most int64) error {
	if b.Length >= 0 {
		most = min(most, b.Length+1)
	}
	old := int64(cap(b.Buffered))
	size := max(min(max(2*old, chunkBytes), most), old+1)
	if !b.memory.reserve(size) {
		return errkind.Errorf(errkind.Overloaded, "buffered request bodies exceed %d bytes", bodyMemoryBytes)
	}
	grown := make([]byte, len(b.Buffered), size)
	copy(grown, b.Buffered)
	b.Buffered = grown
	b.memory.reserved.Add(-old)
	b.reserved += size - old
	return nil
}

func bodyError(err error, route document.Route) error {
	var known *errkind.Error
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &large):
		return tooLarge(route)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Errorf(errkind.DeadlineExceededQueued, "body did not arrive in time")
	}
	return errkind.Errorf(errkind.BadRequest, "read body: %w", err)
}

// restReader reads the streamed part of a body. Its errors have the outcome
// unknown, since the beginning of the body has been sent.
type restReader struct {
	source io.Reader
	route  document.Route
	err    error
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && err != io.EOF {
		e := errkind.From(bodyError(err, r.route))
		e.Outcome = errkind.Unknown
		if e.Kind == errkind.DeadlineExceededQueued {
			e.Kind = errkind.DeadlineExceeded
		}
		r.err = e
		err = e
	}
	return n, err
}
