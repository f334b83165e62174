package journal

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"maps"
	"time"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// partBytes keeps a page of 1,000 parts below the 64 MiB that the log
	// client accepts, with base64 applied twice.
	partBytes = 32 << 10
	// maxParts bounds a snapshot to 512 MiB compressed.
	maxParts = 16 << 10
	// maxPartialSnapshots bounds the incomplete snapshots kept while waiting for
	// one.
	maxPartialSnapshots = 4
)

// snapshotLine is one line of a snapshot's body, which is JSON lines compressed
// by gzip. Lines are written one at a time, so that a snapshot of 650,000 teams
// needs little more memory than its compressed form.
type snapshotLine struct {
	Epoch       uint64             `json:"epoch,omitempty"`
	Environment string             `json:"environment,omitempty"`
	Member      *roster.Member     `json:"member,omitempty"`
	Entry       *Entry             `json:"entry,omitempty"`
	Entities    *document.Entities `json:"entities,omitempty"`
}

type partialSnapshot struct {
	head     SnapshotPart
	timeMS   int64
	parts    [][]byte
	received int
}

// Digest returns the digest of the state and the offset that it belongs to.
func (f *StateMachine) Digest() (string, uint64) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.digest(), f.offset
}

// maxClockSkew is the largest difference between two instances' clocks.
const maxClockSkew = time.Minute

// SnapshotDue reports whether the oldest record that a new reader needs is
// older than half the retention of the log. If its time is in the future, its
// writer's clock was wrong and its age is not known, so a snapshot is due.
func (f *StateMachine) SnapshotDue(now time.Time, retention time.Duration) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	age := now.Sub(time.UnixMilli(f.oldestNeededMS))
	return !f.awaitingSnapshot && f.oldestNeededMS > 0 && (age > retention/2 || age < -maxClockSkew)
}

// Snapshot returns records that hold the whole state. newID makes a unique ID.
// It fails while the state machine is not synced.
func (f *StateMachine) Snapshot(now time.Time, newID func() string) ([]*Record, error) {
	f.mu.Lock() // Not RLock, since roster may build the roster.
	s, r := f.state, f.roster()
	entries := newest(f.history.entries, maxEntries)
	base, digest, waiting := f.offset, f.digest(), f.awaitingSnapshot
	f.mu.Unlock()
	if waiting {
		return nil, fmt.Errorf("make snapshot: %w", ErrGap)
	}
	body, err := encodeState(s.config, r, entries)
	if err != nil {
		return nil, fmt.Errorf("make snapshot: %w", err)
	}
	head := SnapshotPart{Set: newID(), Base: base, Revision: s.config.Revision, Digest: digest, Parts: (len(body) + partBytes - 1) / partBytes}
	if head.Parts > maxParts {
		return nil, fmt.Errorf("make snapshot: %d parts exceed the limit of %d", head.Parts, maxParts)
	}
	records := make([]*Record, head.Parts)
	for i := range records {
		part := head
		part.Part, part.Data = i, body[i*partBytes:min(len(body), (i+1)*partBytes)]
		records[i] = &Record{ID: newID(), Kind: KindSnapshot, TimeMS: now.UnixMilli(), Snapshot: &part}
	}
	return records, nil
}

func encodeState(c *document.Snapshot, r *roster.Roster, entries []Entry) ([]byte, error) {
	var body bytes.Buffer
	gz := gzip.NewWriter(&body)
	out := json.NewEncoder(gz)
	errs := []error{out.Encode(snapshotLine{Epoch: r.Epoch, Environment: c.Environment})}
	for _, m := range r.Members() {
		errs = append(errs, out.Encode(snapshotLine{Member: &m}))
	}
	for i := range entries {
		// Oldest first, the order in which a reader adds them.
		errs = append(errs, out.Encode(snapshotLine{Entry: &entries[len(entries)-1-i]}))
	}
	errs = append(errs,
		writeMap(out, c.Domains, func(l []document.Domain) document.Entities { return document.Entities{Domains: l} }),
		writeMap(out, c.Teams, func(l []document.Team) document.Entities { return document.Entities{Teams: l} }),
		writeEntities(out, c.Keys.All(), func(l []document.Key) document.Entities { return document.Entities{Keys: l} }),
		writeMap(out, c.Services, func(l []document.Service) document.Entities { return document.Entities{Services: l} }),
		writeMap(out, c.Servers, func(l []document.Server) document.Entities { return document.Entities{Servers: l} }),
		writeMap(out, c.Routes, func(l []document.Route) document.Entities { return document.Entities{Routes: l} }),
		gz.Close())
	return body.Bytes(), errors.Join(errs...)
}

// writeMap writes the entities of one kind, up to 64 in a line.
func writeMap[E any](out *json.Encoder, m map[string]E, wrap func([]E) document.Entities) error {
	return writeEntities(out, maps.Values(m), wrap)
}

