// Package sender sends requests to backend servers and reports their outcomes.
package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"trefoilstream.example/trefoilstream/internal/backend"
	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/memory"
)

// Job is one request for one backend server.
type Job struct {
	Server string
	// Incarnation is that of the server, see catalog.Server.
	Incarnation int64
	Address     string
	Method      string
	URI         string
	Host        string
	// Header holds the caller's headers without the hop-by-hop ones.
	Header    http.Header
	RequestID string
	Team      string
	Body      memory.Buffer
	Deadline  time.Time
	// Repeatable requests may run more than once.
	Repeatable bool
}

// Reply receives a response as it arrives. An error from a method ends the
// request.
type Reply interface {
	// Head receives the status and the headers; length is -1 if unknown.
	Head(status int, h http.Header, length int64) error
	Body(p []byte) error
}

// copyBufferBytes is the size of the buffer with which bodies are copied.
const copyBufferBytes = 32 << 10

// Sender sends requests to backend servers over pooled connections.
type Sender struct {
	client  *backend.Client
	dialect dialect.Dialect
	// observe is called with the head of each response.
	observe func(j *Job, r dialect.ServerResponse)
	leaving leavingServers
}

// New returns a sender.
func New(d dialect.Dialect) *Sender { return &Sender{client: backend.New(), dialect: d} }

// Observe sets a function that is called with the head of each response of a server,
// in the order in which they arrive from it. It must be set before the first request.
func (s *Sender) Observe(f func(j *Job, r dialect.ServerResponse)) { s.observe = f }

// Reach reports whether a connection to a backend server can be made. The
// connection stays in the pool for the next request.
func (s *Sender) Reach(ctx context.Context, address string) bool {
	return s.client.Preconnect(ctx, address) == nil
}

// Run sends a request once. The outcome is Served or Failed if the complete
// response was passed to reply. The error is the cause of any other outcome.
func (s *Sender) Run(ctx context.Context, j *Job, reply Reply) (dispatch.Outcome, error) {
	if s.IsLeaving(j) {
		return dispatch.Leaving, errLeaving
	}
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	resp, err := s.client.Do(ctx, s.request(j))
	if err != nil {
		return outcomeOf(ctx, err), err
	}
	defer func() { _ = resp.Body.Close() }()
	meta := s.dialect.ReadResponse(resp.StatusCode, resp.Header)
	if resp.StatusCode != http.StatusMisdirectedRequest {
		s.NoteLeaving(j, meta)
		if s.observe != nil {
			s.observe(j, meta)
		}
	}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		drain(resp.Body)
		return dispatch.Misdirected, errors.New("address belongs to another server")
	case meta.NotRun:
		drain(resp.Body)
		return dispatch.Shed, fmt.Errorf("server refused with status %d", resp.StatusCode)
	case resp.StatusCode < 300 && !meta.Signed:
		return dispatch.Dropped, errors.New("response has no signature")
	}
	if err := s.copyResponse(resp, reply); err != nil {
		return outcomeOf(ctx, err), err
	}
	if resp.StatusCode >= 500 {
		return dispatch.Failed, nil
	}
	return dispatch.Served, nil
}

func (s *Sender) request(j *Job) *backend.Request {
	h := j.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	s.dialect.WriteRequest(h, dialect.ServerRequest{
		RequestID: j.RequestID, Team: j.Team, Server: j.Server, Left: time.Until(j.Deadline),
	})
	return &backend.Request{
		Address: j.Address, Method: j.Method, URI: j.URI, Host: j.Host, Header: h,
		Body: j.Body.Reader(), ContentLength: j.Body.Len(), Idempotent: true, UntilClose: true,
		// The first response on a reused connection may be a late one to an
		// earlier request.
		Match: func(h http.Header) backend.Match {
			switch s.dialect.ReadResponse(0, h).RequestID {
			case j.RequestID:
				return backend.ThisRequest
			case "":
				return backend.UnknownRequest
			}
			return backend.OtherRequest
		},
	}
}

// copyResponse copies a response to reply in parts.
func (s *Sender) copyResponse(resp *http.Response, reply Reply) error {
	if err := reply.Head(resp.StatusCode, resp.Header, resp.ContentLength); err != nil {
		return err
	}
	buf := make([]byte, min(copyBufferBytes, max(resp.ContentLength, 4096)))
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if err := reply.Body(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("response was cut off: %w", err)
		}
	}
}

// maxDrainBytes bounds how much of a discarded response is read so that its
// connection can be reused.
const maxDrainBytes = 16 << 10

func drain(r io.Reader) { _, _ = io.CopyN(io.Discard, r, maxDrainBytes) }

func outcomeOf(ctx context.Context, err error) dispatch.Outcome {
	switch {
	case errors.Is(err, backend.ErrNotSent) && ctx.Err() == nil:
		return dispatch.Unreachable
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return dispatch.Stalled
	case ctx.Err() != nil:
		return dispatch.Cancelled
	default:
		return dispatch.Dropped
	}
}
