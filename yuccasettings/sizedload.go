package yuccasettings

import (
	"fmt"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

const maxBurstFactor = 20

// SizedLoad is the settings section of the command "load sized".
type SizedLoad struct {
	// Entries are the callers' addresses of the entries.
	Entries []string `json:"entries"`
	// Seed is the random seed of arrivals, numbers of tasks and run times.
	Seed uint64 `json:"seed"`
	// Duration is the time during which jobs arrive.
	Duration time.Duration `json:"duration"`
	// Kinds are the kinds of jobs, which arrive independently of each other.
	Kinds []SizedJobKind `json:"kinds"`
	// Bursts are periods during which all arrival rates are multiplied.
	Bursts []SizedBurst `json:"bursts"`
	// GiveUpShare is the share of callers that disconnect before the answer, at
	// GiveUpAfter after their submission.
	GiveUpShare float64       `json:"give_up_share"`
	GiveUpAfter time.Duration `json:"give_up_after"`
}

// SizedJobKind describes the jobs of one kind.
type SizedJobKind struct {
	Queue         string  `json:"queue"`
	JobsPerSecond float64 `json:"jobs_per_second"`
	// Tasks is the mean number of tasks of a job and Run their mean run time. Both
	// are log-normally distributed over the jobs, with the sigma Spread.
	Tasks  float64       `json:"tasks"`
	Run    time.Duration `json:"run"`
	Spread float64       `json:"spread"`
	// CPU is the CPU requirement of a task in cores.
	CPU float64 `json:"cpu"`
	// EstimateError is the largest relative error of the estimated run time, in
	// either direction.
	EstimateError float64 `json:"estimate_off"`
	// A job is in time if it is answered within Stretch times its run time plus
	// TargetLatency. Both should have the values of the queue in the document.
	Stretch       float64       `json:"stretch"`
	TargetLatency time.Duration `json:"target_latency"`
	// Deadline is the time that a caller waits for the answer.
	Deadline time.Duration `json:"deadline"`
}

// SizedBurst multiplies all arrival rates by Factor, from At after the start
// and for the duration For.
type SizedBurst struct {
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Factor float64       `json:"factor"`
}

func (l *SizedLoad) check(d *yuccajsonc.Document) {
	if len(l.Entries) == 0 {
		d.Report("sized_load.entries", "is missing", "the callers' addresses of the entries")
	}
	for i, address := range l.Entries {
		checkAddress(d, fmt.Sprintf("sized_load.entries[%d]", i), address)
	}
	if l.Duration <= 0 || l.Duration > maxLoadDuration {
		d.Report("sized_load.duration", fmt.Sprintf("is %s", l.Duration), fmt.Sprintf("above zero, at most %s", maxLoadDuration))
	}
	if len(l.Kinds) == 0 {
		d.Report("sized_load.kinds", "is missing", "one kind of job at least")
	}
	for i, k := range l.Kinds {
		k.check(d, fmt.Sprintf("sized_load.kinds[%d]", i))
	}
	for i, b := range l.Bursts {
		if b.Factor <= 0 || b.Factor > maxBurstFactor {
			d.Report(fmt.Sprintf("sized_load.bursts[%d].factor", i), fmt.Sprintf("is %g", b.Factor), fmt.Sprintf("above 0, at most %d", maxBurstFactor))
		}
	}
	if l.GiveUpShare < 0 || l.GiveUpShare > 1 {
		d.Report("sized_load.give_up_share", fmt.Sprintf("is %g", l.GiveUpShare), "0 to 1")
	}
}

func (k SizedJobKind) check(d *yuccajsonc.Document, field string) {
	checkRequired(d, field+".queue", k.Queue, "the name of a queue")
	if k.JobsPerSecond <= 0 || k.JobsPerSecond > maxLoadRate {
		d.Report(field+".jobs_per_second", fmt.Sprintf("is %g", k.JobsPerSecond), fmt.Sprintf("above 0, at most %d", maxLoadRate))
	}
	if k.Tasks < 1 || k.CPU <= 0 || k.Run <= 0 || k.Deadline <= 0 {
		d.Report(field, "has no tasks, cpu, run or deadline", "1 task at least, and the others above zero")
	}
	if k.Spread < 0 || k.EstimateError < 0 || k.EstimateError >= 1 {
		d.Report(field, "has a spread below zero or an estimate_off outside 0 to 1", "spread of 0 or more, estimate_off below 1")
	}
	if k.Stretch < 1 {
		d.Report(field+".stretch", fmt.Sprintf("is %g", k.Stretch), "1 or more")
	}
}
