package yuccasettings

import (
	"fmt"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

const maxRetainedResultBytes = 1 << 30

// Side is the settings section of a side.
type Side struct {
	// Listen is the listen address for entries.
	Listen string `json:"listen"`
	// Targets is the loopback listen address at which targets register.
	Targets string `json:"targets"`
	// Operators is the listen address of the operators' HTTP API.
	Operators string `json:"operators"`
	// Controls are the addresses of the control group.
	Controls []string `json:"controls"`
	// Retention is how long the records of a job are retained after its deadline;
	// zero, and anything below 5m, means 5m.
	Retention time.Duration `json:"retention"`
	// MaxResultBytes limits the total size of the retained results; zero means 16
	// MiB.
	MaxResultBytes int `json:"max_result_bytes"`
}

func (s *Side) check(d *yuccajsonc.Document) {
	checkAddress(d, "side.listen", s.Listen)
	checkAddress(d, "side.targets", s.Targets)
	checkAddress(d, "side.operators", s.Operators)
	checkAddresses(d, "side.controls", s.Controls)
	if s.MaxResultBytes < 0 || s.MaxResultBytes > maxRetainedResultBytes {
		d.Report("side.max_result_bytes", fmt.Sprintf("is %d", s.MaxResultBytes), fmt.Sprintf("0 to %d", maxRetainedResultBytes))
	}
}
