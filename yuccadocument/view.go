package yuccadocument

import (
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// View is the current configuration of a process: the document and the drained
// data centres, with the version of each section. Views are immutable.
type View struct {
	document      Document
	wholeDocument []byte
	drained       []string
	versions      map[string]uint64
}

// NewView returns a view without sections.
func NewView() *View {
	return &View{versions: make(map[string]uint64)}
}

// With returns a view in which the section is replaced, or the same view if the
// section is not newer than the current one. On an error it returns the same view.
func (v *View) With(section *yuccawire.Section) (*View, error) {
	if section.GetVersion() <= v.versions[section.GetName()] {
		return v, nil
	}
	next := &View{document: v.document, wholeDocument: v.wholeDocument, drained: v.drained, versions: make(map[string]uint64, len(v.versions)+1)}
	for name, version := range v.versions {
		next.versions[name] = version
	}
	if err := next.decode(section); err != nil {
		return v, merry.Prependf(err, "section %s version %d", section.GetName(), section.GetVersion())
	}
	next.versions[section.GetName()] = section.GetVersion()
	return next, nil
}

func (v *View) decode(section *yuccawire.Section) error {
	if section.GetName() == SectionWholeDocument {
		v.wholeDocument = section.GetBody()
		return nil
	}
	if section.GetName() != SectionDrainedDataCentres {
		return v.document.replace(section.GetName(), section.GetBody()).Err()
	}
	var body drainedSection
	d := yuccajsonc.Decode(section.GetName(), section.GetBody(), &body)
	v.drained = body.DataCentres
	return d.Err()
}

// Document returns the decoded sections of the operators.
func (v *View) Document() Document { return v.document }

// WholeDocument returns the body of [SectionWholeDocument], nil if there is none.
// The caller must not modify it.
func (v *View) WholeDocument() []byte { return v.wholeDocument }

// Version returns the current version of the section, zero if there is none.
func (v *View) Version(section string) uint64 { return v.versions[section] }

// Versions returns the current versions of the named sections, in the same order.
func (v *View) Versions(names []string) []*yuccawire.SectionVersion {
	versions := make([]*yuccawire.SectionVersion, len(names))
	for i, name := range names {
		versions[i] = &yuccawire.SectionVersion{Name: name, Version: v.versions[name]}
	}
	return versions
}

// IsDrained reports whether operators have drained the data centre.
func (v *View) IsDrained(dataCentre string) bool {
	return slices.Contains(v.drained, dataCentre)
}

// Drained returns the names of the drained data centres, sorted. The caller must
// not modify the slice.
func (v *View) Drained() []string { return v.drained }

// Service returns the settings of the service and whether it exists.
func (v *View) Service(name string) (Service, bool) {
	s, ok := v.document.Services[name]
	return s, ok
}

// Team returns the quota of the team and whether it exists.
func (v *View) Team(name string) (Team, bool) {
	t, ok := v.document.Limits.Teams[name]
	return t, ok
}

// EncodeDrained returns the body of [SectionDrainedDataCentres] with the given data
// centres.
func EncodeDrained(drained []string) []byte {
	sorted := append([]string{}, slices.Sorted(slices.Values(drained))...)
	body, err := json.Marshal(drainedSection{DataCentres: sorted})
	if err != nil {
		panic(err) // marshalling strings can't fail
	}
	return body
}
