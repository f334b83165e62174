// Package httphead rejects HTTP/1 responses that net/http reads although they are malformed
// (RFC 9112). Nothing that such a response says can be relied on, its length included.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed says that bytes that were read as a response are none.
var ErrMalformed = errors.New("malformed response")

// Check returns an error that wraps ErrMalformed if the head of a response is malformed. It
// also makes reading a chunked body end with such an error, rather than with io.EOF, if the
// trailer that follows is malformed.
func Check(resp *http.Response) error {
	status, reason, _ := strings.Cut(resp.Status, " ")
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", ErrMalformed, resp.Proto)
	case resp.StatusCode < 100:
		return fmt.Errorf("%w: status %s", ErrMalformed, status)
	case !httpguts.ValidHeaderFieldValue(reason):
		return fmt.Errorf("%w: reason phrase %q", ErrMalformed, reason)
	}
	if err := CheckFields(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerBody{ReadCloser: resp.Body, resp: resp}
	}
	return nil
}

// CheckFinal returns an error that wraps ErrMalformed if a status code and a header cannot be
// those of a final response.
func CheckFinal(status int, h http.Header) error {
	if status < 200 || status > 999 {
		return fmt.Errorf("%w: status %d", ErrMalformed, status)
	}
	return CheckFields(h)
}

// CheckHTTP10 returns an error that wraps ErrMalformed if the head of an HTTP/1.0 response, as
// it was read, has a Transfer-Encoding, which HTTP/1.0 does not define: the end of the
// response is unknown. http.ReadResponse removes the field and ignores it.
func CheckHTTP10(head []byte) error {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if te := h.Values("Transfer-Encoding"); len(te) > 0 {
		return fmt.Errorf("%w: HTTP/1.0 with Transfer-Encoding %q", ErrMalformed, te)
	}
	return nil
}

// CheckFields returns an error that wraps ErrMalformed if a name or a value is not allowed in
// a header or a trailer.
func CheckFields(h http.Header) error {
	for name, values := range h {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) {
				return fmt.Errorf("%w: field name %q", ErrMalformed, name)
			}
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("%w: value of field %s has control characters", ErrMalformed, name)
			}
		}
	}
	return nil
}

// trailerBody is a chunked body whose trailer is checked at its end.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
	// onMalformed, if set, is called when the trailer is malformed.
	onMalformed func()
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if err := CheckFields(b.resp.Trailer); err != nil {
			if b.onMalformed != nil {
				b.onMalformed()
			}
			return n, fmt.Errorf("trailer: %w", err)
		}
	}
	return n, err
}
