package budget

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestRepeatedAcquireDebitsOnce guards against a second debit, or a second credit
// of returned tokens, when a message is repeated.
func TestRepeatedAcquireDebitsOnce(t *testing.T) {
	owner, l, src := NewShardOwner(), Limits{Rate: 10, Burst: 10}, Source{"a", 1}
	now := epoch.Add(time.Hour)
	acquire := AcquireRequest{Team: "t", Sequence: 1, Want: 4}
	for range 3 {
		if r := owner.Acquire(now, epoch, l, src, acquire); r.Granted != 4 {
			t.Fatalf("granted %d, want 4", r.Granted)
		}
	}
	for range 3 {
		owner.Acquire(now, epoch, l, src, AcquireRequest{Team: "t", Sequence: 2, Uses: []TokenUse{{Sequence: 1, Spent: 1, Returned: 2}}})
	}
	if level, out, _ := owner.Outstanding(now, "t", 0); level != 8 || out != 1 {
		t.Errorf("level %v, outstanding %v; want 8 and 1", level, out)
	}
}

// TestNewTenureStartsEmpty guards against a new owner that grants tokens which
// entry instances still hold from its predecessor, and against the use of state
// from an earlier tenure of the same instance.
func TestNewTenureStartsEmpty(t *testing.T) {
	owner, l, src := NewShardOwner(), Limits{Rate: 10, Burst: 10}, Source{"a", 1}
	if r := owner.Acquire(epoch.Add(GrantTTL-1), epoch, l, src, AcquireRequest{Team: "t", Sequence: 1, Want: 1}); r.Granted != 0 || r.RetryAfter <= 0 {
		t.Errorf("before GrantTTL: %+v", r)
	}
	if r := owner.Acquire(epoch.Add(GrantTTL+500*time.Millisecond), epoch, l, src, AcquireRequest{Team: "t", Sequence: 2, Want: 9}); r.Granted != 5 {
		t.Errorf("granted %d after 500 ms at 10/s, want 5", r.Granted)
	}
	again := epoch.Add(time.Hour)
	if r := owner.Acquire(again.Add(GrantTTL+100*time.Millisecond), again, l, src, AcquireRequest{Team: "t", Sequence: 3, Want: 9}); r.Granted != 1 {
		t.Errorf("granted %d in a new tenure, want 1", r.Granted)
	}
}

// TestNoAccrualBehindExpiredGrant guards against tokens credited, on a late
// update, for the time in which outstanding tokens filled the bucket.
func TestNoAccrualBehindExpiredGrant(t *testing.T) {
	owner, l, src := NewShardOwner(), Limits{Rate: 4, Burst: 10}, Source{"a", 1}
	now := epoch.Add(time.Hour)
	owner.Acquire(now, epoch, l, src, AcquireRequest{Team: "t", Sequence: 1, Want: 10})
	if r := owner.Acquire(now.Add(GrantTTL+500*time.Millisecond), epoch, l, src, AcquireRequest{Team: "t", Sequence: 2, Want: 10}); r.Granted != 2 {
		t.Errorf("granted %d, want the 2 tokens of 500 ms at 4/s", r.Granted)
	}
}

// TestEvictionKeepsNothingNeeded guards against idle shards that stay in memory,
// and against an eviction that creates tokens.
func TestEvictionKeepsNothingNeeded(t *testing.T) {
	owner, l, src := NewShardOwner(), Limits{Rate: 1, Burst: 4}, Source{"a", 1}
	now := epoch.Add(time.Hour)
	for i := range 1000 {
		owner.Acquire(now, epoch, l, src, AcquireRequest{Team: fmt.Sprint(i), Sequence: uint64(i), Want: 3})
	}
	if owner.Evict(now.Add(3 * time.Second)); owner.Len() != 1000 {
		t.Fatalf("%d shards, want 1000 that are not full", owner.Len())
	}
	if owner.Evict(now.Add(6 * time.Second)); owner.Len() != 0 {
		t.Errorf("%d full shards left", owner.Len())
	}
	if r := owner.Acquire(now.Add(6*time.Second), epoch, l, src, AcquireRequest{Team: "7", Sequence: 9, Want: 9}); r.Granted != 4 {
		t.Errorf("granted %d after eviction, want the burst of 4", r.Granted)
	}
}
