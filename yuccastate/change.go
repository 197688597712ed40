package yuccastate

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Outcome is the outcome of an operator's change.
type Outcome int

// Outcomes of a change.
const (
	// Accepted means that the change has been applied.
	Accepted Outcome = iota
	// Repeated means that the same request was accepted before, or that the
	// change is already in effect. For a repeated request, the result carries
	// the version accepted then.
	Repeated
	// Conflict means that the base version of the change is not the current
	// version of the section.
	Conflict
	// Invalid means that the change would make the document invalid.
	Invalid
	// RequestReused means that the request id belongs to a different change.
	RequestReused
)

// ChangeResult is the result of an operator's change.
type ChangeResult struct {
	Outcome Outcome
	// Section is the name of the section to change. In a result with
	// RequestReused it is the section of the earlier change.
	Section string
	// Version is the accepted version, or in a conflict the current version of
	// the section.
	Version uint64
	// Current is the latest change of the section in a conflict, or the
	// earlier change with the same request id if that was reused.
	Current *yuccawire.Change
	// Findings lists the errors of an invalid change.
	Findings error
}

func (s *State) applySection(a *yuccawire.ApplySection) *ChangeResult {
	digest := changeDigest(a.GetSection(), a.GetBaseVersion(), a.GetBody())
	if previous := s.previousResult(a.GetRequestId(), digest); previous != nil {
		return previous
	}
	current := s.sections[a.GetSection()].GetVersion()
	if current != a.GetBaseVersion() {
		return &ChangeResult{Outcome: Conflict, Section: a.GetSection(), Version: current, Current: s.latestChange(a.GetSection())}
	}
	if err := yuccadocument.CheckChange(s.document, a.GetSection(), a.GetBody()); err != nil {
		return &ChangeResult{Outcome: Invalid, Section: a.GetSection(), Version: current, Findings: err}
	}
	return s.acceptChange(&yuccawire.Change{
		Section: a.GetSection(), RequestId: a.GetRequestId(), Operator: a.GetOperator(),
		AtUnixMs: a.GetAtUnixMs(), Body: a.GetBody(), Digest: digest,
	})
}

// setDataCentre drains a data centre or returns it to service. The data centre
// must be in the document, unless the command is marked as known because the
// settings of the processes define the data centres.
func (s *State) setDataCentre(d *yuccawire.SetDataCentre) *ChangeResult {
	const section = yuccadocument.SectionDrainedDataCentres
	digest := changeDigest(section+fmt.Sprintf("/%s/%t", d.GetDataCentre(), d.GetOut()), 0, nil)
	if previous := s.previousResult(d.GetRequestId(), digest); previous != nil {
		return previous
	}
	if _, known := s.document.DataCentres[d.GetDataCentre()]; !known && !d.GetKnown() {
		return &ChangeResult{Outcome: Invalid, Section: section, Findings: unknownDataCentre(d.GetDataCentre())}
	}
	if d.GetRequestId() == "" && s.IsDrained(d.GetDataCentre()) == d.GetOut() {
		return &ChangeResult{Outcome: Repeated, Section: section, Version: s.sections[section].GetVersion()}
	}
	if current := s.sections[section].GetVersion(); d.BaseVersion != nil && d.GetBaseVersion() != current {
		return &ChangeResult{Outcome: Conflict, Section: section, Version: current, Current: s.latestChange(section)}
	}
	drained := slices.DeleteFunc(s.DrainedDataCentres(), func(name string) bool { return name == d.GetDataCentre() })
	if d.GetOut() {
		drained = append(drained, d.GetDataCentre())
	}
	return s.acceptChange(&yuccawire.Change{
		Section: section, RequestId: d.GetRequestId(), Operator: d.GetOperator(),
		AtUnixMs: d.GetAtUnixMs(), Body: yuccadocument.EncodeDrained(drained), Digest: digest,
	})
}

// replaceDocument installs the document if its version is higher than the
// current one; otherwise the change counts as repeated. These changes are not
// recorded in the history, as each of them holds the whole document.
func (s *State) replaceDocument(r *yuccawire.ReplaceDocument) *ChangeResult {
	const section = yuccadocument.SectionWholeDocument
	current := s.sections[section].GetVersion()
	if r.GetVersion() <= current {
		return &ChangeResult{Outcome: Repeated, Section: section, Version: current}
	}
	s.sections[section] = &yuccawire.Section{Name: section, Version: r.GetVersion(), Body: r.GetBody()}
	return &ChangeResult{Outcome: Accepted, Section: section, Version: r.GetVersion()}
}

