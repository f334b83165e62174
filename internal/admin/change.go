package admin

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/journal"
)

// maxRebases bounds how often a change of one entity is applied again to a newer
// revision after a conflict. The log accepts several hundred appends a second,
// so more conflicts in a row mean that something else is wrong.
const maxRebases = 10

// proposal computes a change of the accepted configuration.
type proposal func(config *document.Snapshot) (document.Change, error)

// request holds what every change has in common.
type request struct {
	author, note string
	parent       *uint64
	dryRun       bool
	// rebase applies the proposal again after a conflict. It is set for changes
	// of one entity, which are the same at any revision.
	rebase bool
}

func operatorName(c echo.Context) string {
	name, _ := c.Get(operatorField).(string)
	return name
}

// propose publishes a proposal. Errors have the kinds conflict,
// invalid_document, log_unavailable and log_unknown.
func (s *Server) propose(ctx context.Context, r request, p proposal) (*ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, PublishTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		out, err := s.proposeOnce(ctx, r, p)
		if err != nil && errkind.From(err).Kind == errkind.Conflict && r.rebase && attempt < maxRebases {
			continue
		}
		return out, err
	}
}

func (s *Server) proposeOnce(ctx context.Context, r request, p proposal) (*ChangeResult, error) {
	if err := s.Fleet.Refresh(ctx); err != nil {
		return nil, err
	}
	config := s.State.Config()
	change, err := p(config)
	if err != nil {
		return nil, err
	}
	out := &ChangeResult{Revision: config.Revision, Parent: config.Revision, Changes: change.Items(config)}
	if r.parent != nil && *r.parent != config.Revision {
		if done := s.alreadyAccepted(r, change, out); done {
			return out, nil
		}
		return nil, s.conflictError(*r.parent, config.Revision)
	}
	if change.Empty() {
		return out, nil
	}
	if err := s.check(config, change); err != nil {
		return nil, err
	}
	if r.dryRun {
		return out, nil
	}
	rev := &journal.Revision{Number: config.Revision + 1, Parent: config.Revision, Author: r.author, Note: r.note, Change: change}
	rec := &journal.Record{ID: recordID(rev), Kind: journal.KindRevision, TimeMS: time.Now().UnixMilli(), Revision: rev}
	if err := s.Fleet.Publish(ctx, rec); err != nil {
		if errkind.From(err).Kind == errkind.Conflict {
			return nil, s.conflictError(config.Revision, s.State.Revision())
		}
		return nil, err
	}
	out.Revision, out.ID = rev.Number, rec.ID
	return out, nil
}

// alreadyAccepted detects a retry of an accepted request whose response was
// lost: it would change nothing, and the revision after its parent is by the same
// operator with the same note.
func (s *Server) alreadyAccepted(r request, change document.Change, out *ChangeResult) bool {
	if !change.Empty() {
		return false
	}
	for _, e := range s.State.Entries(defaultHistory) {
		if e.Number == *r.parent+1 && e.Author == r.author && e.Note == r.note {
			out.Revision, out.Parent, out.ID = e.Number, *r.parent, e.ID
			return true
		}
	}
	return false
}

// recordID derives the ID from the content, so that a repeated command gets the
// same ID and is applied once.
func recordID(rev *journal.Revision) string {
	text, err := json.Marshal(rev)
	if err != nil {
		// Encoding fails in the same way before the record is sent.
		return uuid.NewString()
	}
	return uuid.NewHash(sha256.New(), uuid.Nil, text, 8).String()
}

func (s *Server) conflictError(parent, accepted uint64) error {
	by := ""
	if list := s.State.Entries(1); len(list) == 1 {
		by = fmt.Sprintf(" by %q (%s)", list[0].Author, list[0].Note)
	}
	return errkind.Errorf(errkind.Conflict, "the parent is revision %d, but revision %d%s is accepted", parent, accepted, by)
}

