package dispatch

import "testing"

// Guards against refused retries that no log line explains.
func TestSpentRetryBudgetIsReported(t *testing.T) {
	f := newFixture(t, 6)
	refused := 0
	for range 200 {
		out := f.request("look", func(r *PermitRequest) { r.IsRetry, r.Admitted = true, true })
		if len(out) == 1 && out[0].Refusal != nil {
			refused++
		}
	}
	f.d.Tick(f.now)
	spent := f.d.SpentRetryBudgets()
	if len(spent) != 1 || spent[0].Service != "desk" || spent[0].Refused != refused || refused == 0 || spent[0].Used+1 <= spent[0].Limit {
		t.Fatalf("%d retries refused, reported %+v", refused, spent)
	}
	f.now = f.now.Add(2 * spentCheckInterval)
	f.d.Tick(f.now)
	if again := f.d.SpentRetryBudgets(); len(again) != 0 {
		t.Errorf("reported without a new refusal: %+v", again)
	}
}
