package owner

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/backend"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/health"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/slots"
)

const (
	// chunkBytes is the size of one body frame.
	chunkBytes = 32 << 10
	// suspectReportTimeout bounds how long the response to a request that may
	// have crashed a server is delayed by the report about it.
	suspectReportTimeout = 250 * time.Millisecond
	headerNotRun         = "Trefoilstream-Not-Run"
	headerCold           = "Trefoilstream-Cold"
)

// call is one request on a backend server.
type call struct {
	o      *Owner
	s      *server
	t      *reservation
	head   *peerpb.ExecuteHead
	srv    document.Server
	route  document.Route
	body   *bodyReader
	stream Stream
}

// run sends the request, relays the response and releases the slot.
func (x *call) run(ctx context.Context) error {
	request, err := x.request(ctx)
	if err != nil {
		x.t.end(outcome{notSent: true})
		return err
	}
	started := time.Now()
	x.t.begin()
	x.body.await = x.t.awaitBody
	resp, err := x.o.backend.Do(ctx, request)
	latency := time.Since(started)
	if err != nil {
		return x.failed(ctx, err, latency)
	}
	defer func() { _ = resp.Body.Close() }()
	x.t.progress()
	cold := resp.Header.Get(headerCold) == "true"
	if resp.Header.Get(headerNotRun) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, chunkBytes)
		x.t.end(outcome{slot: slots.Shed, health: health.Ignored, latency: latency, cold: cold})
		return errkind.Errorf(errkind.Overloaded, "server %s refused the request with status %d before running it", x.srv.ID, resp.StatusCode)
	}
	end := statusOutcome(resp.StatusCode)
	end.latency, end.cold = latency, cold
	return x.relay(ctx, resp, end)
}

func (x *call) request(ctx context.Context) (*backend.Request, error) {
	header := make(http.Header)
	for _, h := range x.head.Headers {
		header.Add(h.Name, h.Value)
	}
	uri, err := backend.StripKey(header, x.head.Uri, x.isKey)
	if err != nil {
		return nil, &errkind.Error{Kind: errkind.BadRequest, Err: err}
	}
	if deadline, ok := ctx.Deadline(); ok {
		remains := max(time.Until(deadline), time.Millisecond)
		header.Set("Request-Timeout", strconv.FormatFloat(remains.Seconds(), 'f', 3, 64))
	}
	return &backend.Request{Address: x.srv.Address, Method: x.head.Method, URI: uri, Host: x.head.Host, Header: header,
		Body: x.body, ContentLength: x.head.ContentLength, Idempotent: x.route.Idempotent}, nil
}

// isKey reports whether a value is the caller's key.
func (x *call) isKey(value string) bool {
	if len(x.head.KeyDigest) != sha256.Size {
		return false
	}
	return sha256.Sum256([]byte(value)) == [sha256.Size]byte(x.head.KeyDigest)
}

// statusOutcome classifies a response by its status. A 5xx response counts as a
// failure of the server, except 503, which means load shedding, like 429.
// Statuses below 400 show that the server works; other 4xx statuses say nothing
// about its health.
func statusOutcome(status int) outcome {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return outcome{slot: slots.Shed, health: health.Ignored}
	case status >= 500:
		return outcome{slot: slots.Failed, health: health.Failure}
	case status >= 400:
		return outcome{slot: slots.Failed, health: health.Ignored}
	}
	return outcome{slot: slots.OK, health: health.Success}
}

// failed ends a request that got no response. If the server dropped the
// connection, the request is reported to the arbiter before the entry gets the
// error, so that a quarantine is in force before a retry or the caller's next
// attempt.
func (x *call) failed(ctx context.Context, err error, latency time.Duration) error {
	end, refusal := classify(ctx, err)
	if x.body.cut.Load() && !end.notSent && ctx.Err() == nil {
		end, refusal = outcome{slot: slots.Aborted, health: health.Ignored}, errkind.Errorf(errkind.RequestTimeout, "%w", err)
		refusal.Outcome = errkind.Unknown
	}
	end.latency = latency
	fp := fingerprint(x.head)
	if end.health == health.Dropped {
		end.fingerprint = fp
	}
	x.t.end(end)
	if end.health == health.Dropped {
		x.o.reportSuspect(x.srv, fp)
	}
	refusal.Err = fmt.Errorf("server %s: %w", x.srv.ID, refusal.Err)
	return refusal
}

