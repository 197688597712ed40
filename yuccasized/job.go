package yuccasized

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// jobBody is the body of a submission. The id and the queue are in the path.
type jobBody struct {
	// Deadline is how long the caller waits for the outcome. Zero means the queue's
	// timeout.
	Deadline time.Duration `json:"deadline"`
	// Payload is passed to the worker with each task.
	Payload json.RawMessage `json:"payload"`
	Steps   []stepBody      `json:"steps"`
}

// stepBody is a step of a job: a number of tasks with equal requirements.
type stepBody struct {
	Tasks int `json:"tasks"`
	// CPU is the number of cores that each task uses.
	CPU          float64       `json:"cpu"`
	MemoryMB     int           `json:"memory_mb"`
	Accelerators int           `json:"accelerators"`
	Estimate     time.Duration `json:"estimate"`
	// After lists the indexes of the earlier steps that must be done first.
	After []int `json:"after"`
	// Label is a label that the worker must have; empty means any worker.
	Label string `json:"label"`
	// Spread is the maximum number of the step's tasks on one worker; zero means no
	// limit.
	Spread int `json:"spread"`
}

// decodeJob decodes and validates a submission. It returns the job without id,
// queue and deadline, and the time that the caller waits, which is zero if the
// body has none. The error lists all findings.
func decodeJob(text []byte) (yuccabroker.Job, time.Duration, error) {
	var body jobBody
	d := yuccajsonc.Decode("job", text, &body)
	body.check(d)
	if err := d.Err(); err != nil {
		return yuccabroker.Job{}, 0, err
	}
	job := yuccabroker.Job{Payload: body.Payload}
	for _, s := range body.Steps {
		job.Steps = append(job.Steps, yuccabroker.Step{
			Count: s.Tasks, CPUMilli: s.cpuMilli(), MemoryMB: s.MemoryMB, Accelerators: s.Accelerators,
			Estimate: s.Estimate, After: s.After, Label: s.Label, Spread: s.Spread,
		})
	}
	return job, body.Deadline, nil
}

func (b jobBody) check(d *yuccajsonc.Document) {
	if b.Deadline > maxDeadline {
		d.Report("deadline", fmt.Sprintf("is %s", b.Deadline), fmt.Sprintf("%s at most", maxDeadline))
	}
	if len(b.Steps) == 0 {
		d.Report("steps", "has no steps", "one step at least")
	}
	if len(b.Steps) > maxTasks {
		d.Report("steps", fmt.Sprintf("has %d steps", len(b.Steps)), fmt.Sprintf("%d at most", maxTasks))
		return
	}
	tasks := 0
	for i, s := range b.Steps {
		tasks += s.Tasks
		s.check(d, i)
	}
	if tasks > maxTasks {
		d.Report("steps", fmt.Sprintf("has %d tasks", tasks), fmt.Sprintf("%d at most", maxTasks))
	}
}

func (s stepBody) check(d *yuccajsonc.Document, i int) {
	field := fmt.Sprintf("steps[%d]", i)
	if s.Tasks < 1 || s.Tasks > maxTasks {
		d.Report(field+".tasks", fmt.Sprintf("is %d", s.Tasks), fmt.Sprintf("1 to %d", maxTasks))
	}
	if s.CPU <= 0 || s.CPU > yuccabroker.MaxSize/milli {
		d.Report(field+".cpu", fmt.Sprintf("is %g", s.CPU), fmt.Sprintf("cores, above zero, at most %d", yuccabroker.MaxSize/milli))
	}
	if s.Estimate <= 0 {
		d.Report(field+".estimate", fmt.Sprintf("is %s", s.Estimate), "a duration above zero")
	}
	checkSize(d, field+".memory_mb", s.MemoryMB)
	checkSize(d, field+".accelerators", s.Accelerators)
	if s.Spread < 0 {
		d.Report(field+".spread", fmt.Sprintf("is %d", s.Spread), "0 or more")
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= i {
			d.Report(field+".after", fmt.Sprintf("names step %d", dependency), "an earlier step, counted from 0")
		}
	}
}

func checkSize(d *yuccajsonc.Document, field string, size int) {
	if size < 0 || size > yuccabroker.MaxSize {
		d.Report(field, fmt.Sprintf("is %d", size), fmt.Sprintf("0 to %d", yuccabroker.MaxSize))
	}
}

// rounding is the error, in thousandths of a core, that the conversion of cores may add.
const rounding = 1e-6

// cpuMilli returns the thousandths of a core that a task needs, rounded up except for
// what the conversion adds.
func (s stepBody) cpuMilli() int {
	return max(int(math.Ceil(s.CPU*milli-rounding)), 1)
}

// checkName returns the problem with an id or a name, and what is expected
// instead. Both are empty if the name is valid.
func checkName(name string) (problem, expected string) {
	switch {
	case name == "":
		return "is empty", "a name"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("has %d bytes", len(name)), fmt.Sprintf("%d at most", maxNameBytes)
	case !utf8.ValidString(name):
		return fmt.Sprintf("is %q", name), "a name in UTF-8"
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '/' }):
		return fmt.Sprintf("is %q", name), "a name without spaces, control characters and /"
	}
	return "", ""
}
