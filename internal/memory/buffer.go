package memory

import (
	"bytes"
	"errors"
	"io"
)

const (
	// firstSegmentBytes and maxSegmentBytes bound the segments of a buffer. Each is as large as
	// all before it together.
	firstSegmentBytes = 16 << 10
	maxSegmentBytes   = 256 << 10
)

// ErrTooLarge says that more bytes arrived than a buffer may hold.
var ErrTooLarge = errors.New("body is too large")

// Buffer holds a body in segments, so that it takes no more memory than has arrived. Its zero
// value is empty.
type Buffer struct {
	segments [][]byte
	length   int64
}

// NewBuffer returns a buffer that holds p, without copying it.
func NewBuffer(p []byte) Buffer {
	var b Buffer
	b.Append(p)
	return b
}

// Len returns the number of bytes.
func (b Buffer) Len() int64 { return b.length }

// Segments returns the bytes in order. They must not be changed.
func (b Buffer) Segments() [][]byte { return b.segments }

// Append adds a segment, without copying it.
func (b *Buffer) Append(p []byte) {
	if len(p) == 0 {
		return
	}
	b.segments = append(b.segments, p)
	b.length += int64(len(p))
}

// Reader returns a reader of all bytes.
func (b Buffer) Reader() io.Reader {
	readers := make([]io.Reader, len(b.segments))
	for i, p := range b.segments {
		readers[i] = bytes.NewReader(p)
	}
	return io.MultiReader(readers...)
}

// ReadSegment appends the next segment, of at most most bytes, which is reserved from the holder
// before it is allocated. Unless it returns an error, the segment is full. The error is ErrShort
// or that of the reader.
func (b *Buffer) ReadSegment(r io.Reader, most int64, h *Holder) error {
	size := min(max(b.length, firstSegmentBytes), maxSegmentBytes, most)
	if err := h.Reserve(size); err != nil {
		return err
	}
	segment := make([]byte, size)
	n, err := fill(r, segment)
	b.Append(segment[:n])
	return err
}

// ReadBuffer reads a body of a length, which is -1 if unknown, and of at most limit bytes. Each
// segment is reserved from the holder before it is allocated. The error is ErrTooLarge,
// ErrShort, or that of the reader.
func ReadBuffer(r io.Reader, length, limit int64, h *Holder) (Buffer, error) {
	var b Buffer
	end := limit
	if length >= 0 {
		end = length
	}
	for b.length < end {
		err := b.ReadSegment(r, end-b.length, h)
		switch {
		case err == io.EOF && length < 0:
			return b, nil
		case err == io.EOF && b.length < end:
			return Buffer{}, io.ErrUnexpectedEOF
		case err != nil && err != io.EOF:
			return Buffer{}, err
		}
	}
	if length >= 0 {
		return b, nil
	}
	n, err := fill(r, make([]byte, 1))
	switch {
	case n > 0:
		return Buffer{}, ErrTooLarge
	case err != io.EOF:
		return Buffer{}, err
	}
	return b, nil
}

// fill reads until p is full or the reader fails. Unlike io.ReadFull it returns the reader's
// own error, which tells the end of a body from one that is cut off.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}
