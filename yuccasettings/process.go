package yuccasettings

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

const defaultDrainTimeout = 30 * time.Second

// Process is the settings section that identifies the process.
type Process struct {
	// Name is unique among all processes.
	Name string `json:"name"`
	// DataCentre is the data centre in which the process runs.
	DataCentre string `json:"data_centre"`
	// DrainTimeout limits the graceful shutdown; zero means 30s.
	DrainTimeout time.Duration `json:"drain_timeout"`
}

func (p *Process) check(d *yuccajsonc.Document) {
	checkRequired(d, "process.name", p.Name, "a name that no other process has")
	checkRequired(d, "process.data_centre", p.DataCentre, "the name of a data centre")
	if p.DrainTimeout == 0 {
		p.DrainTimeout = defaultDrainTimeout
	}
}
