package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// crashTracker counts, by request fingerprint, how often servers dropped the
// connection.
type crashTracker struct {
	policy *CrashPolicy
	drops  map[uint64]*drops
	// unrecorded is set if there are counts that no CrashRecord holds.
	unrecorded bool
}

type drops struct {
	count int
	last  time.Time
}

func newCrashTracker(p *CrashPolicy) *crashTracker {
	return &crashTracker{policy: p, drops: make(map[uint64]*drops)}
}

func (c *crashTracker) recordDrop(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	if len(c.drops) > 10_000 {
		for k, e := range c.drops {
			if now.Sub(e.last) > c.policy.QuarantineTTL {
				delete(c.drops, k)
			}
		}
	}
	e := c.drops[fingerprint]
	if e == nil || now.Sub(e.last) > c.policy.QuarantineTTL {
		e = &drops{}
		c.drops[fingerprint] = e
	}
	e.count++
	e.last = now
	c.unrecorded = c.unrecorded || e.count >= minRecordedDrops
}

// forget clears the count of a request that a server responded to.
func (c *crashTracker) forget(fingerprint uint64) { delete(c.drops, fingerprint) }

func (c *crashTracker) quarantined(now time.Time, fingerprint uint64) bool {
	e := c.drops[fingerprint]
	return e != nil && e.count >= c.policy.QuarantineDrops && now.Sub(e.last) < c.policy.QuarantineTTL
}

const (
	// minRecordedDrops is how many drops make a request worth a record: a single one is
	// common, as connections are reset for other reasons.
	minRecordedDrops = 2
	// maxRecordedCrashes bounds a record; the latest are kept.
	maxRecordedCrashes = 100
)

// CrashCount is how often servers dropped the connection on a request.
type CrashCount struct {
	Fingerprint uint64 `json:"fingerprint"`
	Drops       int    `json:"drops"`
	// AgeMS is the time since the last drop, when the record was made.
	AgeMS int64 `json:"age_ms"`
}

// CrashRecord returns what a successor needs to know about requests that bring servers
// down.
func (d *Dispatcher) CrashRecord(now time.Time) []CrashCount {
	c := d.crashes
	c.unrecorded = false
	var out []CrashCount
	for fingerprint, e := range c.drops {
		if age := now.Sub(e.last); e.count >= minRecordedDrops && age < c.policy.QuarantineTTL {
			out = append(out, CrashCount{Fingerprint: fingerprint, Drops: e.count, AgeMS: age.Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b CrashCount) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(len(out), maxRecordedCrashes)]
}

// InheritCrashes takes over what another coordinator recorded. The age is that of the
// record by the clock of this instance.
func (d *Dispatcher) InheritCrashes(now time.Time, age time.Duration, counts []CrashCount) {
	for _, r := range counts[:min(len(counts), maxRecordedCrashes)] {
		last := now.Add(-max(0, age) - max(0, time.Duration(r.AgeMS)*time.Millisecond))
		if r.Fingerprint == 0 || now.Sub(last) >= d.policy.Crash.QuarantineTTL {
			continue
		}
		if e := d.crashes.drops[r.Fingerprint]; e == nil || e.count < r.Drops {
			d.crashes.drops[r.Fingerprint] = &drops{count: r.Drops, last: last}
		}
	}
}
