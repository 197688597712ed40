package yuccasettings

import (
	"fmt"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

const maxRetainedResultBytes = 1 << 30

// Side is the section of a side.
type Side struct {
	// Listen is the address for entries.
	Listen string `json:"listen"`
	// Targets is the loopback address at which targets announce themselves.
	Targets string `json:"targets"`
	// Operators is the address for operators' HTTP.
	Operators string `json:"operators"`
	// Controls are the addresses at which the control group listens.
	Controls []string `json:"controls"`
	// Retention is how long records outlive their job; zero means 5m.
	Retention time.Duration `json:"retention"`
	// MaxResultBytes bounds the kept results; zero means 16 MiB.
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
