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

// Workload is the section of the load command.
type Workload struct {
	// Entries are the callers' addresses of the entries.
	Entries []string `json:"entries"`
	// EntryOperators are their operators' addresses, for the counters.
	EntryOperators []string `json:"entry_operators"`
	// Control is the operators' address of a control.
	Control string `json:"control"`
	// Journals are the journals of stand-in targets, to count starts.
	Journals []string `json:"journals"`
	// Service is what the jobs call.
	Service string `json:"service"`
	// Teams share the arrivals evenly.
	Teams []string `json:"teams"`
	// Seed makes arrivals and run times repeatable.
	Seed uint64 `json:"seed"`
	// Duration is how long jobs arrive.
	Duration time.Duration `json:"duration"`
	// JobsPerSecond is the mean rate of arrivals.
	JobsPerSecond float64 `json:"jobs_per_second"`
	// MinTasks and MaxTasks bound the tasks of a job.
	MinTasks int `json:"min_tasks"`
	MaxTasks int `json:"max_tasks"`
	// MedianRun and RunSpread describe a log-normal distribution of run times;
	// MaxRun cuts its tail.
	MedianRun time.Duration `json:"median_run"`
	RunSpread float64       `json:"run_spread"`
	MaxRun    time.Duration `json:"max_run"`
	// Deadline is what each job is given.
	Deadline time.Duration `json:"deadline"`
	// RoundTrip is added to the ideal response time.
	RoundTrip time.Duration `json:"round_trip"`
	// Bursts are jobs that arrive at once.
	Bursts []Burst `json:"bursts"`
	// Cancellations end jobs in a wave.
	Cancellations []Cancellation `json:"cancellations"`
	// DataCentres are taken out and brought back at set times.
	DataCentres []DataCentreChange `json:"data_centres"`
}

// Burst is a number of jobs that arrive at once.
type Burst struct {
	At   time.Duration `json:"at"`
	Jobs int           `json:"jobs"`
}

// Cancellation ends a share of the jobs in progress.
type Cancellation struct {
	At    time.Duration `json:"at"`
	Share float64       `json:"share"`
}

// DataCentreChange takes a data centre out or brings it back.
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
