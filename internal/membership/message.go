// Package membership keeps track of the instances that belong to the fleet and of
// the rights that this one may exercise. It combines packages roster, lease and
// rights into one state machine per instance, which decides which requests to send
// to peers and which records to append to the log, handles the requests of peers,
// and maintains the rights.Ledger of the instance. It does no I/O and reads no
// clock.
package membership

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/lease"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// Request is one request to a peer. At most one of Renew and Fence is set; with
// neither, the request only exchanges epochs and fenced members.
type Request struct {
	// From is the sender's incarnation.
	From roster.Ref
	// To is the incarnation that receives the request.
	To roster.Member
	// SentAt is the sender's time at which the request was made.
	SentAt time.Time
	// Epoch is the sender's roster epoch.
	Epoch uint64
	Renew *lease.RenewRequest
	Fence *lease.FenceRequest
	// Fenced are incarnations that are proven fenced.
	Fenced []roster.Ref

	// fencedUpTo is how much of the sender's list of fenced members the peer
	// has once it has handled the request.
	fencedUpTo int
}

// Reply is the reply to a Request.
type Reply struct {
	// From is the incarnation that replies. A process that has joined again
	// also replies for its earlier incarnations as witness.
	From  roster.Ref
	Epoch uint64
	Renew lease.RenewReply
	Fence lease.FenceReply
	// Fenced are incarnations that are proven fenced.
	Fenced []roster.Ref
}
