package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a place in a file. Line and Column start at 1; a zero Line means
// that the place is not known.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// Fault is one error of a document.
type Fault struct {
	Position
	// Path names the field, for example teams[3].rate.
	Path string `json:"path,omitempty"`
	// Problem says what is wrong, Remedy what to do about it.
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String formats the fault as file:line:column: path: problem; remedy.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	} else if f.File != "" {
		fmt.Fprintf(&b, "%s: ", f.File)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	return b.String() + f.Problem + "; " + f.Remedy
}

// Faults are all errors of a document, in the order of their positions.
type Faults []Fault

// Error implements error with one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// orNil returns the faults as an error, or nil if there are none.
func (fs Faults) orNil() error {
	if len(fs) == 0 {
		return nil
	}
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return fs
}
