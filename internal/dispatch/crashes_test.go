package dispatch

import (
	"testing"
	"time"
)

// Guards against a successor that lets a request bring down as many servers again as its
// predecessor did.
func TestSuccessorKnowsRequestsThatBringServersDown(t *testing.T) {
	const dangerous, harmless = 42, 43
	f := newFixture(t, 19)
	drop := func(fingerprint uint64) (sent bool) {
		for _, d := range f.request("book", func(r *PermitRequest) { r.Fingerprint = fingerprint }) {
			if d.Permit != nil {
				sent = true
				f.d.Done(f.now, Report{Permit: d.Permit.Number, Member: "a0", Server: d.Permit.Server.ID, Fingerprint: fingerprint, Outcome: Dropped})
			}
		}
		return sent
	}
	drop(harmless)
	if f.d.RetryRecordDue(f.now) {
		t.Error("a record is due for a single drop")
	}
	for range testPolicy.Crash.QuarantineDrops - 1 {
		drop(dangerous)
	}
	if !f.d.RetryRecordDue(f.now) {
		t.Error("no record is due for a request that made several servers drop the connection")
	}
	record := f.d.CrashRecord(f.now)
	if f.d.RetryRecordDue(f.now) || len(record) != 1 || record[0].Fingerprint != dangerous {
		t.Fatalf("recorded %+v, want the one dangerous request, once", record)
	}

	start := f.now
	f = newFixture(t, 19)
	f.now = start.Add(time.Second)
	f.d.InheritCrashes(f.now, time.Second, record)
	if !drop(dangerous) || drop(dangerous) {
		t.Errorf("want one more send until %d drops are reached over both coordinators", testPolicy.Crash.QuarantineDrops)
	}

	f = newFixture(t, 19)
	f.d.InheritCrashes(f.now, testPolicy.Crash.QuarantineTTL, record)
	f.d.InheritCrashes(f.now, -time.Hour, []CrashCount{{Fingerprint: 0, Drops: 9}, {Fingerprint: 7, Drops: 9, AgeMS: -5}})
	if !drop(dangerous) {
		t.Error("a request stays refused after its time in quarantine")
	}
	if drop(7) {
		t.Error("a record with a negative age is not taken over")
	}
}
