package yuccasettings

import (
	"fmt"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

const (
	maxLoadDuration = time.Hour
	maxLoadRate     = 100_000
)

// Workload is the settings section of the command "load jobs".
type Workload struct {
	// Entries are the callers' addresses of the entries.
	Entries []string `json:"entries"`
	// EntryOperators are the operators' addresses of the entries, from which the
	// counters are read.
	EntryOperators []string `json:"entry_operators"`
	// Control is the operators' address of a control.
	Control string `json:"control"`
	// Journals are the journals of simulated targets, from which starts are counted.
	Journals []string `json:"journals"`
	// Service is the service that the jobs call.
	Service string `json:"service"`
	// Teams are the teams that submit the jobs, in equal shares.
	Teams []string `json:"teams"`
	// Seed is the random seed of arrivals and run times.
	Seed uint64 `json:"seed"`
	// Duration is the time during which jobs arrive.
	Duration time.Duration `json:"duration"`
	// JobsPerSecond is the mean arrival rate.
	JobsPerSecond float64 `json:"jobs_per_second"`
	// MinTasks and MaxTasks limit the number of tasks of a job.
	MinTasks int `json:"min_tasks"`
	MaxTasks int `json:"max_tasks"`
	// MedianRun and RunSpread are the median and the sigma of the log-normal
	// distribution of run times. MaxRun truncates its tail.
	MedianRun time.Duration `json:"median_run"`
	RunSpread float64       `json:"run_spread"`
	MaxRun    time.Duration `json:"max_run"`
	// Deadline is the deadline of each job, relative to its submission.
	Deadline time.Duration `json:"deadline"`
	// RoundTrip is the network time that is added to the ideal response time.
	RoundTrip time.Duration `json:"round_trip"`
	// Bursts are groups of jobs that arrive together.
	Bursts []Burst `json:"bursts"`
	// Cancellations cancel many jobs together.
	Cancellations []Cancellation `json:"cancellations"`
	// DataCentres are the times at which data centres are drained and restored.
	DataCentres []DataCentreChange `json:"data_centres"`
}

// Burst is a number of jobs that arrive together. At is relative to the start.
type Burst struct {
	At   time.Duration `json:"at"`
	Jobs int           `json:"jobs"`
}

// Cancellation cancels a share of the jobs in progress. At is relative to the
// start.
type Cancellation struct {
	At    time.Duration `json:"at"`
	Share float64       `json:"share"`
}

// DataCentreChange drains or restores a data centre. At is relative to the start.
type DataCentreChange struct {
	At      time.Duration `json:"at"`
	Name    string        `json:"name"`
	Drained bool          `json:"out"`
}

func (l *Workload) check(d *yuccajsonc.Document) {
	if len(l.Entries) == 0 {
		d.Report("load.entries", "is missing", "the callers' addresses of the entries")
	}
	for i, address := range l.Entries {
		checkAddress(d, fmt.Sprintf("load.entries[%d]", i), address)
	}
	for i, address := range l.EntryOperators {
		checkAddress(d, fmt.Sprintf("load.entry_operators[%d]", i), address)
	}
	checkAddress(d, "load.control", l.Control)
	checkRequired(d, "load.service", l.Service, "the name of a service")
	if len(l.Teams) == 0 {
		d.Report("load.teams", "is missing", "one team at least")
	}
	l.checkJobs(d)
}

func (l *Workload) checkJobs(d *yuccajsonc.Document) {
	if l.Duration <= 0 || l.Duration > maxLoadDuration {
		d.Report("load.duration", fmt.Sprintf("is %s", l.Duration), fmt.Sprintf("above zero, at most %s", maxLoadDuration))
	}
	if l.JobsPerSecond <= 0 || l.JobsPerSecond > maxLoadRate {
		d.Report("load.jobs_per_second", fmt.Sprintf("is %g", l.JobsPerSecond), fmt.Sprintf("above zero, at most %d", maxLoadRate))
	}
	if l.MinTasks < 1 || l.MaxTasks < l.MinTasks {
		d.Report("load.max_tasks", fmt.Sprintf("is %d with min_tasks %d", l.MaxTasks, l.MinTasks), "1 <= min_tasks <= max_tasks")
	}
	if l.MedianRun <= 0 || l.MaxRun < l.MedianRun {
		d.Report("load.max_run", fmt.Sprintf("is %s with median_run %s", l.MaxRun, l.MedianRun), "0s < median_run <= max_run")
	}
	if l.Deadline <= 0 {
		d.Report("load.deadline", "is missing", "a duration above zero")
	}
}
