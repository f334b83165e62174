package errkind

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/errors.md, generated from the definitions.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Error kinds\n\n")
	b.WriteString("Made from the table in `internal/errkind`; a test compares the two. `outcome` says whether the\n")
	b.WriteString("work may have run: `not_run` is a promise, `unknown` means that it may have run.\n\n")
	b.WriteString("| kind | status | outcome | retry after | meaning | what to do |\n|---|---|---|---|---|---|\n")
	for _, k := range All() {
		d := definitions[k]
		wait := "-"
		if d.RetryAfter > 0 {
			wait = d.RetryAfter.String()
		}
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s | %s | %s |\n", k, d.Status, d.Outcome, wait, d.Meaning, d.Remedy)
	}
	return b.String()
}
