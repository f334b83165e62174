package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilstream.example/trefoilstream/internal/errkind"
)

// Request is a request of a caller that was read whole.
type Request struct {
	Method string
	// URI holds path and query as they were sent.
	URI  string
	Path string
	Host string
	// Header has no fields that belong to the connection.
	Header http.Header
	Body   []byte
	// Arrived is when the last byte was read.
	Arrived    time.Time
	closeAfter bool
	http10     bool
}

// hopHeaders belong to one connection and are not forwarded (RFC 9110, section
// 7.6.1). The length is set anew, and Expect has been met.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// DropHopHeaders removes the fields that belong to the connection.
func DropHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func newRequest(in *http.Request, body []byte, now time.Time) *Request {
	r := &Request{
		Method: in.Method, URI: in.RequestURI, Path: rawPath(in.RequestURI), Host: in.Host, Header: in.Header, Body: body,
		Arrived: now, closeAfter: in.Close, http10: !in.ProtoAtLeast(1, 1),
	}
	DropHopHeaders(r.Header)
	return r
}

// rawPath returns the path as it was sent.
func rawPath(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// checkFraming refuses a request whose end another reader could see elsewhere.
func checkFraming(in *http.Request) error {
	lengths, encodings := in.Header["Content-Length"], in.TransferEncoding
	switch {
	case len(lengths) > 1 || len(lengths) > 0 && len(encodings) > 0:
		return errkind.Errorf(errkind.BadRequest, "request has more than one length")
	case in.Method == http.MethodConnect || !strings.HasPrefix(in.RequestURI, "/"):
		return errkind.Errorf(errkind.BadRequest, "request target is no path")
	}
	return nil
}

var errBodyTooLarge = errors.New("body is too large")

func readBody(in *http.Request, limit int64) ([]byte, error) {
	if in.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if in.Body == nil || in.ContentLength == 0 {
		return nil, nil
	}
	if in.ContentLength > 0 {
		body := make([]byte, in.ContentLength)
		_, err := io.ReadFull(in.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(in.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, err
}

// Response is the answer to one request. The handler fills it; the connection
// writes it when it is its turn.
type Response struct {
	conn *conn
	req  *Request
	// last closes the connection after this answer.
	last   bool
	status int
	header http.Header
	body   []byte
	// stream passes on the parts of an answer that is too large to be held.
	stream chan []byte
	// length is that of a streamed body, or -1.
	length    int64
	truncated bool
	// started is closed when status and headers are set.
	started chan struct{}
	done    chan struct{}
	// writerDone is closed when the connection takes no more parts.
	writerDone chan struct{}
}

func newResponse(c *conn, r *Request) *Response {
	return &Response{
		conn: c, req: r, started: make(chan struct{}), done: make(chan struct{}), writerDone: make(chan struct{}),
	}
}

// Respond sets a whole answer.
func (w *Response) Respond(status int, h http.Header, body []byte) {
	w.status, w.header, w.body = status, h, body
}

// Start begins an answer whose body follows in parts. The length is -1 if it
// is not known.
func (w *Response) Start(status int, h http.Header, length int64) {
	w.status, w.header, w.length = status, h, length
	w.stream = make(chan []byte, 1)
	close(w.started)
}

// WritePart passes on a part of the body. It returns an error if the caller has
// left.
func (w *Response) WritePart(p []byte) error {
	select {
	case w.stream <- append([]byte(nil), p...):
		return nil
	case <-w.writerDone:
		return errors.New("caller has left")
	}
}

// Finish ends an answer that was begun with Start. An answer that is not whole
// is cut off so that it cannot be taken for one.
func (w *Response) Finish(whole bool) {
	w.truncated = !whole
	close(w.stream)
}

// Refuse answers with an error of the closed list.
func (w *Response) Refuse(err error) { w.refuse(err) }

func (w *Response) refuse(err error) {
	e := errkind.From(err)
	a := errkind.Lookup(e.Kind)
	status := refusalStatus(a.Status, e.Result())
	h := http.Header{
		"Content-Type":  {"application/problem+json"},
		outcomeHeader:   {string(e.Result())},
		"Cache-Control": {"no-store"},
	}
	if after := e.RetryAfter; after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	body := fmt.Appendf(nil, `{"kind":%q,"outcome":%q,"title":%q,"status":%d}`, e.Kind, e.Result(), a.Meaning, status)
	w.Respond(status, h, body)
}

// outcomeHeader tells the outcome beside the problem document.
const outcomeHeader = "Trefoilstream-Outcome"

// refusalStatus returns the status of a refusal. Callers take 503 for the
// promise that the request has not run, which 504 and 422 do not give.
func refusalStatus(status int, o errkind.Outcome) int {
	if o == errkind.NotRun && (status >= 500 || status == http.StatusUnprocessableEntity) {
		return http.StatusServiceUnavailable
	}
	return status
}

// writeTo waits for the answer and writes it. It returns false if the
// connection cannot be used any more.
func (w *Response) writeTo(out *bufio.Writer) bool {
	defer close(w.writerDone)
	select {
	case <-w.started:
		return w.writeStream(out)
	case <-w.done:
	}
	select {
	case <-w.started:
		return w.writeStream(out)
	default:
	}
	if w.conn.ctx.Err() != nil || w.status == 0 {
		return false
	}
	if w.conn.server.draining.Load() {
		w.last = true
	}
	w.writeHead(out, int64(len(w.body)))
	if w.req == nil || w.req.Method != http.MethodHead {
		_, _ = out.Write(w.body)
	}
	return out.Flush() == nil
}

func (w *Response) writeStream(out *bufio.Writer) bool {
	chunked := w.length < 0
	if chunked && w.req.http10 {
		w.last = true
	}
	w.writeHead(out, w.length)
	for p := range w.stream {
		if chunked && !w.req.http10 {
			_, _ = fmt.Fprintf(out, "%x\r\n%s\r\n", len(p), p)
		} else {
			_, _ = out.Write(p)
		}
		if out.Flush() != nil {
			return false
		}
	}
	if w.truncated {
		return false
	}
	if chunked && !w.req.http10 {
		_, _ = io.WriteString(out, "0\r\n\r\n")
	}
	return out.Flush() == nil
}

// noBody reports whether an answer of a status has no body and no length.
func noBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified || status < 200
}

func (w *Response) writeHead(out *bufio.Writer, length int64) {
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	for name, values := range w.header {
		for _, v := range values {
			_, _ = fmt.Fprintf(out, "%s: %s\r\n", name, headerValueReplacer.Replace(v))
		}
	}
	switch {
	case noBody(w.status):
	case length >= 0:
		_, _ = fmt.Fprintf(out, "Content-Length: %d\r\n", length)
	case w.req.http10:
	default:
		_, _ = io.WriteString(out, "Transfer-Encoding: chunked\r\n")
	}
	if w.last {
		_, _ = io.WriteString(out, "Connection: close\r\n")
	}
	_, _ = io.WriteString(out, "\r\n")
}

// headerValueReplacer keeps a value on its line.
var headerValueReplacer = strings.NewReplacer("\r", " ", "\n", " ")
