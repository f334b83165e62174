package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/admin"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/journal"
	"trefoilstream.example/trefoilstream/internal/logservice"
)

// directAuthor is the author of revisions that were not made through the
// administration API.
const directAuthor = "log"

// readLimit bounds the records that one request to the log service returns.
const readLimit = 1000

// directPublisher publishes to the log service without an instance.
type directPublisher struct {
	log    logservice.Log
	state  *journal.StateMachine
	id     string
	parent uint64
}

// publishToLog publishes a document for a fleet that has no running instance
// yet. Access to the log service replaces an operator key.
func (a *app) publishToLog(doc *document.Document) error {
	if a.wait {
		return usagef("--wait needs a running instance; use --admin instead of --log-url")
	}
	address := a.logURL
	if address == "" {
		address = a.getenv(EnvLog)
	}
	ctx, cancel := context.WithTimeout(context.Background(), admin.PublishTimeout)
	defer cancel()
	d := &directPublisher{log: logservice.NewLogClient(address), state: journal.NewStateMachine(), id: uuid.NewString()}
	if _, err := d.ReadToEnd(ctx); err != nil {
		return &errkind.Error{Kind: errkind.LogUnavailable, Err: err}
	}
	config := d.state.Config()
	parent, err := a.parentNumber()
	if err != nil {
		return err
	}
	if parent != nil && *parent != config.Revision {
		return errkind.Errorf(errkind.Conflict, "the parent is revision %d, but revision %d is accepted", *parent, config.Revision)
	}
	if a.keepLive {
		doc = config.KeepLive(doc)
	}
	change := document.Diff(config.Document(), doc)
	out := &admin.ChangeResult{Revision: config.Revision, Parent: config.Revision, Changes: change.Items(config)}
	if !change.Empty() {
		if err := d.publish(ctx, a.note, change); err != nil {
			return err
		}
		out.Revision, out.ID = config.Revision+1, d.id
	}
	return a.print(out, func(w io.Writer) { fmt.Fprintf(w, "revision %d published\n", out.Revision) })
}

func (d *directPublisher) publish(ctx context.Context, note string, change document.Change) error {
	d.parent = d.state.Revision()
	rev := &journal.Revision{Number: d.parent + 1, Parent: d.parent, Author: directAuthor, Note: note, Change: change}
	data, err := journal.Encode(&journal.Record{ID: d.id, Kind: journal.KindRevision, TimeMS: time.Now().UnixMilli(), Revision: rev})
	if err != nil {
		return &errkind.Error{Kind: errkind.InvalidDocument, Err: err}
	}
	deadline, _ := ctx.Deadline()
	return journal.Publish(ctx, d, data, deadline)
}

// Append implements journal.RecordLog.
func (d *directPublisher) Append(ctx context.Context, data []byte) (uint64, error) {
	offset, err := d.log.Append(ctx, data)
	if errors.Is(err, logservice.ErrUnavailable) {
		return 0, fmt.Errorf("%w: %w", journal.ErrNeverSent, err)
	}
	return offset, err
}

// ReadToEnd implements journal.RecordLog.
func (d *directPublisher) ReadToEnd(ctx context.Context) (uint64, error) {
	for {
		page, err := d.log.Read(ctx, d.state.Offset(), 0, readLimit)
		if err != nil {
			return 0, err
		}
		for _, r := range page.Records {
			// Every reader refuses the same records, so errors are ignored.
			_ = d.state.Apply(r.Offset, r.Data)
		}
		if d.state.Offset() >= page.LastOffset && d.state.Synced() {
			return d.state.Offset(), nil
		}
		if len(page.Records) == 0 {
			return 0, fmt.Errorf("the log ends at %d and holds no snapshot: %w", page.LastOffset, journal.ErrGap)
		}
	}
}

// RevisionStatus implements journal.RecordLog.
func (d *directPublisher) RevisionStatus() journal.RevisionStatus {
	return d.state.RevisionStatus(d.id, d.parent)
}