// relay streams the response back. The slot is released at the end of the
// server's response, before the last frame is sent.
func (x *call) relay(ctx context.Context, resp *http.Response, end outcome) error {
	if err := x.stream.Send(&peerpb.AnswerFrame{Head: x.responseHead(resp)}); err != nil {
		x.t.end(outcome{slot: slots.Aborted, health: health.Ignored})
		return fmt.Errorf("send response head: %w", err)
	}
	buf := make([]byte, chunkBytes)
	for {
		n, err := resp.Body.Read(buf)
		if err == io.EOF {
			x.t.end(end)
			x.recordSuccess(end)
			return x.sendEnd(buf[:n])
		}
		if err != nil {
			return x.bodyFailed(ctx, err)
		}
		// A caller that reads slowly must not count as a stall of the server.
		x.t.pause()
		if err := x.stream.Send(&peerpb.AnswerFrame{Body: buf[:n]}); err != nil {
			x.t.end(outcome{slot: slots.Aborted, health: health.Ignored})
			return fmt.Errorf("send body: %w", err)
		}
		x.t.progress()
	}
}

// sendEnd sends the rest of the response body and the end frame.
func (x *call) sendEnd(rest []byte) error {
	if len(rest) > 0 {
		if err := x.stream.Send(&peerpb.AnswerFrame{Body: rest}); err != nil {
			return fmt.Errorf("send body: %w", err)
		}
	}
	x.body.drain()
	return x.stream.Send(&peerpb.AnswerFrame{End: true})
}

func (x *call) responseHead(resp *http.Response) *peerpb.AnswerHead {
	load := x.s.load(time.Now())
	if resp.ContentLength >= 0 && resp.ContentLength <= chunkBytes && load.InUse > 0 {
		// The request is about to end. If it were counted, a cold server with
		// one slot would look full in every response, and entries would send it
		// no traffic, so that it would stay cold.
		load.InUse--
	}
	head := &peerpb.AnswerHead{Status: int32(resp.StatusCode), ContentLength: resp.ContentLength, Load: load}
	for name, values := range resp.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &peerpb.Header{Name: name, Value: v})
		}
	}
	return head
}

func (x *call) bodyFailed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		x.t.end(outcome{slot: slots.Aborted, health: health.Ignored})
		return errkind.Errorf(errkind.DeadlineExceeded, "server %s: response ended early: %w", x.srv.ID, err)
	}
	end := outcome{slot: slots.Aborted, health: health.Failure}
	if x.body.cut.Load() {
		end.health = health.Ignored
	}
	x.t.end(end)
	return errkind.Errorf(errkind.BackendFailed, "server %s: response ended early: %w", x.srv.ID, err)
}

// recordSuccess records that the request does not crash servers.
func (x *call) recordSuccess(end outcome) {
	if end.health != health.Success {
		return
	}
	x.o.quarantineMu.Lock()
	defer x.o.quarantineMu.Unlock()
	x.o.quarantine.Succeeded(fingerprint(x.head))
}

// reportSuspect reports a request that may have crashed a server to the
// arbiter.
func (o *Owner) reportSuspect(srv document.Server, f health.Fingerprint) {
	o.quarantineMu.Lock()
	harmless := o.quarantine.KnownSafe(f)
	o.quarantineMu.Unlock()
	if harmless || o.network == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), suspectReportTimeout)
	defer cancel()
	reply, err := o.network.Report(ctx, &peerpb.ReportRequest{Service: srv.Service, Instance: o.rights.Self().ID,
		Suspects: []*peerpb.SuspectRequest{{Fingerprint: f[:], Server: srv.ID}}})
	if err != nil {
		log.WithFields(log.Fields{"event": "suspect_not_reported", "server": srv.ID, "service": srv.Service}).
			WithError(err).Warn("request that may have crashed a server was not reported to the arbiter")
		return
	}
	o.addQuarantined(srv.Service, reply.Quarantined, reply.QuarantinedMs)
}

// bodyReader reads the body frames of a request. The HTTP client may still read
// the body after the response is complete, so reads are serialized.
type bodyReader struct {
	mu     sync.Mutex
	stream Stream
	rest   []byte
	ended  bool
	// drained is set once the rest of the body is to be discarded.
	drained bool
	// await, if it is not nil, is called with true before a frame is awaited, and with false after.
	await func(waits bool)
	// cut is set if the body ended before it was complete, which is no fault of the server.
	cut atomic.Bool
}

// Read implements io.Reader. An end of the stream without an end frame is an
// error, so that a truncated body is never sent as a complete one.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drained {
		return 0, errors.New("the request has ended")
	}
	for len(r.rest) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		if err := r.awaitNext(); err != nil {
			r.cut.Store(true)
			return 0, fmt.Errorf("request body: %w", io.ErrUnexpectedEOF)
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *bodyReader) awaitNext() error {
	if r.await != nil {
		r.await(true)
		defer r.await(false)
	}
	return r.next()
}

func (r *bodyReader) next() error {
	frame, err := r.stream.Recv()
	if err != nil {
		return err
	}
	r.rest, r.ended = frame.Body, frame.End
	return nil
}

// drain reads and discards the remaining frames. Unread frames would block the
// next call on the connection.
func (r *bodyReader) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = true
	for !r.ended {
		if err := r.next(); err != nil {
			return
		}
	}
}
