package losses

import (
	"strings"
	"testing"
	"time"
)

const sample = `
  12.1 a-1 {"fields":{"event":"request_not_served","kind":"backend_failed","outcome":"unknown","request":"r1","route":"book","sends":1,"status":502,"took_ms":9,"waited_ms":3,"choice":"trusted","failure_probability":0.004,"outcome_age_ms":12},"level":"info","timestamp":"2026-01-26T14:02:01Z"}
{"fields":{"event":"request_not_served","kind":"overloaded","outcome":"not_run","request":"r2","route":"look","sends":0,"status":503,"took_ms":1900},"timestamp":"2026-01-26T14:02:02Z"}
{"fields":{"event":"request_not_served","kind":"overloaded","outcome":"not_run","request":"r3","route":"look","sends":0,"status":503,"took_ms":2},"timestamp":"2026-01-26T14:02:02.5Z"}
{"fields":{"event":"request_not_served","kind":"","outcome":"","request":"r4","route":"book","sends":1,"status":500,"took_ms":300,"choice":"explored","failure_probability":0.2,"outcome_age_ms":-1},"timestamp":"2026-01-26T14:02:03Z"}
{"fields":{"event":"request_late","request":"r5","route":"book","sends":1,"status":200,"took_ms":2100,"choice":"late","failure_probability":0.7,"outcome_age_ms":900},"timestamp":"2026-01-26T14:02:04Z"}
{"fields":{"event":"request_not_served","kind":"rate_limited","outcome":"not_run","request":"r6","route":"book","status":429},"timestamp":"2026-01-26T14:02:04Z"}
{"fields":{"event":"request_retried","request":"r7","sends":2,"status":200},"timestamp":"2026-01-26T14:02:04Z"}
{"fields":{"event":"lines_dropped","count":7},"timestamp":"2026-01-26T14:02:05Z"}
not a log line
`

func TestAccount(t *testing.T) {
	var a Account
	if err := a.Read(strings.NewReader(sample), time.Time{}, time.Time{}); err != nil {
		t.Fatal(err)
	}
	want := []struct {
		request, cause, choice string
		effect                 Effect
	}{
		{"r1", "backend_failed", "trusted", Failed}, {"r2", "overloaded", "", Held}, {"r3", "overloaded", "", Refused},
		{"r4", "server responded 500", "explored", Failed}, {"r5", "server responded 200", "late", Late},
	}
	if len(a.Losses) != len(want) || a.Dropped != 7 {
		t.Fatalf("%d losses, %d lines dropped, want %d and 7: %+v", len(a.Losses), a.Dropped, len(want), a.Losses)
	}
	for i, w := range want {
		if l := a.Losses[i]; l.Request != w.request || l.Cause != w.cause || l.Choice != w.choice || l.Effect != w.effect {
			t.Errorf("loss %d is %+v, want %+v", i, l, w)
		}
	}
	var b strings.Builder
	if err := a.Print(&b); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"held, then refused", "below 0.01", "within 50ms", "14:02:02  0       1", "7 log lines dropped"} {
		if !strings.Contains(b.String(), text) {
			t.Errorf("the tables lack %q:\n%s", text, b.String())
		}
	}
}

func TestAccountOfASpan(t *testing.T) {
	var a Account
	from, to := time.Date(2026, 1, 26, 14, 2, 2, 0, time.UTC), time.Date(2026, 1, 26, 14, 2, 3, 0, time.UTC)
	if err := a.Read(strings.NewReader(sample), from, to); err != nil {
		t.Fatal(err)
	}
	if len(a.Losses) != 2 || a.Losses[0].Request != "r2" || a.Losses[1].Request != "r3" {
		t.Errorf("losses %+v, want r2 and r3", a.Losses)
	}
}
