package yuccasettings

import (
	"fmt"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

const (
	defaultMaxConfigurationAge = 2 * time.Second
	maxToleratedFailures       = 3
)

// SizedEntry is the settings section of an entry for sized jobs, whose tasks
// declare the resources that they need. The process also runs a control if it has
// a data folder.
type SizedEntry struct {
	// Callers and Operators are the listen addresses of the HTTP APIs for callers
	// and operators.
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	// Mesh is the listen address for the other processes of the system, Control the
	// one for links within the control group.
	Mesh    string `json:"mesh"`
	Control string `json:"control"`
	// Seeds are the mesh addresses of some entries, through which the others are
	// discovered.
	Seeds []string `json:"seeds"`
	// Bootstrap allows the process to form a new control group.
	Bootstrap bool `json:"bootstrap"`
	// DataFolder is the folder for the state of the control; empty runs no control.
	DataFolder string `json:"data_folder"`
	// ToleratedFailures is the number of hosts with a disk whose simultaneous failure
	// the control group must survive.
	ToleratedFailures int `json:"losses_borne"`
	// MaxConfigurationAge is how long after its last confirmation by a control a
	// document is shown to operators as the newest; zero means 2s.
	MaxConfigurationAge time.Duration `json:"configuration_bound"`
	// DataCentres are the names of all data centres.
	DataCentres []string   `json:"data_centres"`
	Scheduling  Scheduling `json:"scheduling"`
}

func (e *SizedEntry) check(d *yuccajsonc.Document) {
	checkAddress(d, "sized_entry.callers", e.Callers)
	checkAddress(d, "sized_entry.operators", e.Operators)
	checkAddress(d, "sized_entry.mesh", e.Mesh)
	checkSeeds(d, "sized_entry.seeds", e.Seeds)
	if e.DataFolder != "" {
		checkAddress(d, "sized_entry.control", e.Control)
	}
	if e.ToleratedFailures < 0 || e.ToleratedFailures > maxToleratedFailures {
		d.Report("sized_entry.losses_borne", fmt.Sprintf("is %d", e.ToleratedFailures), fmt.Sprintf("0 to %d", maxToleratedFailures))
	}
	if len(e.DataCentres) == 0 {
		d.Report("sized_entry.data_centres", "is missing", "the names of all data centres")
	}
	if e.MaxConfigurationAge == 0 {
		e.MaxConfigurationAge = defaultMaxConfigurationAge
	}
	e.Scheduling.check(d, "sized_entry.scheduling")
}

// SizedSide is the settings section of a side whose worker runs the tasks of sized
// jobs.
type SizedSide struct {
	// Listen is the listen address for the reports of the worker, Operators the one
	// for the counters.
	Listen    string `json:"listen"`
	Operators string `json:"operators"`
	// Worker is the address at which the side calls the worker.
	Worker string `json:"worker"`
	// Seeds are the mesh addresses of some entries.
	Seeds []string `json:"seeds"`
}

func (s *SizedSide) check(d *yuccajsonc.Document) {
	checkAddress(d, "sized_side.listen", s.Listen)
	checkAddress(d, "sized_side.operators", s.Operators)
	checkAddress(d, "sized_side.worker", s.Worker)
	checkSeeds(d, "sized_side.seeds", s.Seeds)
}

// SizedWorker is the settings section of the simulated worker for sized jobs.
type SizedWorker struct {
	// Listen is the listen address for the calls of the side, Side the address of the
	// side to which the worker reports.
	Listen  string `json:"listen"`
	Side    string `json:"side"`
	Service string `json:"service"`
	// CPU is the CPU capacity in cores.
	CPU      float64 `json:"cpu"`
	MemoryMB int     `json:"memory_mb"`
	// Sleep is the run time of a task whose payload does not set one.
	Sleep time.Duration `json:"sleep"`
}

func (w *SizedWorker) check(d *yuccajsonc.Document) {
	checkAddress(d, "sized_worker.listen", w.Listen)
	checkAddress(d, "sized_worker.side", w.Side)
	checkRequired(d, "sized_worker.service", w.Service, "the name of a service")
	if w.CPU <= 0 {
		d.Report("sized_worker.cpu", fmt.Sprintf("is %g", w.CPU), "cores, above zero")
	}
	if w.MemoryMB < 0 {
		d.Report("sized_worker.memory_mb", fmt.Sprintf("is %d", w.MemoryMB), "0 or more")
	}
}

func checkSeeds(d *yuccajsonc.Document, field string, seeds []string) {
	if len(seeds) == 0 {
		d.Report(field, "is missing", "the mesh addresses of a few entries")
	}
	for i, address := range seeds {
		checkAddress(d, fmt.Sprintf("%s[%d]", field, i), address)
	}
}
