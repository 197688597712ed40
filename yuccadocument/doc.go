// Package yuccadocument defines the operators' configuration document: its
// sections, their fields and validation, and the view of it that a process
// currently uses.
//
// A document has the sections services, data_centres and limits. Each is owned by
// a team and replaced as a whole. The section data_centres_out lists the drained
// data centres; it is maintained by the system and changes when operators drain or
// restore a data centre.
//
// # Usage
//
//	document, err := yuccadocument.Parse("document.jsonc", text)
//	view := yuccadocument.NewView()
//	view, err := view.With(section) // a *yuccawire.Section from control
//	if view.IsDrained("cusco") { ... }
package yuccadocument

// Names of the sections, in the order in which a new document is applied.
const (
	SectionDataCentres        = "data_centres"
	SectionLimits             = "limits"
	SectionServices           = "services"
	SectionDrainedDataCentres = "data_centres_out"
	// SectionWholeDocument holds a whole document with a version assigned by the
	// operators, for deployments that replace the document as one text. Its format
	// is defined by the deployment.
	SectionWholeDocument = "whole_document"
)

// OperatorSections lists the sections that operators may replace.
var OperatorSections = []string{SectionDataCentres, SectionLimits, SectionServices}

// WholeDocumentSections lists the sections of a deployment that replaces its
// document as one text.
var WholeDocumentSections = []string{SectionWholeDocument, SectionDrainedDataCentres}

// AllSections lists the sections of a deployment that replaces them one by one,
// including the one maintained by the system.
var AllSections = []string{SectionDataCentres, SectionLimits, SectionServices, SectionDrainedDataCentres}
