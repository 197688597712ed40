package yuccadocument

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// MaxSectionBytes bounds the text of one section.
const MaxSectionBytes = 1 << 20

// Document is the whole of the operators' configuration.
type Document struct {
	DataCentres DataCentres `json:"data_centres"`
	Limits      Limits      `json:"limits"`
	Services    Services    `json:"services"`
}

// bodies holds the sections of a file as they are written.
type bodies struct {
	DataCentres json.RawMessage `json:"data_centres"`
	Limits      json.RawMessage `json:"limits"`
	Services    json.RawMessage `json:"services"`
}

// Parse decodes and checks a whole document. The error, if any, holds all
// findings.
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

// SectionOf returns the text of one section of a document, without comments.
func SectionOf(file string, text []byte, section string) ([]byte, error) {
	var b bodies
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

func (b bodies) section(name string) json.RawMessage {
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

// CheckChange checks the document as it would be with one section replaced.
// Findings carry places within the new section.
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

// replace decodes the body into the named section.
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
