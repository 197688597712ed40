package yuccajsonc

import (
	"fmt"
	"strings"
)

// Finding is one fault of a file, with its place.
type Finding struct {
	// File is the name of the file as the user gave it.
	File string
	// Line and Column count from one; columns are bytes.
	Line, Column int
	// Field is the dotted path of the field, empty for the whole file.
	Field string
	// Wrong says what is wrong.
	Problem string
	// Expected says what would be right.
	Expected string
}

// String renders file:line:column: field: what is wrong, expected what.
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	b.WriteString(f.Problem)
	if f.Expected != "" {
		fmt.Fprintf(&b, ", expected %s", f.Expected)
	}
	return b.String()
}

// Findings is an error that reports all faults of a file together.
type Findings []Finding

// Error renders a line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