// check validates a change and rejects operators' keys as callers' keys.
func (s *Server) check(config *document.Snapshot, change document.Change) error {
	if err := config.ValidateChange(change); err != nil {
		return invalidDocument(err)
	}
	for _, k := range change.Upserts.Keys {
		if s.Operators.Has(k.SHA256) {
			return errkind.Errorf(errkind.InvalidDocument, "key %q is an operator's key", k.ID)
		}
	}
	rev := &journal.Revision{Number: config.Revision + 1, Parent: config.Revision, Change: change}
	if _, err := journal.Encode(&journal.Record{ID: "size", Kind: journal.KindRevision, Revision: rev}); err != nil {
		return invalidDocument(err)
	}
	return nil
}

func invalidDocument(err error) error { return &errkind.Error{Kind: errkind.InvalidDocument, Err: err} }

func (s *Server) publish(c echo.Context, req *PublishRequest) (*ChangeResult, error) {
	if req.Document == nil {
		return nil, errkind.Errorf(errkind.BadRequest, "the document is missing")
	}
	if err := document.ValidateNamed(req.Document); err != nil {
		return nil, invalidDocument(err)
	}
	r := request{author: operatorName(c), note: req.Note, parent: req.Parent, dryRun: req.DryRun}
	return s.propose(c.Request().Context(), r, func(config *document.Snapshot) (document.Change, error) {
		doc := req.Document
		if req.KeepLive {
			doc = config.KeepLive(doc)
		}
		if config.Revision > 0 && doc.Environment != config.Environment {
			return document.Change{}, errkind.Errorf(errkind.InvalidDocument, "the document is for environment %q, this fleet is %q", doc.Environment, config.Environment)
		}
		return document.Diff(config.Document(), doc), nil
	})
}

func (s *Server) promote(c echo.Context, req *PromoteRequest) (*ChangeResult, error) {
	if req.Document == nil {
		return nil, errkind.Errorf(errkind.BadRequest, "the document is missing")
	}
	note := req.Note
	if note == "" {
		note = fmt.Sprintf("promoted from %s revision %d", req.Document.Environment, req.Source)
	}
	r := request{author: operatorName(c), note: note, parent: req.Parent, dryRun: req.DryRun}
	return s.propose(c.Request().Context(), r, func(config *document.Snapshot) (document.Change, error) {
		if config.Revision == 0 {
			return document.Change{}, errkind.Errorf(errkind.InvalidDocument, "this fleet has no document yet; publish one first")
		}
		current := config.Document()
		return document.Diff(current, req.Document.WithEnvironment(current.EnvironmentPart())), nil
	})
}

func (s *Server) rollback(c echo.Context, req *RollbackRequest) (*ChangeResult, error) {
	note := req.Note
	if note == "" {
		note = fmt.Sprintf("rolled back to revision %d", req.To)
	}
	r := request{author: operatorName(c), note: note, parent: req.Parent, dryRun: req.DryRun}
	return s.propose(c.Request().Context(), r, func(*document.Snapshot) (document.Change, error) {
		config, undo, ok := s.State.UndoTo(req.To)
		if !ok || req.To == 0 || req.To >= config.Revision {
			return document.Change{}, errkind.Errorf(errkind.BadRequest, "revision %d is not among the earlier revisions that this instance knows", req.To)
		}
		return config.Minimal(config.Rollback(undo)), nil
	})
}

// entityRequest is the request of a change of one entity.
func entityRequest(c echo.Context, note string) request {
	return request{author: operatorName(c), note: note, rebase: true}
}

func (s *Server) issue(c echo.Context, req *IssueKeyRequest) (*ChangeResult, error) {
	return s.propose(c.Request().Context(), entityRequest(c, req.Note), func(config *document.Snapshot) (document.Change, error) {
		key := document.Key{ID: req.ID, Team: req.Team, SHA256: req.SHA256}
		if was, ok := config.Keys.Get(req.ID); ok {
			if was == key {
				return document.Change{}, nil
			}
			return document.Change{}, errkind.Errorf(errkind.InvalidDocument, "key %q exists; choose another ID", req.ID)
		}
		return document.Change{Upserts: document.Entities{Keys: []document.Key{key}}}, nil
	})
}

