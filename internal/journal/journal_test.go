package journal

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/roster"
)

func encode(t rapid.TB, r *Record) []byte {
	data, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func revision(id string, parent uint64, c document.Change) *Record {
	return &Record{ID: id, Kind: KindRevision, TimeMS: 1000, Revision: &Revision{Number: parent + 1, Parent: parent, Change: c}}
}

func drawChange(t *rapid.T) document.Change {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "entity")
	if rapid.Bool().Draw(t, "delete") {
		return document.Change{Deletes: document.IDs{Teams: []string{id}}}
	}
	rate := float64(rapid.IntRange(1, 9).Draw(t, "rate"))
	return document.Change{Upserts: document.Entities{Teams: []document.Team{{ID: id, Rate: rate, Burst: 1}}}}
}

// drawRecord draws a record for a log whose accepted revision is given: valid,
// with an outdated parent, foreign, repeated or truncated.
func drawRecord(t *rapid.T, i int, accepted uint64, earlier [][]byte) []byte {
	id := fmt.Sprintf("r-%d", i)
	member := rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "instance")
	incarnation := uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
	switch rapid.IntRange(0, 6).Draw(t, "record") {
	case 0, 1:
		back := uint64(rapid.IntRange(0, 1).Draw(t, "back"))
		return encode(t, revision(id, accepted-min(back, accepted), drawChange(t)))
	case 2:
		return encode(t, &Record{ID: id, Kind: KindJoin, TimeMS: 1000, Join: &roster.Member{ID: member, Incarnation: incarnation}})
	case 3:
		return encode(t, &Record{ID: id, Kind: KindLeave, TimeMS: 1000, Left: &Departure{member, incarnation}})
	case 4:
		return rapid.SampledFrom([][]byte{nil, []byte("foreign"), []byte("trefoilstream1 00000000 {}")}).Draw(t, "foreign")
	}
	if len(earlier) == 0 {
		return nil
	}
	data := rapid.SampledFrom(earlier).Draw(t, "repeat")
	if rapid.Bool().Draw(t, "truncated") {
		return data[:len(data)/2]
	}
	return data
}

// Guards against readers of one log that disagree: one that read everything,
// one that starts from a snapshot after older records expired, and one that
// missed records while it was disconnected. Also guards against revision numbers
// that go back or skip, and revisions whose parent is not the accepted one.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete, disconnected := NewStateMachine(), NewStateMachine()
		var logged [][]byte
		var bases []uint64
		disconnectedAt := rapid.IntRange(0, 20).Draw(t, "disconnectedAt")
		add := func(data []byte) {
			logged = append(logged, data)
			before := complete.Revision()
			err := complete.Apply(uint64(len(logged)), data)
			if after := complete.Revision(); after != before && (after != before+1 || err != nil) {
				t.Fatalf("revision went from %d to %d with error %v", before, after, err)
			}
			if errors.Is(err, ErrDigest) || errors.Is(err, ErrGap) {
				t.Fatalf("%v", err)
			}
			if len(logged) <= disconnectedAt {
				_ = disconnected.Apply(uint64(len(logged)), data)
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			add(drawRecord(t, i, complete.Revision(), logged))
			if rapid.IntRange(0, 9).Draw(t, "snapshot") > 0 {
				continue
			}
			n := 0
			parts, err := complete.Snapshot(time.UnixMilli(2000), func() string { n++; return fmt.Sprintf("s-%d-%d", i, n) })
			if err != nil {
				t.Fatal(err)
			}
			base := complete.Offset()
			add(drawRecord(t, 1000+i, complete.Revision(), logged)) // between base and part
			for _, p := range parts {
				add(encode(t, p))
			}
			bases = append(bases, base)
		}
		want, _ := complete.Digest()
		for _, base := range bases {
			fresh := NewStateMachine()
			for o := base + 1; o <= uint64(len(logged)); o++ {
				_ = fresh.Apply(o, logged[o-1])
			}
			if got, at := fresh.Digest(); got != want || at != complete.Offset() || !fresh.Synced() {
				t.Fatalf("new reader from %d: digest %s at %d, want %s at %d", base+1, got, at, want, complete.Offset())
			}
			if !reflect.DeepEqual(fresh.Roster().Members(), complete.Roster().Members()) {
				t.Fatalf("rosters differ")
			}
		}
		if len(bases) > 0 && disconnectedAt < len(logged) {
			// Records up to the last base have expired in the meantime.
			last := bases[len(bases)-1]
			if uint64(disconnectedAt) < last {
				before := disconnected.Revision()
				for o := last + 1; o <= uint64(len(logged)); o++ {
					_ = disconnected.Apply(o, logged[o-1])
					if disconnected.Revision() < before {
						t.Fatalf("revision went back from %d to %d", before, disconnected.Revision())
					}
				}
				if got, _ := disconnected.Digest(); got != want {
					t.Fatalf("reader disconnected at %d disagrees", disconnectedAt)
				}
			}
		}
	})
}

