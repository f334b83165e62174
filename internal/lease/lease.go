// Package lease implements membership leases. A member may exercise its rights,
// such as sending to a backend server, only while a majority of its witnesses has
// granted it a lease (Holder). Witnesses are other members and, in a small region,
// also the member itself. An incarnation is a member from one join to the next. A
// witness grants leases and refuses them to fenced incarnations (Witness). A
// prover shows that an incarnation holds no lease and will get none (Prover). The
// package does no I/O and reads no clock.
package lease

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// TTL is how long a grant lasts. The member counts it from when it sent
	// the request, the witness from when it granted it, so that the member's
	// lease ends first.
	TTL = 2500 * time.Millisecond
	// RenewInterval is the time between two renewals at one witness. Four
	// renewals may be lost before a lease lapses.
	RenewInterval = 500 * time.Millisecond
)

// RenewRequest asks a witness for a lease.
type RenewRequest struct {
	Member roster.Ref
	// Epoch is the member's roster epoch.
	Epoch uint64
	// Witness is the incarnation that receives the request.
	Witness roster.Ref
}

// RenewReply is a witness's reply to a RenewRequest.
type RenewReply struct {
	Granted bool
	// Fenced is set if the member's incarnation is fenced for good.
	Fenced bool
	// Epoch is the witness's roster epoch. If it is higher than the member's,
	// no lease is granted and the member needs newer records.
	Epoch uint64
}

// FenceRequest asks a witness whether a member can still hold a lease and, unless
// Peek is set, to fence it.
type FenceRequest struct {
	Member roster.Ref
	// BelowEpoch limits the fence to leases at lower roster epochs. Zero
	// fences the incarnation for good.
	BelowEpoch uint64
	// Peek asks for the same reply without fencing. A prover peeks first, so
	// that a broken link between it and a live member does not cost the member
	// a witness.
	Peek bool
	// Witness is the incarnation that receives the request.
	Witness roster.Ref
}

// FenceReply is a witness's reply to a FenceRequest.
type FenceReply struct {
	// Fenced is set if the witness holds no such unexpired grant and will
	// give none.
	Fenced bool
	// Remaining is the time until the reply can change.
	Remaining time.Duration
	// Epoch is the witness's roster epoch.
	Epoch uint64
	// MemberEpoch is the member's roster epoch at its last grant by this
	// witness, or zero if there was none.
	MemberEpoch uint64
}
