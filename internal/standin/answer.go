package standin

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
)

// TagHeader carries a caller's tag of a request. A Backend returns it, counts
// its executions per tag and derives bulky answers from it, so that crossed,
// truncated and repeated answers can be told.
const TagHeader = "X-Tag"

// ServerHeader carries the ID of the Backend that answered.
const ServerHeader = "X-Server"

// tagLine is one line of a bulky answer.
func tagLine(buf []byte, tag string, line int64) []byte {
	buf = append(buf[:0], tag...)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, line, 10)
	return append(buf, '\n')
}

// responseBody produces the first n bytes of the lines of a tag.
type responseBody struct {
	tag  string
	line int64
	left int64
	buf  []byte
	rest []byte
}

// NewResponseBody returns a bulky answer of n bytes to the request with the tag.
func NewResponseBody(tag string, n int64) io.Reader { return &responseBody{tag: tag, left: n} }

// Read implements io.Reader.
func (r *responseBody) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	total := 0
	for total < len(p) && r.left > 0 {
		if len(r.rest) == 0 {
			r.buf = tagLine(r.buf, r.tag, r.line)
			r.rest = r.buf
			r.line++
		}
		n := copy(p[total:], r.rest[:min(int64(len(r.rest)), r.left)])
		r.rest = r.rest[n:]
		r.left -= int64(n)
		total += n
	}
	return total, nil
}

// WrongResponse says that an answer ended as if it were whole but is not the
// answer asked for.
type WrongResponse struct{ Reason string }

// Error implements error.
func (e *WrongResponse) Error() string { return e.Reason }

func wrongResponse(format string, args ...any) error {
	return &WrongResponse{Reason: fmt.Sprintf(format, args...)}
}

// VerifyResponseBody reads a bulky answer to the end and returns an error if it is
// not whole or not the answer to the tag: a *WrongAnswer, or the error of the
// reader, by which its user knows that the answer broke off.
func VerifyResponseBody(r io.Reader, tag string, n int64) error {
	want := bufio.NewReader(NewResponseBody(tag, n))
	buf := make([]byte, 32<<10)
	expect := make([]byte, len(buf))
	var read int64
	for {
		got, err := r.Read(buf)
		if _, short := io.ReadFull(want, expect[:got]); short != nil && got > 0 {
			return wrongResponse("answer to %s is longer than %d bytes", tag, n)
		}
		if string(buf[:got]) != string(expect[:got]) {
			return wrongResponse("answer to %s differs after byte %d", tag, read)
		}
		read += int64(got)
		if err == io.EOF {
			break
		}
		if err != nil {
			return fmt.Errorf("answer to %s after %d of %d bytes: %w", tag, read, n, err)
		}
	}
	if read != n {
		return wrongResponse("answer to %s ended after %d of %d bytes", tag, read, n)
	}
	return nil
}