// Guards against a reader that starts from a snapshot without the records that
// follow it, and against one that serves before it has a snapshot.
func TestGapKeepsReaderUnsynced(t *testing.T) {
	f := NewStateMachine()
	if err := f.Apply(1, encode(t, revision("a", 0, document.Change{}))); err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(5, encode(t, revision("e", 4, document.Change{}))); !errors.Is(err, ErrGap) {
		t.Errorf("got %v, want ErrGap", err)
	}
	if f.Synced() || f.Revision() != 1 || f.Offset() != 5 {
		t.Errorf("synced %t, revision %d, offset %d", f.Synced(), f.Revision(), f.Offset())
	}
	other := NewStateMachine()
	for o := range uint64(3) {
		if err := other.Apply(o+1, encode(t, revision(fmt.Sprint(o), o, document.Change{}))); err != nil {
			t.Fatal(err)
		}
	}
	parts, err := other.Snapshot(time.UnixMilli(1), func() string { return "x" })
	if err != nil {
		t.Fatal(err)
	}
	// Base 3, but record 4 is missing.
	if err := f.Apply(6, encode(t, parts[0])); !errors.Is(err, ErrGap) || f.Synced() {
		t.Errorf("snapshot with a gap was installed: %v", err)
	}
}

// Guards against a snapshot relayed by a peer that is handled like an ordinary
// record, which would leave a new instance with an empty configuration.
func TestRelayedSnapshot(t *testing.T) {
	for _, records := range []int{1, 5} {
		from, to := NewStateMachine(), NewStateMachine()
		for i := range records {
			_ = from.Apply(uint64(i+1), encode(t, revision(fmt.Sprint(i), uint64(i), document.Change{Environment: "e"})))
		}
		parts, err := from.Snapshot(time.UnixMilli(1), func() string { return "x" })
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range parts {
			_ = to.Apply(from.Offset(), encode(t, p))
		}
		if to.Revision() != uint64(records) || !to.Synced() || to.Offset() != from.Offset() {
			t.Errorf("%d records: revision %d, synced %t", records, to.Revision(), to.Synced())
		}
	}
}

// Guards against a diverged instance that is not detected.
func TestSnapshotOfAnotherStateIsReported(t *testing.T) {
	f, other := NewStateMachine(), NewStateMachine()
	_ = f.Apply(1, encode(t, revision("a", 0, document.Change{Environment: "x"})))
	_ = other.Apply(1, encode(t, revision("a", 0, document.Change{Environment: "y"})))
	parts, err := other.Snapshot(time.UnixMilli(1), func() string { return "s" })
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(2, encode(t, parts[0])); !errors.Is(err, ErrDigest) {
		t.Errorf("got %v, want ErrDigest", err)
	}
}

