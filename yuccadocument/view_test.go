package yuccadocument_test

import (
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func newDrainedView(t *testing.T, drained ...string) *yuccadocument.View {
	t.Helper()
	section := &yuccawire.Section{Name: yuccadocument.SectionDrainedDataCentres, Version: 1, Body: yuccadocument.EncodeDrained(drained)}
	view, err := yuccadocument.NewView().With(section)
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// An empty section must be decodable: restoring the last drained data centre once
// stopped every control.
func TestEmptyDrainedSection(t *testing.T) {
	if drained := newDrainedView(t).Drained(); len(drained) != 0 {
		t.Errorf("got drained data centres %v, want none", drained)
	}
}

func TestDrainedSection(t *testing.T) {
	view := newDrainedView(t, "puno", "cusco")
	if !view.IsDrained("cusco") || !view.IsDrained("puno") || view.IsDrained("lima") {
		t.Errorf("got drained data centres %v", view.Drained())
	}
}

func TestViewIgnoresSameVersion(t *testing.T) {
	view := newDrainedView(t, "cusco")
	sameVersion := &yuccawire.Section{Name: yuccadocument.SectionDrainedDataCentres, Version: 1, Body: yuccadocument.EncodeDrained(nil)}
	next, err := view.With(sameVersion)
	if err != nil || !next.IsDrained("cusco") {
		t.Errorf("a section with the same version replaced the current one: %v", err)
	}
}
