package errkind

import (
	"errors"
	"fmt"
	"os"
	"testing"
)

// Guards against a documentation page that differs from the definitions. Set
// UPDATE_DOCS=1 to regenerate the page.
func TestDocumentationMatchesTable(t *testing.T) {
	const page = "../../docs/errors.md"
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile(page, []byte(Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != Markdown() {
		t.Error("docs/errors.md differs from the definitions; run the test with UPDATE_DOCS=1")
	}
}

// Guards against an error without a kind that is reported as not_run, although
// the request may have run.
func TestUnexpectedErrorsAreUnknown(t *testing.T) {
	if e := From(errors.New("unexpected")); e.Kind != Internal || e.EffectiveOutcome() != Unknown {
		t.Errorf("got kind %s, outcome %s", e.Kind, e.EffectiveOutcome())
	}
	wrapped := fmt.Errorf("outer: %w", Errorf(RateLimited, "empty"))
	if e := From(wrapped); e.Kind != RateLimited || e.EffectiveOutcome() != NotRun {
		t.Errorf("wrapped: got kind %s, outcome %s", e.Kind, e.EffectiveOutcome())
	}
}
