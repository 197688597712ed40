package yuccajsonc

import (
	"fmt"
	"strings"
)

// Finding is one error in a file, with its position.
type Finding struct {
	// File is the name of the file as the user gave it.
	File string
	// Line and Column count from one. Column counts bytes.
	Line, Column int
	// Field is the dotted path of the field, empty for the whole file.
	Field string
	// Problem describes what is wrong, such as "is missing".
	Problem string
	// Expected describes a valid value. It may be empty.
	Expected string
}

// String formats the finding as "file:line:column: field: problem, expected ...".
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

// Findings is an error that lists all errors of a file.
type Findings []Finding

// Error formats each finding on a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