func writeEntities[E any](out *json.Encoder, all iter.Seq[E], wrap func([]E) document.Entities) error {
	batch := make([]E, 0, 64)
	flush := func() error {
		if len(batch) == 0 {
			return nil
		}
		e := wrap(batch)
		err := out.Encode(snapshotLine{Entities: &e})
		batch = batch[:0]
		return err
	}
	for e := range all {
		if batch = append(batch, e); len(batch) == cap(batch) {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	return flush()
}

func decodeState(body io.Reader, revision uint64) (state, []Entry, error) {
	gz, err := gzip.NewReader(bufio.NewReader(body))
	if err != nil {
		return state{}, nil, fmt.Errorf("read snapshot: %w", err)
	}
	var epoch uint64
	var list []roster.Member
	doc, entries := document.Document{Version: 1}, []Entry(nil)
	for in := json.NewDecoder(gz); ; {
		var l snapshotLine
		if err := in.Decode(&l); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return state{}, nil, fmt.Errorf("read snapshot: %w", err)
		}
		epoch = max(epoch, l.Epoch)
		if l.Environment != "" {
			doc.Environment = l.Environment
		}
		if l.Member != nil {
			list = append(list, *l.Member)
		}
		if l.Entry != nil {
			entries = append(entries, *l.Entry)
		}
		if e := l.Entities; e != nil {
			doc.Domains, doc.Teams, doc.Keys = append(doc.Domains, e.Domains...), append(doc.Teams, e.Teams...), append(doc.Keys, e.Keys...)
			doc.Services, doc.Servers, doc.Routes = append(doc.Services, e.Services...), append(doc.Servers, e.Servers...), append(doc.Routes, e.Routes...)
		}
	}
	return state{config: document.NewSnapshot(revision, &doc), members: restoredMembers(epoch, list)}, entries, nil
}

// collectPart adds a part to its snapshot while one is awaited, and installs the
// snapshot once it is complete.
func (f *StateMachine) collectPart(offset uint64, r *Record) error {
	p := r.Snapshot
	// A part takes up its offset among the pending records, but has no effect.
	if n := len(f.pending); n == 0 || f.pending[n-1].offset < offset {
		f.queuePending(pendingRecord{offset: offset})
	}
	set := f.snapshots[p.Set]
	if set == nil {
		if len(f.snapshots) >= maxPartialSnapshots {
			clear(f.snapshots)
		}
		set = &partialSnapshot{head: *p, timeMS: r.TimeMS, parts: make([][]byte, p.Parts)}
		f.snapshots[p.Set] = set
	}
	if p.Parts != set.head.Parts || p.Digest != set.head.Digest || p.Base != set.head.Base || p.Revision != set.head.Revision {
		return fmt.Errorf("part %d of snapshot %s differs from its earlier parts in digest, base, revision or number of parts", p.Part, p.Set)
	}
	if set.parts[p.Part] == nil {
		set.parts[p.Part] = p.Data
		set.received++
	}
	if set.received < p.Parts {
		return nil
	}
	delete(f.snapshots, p.Set)
	return f.install(set)
}

// checkPart compares a snapshot with the state that this reader had at its base.
func (f *StateMachine) checkPart(r *Record) error {
	p := r.Snapshot
	held, ok := f.digests[p.Base]
	if ok && held != p.Digest {
		return fmt.Errorf("base %d: %w", p.Base, ErrDigest)
	}
	if ok && p.Part == p.Parts-1 {
		// A new reader can start from this snapshot, so older records may
		// expire.
		f.oldestNeededMS = r.TimeMS
	}
	return nil
}

// install replaces the state with a snapshot and applies the pending records
// that follow its base. It never goes back to an earlier state.
func (f *StateMachine) install(set *partialSnapshot) error {
	base := set.head.Base
	if len(f.pending) > 0 && f.pending[0].offset > base+1 {
		return fmt.Errorf("snapshot %s ends at %d, but records are held only from %d: %w", set.head.Set, base, f.pending[0].offset, ErrGap)
	}
	readers := make([]io.Reader, len(set.parts))
	for i, p := range set.parts {
		readers[i] = bytes.NewReader(p)
	}
	s, entries, err := decodeState(io.MultiReader(readers...), set.head.Revision)
	if err != nil {
		return err
	}
	if s.digest() != set.head.Digest {
		return fmt.Errorf("snapshot %s: %w", set.head.Set, ErrDigest)
	}
	if s.config.Revision < f.config.Revision || s.epoch() < f.epoch() {
		return fmt.Errorf("snapshot %s is older than the state held", set.head.Set)
	}
	f.state = s
	f.history = newHistory()
	for _, e := range entries {
		f.history.add(e)
	}
	f.awaitingSnapshot, f.oldestNeededMS = false, set.timeMS
	clear(f.snapshots)
	clear(f.digests)
	f.recordDigest(base)
	f.offset = max(f.offset, base)
	pending := f.pending
	f.pending = nil
	var errs []error
	for _, p := range pending {
		if p.offset <= base {
			continue
		}
		if p.record == nil {
			f.recordDigest(p.offset)
			continue
		}
		errs = append(errs, f.applyNext(p.offset, p.record))
	}
	return errors.Join(errs...)
}
