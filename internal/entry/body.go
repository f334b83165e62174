package entry

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/memory"
)

const (
	// maxBufferedBytes is how much of a body on an idempotent route is
	// buffered for retries. Longer bodies are streamed.
	maxBufferedBytes = 1 << 20
	chunkBytes       = 32 << 10
)

// Body is the body of a request.
type Body struct {
	// Buffered is the beginning of the body, or all of it if Remaining is nil.
	Buffered memory.Buffer
	// Remaining streams what follows Buffered. It can be read once.
	Remaining io.Reader
	// Length is in bytes, or -1 if it is not known.
	Length int64
	// Digest is the SHA-256 digest, or nil if Remaining is not nil.
	Digest []byte

	source *bodySource
	// readDone is closed when Remaining is no longer read. It is nil if
	// Remaining was never read.
	readDone chan struct{}
}

// release waits until the body is no longer read, since it must not be read
// after the handler has returned, and releases its memory.
func (b *Body) release() {
	if b.readDone != nil {
		select {
		case <-b.readDone:
		default:
			b.source.interrupt()
			<-b.readDone
		}
	}
	if b.source != nil {
		b.source.held.ReleaseAll()
	}
}

// newBodyAccount returns the account of all buffered bodies.
func newBodyAccount(machine int64) *memory.Account {
	return memory.NewAccount(limitsOf(machine, bodyShare), func(s memory.Shortage) {
		log.WithFields(log.Fields{
			"event": "memory_short", "used": s.Used, "limit": s.Limits.Total, "evicted": s.Evicted, "refused": s.Refused,
		}).Warn("memory for request bodies is used up")
	})
}

// bodySource reads a body from its caller. When memory is short, a body gives way whose caller
// it waits for.
type bodySource struct {
	reader io.Reader
	held   *memory.Holder
	// interrupt makes a blocked read return.
	interrupt func()

	mu sync.Mutex
	// waiting is set during a read.
	waiting, evicted bool
}

// Read implements io.Reader.
func (s *bodySource) Read(p []byte) (int, error) {
	if !s.setWaiting(true) {
		return 0, memory.ErrShort
	}
	n, err := s.reader.Read(p)
	if n > 0 {
		s.held.Moved(time.Now())
	}
	if !s.setWaiting(false) {
		return 0, memory.ErrShort
	}
	return n, err
}

// setWaiting notes whether a read is under way. It reports false once the body has given way.
func (s *bodySource) setWaiting(waiting bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = waiting
	return !s.evicted
}

// evict makes the body give way if a read is under way, and reports whether it does.
func (s *bodySource) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waiting {
		return false
	}
	s.evicted = true
	s.interrupt()
	return true
}

func tooLarge(route document.Route) error {
	return errkind.Errorf(errkind.BodyTooLarge, "body exceeds %d bytes", route.MaxBodyBytes())
}

// readBody reads the body of a request, all of it or up to maxBufferedBytes. Bodies
// on non-idempotent routes are buffered completely, since idempotency claims
// compare digests of complete bodies.
func readBody(w http.ResponseWriter, r *http.Request, route document.Route, account *memory.Account) (*Body, error) {
	limit := route.MaxBodyBytes()
	bufferLimit := limit
	if route.Idempotent {
		bufferLimit = min(bufferLimit, maxBufferedBytes)
	}
	b := &Body{Length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.Length = 0
		b.digest()
		return b, nil
	}
	if total := account.Limits().Total; min(b.Length, bufferLimit) >= total {
		return nil, errkind.Errorf(errkind.InstanceFull, "body of %d bytes exceeds the %d bytes for all callers", b.Length, total)
	}
	control := http.NewResponseController(w)
	b.source = &bodySource{
		reader:    http.MaxBytesReader(w, r.Body, limit),
		interrupt: func() { _ = control.SetReadDeadline(time.Unix(1, 0)) },
	}
	b.source.held = account.NewHolder(b.source.evict)
	whole, err := b.buffer(bufferLimit)
	if err != nil {
		b.release()
		return nil, bodyError(err, route)
	}
	if whole {
		b.Length = b.Buffered.Len()
		b.digest()
		return b, nil
	}
	b.Remaining = &restReader{source: b.source, route: route}
	return b, nil
}

func (b *Body) digest() {
	hash := sha256.New()
	for _, segment := range b.Buffered.Segments() {
		hash.Write(segment)
	}
	b.Digest = hash.Sum(nil)
}

// buffer reads up to n bytes, and one more, which tells a body of n bytes from a longer one. It
// reports whether that was the whole body.
func (b *Body) buffer(n int64) (whole bool, err error) {
	end := n + 1
	if b.Length >= 0 {
		// One byte more than the length, so that the read finds the end of the body.
		end = min(end, b.Length+1)
	}
	for b.Buffered.Len() < end {
		err := b.Buffered.ReadSegment(b.source, end-b.Buffered.Len(), b.source.held)
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

func bodyError(err error, route document.Route) error {
	var known *errkind.Error
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, memory.ErrShort):
		return errkind.Errorf(errkind.InstanceFull, "read body: %w", err)
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
