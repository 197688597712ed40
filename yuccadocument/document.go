package yuccadocument

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// MaxSectionBytes is the maximum size of one section.
const MaxSectionBytes = 1 << 20

// Document is the decoded configuration of the operators.
type Document struct {
	DataCentres DataCentres `json:"data_centres"`
	Limits      Limits      `json:"limits"`
	Services    Services    `json:"services"`
}

// rawSections holds the undecoded sections of a file.
type rawSections struct {
	DataCentres json.RawMessage `json:"data_centres"`
	Limits      json.RawMessage `json:"limits"`
	Services    json.RawMessage `json:"services"`
}

// Parse decodes and validates a whole document, JSON with comments and trailing
// commas. The error holds all findings, with the position of each in the file.
func Parse(file string, text []byte) (Document, error) {
	var document Document
	d := yuccajsonc.Decode(file, text, &document)
	document.check(d, "")
	return document, d.Err()
}

func (c Document) check(d *yuccajsonc.Document, prefix string) {
	c.DataCentres.check(d, prefix+SectionDataCentres)
	c.Limits.check(d, prefix+SectionLimits, c.Services)
	c.Services.check(d, prefix+SectionServices, c.DataCentres)
}

// ExtractSection returns the JSON of one section of a document, without comments.
// The error holds all findings.
func ExtractSection(file string, text []byte, section string) ([]byte, error) {
	var b rawSections
	d := yuccajsonc.Decode(file, text, &b)
	if err := d.Err(); err != nil {
		return nil, err
	}
	body := b.section(section)
	if body == nil {
		d.Report(section, "is missing", "the section to apply")
		return nil, d.Err()
	}
	return body, nil
}

func (b rawSections) section(name string) json.RawMessage {
	switch name {
	case SectionDataCentres:
		return b.DataCentres
	case SectionLimits:
		return b.Limits
	case SectionServices:
		return b.Services
	}
	return nil
}

// CheckChange validates the current document with the named section replaced by
// the body. The error holds all findings, with positions in the new section.
func CheckChange(current Document, section string, body []byte) error {
	if !slices.Contains(OperatorSections, section) {
		return yuccajsonc.Findings{{
			File: section, Line: 1, Column: 1, Problem: fmt.Sprintf("section %q does not exist", section),
			Expected: "one of " + strings.Join(OperatorSections, ", "),
		}}
	}
	d := current.replace(section, body)
	if err := d.Err(); err != nil {
		return err
	}
	current.check(d, "")
	return d.Err()
}

// replace decodes the body into the named section, whose previous content is
// discarded.
func (c *Document) replace(section string, body []byte) *yuccajsonc.Document {
	switch section {
	case SectionDataCentres:
		c.DataCentres = nil
		return yuccajsonc.Decode(section, body, &c.DataCentres)
	case SectionLimits:
		c.Limits = Limits{}
		return yuccajsonc.Decode(section, body, &c.Limits)
	default:
		c.Services = nil
		return yuccajsonc.Decode(section, body, &c.Services)
	}
}
