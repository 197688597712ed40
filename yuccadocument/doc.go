// Package yuccadocument holds the operators' document: its sections, their
// fields and checks, and the view of it that a process has in force.
//
// A document has the sections services, data_centres and limits, each owned by
// a team and replaced as a whole. The section data_centres_out belongs to the
// system: taking a data centre out or bringing it back changes it.
//
// # Usage
//
//	document, findings := yuccadocument.Parse("document.jsonc", text)
//	view := yuccadocument.NewView()
//	view, err := view.With(section) // a *yuccawire.Section from control
//	if view.IsOut("cusco") { ... }
package yuccadocument

// Names of the sections, in the order in which a new document is applied.
const (
	SectionDataCentres        = "data_centres"
	SectionLimits             = "limits"
	SectionServices           = "services"
	SectionDrainedDataCentres = "data_centres_out"
	// SectionWhole holds a whole document under the operators' own version, for
	// deployments that replace it as one text. Its format is theirs.
	SectionWholeDocument = "whole_document"
)

// OperatorSections are the sections that operators may replace.
var OperatorSections = []string{SectionDataCentres, SectionLimits, SectionServices}

// WholeSections are the sections of a deployment with a whole document.
var WholeDocumentSections = []string{SectionWholeDocument, SectionDrainedDataCentres}

// AllSections are all sections, including the system's own.
var AllSections = []string{SectionDataCentres, SectionLimits, SectionServices, SectionDrainedDataCentres}
