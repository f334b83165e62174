package entry

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"trefoilstream.example/trefoilstream/internal/errkind"
)

// Claims stores the idempotency claims of non-idempotent requests, which keep a
// retried request from running twice.
type Claims interface {
	// Begin claims a key. If the response of an earlier execution is recorded,
	// it is returned instead of a claim. The error is an *errkind.Error.
	Begin(ctx context.Context, c Claim) (executionID string, recorded *RecordedResponse, err error)
	// Settle ends a claim and records its outcome.
	Settle(ctx context.Context, c Claim, executionID string, outcome Settlement, response *RecordedResponse)
}

// Claim identifies one non-idempotent request.
type Claim struct {
	Team, Service, Key string
	// Digest covers method, path and body.
	Digest []byte
	// Deadline is when the request ends at the latest.
	Deadline time.Time
}

// Settlement is the outcome of a claimed request.
type Settlement int

// The outcomes of a claimed request.
const (
	SettleUnknown Settlement = iota
	SettleNotRun
	SettleAnswered
	// SettleNotKept means that the request ran, but its response was too large
	// to record or was not received completely.
	SettleNotKept
)

// RecordedResponse is a response stored with a claim.
type RecordedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// MaxRecordedBytes is the largest response body that is recorded.
const MaxRecordedBytes = 64 << 10

// settleTimeout bounds Settle, which may go on after the caller's deadline.
const settleTimeout = 2 * time.Second

// runOnce runs a non-idempotent request under a claim, or replays the recorded
// response.
func (e *Entry) runOnce(ctx context.Context, w http.ResponseWriter, req *Request, c Claim) error {
	execution, recorded, err := e.Claims.Begin(ctx, c)
	if err != nil {
		return err
	}
	if recorded != nil {
		return writeRecorded(w, recorded)
	}
	req.ExecutionID = execution
	// Once the response has begun, a caller that disconnects no longer cancels
	// the request: the rest of the response is read to be recorded.
	work, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	stopCancel := context.AfterFunc(ctx, cancel)
	defer stopCancel()
	response, err := e.Dispatcher.Dispatch(work, req)
	if err != nil {
		outcome := SettleUnknown
		if errkind.From(err).EffectiveOutcome() == errkind.NotRun {
			outcome = SettleNotRun
		}
		e.settle(c, execution, outcome, nil)
		return err
	}
	stopCancel()
	defer func() { _ = response.Body.Close() }()
	record := &recorder{}
	err = writeResponse(w, req, response, record)
	if record.complete && !record.overflow {
		e.settle(c, execution, SettleAnswered, &RecordedResponse{Status: response.Status, Header: response.Header, Body: record.body.Bytes()})
	} else {
		// The backend server sent a response, so the request ran.
		e.settle(c, execution, SettleNotKept, nil)
	}
	return err
}

func (e *Entry) settle(c Claim, execution string, outcome Settlement, response *RecordedResponse) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	e.Claims.Settle(ctx, c, execution, outcome, response)
}

// recorder keeps the body of a response up to MaxRecordedBytes.
type recorder struct {
	body               bytes.Buffer
	overflow, complete bool
}

func (r *recorder) add(p []byte) {
	if r.body.Len()+len(p) > MaxRecordedBytes {
		r.overflow = true
		r.body.Reset()
	}
	if !r.overflow {
		r.body.Write(p)
	}
}
