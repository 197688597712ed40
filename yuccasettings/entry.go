package yuccasettings

import "github.com/yuccaturn/yuccaturn/yuccajsonc"

// Entry is the section of an entry.
type Entry struct {
	// Listen is the address for other entries.
	Listen string `json:"listen"`
	// Callers is the address for callers' HTTP.
	Callers string `json:"callers"`
	// Operators is the address for operators' HTTP.
	Operators string `json:"operators"`
	// Controls are the addresses at which the control group listens.
	Controls []string `json:"controls"`
}

func (e *Entry) check(d *yuccajsonc.Document) {
	checkAddress(d, "entry.listen", e.Listen)
	checkAddress(d, "entry.callers", e.Callers)
	checkAddress(d, "entry.operators", e.Operators)
	checkAddresses(d, "entry.controls", e.Controls)
}
