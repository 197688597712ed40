package yuccasettings

import "github.com/yuccaturn/yuccaturn/yuccajsonc"

// Entry is the settings section of an entry.
type Entry struct {
	// Listen is the listen address for other entries.
	Listen string `json:"listen"`
	// Callers is the listen address of the callers' HTTP API.
	Callers string `json:"callers"`
	// Operators is the listen address of the operators' HTTP API.
	Operators string `json:"operators"`
	// Controls are the addresses of the control group.
	Controls []string `json:"controls"`
}

func (e *Entry) check(d *yuccajsonc.Document) {
	checkAddress(d, "entry.listen", e.Listen)
	checkAddress(d, "entry.callers", e.Callers)
	checkAddress(d, "entry.operators", e.Operators)
	checkAddresses(d, "entry.controls", e.Controls)
}
