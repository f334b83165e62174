// Package claim stores claims on idempotency keys, so that a non-idempotent
// request runs at most once. Claims are grouped into buckets by their hash. The
// owner of a bucket grants claims; replicas keep copies of them. A tenure is one
// uninterrupted period in which an instance owns a bucket. The package does no
// I/O and reads no clock.
//
// A sync lease states that a replica has every claim of a bucket; a replica that
// holds one is in sync. Invariant: until the sync lease of a replica ends, no
// owner, whichever instance it is, grants a claim that the replica has not stored.
// A new owner that finds a sync lease which ends after its own tenure began
// therefore knows every claim of its predecessors; without one it knows only its
// own.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// Retention is the age from which a key is refused as expired.
	Retention = 10 * time.Minute
	// CallerSkew is how far the clock of a caller may be ahead.
	CallerSkew = 5 * time.Second
	// instanceSkew is how far the clocks of two instances may differ.
	instanceSkew = time.Second
	// historyMargin is how long after the start of its claim history an owner still
	// treats a key as possibly claimed before: a previous owner accepted keys dated
	// up to CallerSkew ahead of its own clock.
	historyMargin = CallerSkew + instanceSkew
	// rowRetention keeps a row until every instance refuses its key.
	rowRetention = Retention + 2*historyMargin
	// deadlineGrace is added to the request deadline before a claim that
	// was not settled counts as unknown.
	deadlineGrace = 5 * time.Second
	// SyncLeaseTTL is the lifetime of a sync lease, counted from the stamp that it
	// is based on. It exceeds the time from the last exchange with an owner that
	// failed to the tenure of its successor: 1 s for two exchanges and 3.5 s for
	// the takeover.
	SyncLeaseTTL = 5 * time.Second
	// announceTTL is how long other replicas assume that the preferred replica is
	// in sync after the owner announced it. It exceeds SyncLeaseTTL by two exchange
	// intervals.
	announceTTL = SyncLeaseTTL + time.Second
	// MaxResponseBody is the largest body kept for replay, in bytes.
	MaxResponseBody = 64 << 10
	// bucketDigits is the length of a bucket in hexadecimal digits. 4,096
	// buckets are 1.6 per instance at the target size of 2,500 instances.
	bucketDigits = 3
	// Buckets is the number of buckets.
	Buckets = 1 << (4 * bucketDigits)
)

// Hash identifies a claim: the first 128 bits of the SHA-256 digest of team,
// service and key.
type Hash [16]byte

// Execution identifies one run of a claimed request. The entry instance chooses it
// at random, so that it can retry a claim whose reply was lost.
type Execution [16]byte

// HashClaim returns the hash of a claim.
func HashClaim(team, service, key string) Hash {
	h := sha256.New()
	for _, s := range []string{team, service, key} {
		n := len(s)
		h.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		h.Write([]byte(s))
	}
	return Hash(h.Sum(nil)[:16])
}

// Bucket returns the name of the claim's bucket, under which its ownership is
// leased.
func (h Hash) Bucket() string { return hex.EncodeToString(h[:2])[:bucketDigits] }

// BucketName returns the name of bucket i, which is below Buckets.
func BucketName(i int) string { return fmt.Sprintf("%0*x", bucketDigits, i) }

// Key is a parsed idempotency key.
type Key struct {
	// Timed keys are UUIDv7 and carry their time of issue.
	Timed  bool
	Issued time.Time
}

// ParseKey parses an Idempotency-Key. It reports false unless the key has 1 to
// 255 printable ASCII characters.
func ParseKey(s string) (Key, bool) {
	if len(s) < 1 || len(s) > 255 {
		return Key{}, false
	}
	for i := range len(s) {
		if s[i] < 0x20 || s[i] > 0x7e {
			return Key{}, false
		}
	}
	if len(s) != 36 {
		return Key{}, true
	}
	u, err := uuid.Parse(s)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return Key{}, true
	}
	ms := int64(0)
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return Key{Timed: true, Issued: time.UnixMilli(ms)}, true
}

// State of a claim.
type State uint8

// The states of a claim. NotKept claims were answered, but the response is not
// stored. Released claims did not run and may be claimed again.
const (
	InProgress State = iota
	Answered
	Unknown
	NotKept
	Released
)

// Response is a recorded response.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header field.
type Header struct{ Name, Value string }

func (r *Response) size() int {
	if r == nil {
		return 0
	}
	n := 48 + len(r.Body)
	for _, h := range r.Headers {
		n += 32 + len(h.Name) + len(h.Value)
	}
	return n
}

// Record is a claim as it is sent between instances. Times are relative, since
// clocks differ.
type Record struct {
	Hash Hash
	// Digest covers the claimed request; see Request.
	Digest    Hash
	Execution Execution
	State     State
	// Version rises with each change of the claim.
	Version  uint32
	Response *Response
	// Age is the time since the claim was made, Deadline the time until it counts
	// as unknown.
	Age      time.Duration
	Deadline time.Duration
}

// Result of a claim.
type Result int

// The results of a claim.
const (
	// ResultUnavailable claims were not recorded and did not run.
	ResultUnavailable Result = iota
	ResultGranted
	ResultInProgress
	ResultRecorded
	ResultUnknown
	// ResultReused means that the key was claimed for a request with another
	// digest.
	ResultReused
	ResultExpired
	ResultInvalid
	ResultNotKept
)