// Guards against snapshots that are never due, or always.
func TestSnapshotDue(t *testing.T) {
	f := NewStateMachine()
	now := time.UnixMilli(1000)
	if f.SnapshotDue(now.Add(time.Hour), time.Hour) {
		t.Error("due without any record")
	}
	_ = f.Apply(1, encode(t, revision("a", 0, document.Change{})))
	if f.SnapshotDue(now.Add(30*time.Minute), time.Hour) || !f.SnapshotDue(now.Add(31*time.Minute), time.Hour) {
		t.Error("not due after half the retention")
	}
	if !f.SnapshotDue(now.Add(-2*time.Minute), time.Hour) {
		t.Error("a record from the future puts off the snapshot")
	}
	late := now.Add(31 * time.Minute)
	parts, err := f.Snapshot(late, func() string { return "s" })
	if err != nil {
		t.Fatal(err)
	}
	_ = f.Apply(2, encode(t, parts[0]))
	if f.SnapshotDue(late.Add(30*time.Minute), time.Hour) || !f.SnapshotDue(late.Add(31*time.Minute), time.Hour) {
		t.Error("the snapshot itself must be renewed after half the retention")
	}
}

// operator publishes one revision in the simulation below.
type operator struct {
	id      string
	parent  uint64
	pub     *Publication
	state   *StateMachine
	readPos int
}

// Guards against two revisions accepted at one parent, and against a result that
// contradicts the history: operators publish at the same parent to a log that
// loses requests and responses, delays requests, and is unavailable at times.
func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var logged, late [][]byte
		now := time.UnixMilli(0)
		timeout := time.Duration(rapid.SampledFrom([]int{200, 1000, 20_000}).Draw(t, "timeout")) * time.Millisecond
		var ops []*operator
		for i := range rapid.IntRange(2, 4).Draw(t, "operators") {
			ops = append(ops, &operator{id: fmt.Sprintf("op-%d", i), pub: NewPublication(now.Add(timeout)), state: NewStateMachine()})
		}
		data := func(o *operator) []byte {
			return encode(t, revision(o.id, o.parent, document.Change{Environment: o.id}))
		}
		read := func(o *operator) {
			for ; o.readPos < len(logged); o.readPos++ {
				_ = o.state.Apply(uint64(o.readPos+1), logged[o.readPos])
			}
		}
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			if len(late) > 0 && rapid.IntRange(0, 3).Draw(t, "arrives") == 0 {
				logged, late = append(logged, late[0]), late[1:]
			}
			o := rapid.SampledFrom(ops).Draw(t, "operator")
			step, wait := o.pub.Next(now)
			if step == StepDone || wait > 0 {
				continue
			}
			fault := rapid.IntRange(0, 5).Draw(t, "fault")
			switch {
			case step == StepRead && fault == 0:
				o.pub.ReadFailed(now)
			case step == StepRead:
				read(o)
				o.pub.Read(now, o.state.Offset(), o.state.RevisionStatus(o.id, o.parent))
			case fault == 0:
				o.pub.AppendFailed(now, true)
			case fault == 1: // lost before the log
				o.pub.AppendFailed(now, false)
			case fault == 2: // response lost
				logged = append(logged, data(o))
				o.pub.AppendFailed(now, false)
			case fault == 3: // takes effect later
				late = append(late, data(o))
				o.pub.AppendFailed(now, false)
			default:
				logged = append(logged, data(o))
				o.pub.Appended(uint64(len(logged)))
			}
		}
		logged = append(logged, late...)
		final := NewStateMachine()
		for i, d := range logged {
			_ = final.Apply(uint64(i+1), d)
		}
		if final.Revision() > 1 {
			t.Fatalf("%d revisions accepted at parent 0", final.Revision())
		}
		for _, o := range ops {
			accepted := final.RevisionStatus(o.id, o.parent) == RevisionAccepted
			switch r := o.pub.Result(); {
			case r == Pending:
				t.Fatalf("%s is pending after its deadline", o.id)
			case accepted && (r == Refused || r == Unavailable), !accepted && r == Accepted:
				t.Fatalf("%s: accepted is %t, result is %d", o.id, accepted, r)
			}
		}
	})
}

