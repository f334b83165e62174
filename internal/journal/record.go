// Package journal defines the records that trefoilstream appends to the
// platform's log, and the state machine that applies them in log order to
// obtain the accepted configuration and the roster.
package journal

import (
	"encoding/json"
	"fmt"
	"hash/crc32"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// Kind names the type of a record.
type Kind string

// The kinds of records.
const (
	KindRevision Kind = "revision"
	KindJoin     Kind = "join"
	KindDrain    Kind = "drain"
	KindLeave    Kind = "leave"
	KindDown     Kind = "down"
	KindSnapshot Kind = "snapshot"
)

// MaxRecordBytes bounds an encoded record. The log client accepts pages of up
// to 64 MiB, and base64 makes a record larger by a third.
const MaxRecordBytes = 4 << 20

// Revision is a change of the configuration.
type Revision struct {
	Number uint64 `json:"number"`
	// Parent is the number of the revision that the change was made from.
	Parent uint64 `json:"parent"`
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	document.Change
}

// Departure names an incarnation that drains, left or failed.
type Departure struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// SnapshotPart is one part of a snapshot of the whole state. A snapshot is
// split, since one of 650,000 teams exceeds the size limit of a record.
type SnapshotPart struct {
	// Set identifies the snapshot that the part belongs to.
	Set string `json:"set"`
	// Base is the offset of the last record that the state includes.
	Base     uint64 `json:"base"`
	Revision uint64 `json:"revision"`
	// Digest is the hexadecimal digest of the state (see StateMachine.Digest).
	Digest string `json:"digest"`
	// Part counts from 0 to Parts-1.
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// Record is one record of the log. Exactly one of the pointers is set.
type Record struct {
	// ID is unique; a record with a known ID is applied once.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// TimeMS is when the record was made, by its writer's clock in Unix
	// milliseconds. Zero means not known.
	TimeMS   int64          `json:"time_ms,omitempty"`
	Revision *Revision      `json:"revision,omitempty"`
	Join     *roster.Member `json:"join,omitempty"`
	// Ends is the earlier incarnation of the same process that Join ends.
	Ends     uint64        `json:"ends,omitempty"`
	Left     *Departure    `json:"left,omitempty"`
	Snapshot *SnapshotPart `json:"snapshot,omitempty"`
}

// check returns an error if the body of the record does not match its kind.
func (r *Record) check() error {
	if r.ID == "" || len(r.ID) > 64 {
		return fmt.Errorf("record ID %.70q is not valid", r.ID)
	}
	bodies := map[Kind]bool{
		KindRevision: r.Revision != nil, KindJoin: r.Join != nil, KindLeave: r.Left != nil,
		KindDrain: r.Left != nil, KindDown: r.Left != nil, KindSnapshot: r.Snapshot != nil,
	}
	count := 0
	for _, set := range []bool{r.Revision != nil, r.Join != nil, r.Left != nil, r.Snapshot != nil} {
		if set {
			count++
		}
	}
	if !bodies[r.Kind] || count != 1 {
		return fmt.Errorf("record kind %.20q is unknown or does not match the body of the record", r.Kind)
	}
	switch {
	case r.Revision != nil && r.Revision.Number != r.Revision.Parent+1:
		return fmt.Errorf("revision %d does not follow its parent %d", r.Revision.Number, r.Revision.Parent)
	case r.Join != nil && (r.Join.ID == "" || r.Join.Incarnation == 0), r.Left != nil && (r.Left.Instance == "" || r.Left.Incarnation == 0):
		return fmt.Errorf("membership record without instance or incarnation")
	case r.Snapshot != nil && (r.Snapshot.Set == "" || r.Snapshot.Part < 0 || r.Snapshot.Part >= r.Snapshot.Parts || r.Snapshot.Parts > maxParts):
		return fmt.Errorf("snapshot part %d of %d is not valid", r.Snapshot.Part, r.Snapshot.Parts)
	}
	return nil
}

const recordPrefix = "trefoilstream1 "

// Encode returns the record with a prefix and a checksum, by which Decode
// detects foreign and truncated records. It fails on records that Decode would
// reject.
func Encode(r *Record) ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(body) > MaxRecordBytes {
		return nil, fmt.Errorf("encode record: %d bytes exceed the limit of %d; split the change", len(body), MaxRecordBytes)
	}
	return fmt.Appendf(nil, "%s%08x %s", recordPrefix, crc32.ChecksumIEEE(body), body), nil
}

// Decode parses a record. It fails on foreign, truncated or incomplete records.
func Decode(data []byte) (*Record, error) {
	rest := string(data)
	if len(rest) < len(recordPrefix)+9 || rest[:len(recordPrefix)] != recordPrefix {
		return nil, fmt.Errorf("decode record: not a trefoilstream record")
	}
	sum, body := rest[len(recordPrefix):len(recordPrefix)+8], rest[len(recordPrefix)+9:]
	if rest[len(recordPrefix)+8] != ' ' || sum != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body))) {
		return nil, fmt.Errorf("decode record: checksum does not match")
	}
	var r Record
	if err := json.Unmarshal([]byte(body), &r); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	return &r, nil
}

// Membership returns the record of a membership change with the given ID.
func Membership(id string, m roster.Record) *Record {
	r := &Record{ID: id, Kind: Kind(m.Kind)}
	if m.Kind == roster.Join {
		r.Join, r.Ends = &m.Member, m.Ends
	} else {
		r.Left = &Departure{Instance: m.Member.ID, Incarnation: m.Member.Incarnation}
	}
	return r
}
