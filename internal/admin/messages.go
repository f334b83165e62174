package admin

import (
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/journal"
)

// Revision says which configuration an instance holds.
type Revision struct {
	Revision    uint64 `json:"revision"`
	Environment string `json:"environment"`
	// Offset is the highest log offset applied; Digest is that of the state.
	Offset uint64 `json:"offset"`
	Digest string `json:"digest"`
}

// AcceptedDocument is the accepted document and its revision.
type AcceptedDocument struct {
	Revision uint64             `json:"revision"`
	Document *document.Document `json:"document"`
}

// PublishRequest replaces the document.
type PublishRequest struct {
	// Parent is the revision that the document was made from. Without it the
	// accepted revision is used, so that a concurrent change may be undone.
	Parent   *uint64            `json:"parent,omitempty"`
	Document *document.Document `json:"document"`
	// KeepLive keeps the accepted keys, and what operators took out of service,
	// instead of those of the document.
	KeepLive bool   `json:"keep_live,omitempty"`
	Note     string `json:"note,omitempty"`
	// DryRun only returns what would change.
	DryRun bool `json:"dry_run,omitempty"`
}

// PromoteRequest replaces everything but the environment part of the document
// with that of another environment.
type PromoteRequest struct {
	Parent   *uint64            `json:"parent,omitempty"`
	Document *document.Document `json:"document"`
	// Source is the revision of the other environment.
	Source uint64 `json:"source_revision,omitempty"`
	Note   string `json:"note,omitempty"`
	DryRun bool   `json:"dry_run,omitempty"`
}

// RollbackRequest restores an earlier revision.
type RollbackRequest struct {
	To     uint64  `json:"to"`
	Parent *uint64 `json:"parent,omitempty"`
	Note   string  `json:"note,omitempty"`
	DryRun bool    `json:"dry_run,omitempty"`
}

// IssueKeyRequest adds a key of which only the digest is sent.
type IssueKeyRequest struct {
	ID     string `json:"id"`
	Team   string `json:"team"`
	SHA256 string `json:"sha256"`
	Note   string `json:"note,omitempty"`
}

// OutOfServiceRequest takes a server or failure domain out of service or back
// in.
type OutOfServiceRequest struct {
	Out  bool   `json:"out"`
	Note string `json:"note,omitempty"`
}

// ChangeResult is the response to every change.
type ChangeResult struct {
	// Revision is the new accepted revision, or the current one if nothing
	// changed.
	Revision uint64          `json:"revision"`
	Parent   uint64          `json:"parent"`
	ID       string          `json:"id,omitempty"`
	Changes  []document.Item `json:"changes"`
}

// History lists revisions, newest first.
type History struct {
	Entries  []journal.Entry   `json:"entries"`
	Refusals []journal.Refusal `json:"refusals"`
}

// Instance is what one instance reports.
type Instance struct {
	Instance      string `json:"instance"`
	Incarnation   uint64 `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// State is serving, refusing, stopping or unreachable.
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Offset   uint64 `json:"offset"`
	// InForce is set if the instance applies the accepted revision, or refuses
	// requests on its own.
	InForce bool `json:"in_force"`
}

// Status is the state of the fleet.
type Status struct {
	Revision    uint64     `json:"revision"`
	Environment string     `json:"environment"`
	InForce     bool       `json:"in_force"`
	Instances   []Instance `json:"instances"`
}

// Explanation explains the state of an entity.
type Explanation struct {
	Kind     string   `json:"kind"`
	ID       string   `json:"id"`
	Findings []string `json:"findings"`
}

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
	Remedy  string `json:"remedy"`
	// Faults are those of an invalid document.
	Faults document.Faults `json:"faults,omitempty"`
}
