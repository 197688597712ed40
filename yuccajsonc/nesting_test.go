package yuccajsonc_test

import (
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
	brackets := strings.Repeat("[", 1<<20)
	for _, text := range []string{
		`{"name": "\"` + brackets + `"}`, "{// " + brackets + "\n}", "{/* " + brackets + " */}", `{"named": {}, "flags": [` + strings.Repeat("true,", 1<<20) + `]}`,
	} {
		var s sample
		if err := yuccajsonc.Decode("f", []byte(text), &s).Err(); err != nil {
			t.Errorf("%.40q: %v", text, err)
		}
	}
}
