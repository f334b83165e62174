// Package sender runs requests on backend servers and tells how they ended.
package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"trefoilstream.example/trefoilstream/internal/backend"
	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// Job is one request for one backend server.
type Job struct {
	Server  string
	Address string
	Method  string
	URI     string
	Host    string
	// Header holds the caller's headers without those of the connection.
	Header    http.Header
	RequestID string
	Team      string
	Body      []byte
	Deadline  time.Time
	// Repeatable requests may run more than once.
	Repeatable bool
}

// Reply receives an answer as it arrives. An error of its methods ends the
// request.
type Reply interface {
	// Head receives status and headers; length is -1 if it is not known.
	Head(status int, h http.Header, length int64) error
	Body(p []byte) error
}

// copyBufferBytes is the size of the parts in which bodies are passed on.
const copyBufferBytes = 32 << 10

// Sender sends to backend servers over kept connections.
type Sender struct {
	client  *backend.Client
	dialect dialect.Dialect
}

// New returns a sender.
func New(d dialect.Dialect) *Sender { return &Sender{client: backend.New(), dialect: d} }

// Reach reports whether a connection to a backend server can be made. It is kept
// for the next request.
func (s *Sender) Reach(ctx context.Context, address string) bool {
	return s.client.Open(ctx, address) == nil
}

// Run sends a request once. The outcome is Served or Failed if the answer was
// passed on whole. The error tells the cause of any other outcome.
func (s *Sender) Run(ctx context.Context, j *Job, reply Reply) (dispatch.Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	resp, err := s.client.Do(ctx, s.request(j))
	if err != nil {
		return outcomeOf(ctx, err), err
	}
	defer func() { _ = resp.Body.Close() }()
	said := s.dialect.ReadAnswer(resp.StatusCode, resp.Header)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		drain(resp.Body)
		return dispatch.Misdirected, errors.New("another server has the address")
	case said.NotRun:
		drain(resp.Body)
		return dispatch.Shed, fmt.Errorf("server refused with status %d", resp.StatusCode)
	case resp.StatusCode < 300 && !said.Signed:
		return dispatch.Dropped, errors.New("answer has no signature")
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
	s.dialect.WriteForward(h, dialect.Forward{
		RequestID: j.RequestID, Team: j.Team, Server: j.Server, Left: time.Until(j.Deadline),
	})
	return &backend.Request{
		Address: j.Address, Method: j.Method, URI: j.URI, Host: j.Host, Header: h,
		Body: bytes.NewReader(j.Body), ContentLength: int64(len(j.Body)), Idempotent: true, UntilClose: true,
		// A late answer to an earlier request may stand first on a connection.
		Match: func(status int, h http.Header) bool {
			id := s.dialect.ReadAnswer(status, h).RequestID
			return id == "" || id == j.RequestID
		},
	}
}

// copyResponse hands an answer on in parts.
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
			return fmt.Errorf("answer broke off: %w", err)
		}
	}
}

// maxDrainBytes bounds what is read of a refusal so that the connection is kept.
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
