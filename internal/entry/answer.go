package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"trefoilstream.example/trefoilstream/internal/errkind"
)

// Response is a streamed response of a backend server.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is in bytes, or -1 if it is not known.
	ContentLength int64
	// Body returns io.EOF only after the complete body.
	Body io.ReadCloser
}

// writeResponse streams a response to the caller and into the record, which may
// be nil. After an error that follows the status line, the connection must be
// broken, so that the caller doesn't take the response for complete.
func writeResponse(w http.ResponseWriter, req *Request, resp *Response, record *recorder) error {
	if resp.Status < 200 || resp.Status > 999 {
		return errkind.Errorf(errkind.BackendFailed, "response has invalid status %d", resp.Status)
	}
	copyResponseHeader(w.Header(), resp.Header)
	if resp.ContentLength >= 0 && resp.Status != http.StatusNoContent {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.Status)
	flush := http.NewResponseController(w).Flush
	buf := make([]byte, chunkBytes)
	var written int64
	var writeErr error
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && record != nil {
			record.add(buf[:n])
		}
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buf[:n])
			written += int64(n)
			if writeErr == nil && written != resp.ContentLength {
				writeErr = flush() // the next part may come much later
			}
		}
		if writeErr != nil && (record == nil || record.overflow) {
			return callerGone(writeErr)
		}
		if err == io.EOF {
			return finishResponse(req, resp, record, written, writeErr)
		}
		if err != nil {
			return err
		}
	}
}

func finishResponse(req *Request, resp *Response, record *recorder, written int64, writeErr error) error {
	hasBody := req.Method != http.MethodHead && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified
	if writeErr == nil && hasBody && resp.ContentLength >= 0 && written != resp.ContentLength {
		return errkind.Errorf(errkind.BackendFailed, "response body has %d of %d bytes", written, resp.ContentLength)
	}
	if record != nil {
		record.complete = true
	}
	if writeErr != nil {
		return callerGone(writeErr)
	}
	return nil
}

// errCallerGone marks errors of the connection to the caller.
var errCallerGone = errors.New("connection to the caller failed")

func callerGone(err error) error {
	return errkind.Errorf(errkind.Internal, "%w: %w", errCallerGone, err)
}

func writeRecorded(w http.ResponseWriter, resp *RecordedResponse) error {
	copyResponseHeader(w.Header(), resp.Header)
	w.Header().Set(headerPrefix+"Replayed", "true")
	if resp.Status != http.StatusNoContent {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil {
		return callerGone(err)
	}
	return nil
}

// problem is the body of an error response made by the proxy (RFC 9457).
type problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	Kind      errkind.Kind    `json:"kind"`
	Outcome   errkind.Outcome `json:"outcome"`
	RequestID string          `json:"request_id,omitempty"`
}

// WriteProblem writes an error as application/problem+json. It omits the text
// of the error, which may name instances and backend servers.
func WriteProblem(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	row := errkind.Lookup(e.Kind)
	wait := row.RetryAfter
	if e.RetryAfter > 0 {
		wait = e.RetryAfter
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(headerPrefix+"Outcome", string(e.EffectiveOutcome()))
	if wait > 0 {
		// Retry-After has whole seconds. It is rounded up, since an earlier
		// retry would be refused again.
		h.Set("Retry-After", strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	}
	body, _ := json.Marshal(problem{
		Type: "about:blank", Title: row.Meaning, Status: row.Status, Detail: row.Remedy,
		Kind: e.Kind, Outcome: e.EffectiveOutcome(), RequestID: h.Get(headerPrefix + "Request-Id"),
	})
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(row.Status)
	_, _ = w.Write(append(body, '\n'))
}
