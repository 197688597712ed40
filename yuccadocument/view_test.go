package yuccadocument_test

import (
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func outView(t *testing.T, out ...string) *yuccadocument.View {
	t.Helper()
	section := &yuccawire.Section{Name: yuccadocument.SectionDataCentresOut, Version: 1, Body: yuccadocument.OutBody(out)}
	view, err := yuccadocument.NewView().With(section)
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// Bringing the last data centre back once stopped every control.
func TestNoDataCentreOutCanBeRead(t *testing.T) {
	if out := outView(t).Out(); len(out) != 0 {
		t.Errorf("out is %v, expected none", out)
	}
}

func TestOutIsRead(t *testing.T) {
	view := outView(t, "puno", "cusco")
	if !view.IsOut("cusco") || !view.IsOut("puno") || view.IsOut("lima") {
		t.Errorf("out is %v", view.Out())
	}
}

func TestViewNeverGoesBack(t *testing.T) {
	view := outView(t, "cusco")
	older := &yuccawire.Section{Name: yuccadocument.SectionDataCentresOut, Version: 1, Body: yuccadocument.OutBody(nil)}
	next, err := view.With(older)
	if err != nil || !next.IsOut("cusco") {
		t.Errorf("a section of the same version replaced the one in force: %v", err)
	}
}
