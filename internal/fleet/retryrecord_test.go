package fleet

import (
	"errors"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// retry asks for a permit for a retry and returns it at once.
func retry(f *Fleet) error {
	p, err := acquireWith(f, 5*time.Second, func(r *PermitRequest) { r.IsRetry, r.Admitted = true, true })
	if err == nil {
		f.Release(p, dispatch.Cancelled, 0, 0)
	}
	return err
}

// awaitRetryReads waits until the records were read n times.
func (fleet *testFleet) awaitRetryReads(n int) {
	fleet.t.Helper()
	eventually(fleet.t, "the retry records are read", func() bool {
		fleet.store.mu.Lock()
		defer fleet.store.mu.Unlock()
		return fleet.store.retryReads >= n
	})
	// The dispatcher knows them a moment after the store has returned them.
	time.Sleep(20 * time.Millisecond)
}

// spendRetries retries until the budget is spent, and returns how many were allowed.
func spendRetries(t *testing.T, f *Fleet) int {
	t.Helper()
	for n := 0; ; n++ {
		err := retry(f)
		var refused *Refused
		if errors.As(err, &refused) && refused.Kind == errkind.Overloaded {
			return n
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// recordedRetries returns how many retries the records in the store hold.
func (fleet *testFleet) recordedRetries() (n int) {
	fleet.store.mu.Lock()
	defer fleet.store.mu.Unlock()
	for _, r := range fleet.store.retries {
		for _, s := range r.Services {
			for _, c := range s.Retries {
				n += int(c)
			}
		}
	}
	return n
}

// Guards against a successor that begins with an unused retry budget, whether its members
// outlived the coordinator or all instances were lost with it.
func TestSuccessorKnowsTheRetries(t *testing.T) {
	for name, allLost := range map[string]bool{"coordinator lost": false, "all lost": true} {
		t.Run(name, func(t *testing.T) {
			fleet := newTestFleet(t, 3)
			eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
			fleet.awaitRetryReads(1)
			coordinator := fleet.coordinators(-1)[0]
			allowed := spendRetries(t, fleet.instances[coordinator])
			eventually(t, "the retries are recorded", func() bool { return fleet.recordedRetries() >= allowed })
			fleet.store.mu.Lock()
			reads := fleet.store.retryReads
			fleet.store.mu.Unlock()
			next := fleet.instances[(coordinator+1)%3]
			fleet.stops[coordinator]()
			if allLost {
				for i := range fleet.instances {
					fleet.stops[i]()
				}
				next = fleet.add(3)
				eventually(t, "the new instance is ready", next.Ready)
			} else {
				eventually(t, "a successor", func() bool { return fleet.ready(coordinator) })
			}
			fleet.awaitRetryReads(reads + 1)
			// The window of 10 s is far longer than the succession takes.
			if more := spendRetries(t, next); more > 0 || allowed == 0 {
				t.Errorf("%d retries allowed by the first coordinator, %d by the next one", allowed, more)
			}
		})
	}
}

// Guards against a successor that takes unread records for unused budgets: the store is
// away when it takes over.
func TestSuccessorWithoutTheStoreLeavesRoom(t *testing.T) {
	fleet := newTestFleet(t, 3)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	fleet.awaitRetryReads(1)
	coordinator := fleet.coordinators(-1)[0]
	allowed := spendRetries(t, fleet.instances[coordinator])
	fleet.setStoreSilent(true)
	fleet.stops[coordinator]()
	eventually(t, "a successor", func() bool { return fleet.ready(coordinator) })
	if more := spendRetries(t, fleet.instances[(coordinator+1)%3]); more > 0 {
		t.Errorf("%d retries allowed, %d more by a successor that cannot read the records", allowed, more)
	}
}

// Guards against a coordinator that does not learn of retries which another one allowed
// to instances that now join it.
func TestJoiningMembersMakeRetryRecordsRead(t *testing.T) {
	fleet := newTestFleet(t, 2)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	fleet.awaitRetryReads(1)
	// The second instance made the records be read once more when it joined.
	time.Sleep(retryRecordsReadInterval + 3*retryRecordPoll)
	coordinator := fleet.instances[fleet.coordinators(-1)[0]]
	fleet.store.mu.Lock()
	reads := fleet.store.retryReads
	fleet.store.retries = map[string]RetryRecord{"127.0.0.1:9": {
		Address: "127.0.0.1:9", WrittenMS: time.Now().UnixMilli(), Services: []dispatch.RetryUse{{Service: "desk", Retries: []uint32{60}}},
	}}
	fleet.store.mu.Unlock()
	fleet.add(2)
	fleet.awaitRetryReads(reads + 1)
	if n := spendRetries(t, coordinator); n > 0 {
		t.Errorf("%d retries allowed beside the 60 of another coordinator", n)
	}
}

// Guards against a successor that does not read which requests bring servers down.
func TestSuccessorRefusesRequestsThatBringServersDown(t *testing.T) {
	const fingerprint = 99
	fleet := newTestFleet(t, 3)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	fleet.awaitRetryReads(1)
	coordinator := fleet.coordinators(-1)[0]
	next := fleet.instances[(coordinator+1)%3]
	ask := func() error {
		p, err := acquireWith(next, 5*time.Second, func(r *PermitRequest) { r.Fingerprint = fingerprint })
		if err == nil {
			next.Release(p, dispatch.Dropped, time.Millisecond, 0)
		}
		return err
	}
	eventually(t, "the coordinator refuses the request", func() bool {
		var refused *Refused
		return errors.As(ask(), &refused) && refused.Kind == errkind.QuarantinedRequest
	})
	eventually(t, "that is recorded", func() bool {
		fleet.store.mu.Lock()
		defer fleet.store.mu.Unlock()
		for _, r := range fleet.store.retries {
			if len(r.Crashes) == 1 && r.Crashes[0].Fingerprint == fingerprint && r.Crashes[0].Drops == dispatch.DefaultPolicy().Crash.QuarantineDrops {
				return true
			}
		}
		return false
	})
	fleet.store.mu.Lock()
	reads := fleet.store.retryReads
	fleet.store.mu.Unlock()
	fleet.stops[coordinator]()
	eventually(t, "a successor", func() bool { return fleet.ready(coordinator) })
	fleet.awaitRetryReads(reads + 1)
	var refused *Refused
	if err := ask(); !errors.As(err, &refused) || refused.Kind != errkind.QuarantinedRequest {
		t.Errorf("the successor answers %v, want a refusal", err)
	}
}

// Guards against calls to a store that does not answer ten times a second, and against a
// record that replaces the one of an earlier coordinator on the same instance unread.
func TestRetryRecordsBackOff(t *testing.T) {
	start := time.Unix(1000, 0)
	k := &retryKeeper{startedAt: start, window: 10 * time.Second}
	reads, writes := 0, 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(retryRecordPoll) {
		if k.readDue(now, true) {
			reads++
			k.readAt = now
		}
		if k.writeDue(now, true) {
			writes++
			if now.Sub(start) < k.window {
				t.Fatalf("a record %v after the start, before the first read", now.Sub(start))
			}
			k.writeFailedAt = now
		}
	}
	if most := int(k.window / retryRecordBackoff); reads > most || reads < most-1 {
		t.Errorf("%d reads in a window, want about %d, and none after it", reads, most)
	}
	if most := int((time.Minute - k.window) / retryRecordBackoff); writes > most || writes < most-1 {
		t.Errorf("%d attempts to write, want about %d", writes, most)
	}
}
