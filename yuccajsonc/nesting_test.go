package yuccajsonc_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// Unfixed, the stack of the goroutine overflows, which ends the process.
func TestDeeplyNestedTextEndsTheProcess(t *testing.T) {
	for _, opening := range []string{"[", `{"named":`, "[ // x\n", `[/* ] */"]",`} {
		var s sample
		err := yuccajsonc.Decode("f", []byte(strings.Repeat(opening, 1<<20)), &s).Err()
		if err == nil || !strings.Contains(err.Error(), "is nested too deep, expected 10000 levels at most") {
			t.Errorf("%q: found %.200v", opening, err)
		}
	}
}

func TestNestingIsCountedInStringsAndComments(t *testing.T) {
	brackets := strings.Repeat("[", 1<<16)
	for _, text := range []string{
		`{"name": "\"` + brackets + `"}`, "{// " + brackets + "\n}", "{/* " + brackets + " */}", `{"named": {}, "flags": [` + strings.Repeat("true,", 20_000) + `]}`,
	} {
		var s sample
		if err := yuccajsonc.Decode("f", []byte(text), &s).Err(); err != nil {
			t.Errorf("%.40q: %v", text, err)
		}
	}
}

// Unfixed, the error has 30,000 lines, each with a position that took a pass over the text.
func TestTextWithManyFaultsKeepsTheProcessBusy(t *testing.T) {
	var text strings.Builder
	for i := range 30_000 {
		fmt.Fprintf(&text, ",\n\"%030d\": 1", i)
	}
	var s sample
	err := yuccajsonc.Decode("f", []byte("{"+text.String()[1:]+"}"), &s).Err()
	if err == nil {
		t.Fatal("no findings")
	}
	lines := strings.Split(err.Error(), "\n")
	if last := lines[len(lines)-1]; len(lines) != 101 || last != "f:101:1: has 29900 further faults" {
		t.Errorf("%d lines, the last is %q", len(lines), last)
	}
}

func TestFaultQuotesALongValueInFull(t *testing.T) {
	long := strings.Repeat("x", 1<<16)
	for _, text := range []string{`{"count": "` + long + `"}`, `{"` + long + `": 1}`} {
		var s sample
		if err := yuccajsonc.Decode("f", []byte(text), &s).Err(); err == nil || len(err.Error()) > 400 {
			t.Errorf("error of %d bytes, expected 400 at most", len(fmt.Sprint(err)))
		}
	}
}
