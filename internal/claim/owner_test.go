package claim

import (
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// ownerTable returns a table that is the founding owner of every bucket it is
// asked for, and a function that claims and confirms a key.
func ownerTable(limit int, now time.Time) (*Table, func(key string, digest byte, execution byte) Result) {
	t := NewTable("i0", limit, 1, now)
	return t, func(key string, digest, execution byte) Result {
		k, ok := ParseKey(key)
		if !ok {
			return ResultInvalid
		}
		h := HashClaim("team", "service", key)
		t.BeginTenure(h.Bucket(), now, true)
		q := Request{Hash: h, Digest: Hash{digest}, Execution: Execution{execution}, Key: k, Deadline: time.Second}
		result, _, _ := t.Begin(now, q)
		if result == ResultGranted && !t.Confirm(now, h, q.Execution, now, nil) {
			return ResultUnavailable
		}
		return result
	}
}

// TestResults guards against an owner with complete history that runs a repeated
// request again, accepts a reused, malformed or expired key, or refuses a valid
// one.
func TestResults(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table, begin := ownerTable(1<<20, now)
	begin("open", 1, 1)
	for _, c := range []struct {
		name      string
		key       string
		digest    byte
		execution byte
		want      Result
	}{
		{"new", "other", 1, 2, ResultGranted},
		{"repeat of the same execution", "open", 1, 1, ResultGranted},
		{"same key from another entry", "open", 1, 3, ResultInProgress},
		{"same key, other body", "open", 2, 3, ResultReused},
		{"empty", "", 1, 3, ResultInvalid},
		{"control character", "a\n", 1, 3, ResultInvalid},
		{"issued in the future within the skew", uuidv7(now.Add(CallerSkew)), 1, 4, ResultGranted},
		{"issued in the future beyond the skew", uuidv7(now.Add(CallerSkew + time.Second)), 1, 5, ResultInvalid},
		{"older than retention", uuidv7(now.Add(-Retention - time.Second)), 1, 6, ResultExpired},
	} {
		if got := begin(c.key, c.digest, c.execution); got != c.want {
			t.Errorf("%s: result %d, want %d", c.name, got, c.want)
		}
	}
	h := HashClaim("team", "service", "open")
	late := now.Add(time.Second + deadlineGrace + 1)
	if got, _, _ := table.Begin(late, Request{Hash: h, Digest: Hash{1}, Execution: Execution{9}}); got != ResultUnknown {
		t.Errorf("never settled, after its deadline: result %d, want %d", got, ResultUnknown)
	}
	if _, ok := table.Settle(late, h, Execution{9}, OutcomeNotRun, nil); ok {
		t.Error("another execution released the claim")
	}
	table.Settle(late, h, Execution{1}, OutcomeNotRun, nil)
	if got := begin("open", 1, 9); got != ResultGranted {
		t.Errorf("after release: result %d, want %d", got, ResultGranted)
	}
}

// TestMemoryBound guards against claims that are forgotten, or responses that are
// dropped silently, when the memory is used up.
func TestMemoryBound(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table, begin := ownerTable(2*rowBytes+500, now)
	begin("a", 1, 1)
	begin("b", 1, 2)
	table.Settle(now, HashClaim("team", "service", "a"), Execution{1}, OutcomeAnswered, &Response{Body: make([]byte, 400)})
	table.Settle(now, HashClaim("team", "service", "b"), Execution{2}, OutcomeAnswered, &Response{Body: make([]byte, 400)})
	for key, want := range map[string]Result{"a": ResultRecorded, "b": ResultNotKept, "c": ResultUnavailable} {
		if got := begin(key, 1, 3); got != want {
			t.Errorf("%s: result %d, want %d", key, got, want)
		}
	}
	if table.Evict(now.Add(rowRetention + time.Second)); table.Bytes() != 0 {
		t.Errorf("%d bytes after retention", table.Bytes())
	}
}

// TestCandidates guards against a replica in the owner's own failure domain, which
// would be lost together with the owner.
func TestCandidates(t *testing.T) {
	m := func(id, domain string) roster.Member { return roster.Member{ID: id, FailureDomain: domain} }
	ranked := []roster.Member{m("i0", "a"), m("i1", "a"), m("i2", "b"), m("i3", "c")}
	failed := func(id string) bool { return id == "i2" }
	if list, alone := Candidates(ranked[0], ranked, failed); alone || len(list) != 1 || list[0] != "i3" {
		t.Errorf("candidates %v, alone %v", list, alone)
	}
	if list, alone := Candidates(ranked[0], ranked[:2], failed); alone || len(list) != 1 || list[0] != "i1" {
		t.Errorf("one failure domain: candidates %v, alone %v", list, alone)
	}
	if list, alone := Candidates(ranked[0], ranked[:1], failed); !alone || len(list) != 0 {
		t.Errorf("one instance: candidates %v, alone %v", list, alone)
	}
}
