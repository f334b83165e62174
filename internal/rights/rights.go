// Package rights decides which member of the fleet holds a right. A right is
// the exclusive ownership of a string key such as "server/ID". The members of
// the roster are ranked for each key by rendezvous hashing; the holder is the
// first ranked active member that is not fenced.
package rights

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// Tenure describes since when and how this instance holds a right.
type Tenure struct {
	// Since is when the right may first be exercised.
	Since time.Time
	// Released is set if there was no predecessor, or if the last one handed
	// the right over, has left, or its process has ended, which closes its
	// connections. Otherwise requests that a predecessor started may still run.
	Released bool
	// Moved is set if a member that joined earlier may have held the right, no
	// predecessor sent a release, and each of them is a live member that already
	// ranks this instance, has left, or its process has ended: none starts more
	// requests. Released may be set too.
	Moved bool
	// Founding is set if no earlier member can have held the right.
	Founding bool
}

// View is what one instance knows about the holders of rights.
type View interface {
	// Self returns this instance's member entry.
	Self() roster.Member
	// Holder returns the member that should hold the right.
	Holder(key string, scope roster.Scope) (roster.Member, bool)
	// Rank returns the candidates for the right, highest ranked first and
	// without fenced members.
	Rank(key string, scope roster.Scope) []roster.Member
	// Tenure reports whether this instance may exercise the right at now.
	// Callers check it immediately before each action that needs the right.
	Tenure(now time.Time, key string, scope roster.Scope) (Tenure, bool)
}

// ServerKey is the right to send to a backend server.
func ServerKey(server string) string { return "server/" + server }

// ServiceKey is the right to decide on ejections of a service.
func ServiceKey(service string) string { return "service/" + service }

// TeamKey is the right to grant tokens from one shard of a team's budget.
func TeamKey(team string, shard string) string { return "team/" + team + "/" + shard }

// ClaimKey is the right to store the claim with the given identity hash.
func ClaimKey(hash string) string { return "claim/" + hash }

// SnapshotKey is the right to append snapshots to the log.
const SnapshotKey = "snapshot"
