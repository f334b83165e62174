package health

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Fingerprint identifies a request by team, method, path and body.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Each part is prefixed with
// its length, so that different requests can't give the same hash input.
func FingerprintOf(team, method, path string, bodyDigest []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(team), []byte(method), []byte(path), bodyDigest} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// Limits of the quarantine.
const (
	// QuarantineTTL is how long a quarantined request is refused.
	QuarantineTTL = 10 * time.Minute
	// quarantineThreshold is the number of distinct servers whose crashes
	// quarantine a request.
	quarantineThreshold = 2
	// maxFingerprints is the number of suspected and quarantined requests from
	// which an arbiter or owner drops those that aren't in quarantine.
	maxFingerprints = 8192
	// maxSafeFingerprints bounds the requests that are known to be safe.
	maxSafeFingerprints = 8192
)

type crashRecord struct {
	servers map[string]bool
	until   time.Time
	// quarantined is set once enough servers have crashed.
	quarantined bool
}

// CrashTracker counts, at the arbiter, the servers that crashed on each request.
// A request that crashed enough servers is quarantined.
type CrashTracker struct {
	records map[Fingerprint]*crashRecord
}

// NewCrashTracker returns an empty tracker.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{records: make(map[Fingerprint]*crashRecord)}
}

// Report records that a server dropped the connection of the request, and
// returns true if this report quarantines it.
func (t *CrashTracker) Report(now time.Time, f Fingerprint, server string) bool {
	r := t.records[f]
	if r == nil || now.After(r.until) {
		if len(t.records) >= maxFingerprints {
			t.evict(now)
		}
		r = &crashRecord{servers: make(map[string]bool)}
		t.records[f] = r
	}
	r.until = now.Add(QuarantineTTL)
	r.servers[server] = true
	if r.quarantined || len(r.servers) < quarantineThreshold {
		return false
	}
	r.quarantined = true
	return true
}

// Quarantined returns the quarantined requests and when each quarantine ends.
func (t *CrashTracker) Quarantined(now time.Time) map[Fingerprint]time.Time {
	list := make(map[Fingerprint]time.Time)
	for f, r := range t.records {
		if r.quarantined && r.until.After(now) {
			list[f] = r.until
		}
	}
	return list
}

// evict removes expired records and, if that isn't enough, records of requests
// that are not quarantined.
func (t *CrashTracker) evict(now time.Time) {
	for f, r := range t.records {
		if now.After(r.until) {
			delete(t.records, f)
		}
	}
	for f, r := range t.records {
		if len(t.records) < maxFingerprints {
			return
		}
		if !r.quarantined {
			delete(t.records, f)
		}
	}
}

// Quarantine holds an owner's list of quarantined requests, which it refuses,
// and of requests that are known to be safe: they don't crash a server.
type Quarantine struct {
	refused map[Fingerprint]time.Time
	safe    map[Fingerprint]bool
	// olderSafe is the previous generation of safe, replaced when safe is full.
	olderSafe map[Fingerprint]bool
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{refused: make(map[Fingerprint]time.Time), safe: make(map[Fingerprint]bool)}
}

// Add quarantines a request until the given time.
func (q *Quarantine) Add(now time.Time, f Fingerprint, until time.Time) {
	if len(q.refused) >= maxFingerprints {
		for old, end := range q.refused {
			if !end.After(now) {
				delete(q.refused, old)
			}
		}
	}
	if until.After(q.refused[f]) {
		q.refused[f] = until
	}
}

// Refuses reports whether a request is quarantined.
func (q *Quarantine) Refuses(now time.Time, f Fingerprint) bool {
	until, ok := q.refused[f]
	return ok && until.After(now)
}

// Succeeded records that a server responded to the request. A crash ends every
// request on the server, so harmless requests that are often in flight would
// otherwise be blamed for it.
func (q *Quarantine) Succeeded(f Fingerprint) {
	if q.safe[f] {
		return
	}
	if len(q.safe) >= maxSafeFingerprints/2 {
		q.olderSafe, q.safe = q.safe, make(map[Fingerprint]bool)
	}
	q.safe[f] = true
}

// KnownSafe reports whether a server has responded to the request before.
func (q *Quarantine) KnownSafe(f Fingerprint) bool { return q.safe[f] || q.olderSafe[f] }
