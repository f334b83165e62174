package standin

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
)

// TagHeader carries a tag that the caller chose for the request. A Backend
// returns it, counts its executions per tag and derives bulk response bodies from
// it, so that a response to another request, a truncated one and a duplicate
// execution can be detected.
const TagHeader = "X-Tag"

// ServerHeader carries the ID of the Backend that responded.
const ServerHeader = "X-Server"

// tagLine writes one line of a bulk response body into buf.
func tagLine(buf []byte, tag string, line int64) []byte {
	buf = append(buf[:0], tag...)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, line, 10)
	return append(buf, '\n')
}

// responseBody generates a bulk response body: numbered lines with the tag, cut to
// a length.
type responseBody struct {
	tag       string
	line      int64
	remaining int64
	buf       []byte
	rest      []byte
}

// NewResponseBody returns a bulk response body of n bytes for the request with the
// tag.
func NewResponseBody(tag string, n int64) io.Reader { return &responseBody{tag: tag, remaining: n} }

// Read implements io.Reader.
func (r *responseBody) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	total := 0
	for total < len(p) && r.remaining > 0 {
		if len(r.rest) == 0 {
			r.buf = tagLine(r.buf, r.tag, r.line)
			r.rest = r.buf
			r.line++
		}
		n := copy(p[total:], r.rest[:min(int64(len(r.rest)), r.remaining)])
		r.rest = r.rest[n:]
		r.remaining -= int64(n)
		total += n
	}
	return total, nil
}

// WrongResponse is the error for a response that ended as if it were complete but
// is not the response to the request.
type WrongResponse struct{ Reason string }

// Error implements error.
func (e *WrongResponse) Error() string { return e.Reason }

func wrongResponse(format string, args ...any) error {
	return &WrongResponse{Reason: fmt.Sprintf(format, args...)}
}

// VerifyResponseBody reads a bulk response body to the end and returns an error if
// it is not the complete body for the tag: a *WrongResponse, or the error of the
// reader if it reported that the response broke off.
func VerifyResponseBody(r io.Reader, tag string, n int64) error {
	want := bufio.NewReader(NewResponseBody(tag, n))
	buf := make([]byte, 32<<10)
	expect := make([]byte, len(buf))
	var read int64
	for {
		got, err := r.Read(buf)
		if _, short := io.ReadFull(want, expect[:got]); short != nil && got > 0 {
			return wrongResponse("response to %s is longer than %d bytes", tag, n)
		}
		if string(buf[:got]) != string(expect[:got]) {
			return wrongResponse("response to %s differs after byte %d", tag, read)
		}
		read += int64(got)
		if err == io.EOF {
			break
		}
		if err != nil {
			return fmt.Errorf("response to %s after %d of %d bytes: %w", tag, read, n, err)
		}
	}
	if read != n {
		return wrongResponse("response to %s ended after %d of %d bytes", tag, read, n)
	}
	return nil
}
