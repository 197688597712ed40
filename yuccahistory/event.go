// Package yuccahistory records the events of a test or a deployment and checks
// them against the guarantees of the system.
//
// In a test, all parts share one [Recorder]. In a deployment, each process
// writes a journal of JSON lines, and [Read] parses them. [Check] takes the
// events of all processes together.
//
// # Usage
//
//	recorder := yuccahistory.New()
//	recorder.Add(yuccahistory.Event{Kind: yuccahistory.Started, Job: "parishes/j1", Task: "t1", ...})
//	for _, violation := range yuccahistory.Check(recorder.Events(), yuccahistory.Bounds{}) { ... }
package yuccahistory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	// Submitted means that a caller sent a request for a job with these tasks.
	Submitted Kind = "submitted"
	// Answered means that the caller received the answer to its request.
	Answered Kind = "answered"
	// Started means that a target started an attempt of a task.
	Started Kind = "started"
	// Finished means that the attempt ran to completion at the target.
	Finished Kind = "finished"
	// Interrupted means that the attempt was stopped from outside before it
	// completed.
	Interrupted Kind = "cut"
	// DataCentreDrained means that an operator's change that drains the data
	// centre was accepted.
	DataCentreDrained Kind = "data_centre_out"
	// DataCentreRestored means that an operator sent a change that puts the
	// data centre back into service.
	DataCentreRestored Kind = "data_centre_in"
	// TargetLeaving means that the target announced to its side that it accepts
	// no further tasks.
	TargetLeaving Kind = "target_leaving"
	// TargetReturned means that the target announced itself again.
	TargetReturned Kind = "target_back"
	// StopStarted means that a planned stop of the node started.
	StopStarted Kind = "stop_begun"
	// StopEnded means that the planned stop is complete and the process of the
	// node has exited.
	StopEnded Kind = "stop_ended"
	// Accepted means that an operator's change of a section was acknowledged
	// with this version.
	Accepted Kind = "accepted"
	// InForce means that a node applied this version of a section.
	Applied Kind = "in_force"
)

// Values of [Event.Outcome].
const (
	OutcomeComplete = "complete"
	OutcomeFailed   = "failed"
	OutcomeRefused  = "refused"
	OutcomeUnknown  = "unknown"
)

// Event is one line of a journal. Fields that don't apply to its kind are empty.
type Event struct {
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Node is the name of the process, Incarnation tells its restarts apart.
	Node        string `json:"node,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	DataCentre  string `json:"data_centre,omitempty"`
	// Job has the form team/id.
	Job     string `json:"job,omitempty"`
	Task    string `json:"task,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	// Request identifies one submission of the job.
	Request    string   `json:"request,omitempty"`
	Tasks      []string `json:"tasks,omitempty"`
	Repeatable bool     `json:"repeatable,omitempty"`
	// Deadline is the time by which the request must be answered.
	Deadline time.Time `json:"deadline,omitzero"`
	Outcome  string    `json:"outcome,omitempty"`
	NotRun   bool      `json:"not_run,omitempty"`
	// Results holds the result of each task in a complete answer.
	Results []Result `json:"results,omitempty"`
	// Result is the result of a finished attempt.
	Result  string `json:"result,omitempty"`
	Section string `json:"section,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Detail is a text for humans, which the checker ignores.
	Detail string `json:"detail,omitempty"`
}

// Result is the result of one task in an answer.
type Result struct {
	Task   string `json:"task"`
	Result string `json:"result"`
}

// Recorder collects events in memory. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// New returns an empty Recorder.
func New() *Recorder { return new(Recorder) }

// Add records the event, with the current time if it has none.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	r.events = append(r.events, e)
}

// Events returns a copy of all events, sorted by time.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := slices.Clone(r.events)
	sortByTime(events)
	return events
}

func sortByTime(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
}

// Read parses a journal of JSON lines. Errors contain the file and the line.
func Read(file string, r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 16<<20)
	for n := 1; lines.Scan(); n++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, merry.Prependf(err, "%s:%d: is no event", file, n)
		}
		events = append(events, e)
	}
	return events, merry.Prependf(lines.Err(), "reading %s", file)
}

// Violation is a broken guarantee, with the events that prove it.
type Violation struct {
	Rule   string
	Detail string
	Events []Event
}

// String returns the rule and the detail on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }
