package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/journal"
	"trefoilstream.example/trefoilstream/internal/logservice"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// snapshotCheckInterval is the interval at which the age of the oldest
	// needed record is checked.
	snapshotCheckInterval = 5 * time.Second
	// snapshotPartDelay paces the parts of a snapshot, since the log accepts
	// only several hundred appends per second from the whole fleet.
	snapshotPartDelay = 10 * time.Millisecond
)

// applyPage applies a page of the log to the replicated state and publishes the
// result within the instance. It reports whether the log is applied to its end.
func (n *Node) applyPage(page logservice.Page) bool {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	for _, rec := range page.Records {
		if err := n.stateMachine.Apply(rec.Offset, rec.Data); err != nil {
			logApplyError(err)
		}
	}
	if len(page.Records) > 0 {
		n.state.SetConfig(n.stateMachine.Config())
		n.state.SetRoster(n.stateMachine.Roster())
		if n.stateMachine.Synced() {
			n.state.SetOffset(n.stateMachine.Offset())
			n.members.applied(n.stateMachine.Roster(), n.stateMachine.Offset())
		}
	}
	return n.stateMachine.Synced() && n.stateMachine.Offset() >= page.LastOffset
}

func logApplyError(err error) {
	switch {
	case errors.Is(err, journal.ErrConflict):
		log.WithField("event", "revision_conflict").WithError(err).Info("revision rejected: another one was appended first")
	case errors.Is(err, journal.ErrDigest):
		log.WithField("event", "state_diverged").WithError(err).Error("snapshot differs from the local state")
	case errors.Is(err, journal.ErrGap):
		log.WithField("event", "records_missing").WithError(err).Warn("log records are missing; waiting for a snapshot")
	default:
		log.WithField("event", "record_refused").WithError(err).Warn("log record refused")
	}
}

// readToEnd applies the log up to its current end.
func (n *Node) readToEnd(ctx context.Context) error {
	for {
		page, err := n.log.Read(ctx, n.stateMachine.Offset(), 0, logReadLimit)
		if err != nil {
			return err
		}
		if n.applyPage(page) {
			return nil
		}
		if len(page.Records) == 0 {
			return fmt.Errorf("the log ends at offset %d and contains no snapshot usable by this instance: %w", page.LastOffset, journal.ErrGap)
		}
	}
}

// Refresh implements admin.Fleet.
func (n *Node) Refresh(ctx context.Context) error {
	if err := n.readToEnd(ctx); err != nil {
		return &errkind.Error{Kind: errkind.LogUnavailable, Err: err}
	}
	return nil
}

// Publish implements admin.Fleet.
func (n *Node) Publish(ctx context.Context, r *journal.Record) error {
	data, err := journal.Encode(r)
	if err != nil {
		return &errkind.Error{Kind: errkind.InvalidDocument, Err: err}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return errkind.Errorf(errkind.Internal, "publish without a deadline")
	}
	return journal.Publish(ctx, &publicationLog{node: n, id: r.ID, parent: r.Revision.Parent}, data, deadline)
}

// publicationLog implements journal.RecordLog for one publication.
type publicationLog struct {
	node   *Node
	id     string
	parent uint64
}

// Append implements journal.RecordLog.
func (p *publicationLog) Append(ctx context.Context, data []byte) (uint64, error) {
	offset, err := p.node.log.Append(ctx, data)
	if errors.Is(err, logservice.ErrUnavailable) {
		return 0, fmt.Errorf("%w: %w", journal.ErrNeverSent, err)
	}
	return offset, err
}

// ReadToEnd implements journal.RecordLog.
func (p *publicationLog) ReadToEnd(ctx context.Context) (uint64, error) {
	err := p.node.readToEnd(ctx)
	return p.node.stateMachine.Offset(), err
}

// RevisionStatus implements journal.RecordLog.
func (p *publicationLog) RevisionStatus() journal.RevisionStatus {
	return p.node.stateMachine.RevisionStatus(p.id, p.parent)
}

// publishSnapshots appends snapshots of the state to the log, each before the
// oldest record that a new reader needs expires, while this instance holds the
// right to do so.
func (n *Node) publishSnapshots(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, snapshotCheckInterval)
		if !n.stateMachine.SnapshotDue(time.Now(), n.settings.LogRetention) || !n.mayPublishSnapshot() {
			continue
		}
		if err := n.publishSnapshot(ctx); err != nil {
			log.WithField("event", "snapshot_failed").WithError(err).Warn("snapshot not appended")
		}
	}
	return ctx.Err()
}

func (n *Node) mayPublishSnapshot() bool {
	_, ok := n.rights.Tenure(time.Now(), rights.SnapshotKey, roster.Scope{})
	return ok && n.state.Fresh()
}

func (n *Node) publishSnapshot(ctx context.Context) error {
	parts, err := n.stateMachine.Snapshot(time.Now(), uuid.NewString)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if !n.mayPublishSnapshot() {
			return errors.New("this instance may no longer publish snapshots")
		}
		// A part whose acknowledgement was lost is appended again; readers
		// ignore the duplicate.
		if err := n.appendUntil(ctx, part, time.Now().Add(snapshotCheckInterval)); err != nil {
			return err
		}
		sleep(ctx, snapshotPartDelay)
	}
	log.WithFields(log.Fields{"event": "snapshot_appended", "base": parts[0].Snapshot.Base, "parts": len(parts)}).Info("snapshot appended")
	return nil
}

func (n *Node) appendUntil(ctx context.Context, r *journal.Record, deadline time.Time) error {
	for {
		err := n.append(ctx, r)
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		sleep(ctx, logRetryDelay)
	}
}
