package yuccajsonc_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

type sample struct {
	Name  string            `json:"name"`
	Count int               `json:"count"`
	Wait  time.Duration     `json:"wait"`
	Flags []bool            `json:"flags"`
	Named map[string]nested `json:"named"`
}

type nested struct {
	Size uint32 `json:"size"`
}

func TestCommentsAndTrailingCommas(t *testing.T) {
	var s sample
	d := yuccajsonc.Decode("f", []byte("// first\n{\"name\": \"n\", /* here */ \"wait\": \"2s\", \"flags\": [true, false,], \"named\": {\"a\": {\"size\": 3}},}"), &s)
	if err := d.Err(); err != nil {
		t.Fatal(err)
	}
	if s.Name != "n" || s.Wait != 2*time.Second || len(s.Flags) != 2 || s.Named["a"].Size != 3 {
		t.Errorf("decoded %+v", s)
	}
}

// TestFindingPositions checks that each kind of finding has the right text,
// line and column.
func TestFindingPositions(t *testing.T) {
	for _, c := range []struct{ text, finding string }{
		{`{"name": 1}`, `f:1:10: name: is 1, expected a string`},
		{"{\n\"count\": \"x\"}", `f:2:10: count: is "x", expected a whole number`},
		{`{"count": 1.5}`, `f:1:11: count: is 1.5, expected a whole number`},
		{`{"wait": 5}`, `f:1:10: wait: is 5, expected a duration with a unit such as "300ms" or "2s"`},
		{`{"wait": "-1s"}`, `f:1:10: wait: is "-1s", expected a duration that is not negative`},
		{`{"flags": {}}`, `f:1:11: flags: is an object, expected a list`},
		{`{"flags": [1]}`, `f:1:12: flags[0]: is 1, expected true or false`},
		{`{"named": {"a": {"size": -1}}}`, `f:1:26: named.a.size: is -1, expected a whole number that is not negative`},
		{`{"named": {"a": {}, "a": {}}}`, `f:1:21: named.a: is given twice, expected one value`},
		{`{"nome": 1}`, `f:1:2: nome: is not a known field, expected one of name, count, wait, flags, named`},
		{`{"name": null}`, `f:1:10: name: is null, expected a string`},
		{`[]`, `f:1:1: is a list, expected an object`},
	} {
		var s sample
		err := yuccajsonc.Decode("f", []byte(c.text), &s).Err()
		if err == nil || err.Error() != c.finding {
			t.Errorf("%s: found %v, expected %s", c.text, err, c.finding)
		}
	}
}

func TestSyntaxErrorPosition(t *testing.T) {
	var s sample
	d := yuccajsonc.Decode("f", []byte("{\n  \"name\": }"), &s)
	if len(d.Findings()) != 1 || d.Findings()[0].Line != 2 || d.Findings()[0].Column != 11 {
		t.Errorf("findings are %v", d.Findings())
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "n", "wait": "2s", "named": {"a": {"size": 3}}}`))
	f.Add([]byte(`{"name": }`))
	f.Add([]byte("// x\n[[[{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s sample
		for _, finding := range yuccajsonc.Decode("f", text, &s).Findings() {
			if finding.Line < 1 || finding.Column < 1 {
				t.Errorf("finding without a position: %v", finding)
			}
		}
	})
}
