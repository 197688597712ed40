package yuccasettings

import (
	"fmt"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// Local is the settings section of a whole system in one process.
type Local struct {
	// Document is the file of the operators' document that is applied at startup.
	Document string `json:"document"`
	// Job is the file of the job that --demo submits.
	Job string `json:"job"`
	// Service is the service of the simulated targets.
	Service string `json:"service"`
	// DataCentres are the data centres of the sides. The entries are spread over
	// them.
	DataCentres []string `json:"data_centres"`
	// Entries is the number of entries.
	Entries int `json:"entries"`
	// SidesPerDataCentre is the number of sides in each data centre.
	SidesPerDataCentre int `json:"sides_per_data_centre"`
	// Slots is the number of slots of each target.
	Slots int `json:"slots"`
	// Sleep is the run time of a task whose payload does not set one.
	Sleep time.Duration `json:"sleep"`
}

func (l *Local) check(d *yuccajsonc.Document) {
	checkRequired(d, "local.document", l.Document, "the operators' document")
	checkRequired(d, "local.service", l.Service, "the name of a service")
	if len(l.DataCentres) == 0 {
		d.Report("local.data_centres", "is missing", "one data centre at least")
	}
	for field, n := range map[string]int{
		"local.entries": l.Entries, "local.sides_per_data_centre": l.SidesPerDataCentre, "local.slots": l.Slots,
	} {
		if n < 1 {
			d.Report(field, fmt.Sprintf("is %d", n), "1 or more")
		}
	}
}
