package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/memory"
)

// Request is a caller's request, read completely.
type Request struct {
	Method string
	// URI holds the path and the query as received.
	URI  string
	Path string
	Host string
	// Header holds the headers without the hop-by-hop ones.
	Header http.Header
	Body   memory.Buffer
	// Arrived is when the last byte was read.
	Arrived time.Time
	// HeadBytes estimates the memory that the head takes.
	HeadBytes int64
	// held is what the request holds of the memory for callers, in bytes.
	held       int64
	closeAfter bool
	http10     bool
}

// hopHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110,
// section 7.6.1). Content-Length is set again for the next hop, and Expect has
// been handled.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// DropHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
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

func newRequest(in *http.Request, body memory.Buffer, now time.Time) *Request {
	r := &Request{
		Method: in.Method, URI: in.RequestURI, Path: rawPath(in.RequestURI), Host: in.Host, Header: in.Header, Body: body,
		Arrived: now, HeadBytes: headBytes(in), closeAfter: in.Close, http10: !in.ProtoAtLeast(1, 1),
	}
	DropHopHeaders(r.Header)
	return r
}

// rawPath returns the path as received, without decoding it.
func rawPath(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// checkFraming refuses a request whose end another parser could place elsewhere
// (request smuggling), and one whose target is not a path.
func checkFraming(in *http.Request) error {
	lengths, encodings := in.Header["Content-Length"], in.TransferEncoding
	switch {
	case len(lengths) > 1 || len(lengths) > 0 && len(encodings) > 0:
		return errkind.Errorf(errkind.BadRequest, "request has more than one length")
	case in.Method == http.MethodConnect || !strings.HasPrefix(in.RequestURI, "/"):
		return errkind.Errorf(errkind.BadRequest, "request target is not a path")
	}
	return nil
}

// requestBytes is the memory that a request takes beside its head and its body: the goroutine
// that handles it.
const requestBytes = 16 << 10

// headBytes returns the memory that a head takes, in bytes.
func headBytes(in *http.Request) int64 {
	n := len(in.RequestURI) + len(in.Host)
	for name, values := range in.Header {
		for _, v := range values {
			n += len(name) + len(v) + memory.HeadLineBytes
		}
	}
	return int64(n)
}

// readBody reads the body of a request, if there is one, into memory of a holder.
func readBody(in *http.Request, limit int64, h *memory.Holder) (memory.Buffer, error) {
	if in.ContentLength > limit {
		return memory.Buffer{}, memory.ErrTooLarge
	}
	if in.Body == nil || in.ContentLength == 0 {
		return memory.Buffer{}, nil
	}
	return memory.ReadBuffer(in.Body, in.ContentLength, limit, h)
}

// Response is the response to one request. The handler fills it; the
// connection writes it in request order.
type Response struct {
	conn *conn
	req  *Request
	// last closes the connection after this response.
	last bool
	// isolated is set for a refusal after which the caller had better connect to another
	// instance.
	isolated bool
	status   int
	header   http.Header
	body     []byte
	// stream carries the parts of a streamed body.
	stream chan []byte
	// length is that of a streamed body, or -1 if unknown.
	length    int64
	truncated bool
	// broken is set by the writer if the response is missing or ends early and the end of the
	// connection shows it to the caller.
	broken bool
	// started is closed when the status and the headers of a streamed
	// response are set.
	started chan struct{}
	done    chan struct{}
	// writerDone is closed when the connection accepts no more parts.
	writerDone chan struct{}
	// held and bodyHeld are what the handler and the body hold of the memory for callers, in
	// bytes.
	held, bodyHeld atomic.Int64
}

func newResponse(c *conn, r *Request) *Response {
	return &Response{
		conn: c, req: r, started: make(chan struct{}), done: make(chan struct{}), writerDone: make(chan struct{}),
	}
}

// Hold reserves memory for the handler until it returns, n in bytes. The error is
// memory.ErrShort.
func (w *Response) Hold(n int64) error {
	if w.conn == nil {
		return nil
	}
	if err := w.conn.serving.Reserve(n); err != nil {
		return err
	}
	w.held.Add(n)
	return nil
}

// HoldBody reserves memory for a body that is buffered, n in bytes, and reports whether it is
// left. It is released when the response is written, or by ReleaseBody.
func (w *Response) HoldBody(n int64) bool {
	if w.conn == nil {
		return true
	}
	if !w.conn.output.TryReserve(n, time.Now()) {
		return false
	}
	w.bodyHeld.Add(n)
	return true
}

// ReleaseBody releases memory that HoldBody has reserved.
func (w *Response) ReleaseBody(n int64) {
	if w.conn != nil {
		w.bodyHeld.Add(-n)
		w.conn.output.Release(n)
	}
}

// release releases the body's memory once the response is written or given up.
func (w *Response) release() {
	w.header, w.body = nil, nil
	w.ReleaseBody(w.bodyHeld.Load())
}

// Respond sets a complete response.
func (w *Response) Respond(status int, h http.Header, body []byte) {
	w.status, w.header, w.body = status, h, body
}

// Start begins a streamed response, whose body follows in parts. The length is
// -1 if unknown.
func (w *Response) Start(status int, h http.Header, length int64) {
	w.status, w.header, w.length = status, h, length
	w.stream = make(chan []byte)
	close(w.started)
}

// WritePart writes a part of the body when all before it is written. It returns an error if the
// caller has disconnected or does not take the part before the context ends.
func (w *Response) WritePart(ctx context.Context, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	select {
	case w.stream <- append([]byte(nil), p...):
		return nil
	case <-w.writerDone:
	case <-w.conn.ctx.Done():
	case <-ctx.Done():
		return fmt.Errorf("caller does not take the response: %w", ctx.Err())
	}
	return errors.New("caller has disconnected")
}

// Finish ends a response that was begun with Start. If it is incomplete, the
// connection is closed before the end of the body, or reset if the end of the
// connection is that of the body, so that the caller cannot take the response for a
// complete one.
func (w *Response) Finish(complete bool) {
	w.truncated = !complete
	close(w.stream)
}

// Refuse responds with the error kind of err, which is errkind.Internal if err
// has none.
func (w *Response) Refuse(err error) { w.refuse(err) }

func (w *Response) refuse(err error) {
	e := errkind.From(err)
	d := errkind.Lookup(e.Kind)
	status := refusalStatus(d.Status, e.EffectiveOutcome())
	h := http.Header{
		"Content-Type":  {"application/problem+json"},
		outcomeHeader:   {string(e.EffectiveOutcome())},
		"Cache-Control": {"no-store"},
	}
	if after := e.RetryAfter; after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	body := fmt.Appendf(nil, `{"kind":%q,"outcome":%q,"title":%q,"status":%d}`, e.Kind, e.EffectiveOutcome(), d.Meaning, status)
	w.isolated = e.Kind == errkind.Isolated
	w.Respond(status, h, body)
}

// outcomeHeader repeats the outcome of the problem document in a header.
const outcomeHeader = "Trefoilstream-Outcome"

// refusalStatus returns the status of a refusal. Callers treat 503 as a
// guarantee that the request has not run, which 504 and 422 do not give.
func refusalStatus(status int, o errkind.Outcome) int {
	if o == errkind.NotRun && (status >= 500 || status == http.StatusUnprocessableEntity) {
		return http.StatusServiceUnavailable
	}
	return status
}

// writeTo waits for the response and writes it. It returns false if the
// connection can no longer be used.
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
		w.broken = true
		return false
	}
	if (w.isolated || w.conn.server.draining.Load()) && w.conn.finishIfLast() {
		w.last = true
	}
	w.writeHead(out, int64(len(w.body)))
	if w.req == nil || w.req.Method != http.MethodHead {
		_, _ = out.Write(w.body)
	}
	return out.Flush() == nil
}

func (w *Response) writeStream(out *bufio.Writer) bool {
	chunked := w.length < 0 && !w.req.http10
	untilClose := w.length < 0 && w.req.http10
	if untilClose {
		w.last = true
		w.conn.setResetOnClose(true)
	}
	w.writeHead(out, w.length)
	for p := range w.stream {
		if chunked {
			_, _ = fmt.Fprintf(out, "%x\r\n%s\r\n", len(p), p)
		} else {
			_, _ = out.Write(p)
		}
		if out.Flush() != nil {
			return false
		}
	}
	if w.truncated {
		w.broken = !untilClose
		return false
	}
	if chunked {
		_, _ = io.WriteString(out, "0\r\n\r\n")
	}
	if out.Flush() != nil {
		return false
	}
	if untilClose {
		w.conn.setResetOnClose(false)
	}
	return true
}

// noBody reports whether responses with this status have neither a body nor a
// Content-Length.
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

// headerValueReplacer replaces line breaks, which would start a new header line.
var headerValueReplacer = strings.NewReplacer("\r", " ", "\n", " ")
