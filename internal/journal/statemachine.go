package journal

import (
	"errors"
	"fmt"
	"sync"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// Errors of StateMachine.Apply. In each case every reader skips the record.
var (
	// ErrConflict marks a revision whose parent is not the accepted one.
	ErrConflict = errors.New("the parent is not the accepted revision")
	// ErrDigest marks a snapshot that differs from the state held, so this
	// instance or the writer of the snapshot has diverged.
	ErrDigest = errors.New("the snapshot differs from the state held")
	// ErrGap marks the first record after missing ones. The state machine keeps
	// its state and waits for a snapshot that covers the gap.
	ErrGap = errors.New("records are missing")
)

// StateMachine applies records in log order. Every instance that applied the
// same records holds the same state. It is safe for concurrent use.
type StateMachine struct {
	mu     sync.RWMutex
	offset uint64
	state
	history *History
	// digests maps recent offsets to the digest of the state, to verify
	// snapshots.
	digests map[uint64]string
	// oldestNeededMS is the time of the oldest record that a new reader needs.
	oldestNeededMS int64
	snapshots      map[string]*partialSnapshot
	// awaitingSnapshot is set while records are missing; pending holds those
	// after the gap.
	awaitingSnapshot bool
	pending          []pendingRecord
}

// state is the part that all instances must agree on.
type state struct {
	config *document.Snapshot
	members
}

type pendingRecord struct {
	offset uint64
	record *Record
}

// Limits of what is kept besides the state.
const (
	// maxDigests covers the records that arrive while the parts of a snapshot
	// are appended.
	maxDigests = 4096
	// maxPending bounds the records kept while waiting for a snapshot. If there
	// are more, the earlier ones are dropped, since a later snapshot covers them.
	maxPending = 100_000
)

// NewStateMachine returns a state machine with an empty state.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		state:   state{config: document.NewSnapshot(0, &document.Document{}), members: newMembers()},
		history: newHistory(), digests: make(map[uint64]string), snapshots: make(map[string]*partialSnapshot),
	}
}

// Offset returns the offset of the last record read. While Synced is false,
// the state is older than that.
func (f *StateMachine) Offset() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.offset
}

// Synced reports whether the state includes every record up to Offset. An
// instance that is not synced must not serve with the state as current.
func (f *StateMachine) Synced() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return !f.awaitingSnapshot
}

// Config returns the accepted configuration.
func (f *StateMachine) Config() *document.Snapshot {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.config
}

// Document returns a new copy of the accepted document.
func (f *StateMachine) Document() *document.Document { return f.Config().Document() }

// Revision returns the number of the accepted revision.
func (f *StateMachine) Revision() uint64 { return f.Config().Revision }

// Roster returns the roster at the last membership record.
func (f *StateMachine) Roster() *roster.Roster {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster()
}

// Apply applies the record at an offset. Records at offsets already read are
// ignored. Every reader skips a record that cannot be applied and returns an
// error, which wraps ErrConflict, ErrDigest or ErrGap, or is one of Decode.
func (f *StateMachine) Apply(offset uint64, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset <= f.offset && !f.awaitingSnapshot {
		return nil
	}
	r, err := Decode(data)
	if err != nil {
		r = nil
		err = fmt.Errorf("offset %d: %w", offset, err)
	}
	part := r != nil && r.Kind == KindSnapshot
	if offset <= f.offset && !part {
		return nil
	}
	// In the log a snapshot follows its base offset. A peer relays it with the
	// base as its offset.
	relayed := part && r.Snapshot.Base >= offset
	if !f.awaitingSnapshot && (offset > f.offset+1 || relayed) {
		f.awaitingSnapshot = true
		err = errors.Join(err, fmt.Errorf("offset %d follows %d: %w", offset, f.offset, ErrGap))
	}
	f.offset = max(f.offset, offset)
	switch {
	case part && f.awaitingSnapshot:
		return errors.Join(err, f.collectPart(offset, r))
	case f.awaitingSnapshot:
		f.queuePending(pendingRecord{offset, r})
		return err
	case err != nil:
		f.recordDigest(offset)
		return err
	}
	return f.applyNext(offset, r)
}

// queuePending keeps a record until a snapshot arrives. Undecodable records are
// kept too, so that pending has no gaps.
func (f *StateMachine) queuePending(p pendingRecord) {
	if n := len(f.pending); n > 0 && p.offset > f.pending[n-1].offset+1 || n >= maxPending {
		f.pending = nil
	}
	f.pending = append(f.pending, p)
}

// applyNext applies a decoded record to the state.
func (f *StateMachine) applyNext(offset uint64, r *Record) error {
	if f.oldestNeededMS == 0 {
		f.oldestNeededMS = r.TimeMS
	}
	var err error
	switch r.Kind {
	case KindRevision:
		err = f.applyRevision(offset, r)
	case KindJoin:
		f.membership.Apply(offset, roster.Record{Kind: roster.Join, Member: *r.Join, Ends: r.Ends})
	case KindDrain, KindLeave, KindDown:
		departed := roster.Member{ID: r.Left.Instance, Incarnation: r.Left.Incarnation}
		f.membership.Apply(offset, roster.Record{Kind: roster.Kind(r.Kind), Member: departed})
	case KindSnapshot:
		err = f.checkPart(r)
	}
	f.recordDigest(offset)
	if err != nil {
		return fmt.Errorf("offset %d: record %s: %w", offset, r.ID, err)
	}
	return nil
}

func (f *StateMachine) applyRevision(offset uint64, r *Record) error {
	rev := r.Revision
	if f.history.accepted(r.ID) {
		return nil
	}
	if rev.Parent != f.config.Revision {
		f.history.refuse(Refusal{
			Offset: offset, ID: r.ID, Parent: rev.Parent, Accepted: f.config.Revision,
			Author: rev.Author, Note: rev.Note, TimeMS: r.TimeMS,
		})
		return fmt.Errorf("%w: parent %d, accepted %d", ErrConflict, rev.Parent, f.config.Revision)
	}
	if err := rev.Check(); err != nil {
		return err
	}
	undo := f.config.Inverse(rev.Change)
	f.config = f.config.Apply(rev.Number, rev.Change)
	f.history.accept(Entry{
		Number: rev.Number, ID: r.ID, Offset: offset, Author: rev.Author, Note: rev.Note, TimeMS: r.TimeMS,
		Entities: rev.Size(),
	}, undo)
	return nil
}

// recordDigest stores the digest of the state at an offset.
func (f *StateMachine) recordDigest(offset uint64) {
	f.digests[offset] = f.digest()
	delete(f.digests, offset-maxDigests)
}