// noteRequest is the optional body of a deletion.
type noteRequest struct {
	Note string `json:"note,omitempty"`
}

// withdraw removes a key. Withdrawing a key that does not exist succeeds, so
// that the command can be repeated after a lost response.
func (s *Server) withdraw(c echo.Context, req *noteRequest) (*ChangeResult, error) {
	id := c.Param("id")
	return s.propose(c.Request().Context(), entityRequest(c, req.Note), func(config *document.Snapshot) (document.Change, error) {
		if _, ok := config.Keys.Get(id); !ok {
			return document.Change{}, nil
		}
		return document.Change{Deletes: document.IDs{Keys: []string{id}}}, nil
	})
}

func (s *Server) domainOut(c echo.Context, req *OutOfServiceRequest) (*ChangeResult, error) {
	id := c.Param("id")
	return s.propose(c.Request().Context(), entityRequest(c, req.Note), func(config *document.Snapshot) (document.Change, error) {
		e, ok := config.Domains[id]
		if !ok {
			return document.Change{}, unknownEntity("domain", id)
		}
		if e.Out == req.Out {
			return document.Change{}, nil
		}
		e.Out = req.Out
		return document.Change{Upserts: document.Entities{Domains: []document.Domain{e}}}, nil
	})
}

func (s *Server) serverOut(c echo.Context, req *OutOfServiceRequest) (*ChangeResult, error) {
	id := c.Param("id")
	return s.propose(c.Request().Context(), entityRequest(c, req.Note), func(config *document.Snapshot) (document.Change, error) {
		e, ok := config.Servers[id]
		if !ok {
			return document.Change{}, unknownEntity("server", id)
		}
		if e.Out == req.Out {
			return document.Change{}, nil
		}
		e.Out = req.Out
		return document.Change{Upserts: document.Entities{Servers: []document.Server{e}}}, nil
	})
}

func unknownEntity(kind, id string) error {
	return &errkind.Error{Kind: errkind.InvalidDocument, Err: errors.Join(
		document.Faults{{Path: kind, Problem: fmt.Sprintf("%s %q does not exist", kind, id), Remedy: "correct the name"}})}
}

// describeEntity describes an entity of the configuration; false means that there
// is no such entity.
func describeEntity(config *document.Snapshot, kind, id string) ([]string, bool) {
	switch kind {
	case "server":
		e, ok := config.Servers[id]
		findings := []string{fmt.Sprintf("service %s, failure domain %s, address %s, %d slots", e.Service, e.FailureDomain, e.Address, e.Slots)}
		if e.Out {
			findings = append(findings, "taken out of service by operators")
		}
		if config.Domains[e.FailureDomain].Out {
			findings = append(findings, "its failure domain is taken out of service by operators")
		}
		return findings, ok
	case "domain":
		e, ok := config.Domains[id]
		findings := []string{"region " + e.Region}
		if e.Out {
			findings = append(findings, "taken out of service by operators")
		}
		return findings, ok
	case "service":
		e, ok := config.Services[id]
		inService, slots := 0, 0
		for _, srv := range config.ServersOf(id) {
			if config.InService(srv.ID) {
				inService, slots = inService+1, slots+srv.Slots
			}
		}
		return []string{fmt.Sprintf("operators left %d of %d servers in service, with %d slots; ejection leaves a share of %g of the slots", inService, len(config.ServersOf(id)), slots, e.Floor)}, ok
	case "team":
		e, ok := config.Teams[id]
		return []string{fmt.Sprintf("rate %g requests/s, burst %g", e.Rate, e.Burst)}, ok
	case "key":
		e, ok := config.Keys.Get(id)
		return []string{"key of team " + e.Team}, ok
	case "route":
		e, ok := config.Routes[id]
		return []string{fmt.Sprintf("%v %s to service %s, class %s", e.Methods, e.Path, e.Service, e.ClassOrDefault())}, ok
	}
	return nil, false
}
