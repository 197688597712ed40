package yuccasettings

import (
	"fmt"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

const maxReplicas = 7

// Control is the settings section of a control.
type Control struct {
	// Listen is the listen address for the other processes of the system.
	Listen string `json:"listen"`
	// Operators is the listen address of the operators' HTTP API.
	Operators string `json:"operators"`
	// DataFolder is the folder for the log and the snapshots of the replica.
	DataFolder string `json:"data_folder"`
	// Replicas lists the controls of the group, in the same order for each control.
	Replicas []Replica `json:"replicas"`
}

// Replica is a control of the group with its listen addresses.
type Replica struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Operators string `json:"operators"`
}

func (c *Control) check(d *yuccajsonc.Document, name string) {
	checkAddress(d, "control.listen", c.Listen)
	checkAddress(d, "control.operators", c.Operators)
	checkRequired(d, "control.data_folder", c.DataFolder, "a folder on a disk")
	n := len(c.Replicas)
	if n%2 == 0 || n > maxReplicas {
		d.Report("control.replicas", fmt.Sprintf("has %d replicas", n), "1, 3, 5 or 7")
	}
	names := make(map[string]bool, n)
	for i, r := range c.Replicas {
		field := fmt.Sprintf("control.replicas[%d]", i)
		checkRequired(d, field+".name", r.Name, "the name of a control")
		checkAddress(d, field+".listen", r.Listen)
		checkAddress(d, field+".operators", r.Operators)
		if names[r.Name] {
			d.Report(field+".name", fmt.Sprintf("%q is listed twice", r.Name), "names that differ")
		}
		names[r.Name] = true
	}
	if n > 0 && !names[name] {
		d.Report("control.replicas", fmt.Sprintf("does not list %q", name), "this process among the replicas")
	}
}