// Guards against conflicts that the history does not show to operators.
func TestConflictIsVisible(t *testing.T) {
	f := NewStateMachine()
	_ = f.Apply(1, encode(t, revision("a", 0, document.Change{Environment: "a"})))
	if err := f.Apply(2, encode(t, revision("b", 0, document.Change{Environment: "b"}))); !errors.Is(err, ErrConflict) {
		t.Errorf("got %v, want ErrConflict", err)
	}
	if err := f.Apply(3, encode(t, revision("a", 0, document.Change{Environment: "a"}))); err != nil {
		t.Errorf("repeated ID: %v", err)
	}
	if r := f.Refusals(10); len(r) != 1 || r[0].ID != "b" || r[0].Accepted != 1 {
		t.Errorf("refusals %+v", r)
	}
	if f.RevisionStatus("a", 0) != RevisionAccepted || f.RevisionStatus("b", 0) != RevisionRefused {
		t.Error("wrong revision statuses")
	}
}

// Guards against an undo that does not restore an earlier revision.
func TestUndoRestoresEveryRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewStateMachine()
		var docs []*document.Document
		for i := range uint64(rapid.IntRange(1, 12).Draw(t, "revisions")) {
			docs = append(docs, f.Document())
			if err := f.Apply(i+1, encode(t, revision(fmt.Sprint(i), i, drawChange(t)))); err != nil {
				t.Fatal(err)
			}
		}
		for number, want := range docs {
			config, undo, ok := f.UndoTo(uint64(number))
			got := config.Apply(config.Revision+1, undo).Document()
			if !ok || !reflect.DeepEqual(got.Teams, want.Teams) {
				t.Fatalf("to %d: got %+v, want %+v", number, got.Teams, want.Teams)
			}
		}
	})
}

// Guards against a parser that panics, or that accepts a record which changes
// when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(encode(f, revision("a", 0, document.Change{})))
	f.Add(encode(f, &Record{ID: "j", Kind: KindJoin, Join: &roster.Member{ID: "i", Incarnation: 1}}))
	parts, err := NewStateMachine().Snapshot(time.UnixMilli(1), func() string { return "s" })
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encode(f, parts[0]))
	f.Fuzz(func(t *testing.T, data []byte) {
		state := NewStateMachine()
		_ = state.Apply(1, data)
		_ = state.Apply(3, data)
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(encode(t, r))
		if err != nil {
			t.Fatal(err)
		}
		a, _ := json.Marshal(r)
		b, _ := json.Marshal(again)
		if !bytes.Equal(a, b) {
			t.Fatalf("%s became %s", a, b)
		}
	})
}

// Guards against a truncated or corrupted record that is accepted.
func TestDecodeRefusesEveryTruncation(t *testing.T) {
	data := encode(t, revision("a", 0, document.Change{Environment: "e"}))
	for n := range len(data) {
		if _, err := Decode(data[:n]); err == nil {
			t.Errorf("%d of %d bytes are accepted", n, len(data))
		}
	}
	for i := range data {
		changed := slices.Clone(data)
		changed[i] ^= 1
		if _, err := Decode(changed); err == nil && i >= len(recordPrefix) {
			t.Errorf("accepted with byte %d changed", i)
		}
	}
}

// The snapshot of 650,000 teams with one key each.
func BenchmarkSnapshot650kTeams(b *testing.B) {
	doc := &document.Document{Version: 1, Environment: "large"}
	for i := range 650_000 {
		id := fmt.Sprintf("team-%06d", i)
		doc.Teams = append(doc.Teams, document.Team{ID: id, Rate: 5.8, Burst: 12})
		doc.Keys = append(doc.Keys, document.Key{ID: id + "-1", Team: id, SHA256: fmt.Sprintf("%016x%048x", uint64(i)*0x9e3779b97f4a7c15, i)})
	}
	f := NewStateMachine()
	f.config = document.NewSnapshot(1, doc)
	doc = nil
	f.offset = 7
	for b.Loop() {
		parts, err := f.Snapshot(time.UnixMilli(1), func() string { return "s" })
		if err != nil {
			b.Fatal(err)
		}
		start := time.Now()
		fresh := NewStateMachine()
		for i, p := range parts {
			if err := fresh.Apply(uint64(8+i), encode(b, p)); err != nil && !errors.Is(err, ErrGap) {
				b.Fatal(err)
			}
		}
		if !fresh.Synced() {
			b.Fatal("snapshot not installed")
		}
		b.ReportMetric(time.Since(start).Seconds(), "install-s")
		b.ReportMetric(float64(len(parts)), "parts")
	}
}
