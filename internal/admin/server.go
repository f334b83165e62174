// Package admin serves the administration API: HTTP/JSON on a separate port,
// authenticated by operator keys. docs/admin-api.md describes it.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/journal"
)

const (
	// PublishTimeout bounds the time to publish one change and learn its
	// outcome.
	PublishTimeout = 10 * time.Second
	// maxBodyBytes bounds a request body.
	maxBodyBytes = document.MaxFileBytes
	// defaultHistory is the number of revisions listed without a limit.
	defaultHistory = 20
)

// Fleet is what the API needs from its instance.
type Fleet interface {
	// Refresh reads the log to its end. An error has the kind log_unavailable.
	Refresh(ctx context.Context) error
	// Publish publishes a record. Errors are those of journal.Publish.
	Publish(ctx context.Context, r *journal.Record) error
	// Instances queries the state of every member that may serve callers.
	Instances(ctx context.Context) []Instance
	// Explain returns what the fleet knows of an entity.
	Explain(ctx context.Context, kind, id string) []string
}

// Server serves the administration API to operators.
type Server struct {
	Operators Operators
	State     *journal.StateMachine
	Fleet     Fleet
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = func(err error, c echo.Context) { writeProblem(c.Response(), err) }
	e.Use(s.authenticate)
	e.GET("/v1/revision", s.revision)
	e.GET("/v1/document", s.document)
	e.POST("/v1/publish", handle(s.publish))
	e.POST("/v1/promote", handle(s.promote))
	e.POST("/v1/rollback", handle(s.rollback))
	e.GET("/v1/history", s.history)
	e.GET("/v1/status", s.status)
	e.GET("/v1/keys", s.keys)
	e.POST("/v1/keys", handle(s.issue))
	e.DELETE("/v1/keys/:id", handle(s.withdraw))
	e.PUT("/v1/domains/:id", handle(s.domainOut))
	e.PUT("/v1/servers/:id", handle(s.serverOut))
	e.GET("/v1/why/:kind/:id", s.why)
	return e
}

const operatorField = "operator"

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		name, err := s.Operators.Authenticate(c.Request())
		if err != nil {
			return err
		}
		c.Set(operatorField, name)
		err = next(c)
		entry := log.WithFields(log.Fields{
			"event": "operator_request", "operator": name, "method": c.Request().Method, "path": c.Request().URL.Path,
		})
		if err != nil {
			entry.WithField("kind", errkind.From(err).Kind).Warn("operator request failed")
			return err
		}
		entry.Info("operator request done")
		return nil
	}
}

// handle decodes a request body, rejects unknown fields and responds with the
// result of f.
func handle[T any](f func(c echo.Context, req *T) (*ChangeResult, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		req := new(T)
		in := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
		in.DisallowUnknownFields()
		if err := in.Decode(req); err != nil && !errors.Is(err, io.EOF) {
			return errkind.Errorf(errkind.BadRequest, "read the body: %w", err)
		}
		result, err := f(c, req)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, result)
	}
}

func (s *Server) revision(c echo.Context) error {
	digest, offset := s.State.Digest()
	config := s.State.Config()
	return c.JSON(http.StatusOK, Revision{Revision: config.Revision, Environment: config.Environment, Offset: offset, Digest: digest})
}

func (s *Server) document(c echo.Context) error {
	config := s.State.Config()
	return c.JSON(http.StatusOK, AcceptedDocument{Revision: config.Revision, Document: config.Document()})
}

func (s *Server) history(c echo.Context) error {
	limit := defaultHistory
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return errkind.Errorf(errkind.BadRequest, "limit %q is not a positive number", text)
		}
		limit = n
	}
	return c.JSON(http.StatusOK, History{Entries: s.State.Entries(limit), Refusals: s.State.Refusals(limit)})
}

func (s *Server) status(c echo.Context) error {
	ctx := c.Request().Context()
	// While the log is unavailable, the status is that of the state held here.
	refreshErr := s.Fleet.Refresh(ctx)
	config := s.State.Config()
	status := Status{Revision: config.Revision, Environment: config.Environment, InForce: true, Instances: s.Fleet.Instances(ctx)}
	for i := range status.Instances {
		inst := &status.Instances[i]
		inst.InForce = inst.State != StateUnreachable && (inst.Revision >= config.Revision || inst.State == StateRefusing)
		status.InForce = status.InForce && inst.InForce
	}
	status.InForce = status.InForce && refreshErr == nil
	return c.JSON(http.StatusOK, status)
}

// The states of an instance.
const (
	StateServing     = "serving"
	StateRefusing    = "refusing"
	StateStopping    = "stopping"
	StateUnreachable = "unreachable"
)

func (s *Server) keys(c echo.Context) error {
	list := []document.Key{}
	for k := range s.State.Config().Keys.All() {
		if team := c.QueryParam("team"); team == "" || team == k.Team {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b document.Key) int { return strings.Compare(a.ID, b.ID) })
	return c.JSON(http.StatusOK, map[string][]document.Key{"keys": list})
}

func (s *Server) why(c echo.Context) error {
	kind, id := c.Param("kind"), c.Param("id")
	config := s.State.Config()
	findings, ok := describeEntity(config, kind, id)
	if !ok {
		return errkind.Errorf(errkind.BadRequest, "%s %q is not in revision %d", kind, id, config.Revision)
	}
	if e, ok := s.State.LastChange(kind, id); ok {
		text := "last changed by revision " + strconv.FormatUint(e.Number, 10) + ", author " + strconv.Quote(e.Author) + ", note " + strconv.Quote(e.Note)
		findings = append(findings, text)
	}
	findings = append(findings, s.Fleet.Explain(c.Request().Context(), kind, id)...)
	return c.JSON(http.StatusOK, Explanation{Kind: kind, ID: id, Findings: findings})
}

func writeProblem(w http.ResponseWriter, err error) {
	var missing *echo.HTTPError
	if errors.As(err, &missing) {
		err = &errkind.Error{Kind: errkind.BadRequest, Err: err}
	}
	e := errkind.From(err)
	row := errkind.Lookup(e.Kind)
	p := Problem{
		Type: "about:blank", Title: row.Meaning, Status: row.Status, Kind: string(e.Kind), Outcome: string(e.EffectiveOutcome()),
		Detail: e.Err.Error(), Remedy: row.Remedy,
	}
	errors.As(err, &p.Faults)
	w.Header().Set("Content-Type", "application/problem+json")
	if row.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(row.RetryAfter/time.Second)))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(p)
}
