package yuccadocument

import (
	"maps"
	"slices"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// DataCentres maps the name of a data centre to its settings.
type DataCentres map[string]DataCentre

// DataCentre holds the settings of one data centre.
type DataCentre struct {
	// Region is the name shared by data centres that are near each other.
	Region string `json:"region"`
}

func (c DataCentres) check(d *yuccajsonc.Document, prefix string) {
	for _, name := range slices.Sorted(maps.Keys(c)) {
		if c[name].Region == "" {
			d.Report(prefix+"."+name+".region", "is missing", "the name of a region")
		}
	}
}

// drainedSection is the body of the section data_centres_out.
type drainedSection struct {
	DataCentres []string `json:"out"`
}
