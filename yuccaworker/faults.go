package yuccaworker

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds of what a worker may state. Sums of the times, and of the capacity with what may be
// queued beyond it, fit the messages to owners and the calls to the worker.
const (
	// MaxCPUMilli is in thousandths of a core, MaxMemoryMB in megabytes.
	MaxCPUMilli     = 1_000_000_000
	MaxMemoryMB     = 1_000_000_000
	MaxAccelerators = 1_000_000
	// maxClockMS is a hundred years.
	maxClockMS  = 100 * 366 * 24 * 3600 * 1000
	maxSequence = 1<<53 - 1
	// maxToken is far above the sum of a start and a clock.
	maxToken = 1 << 62
	// tokenMargin is above the number of times that a process raises its token before it
	// tells its owners.
	tokenMargin = 1000
	// maxNameBytes limits an ID, a service and a label, maxLabels the number of labels.
	maxNameBytes = 200
	maxLabels    = 100
)

// maxStartedAtMS is when a worker may have started at the latest, in milliseconds since 1970.
var maxStartedAtMS = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

// Field is a field of a [Report], whose name depends on the interface.
type Field int

// The fields of a [Report] that have bounds.
const (
	FieldID Field = iota
	FieldStartedAt
	FieldService
	FieldCPU
	FieldMemory
	FieldAccelerators
	FieldLabels
	FieldClock
	FieldSequence
)

// Fault is a value of a report that no worker can have.
type Fault struct {
	Field    Field
	Problem  string
	Expected string
}

// Faults returns what is wrong with the report. One with a fault names no worker to use.
func (r Report) Faults() []Fault {
	var faults []Fault
	checkNumber := func(field Field, value, limit int64, unit string) {
		if value < 0 || value > limit {
			faults = append(faults, Fault{field, fmt.Sprintf("is %d", value), fmt.Sprintf("0 to %d%s", limit, unit)})
		}
	}
	checkName := func(field Field, name string) {
		if problem := nameProblem(name); problem != "" {
			faults = append(faults, Fault{field, problem, fmt.Sprintf("1 to %d bytes of UTF-8 without control characters", maxNameBytes)})
		}
	}
	checkName(FieldID, r.ID)
	checkNumber(FieldStartedAt, r.StartedAtMS, maxStartedAtMS, " milliseconds since 1970")
	checkName(FieldService, r.Service)
	checkNumber(FieldCPU, int64(r.CPUMilli), MaxCPUMilli, " thousandths of a core")
	checkNumber(FieldMemory, int64(r.MemoryMB), MaxMemoryMB, " megabytes")
	checkNumber(FieldAccelerators, int64(r.Accelerators), MaxAccelerators, "")
	if len(r.Labels) > maxLabels {
		faults = append(faults, Fault{FieldLabels, fmt.Sprintf("has %d labels", len(r.Labels)), fmt.Sprintf("%d at most", maxLabels)})
	}
	for _, label := range r.Labels[:min(len(r.Labels), maxLabels)] {
		if label != "" {
			checkName(FieldLabels, label)
		}
	}
	checkNumber(FieldClock, r.ClockMS, maxClockMS, " milliseconds")
	checkNumber(FieldSequence, r.Sequence, maxSequence, "")
	return faults
}

// nameProblem returns what is wrong with a name, empty if it is valid.
func nameProblem(name string) string {
	switch {
	case name == "":
		return "is empty"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("has %d bytes", len(name))
	case !utf8.ValidString(name), strings.ContainsFunc(name, unicode.IsControl):
		return fmt.Sprintf("is %q", name)
	}
	return ""
}

// IsStartTime reports whether a worker may have started at ms, which is zero if it doesn't
// say so.
func IsStartTime(ms int64) bool { return ms >= 0 && ms <= maxStartedAtMS }

// isClock reports whether a worker's clock may show ms, zero if there is none.
func isClock(ms int64) bool { return ms >= 0 && ms <= maxClockMS }

// fault returns what is wrong with the answer, empty if it makes sense. A run is listed once,
// and completions have rising numbers.
func (h HoldResult) fault() string {
	if !isClock(h.ClockMS) {
		return fmt.Sprintf("the clock is %d, expected 0 to %d", h.ClockMS, maxClockMS)
	}
	listed := make(map[Key]bool, len(h.Running)+len(h.Completions))
	list := func(key Key) string {
		switch {
		case key.Task == "" || key.Run == 0:
			return fmt.Sprintf("run %d of task %.*q is listed, expected a name and a number from 1", key.Run, maxNameBytes, key.Task)
		case listed[key]:
			return fmt.Sprintf("run %d of task %.*q is listed twice", key.Run, maxNameBytes, key.Task)
		}
		listed[key] = true
		return ""
	}
	for _, key := range h.Running {
		if problem := list(key); problem != "" {
			return problem
		}
	}
	last := int64(0)
	for _, c := range h.Completions {
		if problem := list(c.Key); problem != "" {
			return problem
		}
		if c.Number <= last || c.Number > maxSequence {
			return fmt.Sprintf("completion %d follows %d, expected a higher number up to %d", c.Number, last, maxSequence)
		}
		last = c.Number
	}
	return ""
}

// logSenseless records an answer that makes no sense. It counts as none.
func (w *Worker) logSenseless(call, fault string) {
	w.metrics.Add("answers_senseless", 1)
	w.options.Logger.Warn("answer makes no sense, counting it as none", "call", call, "why", fault)
}
