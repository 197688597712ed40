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

// Outcome tells what became of an operator's change.
type Outcome int

// Outcomes of a change.
const (
	// Accepted: the change is in the log.
	Accepted Outcome = iota
	// Repeated: the request was accepted before; this is its first answer.
	Repeated
	// Conflict: the section has moved on from the base version.
	Conflict
	// Invalid: the document would have faults.
	Invalid
	// Reused: the request id belongs to another change.
	Reused
)

// ChangeResult is the answer to an operator's change.
type ChangeResult struct {
	Outcome Outcome
	// Section is the section that the change asked for.
	Section string
	// Version is the accepted one, or in a conflict the one in force.
	Version uint64
	// Current is, in a conflict, the change that won.
	Current *yuccawire.Change
	// Findings holds the faults of an invalid change.
	Findings error
}

func (s *State) applySection(a *yuccawire.ApplySection) *ChangeResult {
	digest := changeDigest(a.GetSection(), a.GetBaseVersion(), a.GetBody())
	if first := s.firstAnswer(a.GetRequestId(), digest); first != nil {
		return first
	}
	current := s.sections[a.GetSection()].GetVersion()
	if current != a.GetBaseVersion() {
		return &ChangeResult{Outcome: Conflict, Section: a.GetSection(), Version: current, Current: s.latest(a.GetSection())}
	}
	if err := yuccadocument.CheckChange(s.document, a.GetSection(), a.GetBody()); err != nil {
		return &ChangeResult{Outcome: Invalid, Section: a.GetSection(), Version: current, Findings: err}
	}
	return s.accept(&yuccawire.Change{
		Section: a.GetSection(), RequestId: a.GetRequestId(), Operator: a.GetOperator(),
		AtUnixMs: a.GetAtUnixMs(), Body: a.GetBody(), Digest: digest,
	})
}

func (s *State) setDataCentre(d *yuccawire.SetDataCentre) *ChangeResult {
	const section = yuccadocument.SectionDataCentresOut
	digest := changeDigest(section+fmt.Sprintf("/%s/%t", d.GetDataCentre(), d.GetOut()), 0, nil)
	if first := s.firstAnswer(d.GetRequestId(), digest); first != nil {
		return first
	}
	if _, known := s.document.DataCentres[d.GetDataCentre()]; !known && !d.GetKnown() {
		return &ChangeResult{Outcome: Invalid, Section: section, Findings: unknownDataCentre(d.GetDataCentre())}
	}
	if d.GetRequestId() == "" && s.IsOut(d.GetDataCentre()) == d.GetOut() {
		return &ChangeResult{Outcome: Repeated, Section: section, Version: s.sections[section].GetVersion()}
	}
	out := slices.DeleteFunc(s.Out(), func(name string) bool { return name == d.GetDataCentre() })
	if d.GetOut() {
		out = append(out, d.GetDataCentre())
	}
	return s.accept(&yuccawire.Change{
		Section: section, RequestId: d.GetRequestId(), Operator: d.GetOperator(),
		AtUnixMs: d.GetAtUnixMs(), Body: yuccadocument.OutBody(out), Digest: digest,
	})
}

// replaceDocument puts the highest version in force. A version that is not higher
// changes nothing and counts as repeated. The history does not keep these
// changes: each is the whole document.
func (s *State) replaceDocument(r *yuccawire.ReplaceDocument) *ChangeResult {
	const section = yuccadocument.SectionWhole
	current := s.sections[section].GetVersion()
	if r.GetVersion() <= current {
		return &ChangeResult{Outcome: Repeated, Section: section, Version: current}
	}
	s.sections[section] = &yuccawire.Section{Name: section, Version: r.GetVersion(), Body: r.GetBody()}
	return &ChangeResult{Outcome: Accepted, Section: section, Version: r.GetVersion()}
}

func unknownDataCentre(name string) error {
	return yuccajsonc.Findings{{
		File: yuccadocument.SectionDataCentresOut, Line: 1, Column: 1,
		Wrong: fmt.Sprintf("data centre %q does not exist", name), Expected: "one of section data_centres",
	}}
}

// Out lists the data centres that are out.
func (s *State) Out() []string {
	view, err := yuccadocument.NewView().With(s.sections[yuccadocument.SectionDataCentresOut])
	if err != nil {
		return nil
	}
	return slices.Clone(view.Out())
}

func (s *State) accept(change *yuccawire.Change) *ChangeResult {
	change.Version = s.sections[change.GetSection()].GetVersion() + 1
	s.clock = max(s.clock, change.GetAtUnixMs())
	s.record(change)
	s.adopt(&yuccawire.Section{Name: change.GetSection(), Version: change.GetVersion(), Body: change.GetBody()})
	return &ChangeResult{Outcome: Accepted, Section: change.GetSection(), Version: change.GetVersion()}
}

// record appends to the history and drops its oldest part in blocks.
func (s *State) record(change *yuccawire.Change) {
	s.changes = append(s.changes, change)
	s.requests[change.GetRequestId()] = change
	if len(s.changes) < maxChanges+maxChanges/4 {
		return
	}
	for _, old := range s.changes[:maxChanges/4] {
		delete(s.requests, old.GetRequestId())
	}
	s.changes = slices.Clone(s.changes[maxChanges/4:])
}

func (s *State) adopt(section *yuccawire.Section) {
	s.sections[section.GetName()] = section
	view := yuccadocument.NewView()
	for _, name := range yuccadocument.AllSections {
		if held := s.sections[name]; held != nil {
			view = mustView(view, held)
		}
	}
	s.document = view.Document()
}

// mustView adds a section that was checked before it was accepted.
func mustView(view *yuccadocument.View, section *yuccawire.Section) *yuccadocument.View {
	next, err := view.With(section)
	if err != nil {
		panic(fmt.Sprintf("an accepted section can't be read: %v", err))
	}
	return next
}

func (s *State) firstAnswer(request string, digest []byte) *ChangeResult {
	first := s.requests[request]
	if first == nil || request == "" {
		return nil
	}
	if !bytes.Equal(first.GetDigest(), digest) {
		return &ChangeResult{Outcome: Reused, Section: first.GetSection(), Version: first.GetVersion(), Current: first}
	}
	return &ChangeResult{Outcome: Repeated, Section: first.GetSection(), Version: first.GetVersion()}
}

func (s *State) latest(section string) *yuccawire.Change {
	for _, change := range slices.Backward(s.changes) {
		if change.GetSection() == section {
			return change
		}
	}
	return nil
}

// History returns the changes of a section, or of all for an empty name, the
// newest first, at most limit of them.
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

// IsOut tells whether the data centre is out.
func (s *State) IsOut(dataCentre string) bool {
	return slices.Contains(s.Out(), dataCentre)
}

// DataCentres lists the data centres of the document, in order of name.
func (s *State) DataCentres() []string {
	return slices.Sorted(maps.Keys(s.document.DataCentres))
}
