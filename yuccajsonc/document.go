// Package yuccajsonc is a strict decoder for JSON with comments. It reports all
// errors of a file together, each with its file, line and column.
//
// The decoder reports unknown and duplicate fields, wrong types and durations
// without a unit. Callers add the findings of their own validation under the path
// of the field.
//
// # Usage
//
//	var settings struct {
//		Listen string        `json:"listen"`
//		Wait   time.Duration `json:"wait"`
//	}
//	doc := yuccajsonc.Decode("entry.jsonc", text, &settings)
//	if settings.Listen == "" {
//		doc.Report("listen", "is missing", "an address such as 127.0.0.1:7000")
//	}
//	err := doc.Err()
package yuccajsonc

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a decoded file with the positions of its fields. The zero value
// has no fields; findings that are added to it have the position 1:1.
type Document struct {
	file string
	text []byte
	// offsets maps the path of each field to the byte offset of its value.
	offsets  map[string]int
	findings Findings
	// omitted is the number of findings beyond maxFindings.
	omitted int
}

// maxFindings is how many findings of a file are kept. Each costs a pass over the text for
// its position, and a long line of the error.
const maxFindings = 100

// maxQuoteBytes is how much of a name or value a finding quotes.
const maxQuoteBytes = 200

// Decode parses the text and stores it in the struct that into points to. Errors
// become findings of the document. Fields without errors are still stored, except
// if the text has a syntax error.
func Decode(file string, text []byte, into any) *Document {
	d := &Document{file: file, text: text, offsets: make(map[string]int)}
	if !d.checkNesting() {
		return d
	}
	value, err := hujson.Parse(text)
	if err != nil {
		d.reportSyntax(err)
		return d
	}
	d.decode(value, into)
	return d
}

// Has reports whether the file contains the field with the path, such as
// "tasks[0].id".
func (d *Document) Has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

// Report adds a finding at the field with the path. If the file lacks the
// field, the position is that of the nearest enclosing field that the file
// contains.
func (d *Document) Report(path, problem, expected string) {
	d.reportAt(d.offset(path), path, problem, expected)
}

// Findings returns the findings sorted by position, and at the end how many were left out.
func (d *Document) Findings() Findings {
	slices.SortStableFunc(d.findings, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	if d.omitted == 0 {
		return d.findings
	}
	last := d.findings[len(d.findings)-1]
	return append(slices.Clip(d.findings), Finding{
		File: d.file, Line: last.Line, Column: last.Column, Problem: fmt.Sprintf("has %d further faults", d.omitted),
	})
}

// Err returns the findings as a Findings error, or nil if there are none.
func (d *Document) Err() error {
	if len(d.findings) == 0 {
		return nil
	}
	return d.Findings()
}

func (d *Document) offset(path string) int {
	for {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return d.offsets[""]
		}
		path = path[:dot]
	}
}

func (d *Document) reportAt(offset int, path, problem, expected string) {
	if len(d.findings) == maxFindings {
		d.omitted++
		return
	}
	line, column := position(d.text, offset)
	d.findings = append(d.findings, Finding{
		File: d.file, Line: line, Column: column, Field: shorten(path), Problem: shorten(problem), Expected: expected,
	})
}

// shorten cuts a text that quotes the file.
func shorten(text string) string {
	if len(text) <= maxQuoteBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoteBytes], "") + "..."
}

// syntaxErrorPattern matches the syntax errors of hujson, which give the position
// only in their text.
var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func (d *Document) reportSyntax(err error) {
	finding := Finding{File: d.file, Line: 1, Column: 1, Problem: err.Error(), Expected: "JSON, comments allowed"}
	if m := syntaxErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		finding.Line, _ = strconv.Atoi(m[1])
		finding.Column, _ = strconv.Atoi(m[2])
		finding.Problem = m[3]
	}
	d.findings = append(d.findings, finding)
}

// position converts a byte offset to a line and a column, both counted from one.
func position(text []byte, offset int) (line, column int) {
	before := text[:min(offset, len(text))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
