// Package budget divides the rate limit of a team between the owners of its shards
// and the entry instances, which receive and admit its requests. The owner of a
// shard keeps a token bucket and issues grants that expire; an entry instance
// keeps granted tokens as a local reserve. A tenure is one uninterrupted period in
// which an instance owns a shard. The package does no I/O and reads no clock. A
// token admits one request.
package budget

import (
	"math"
	"time"
)

// GrantTTL is how long a grant may be spent. The entry instance counts it from
// when it sent the acquire request and the owner from when it replied, so a grant
// never expires at the owner while an entry instance can still spend it.
const GrantTTL = time.Second

// maxShardDomains is the largest number of failure domains that hold shards of
// a team.
const maxShardDomains = 3

// Limits are the rate, in tokens per second, and the burst, in tokens, of a
// team or of one of its shards.
type Limits struct {
	Rate  float64
	Burst float64
}

// minShardBurst is the minimum burst of a shard, in tokens, if a failure domain
// holds more than one shard. Below it, most of the burst would be in grants and in
// reports in transit.
const minShardBurst = 6

// Shards returns the number of shards of a team in a fleet with the given number
// of failure domains: one in each of up to three domains, and a second one there
// if the burst allows, so that a failed owner takes a sixth of the rate instead of
// a third. It is at most the burst, because a shard with a burst below one token
// could never grant anything.
func (l Limits) Shards(domains int) int {
	n := min(maxShardDomains, domains, int(l.Burst))
	if l.Burst >= float64(2*n*minShardBurst) {
		n *= 2
	}
	return max(1, n)
}

// Split returns the limits of one of n shards.
func (l Limits) Split(n int) Limits {
	return Limits{Rate: l.Rate / float64(n), Burst: l.Burst / float64(n)}
}

// fillTime returns the time in which the rate yields the burst. A bucket does not
// overflow while its tokens are delayed by less than this, so the timing of
// reports and reserves derives from it.
func (l Limits) fillTime() time.Duration {
	return seconds(l.Burst / l.Rate)
}

// seconds converts s to a duration of at most one hour; NaN and infinite
// values, which come from a rate of zero, become one hour.
func seconds(s float64) time.Duration {
	if !(s < 3600) {
		return time.Hour
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// Source identifies the process that sends acquire requests.
type Source struct {
	Instance    string
	Incarnation uint64
}

// TokenUse reports how one grant has been used so far. Both counts only grow, so a
// repeated, late or lost report never debits or credits twice.
type TokenUse struct {
	// Sequence of the acquire request that the grant was issued for.
	Sequence uint64
	// Spent is the number of tokens that admitted a request.
	Spent uint32
	// Returned is the number of unspent tokens that the entry instance gave up
	// before it sent the report.
	Returned uint32
}

// AcquireRequest asks the owner of a shard for tokens and reports spent ones.
type AcquireRequest struct {
	Team  string
	Shard int
	// Sequence is unique among the requests of the same source and team.
	Sequence uint64
	// Want is the number of tokens wanted; zero makes the request a report.
	Want uint32
	Uses []TokenUse
}

// AcquireReply is the reply to an AcquireRequest.
type AcquireReply struct {
	// IsOwner is false if the instance is not the owner of the shard.
	IsOwner bool
	Granted uint32
	// Level is the number of tokens left in the bucket.
	Level float64
	// RetryAfter is the time after which to request again; zero if the bucket
	// holds more tokens.
	RetryAfter time.Duration
}
