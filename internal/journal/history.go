package journal

import (
	"slices"

	"trefoilstream.example/trefoilstream/internal/document"
)

// Entry describes an accepted revision.
type Entry struct {
	Number uint64 `json:"number"`
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	// TimeMS is when the revision was made, in Unix milliseconds.
	TimeMS int64 `json:"time_ms"`
	// Entities is the number of entities that the revision changed.
	Entities int `json:"entities"`
}

// Refusal describes a revision that was refused, since its parent was no longer
// the accepted revision.
type Refusal struct {
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	Parent uint64 `json:"parent"`
	// Accepted is the revision that was accepted at that time.
	Accepted uint64 `json:"accepted"`
	Author   string `json:"author,omitempty"`
	Note     string `json:"note,omitempty"`
	TimeMS   int64  `json:"time_ms"`
}

// Limits of the history. At 38,000 revisions a day, 4,096 are about 2.5 hours.
const (
	maxEntries  = 4096
	maxRefusals = 256
	// maxUndoEntities bounds the entities of all inverse changes that are kept for
	// rollbacks.
	maxUndoEntities = 50_000
)

// History holds the newest revisions and refusals. It is not part of the state
// that instances must agree on.
type History struct {
	entries  []Entry
	refusals []Refusal
	ids      map[string]bool
	// undo maps the number of each revision in entries to its inverse change.
	// Those of the oldest entries may be missing.
	undo map[uint64]document.Change
	// undoSize is the number of entities in undo.
	undoSize   int
	oldestUndo uint64
}

func newHistory() *History {
	return &History{ids: make(map[string]bool), undo: make(map[uint64]document.Change)}
}

func (h *History) accepted(id string) bool { return h.ids[id] }

func (h *History) accept(e Entry, undo document.Change) {
	h.add(e)
	if len(h.undo) == 0 {
		h.oldestUndo = e.Number
	}
	h.undo[e.Number] = undo
	h.undoSize += undo.Size()
	for len(h.undo) > maxEntries || h.undoSize > maxUndoEntities {
		h.undoSize -= h.undo[h.oldestUndo].Size()
		delete(h.undo, h.oldestUndo)
		h.oldestUndo++
	}
}

func (h *History) add(e Entry) {
	h.entries = append(h.entries, e)
	h.ids[e.ID] = true
	if len(h.entries) > maxEntries {
		delete(h.ids, h.entries[0].ID)
		h.entries = slices.Delete(h.entries, 0, 1)
	}
}

func (h *History) refuse(r Refusal) {
	h.refusals = append(h.refusals, r)
	if len(h.refusals) > maxRefusals {
		h.refusals = slices.Delete(h.refusals, 0, 1)
	}
}

// Entries returns the newest accepted revisions, at most limit, newest first.
func (f *StateMachine) Entries(limit int) []Entry {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return newest(f.history.entries, limit)
}

// Refusals returns the newest refused revisions, at most limit, newest first.
func (f *StateMachine) Refusals(limit int) []Refusal {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return newest(f.history.refusals, limit)
}

func newest[E any](list []E, limit int) []E {
	out := slices.Clone(list[max(0, len(list)-limit):])
	slices.Reverse(out)
	return out
}

// RevisionStatus returns what is known of the revision with the ID and parent.
func (f *StateMachine) RevisionStatus(id string, parent uint64) RevisionStatus {
	f.mu.RLock()
	defer f.mu.RUnlock()
	switch {
	case f.history.accepted(id):
		return RevisionAccepted
	case f.config.Revision != parent:
		return RevisionRefused
	}
	return RevisionUnseen
}

// UndoTo returns the accepted configuration and the change that restores an
// earlier revision from it. False means that the history does not reach back
// that far.
func (f *StateMachine) UndoTo(number uint64) (*document.Snapshot, document.Change, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var all document.Change
	for n := f.config.Revision; n > number; n-- {
		undo, ok := f.history.undo[n]
		if !ok {
			return f.config, document.Change{}, false
		}
		all = all.Then(undo)
	}
	return f.config, all, true
}

// LastChange returns the newest known revision that changed an entity.
func (f *StateMachine) LastChange(kind, id string) (Entry, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for i := len(f.history.entries) - 1; i >= 0; i-- {
		e := f.history.entries[i]
		for _, item := range f.history.undo[e.Number].Items(nil) {
			if item.Kind == kind && item.ID == id {
				return e, true
			}
		}
	}
	return Entry{}, false
}