func unknownDataCentre(name string) error {
	return yuccajsonc.Findings{{
		File: yuccadocument.SectionDrainedDataCentres, Line: 1, Column: 1,
		Problem: fmt.Sprintf("data centre %q does not exist", name), Expected: "one of section data_centres",
	}}
}

// DrainedDataCentres returns the names of the drained data centres.
func (s *State) DrainedDataCentres() []string {
	view, err := yuccadocument.NewView().With(s.sections[yuccadocument.SectionDrainedDataCentres])
	if err != nil {
		return nil
	}
	return slices.Clone(view.Drained())
}

func (s *State) acceptChange(change *yuccawire.Change) *ChangeResult {
	change.Version = s.sections[change.GetSection()].GetVersion() + 1
	s.clockUnixMs = max(s.clockUnixMs, change.GetAtUnixMs())
	s.recordChange(change)
	s.installSection(&yuccawire.Section{Name: change.GetSection(), Version: change.GetVersion(), Body: change.GetBody()})
	return &ChangeResult{Outcome: Accepted, Section: change.GetSection(), Version: change.GetVersion()}
}

// recordChange appends to the history. It drops the oldest changes in blocks of
// maxChanges/4, so that the history is not copied with each change.
func (s *State) recordChange(change *yuccawire.Change) {
	s.changes = append(s.changes, change)
	s.changesByRequest[change.GetRequestId()] = change
	if len(s.changes) < maxChanges+maxChanges/4 {
		return
	}
	for _, old := range s.changes[:maxChanges/4] {
		delete(s.changesByRequest, old.GetRequestId())
	}
	s.changes = slices.Clone(s.changes[maxChanges/4:])
}

func (s *State) installSection(section *yuccawire.Section) {
	s.sections[section.GetName()] = section
	view := yuccadocument.NewView()
	for _, name := range yuccadocument.AllSections {
		if installed := s.sections[name]; installed != nil {
			view = mustAddSection(view, installed)
		}
	}
	s.document = view.Document()
}

// mustAddSection adds a section to the view. It panics if the section is
// invalid, since sections are validated before they are accepted.
func mustAddSection(view *yuccadocument.View, section *yuccawire.Section) *yuccadocument.View {
	next, err := view.With(section)
	if err != nil {
		panic(fmt.Sprintf("decoding an accepted section: %v", err))
	}
	return next
}

func (s *State) previousResult(request string, digest []byte) *ChangeResult {
	previous := s.changesByRequest[request]
	if previous == nil || request == "" {
		return nil
	}
	if !bytes.Equal(previous.GetDigest(), digest) {
		return &ChangeResult{Outcome: RequestReused, Section: previous.GetSection(), Version: previous.GetVersion(), Current: previous}
	}
	return &ChangeResult{Outcome: Repeated, Section: previous.GetSection(), Version: previous.GetVersion()}
}

func (s *State) latestChange(section string) *yuccawire.Change {
	for _, change := range slices.Backward(s.changes) {
		if change.GetSection() == section {
			return change
		}
	}
	return nil
}

// History returns up to limit changes of a section, newest first. An empty name
// selects all sections.
func (s *State) History(section string, limit int) []*yuccawire.Change {
	var found []*yuccawire.Change
	for _, change := range slices.Backward(s.changes) {
		if len(found) == limit {
			break
		}
		if section == "" || change.GetSection() == section {
			found = append(found, change)
		}
	}
	return found
}

func changeDigest(section string, base uint64, body []byte) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%d\n", section, base)
	h.Write(body)
	return h.Sum(nil)
}

// IsDrained reports whether the data centre is drained.
func (s *State) IsDrained(dataCentre string) bool {
	return slices.Contains(s.DrainedDataCentres(), dataCentre)
}

// DataCentres returns the names of the data centres in the document, sorted.
func (s *State) DataCentres() []string {
	return slices.Sorted(maps.Keys(s.document.DataCentres))
}
