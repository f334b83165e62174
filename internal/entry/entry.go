// Package entry is the HTTP front end for callers: it checks a request,
// applies the rate limit of its team, claims its Idempotency-Key, chooses a
// backend server, forwards the request to the server's owner and streams the
// response back. Package node uses it; package instance uses packages ingress
// and forward instead.
package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/memory"
	"trefoilstream.example/trefoilstream/internal/metrics"
)

// headerPrefix is the prefix of the proxy's own headers. Such headers are
// removed from requests of callers and responses of backend servers.
const headerPrefix = "Trefoilstream-"

// Admission enforces the rate limits of teams.
type Admission interface {
	// Admit takes one token of the team. The error is an *errkind.Error.
	Admit(ctx context.Context, team document.Team) error
}

// Request is an admitted request.
type Request struct {
	Route     document.Route
	Team      string
	KeyDigest []byte
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      *Body
	// ExecutionID is the claim's execution identifier, empty on idempotent
	// routes.
	ExecutionID string
	ID          string
}

// Dispatcher chooses a backend server and runs the request there. The error
// is an *errkind.Error whose outcome says whether the request may have run.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *Request) (*Response, error)
}

// Observer receives every finished request. It must not block.
type Observer interface {
	Observe(o metrics.Observation)
}

// Entry serves requests of callers. Observer may be nil.
type Entry struct {
	State      *board.InstanceState
	Admission  Admission
	Claims     Claims
	Dispatcher Dispatcher
	Observer   Observer
	// MachineBytes is the memory of the machine; 0 means defaultMachineBytes.
	MachineBytes int64

	routes routeTable
	// bodies counts the memory of buffered bodies.
	bodies *memory.Account
}

// Handler returns the HTTP handler for callers. It also serves /livez and
// /readyz for the load balancer.
func (e *Entry) Handler() http.Handler {
	e.bodies = newBodyAccount(e.MachineBytes)
	srv := echo.New()
	srv.HideBanner = true
	srv.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	srv.GET("/readyz", e.ready)
	srv.Any("/*", e.serve)
	// Echo handles only the methods that it knows; configured routes may have
	// others.
	srv.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			_ = e.serve(c)
		}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		srv.ServeHTTP(&closingWriter{ResponseWriter: w, entry: e, request: r}, r)
	})
}

func (e *Entry) ready(c echo.Context) error {
	if !e.State.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// closingWriter adds Connection: close to responses after which the connection
// must not be reused.
type closingWriter struct {
	http.ResponseWriter
	entry   *Entry
	request *http.Request
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	// A stopping instance makes callers close their connections, so that no
	// idle connection is left on which a request could be in flight. The
	// connection also ends after a chunked body, against request smuggling: if
	// the request also had a Content-Length and the load balancer used that,
	// the bytes that follow are part of the body and not another request.
	if w.entry.State.Stopping() || len(w.request.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap implements the convention of http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher, which echo requires.
func (w *closingWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

func (e *Entry) serve(c echo.Context) error {
	r, w := c.Request(), c.Response()
	start := time.Now()
	id := uuid.NewString()
	w.Header().Set(headerPrefix+"Request-Id", id)
	req := &Request{Method: r.Method, ID: id}
	err := e.handle(w, r, req)
	gone := err != nil && (errors.Is(err, errCallerGone) || errors.Is(r.Context().Err(), context.Canceled))
	e.observe(req, w, err, gone, time.Since(start))
	if err == nil {
		return nil
	}
	log.WithFields(log.Fields{"event": "request_not_served", "request_id": id, "team": req.Team, "route": req.Route.ID}).WithError(err).Debug("request not served")
	if errkind.From(err).Kind == errkind.Internal && !gone {
		log.WithFields(log.Fields{"event": "request_failed", "request_id": id}).WithError(err).Error("unexpected error")
	}
	if w.Committed {
		abort(w, r)
	}
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyWait))
	}
	WriteProblem(w, err)
	return nil
}

// unreadBodyWait is how long an error response waits for the unread rest of the
// request body. If it arrives in time, the connection is kept, otherwise it is
// closed. Without this bound, the HTTP server would delay the error response.
const unreadBodyWait = 50 * time.Millisecond

// abort breaks the connection of an incomplete response. Since the status line
// has been sent, this is the only way to signal the failure to the caller.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// In HTTP/1.0 closing the connection may mark the end of the body, so
		// only a reset shows that the body is incomplete.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

func (e *Entry) observe(req *Request, w *echo.Response, err error, gone bool, took time.Duration) {
	if e.Observer == nil {
		return
	}
	o := metrics.Observation{
		Class: string(req.Route.ClassOrDefault()), Team: req.Team, Status: w.Status, Took: took, Result: metrics.ResultAnswered,
	}
	if err != nil {
		kind := errkind.From(err).Kind
		o.Result = string(kind)
		if !w.Committed {
			o.Status = errkind.Lookup(kind).Status
		}
	}
	if gone {
		o.Result = metrics.ResultCancelled
	}
	e.Observer.Observe(o)
}

func (e *Entry) handle(w http.ResponseWriter, r *http.Request, req *Request) error {
	if !e.State.Fresh() {
		return errkind.Errorf(errkind.StaleConfiguration, "instance cannot confirm that its configuration is up to date")
	}
	path, err := checkHead(r)
	if err != nil {
		return err
	}
	cfg := e.State.Config()
	route, ok := e.routes.match(cfg, r.Method, path)
	if !ok {
		return errkind.Errorf(errkind.NoRoute, "no route matches %s %s", r.Method, path)
	}
	req.Route, req.URI, req.Host = route, r.URL.RequestURI(), r.Host
	if err := authorize(cfg, r, req); err != nil {
		return err
	}
	limit, err := timeLimit(r, route)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(r, route)
	if err != nil {
		return err
	}
	if r.ContentLength > route.MaxBodyBytes() {
		return tooLarge(route)
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	if !route.Open {
		if err := e.Admission.Admit(ctx, cfg.Teams[req.Team]); err != nil {
			return err
		}
	}
	return e.admitted(ctx, w, r, req, key)
}

// admitted reads the body and runs the request.
func (e *Entry) admitted(ctx context.Context, w http.ResponseWriter, r *http.Request, req *Request, key string) error {
	deadline, _ := ctx.Deadline()
	control := http.NewResponseController(w)
	// A caller that stops reading must not hold a slot beyond its deadline.
	_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	_ = control.SetReadDeadline(deadline)
	body, err := readBody(w, r, req.Route, e.bodies)
	if err != nil {
		return err
	}
	defer body.release()
	if body.Remaining == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	req.Body = body
	req.Header = forwardedHeader(r.Header, req.ID)
	if req.Route.Idempotent {
		return e.run(ctx, w, req)
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\n%s\n%x", req.Method, req.URI, body.Digest))
	return e.runOnce(ctx, w, req, Claim{
		Team: req.Team, Service: req.Route.Service, Key: key, Digest: sum[:], Deadline: deadline,
	})
}

// writeGrace is the time after the deadline for writing the end of a response,
// or an error response, to the caller.
const writeGrace = time.Second

func (e *Entry) run(ctx context.Context, w http.ResponseWriter, req *Request) error {
	response, err := e.Dispatcher.Dispatch(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return writeResponse(w, req, response, nil)
}
