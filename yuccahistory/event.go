// Package yuccahistory records what happened in a run and checks it against
// what must always hold.
//
// A recorder is shared by all parts of a test, or a file of JSON lines is
// written by each process of a real run. The checker reads them together.
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

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	// Submitted: a caller sent a request for a job with these tasks.
	Submitted Kind = "submitted"
	// Answered: the caller of the request got its answer.
	Answered Kind = "answered"
	// Started: a target began an attempt at a task.
	Started Kind = "started"
	// Finished: the attempt came to its end at the target.
	Finished Kind = "finished"
	// Cut: the attempt was ended from outside.
	Interrupted Kind = "cut"
	// DataCentreOut: operators' change that takes it out was accepted.
	DataCentreDrained Kind = "data_centre_out"
	// DataCentreIn: operators' change that brings it back was sent.
	DataCentreRestored Kind = "data_centre_in"
	// TargetLeaving: the target told its side that it leaves.
	TargetLeaving Kind = "target_leaving"
	// TargetBack: the target announced itself again.
	TargetReturned Kind = "target_back"
	// StopBegun: a planned stop of the node began.
	StopStarted Kind = "stop_begun"
	// StopEnded: the planned stop is over, and the node's process with it.
	StopEnded Kind = "stop_ended"
	// Accepted: an operator was told that a section has this version.
	Accepted Kind = "accepted"
	// InForce: a node has this version of a section in force.
	InForce Kind = "in_force"
)

// Outcomes of answers.
const (
	OutcomeComplete = "complete"
	OutcomeFailed   = "failed"
	OutcomeRefused  = "refused"
	OutcomeUnknown  = "unknown"
)

// Event is one thing that happened. Fields that don't matter to its kind are
// empty.
type Event struct {
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Node is the process, and Incarnation its run.
	Node        string `json:"node,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	DataCentre  string `json:"data_centre,omitempty"`
	// Job is team/id.
	Job     string `json:"job,omitempty"`
	Task    string `json:"task,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	// Request tells the submissions of one job apart.
	Request    string   `json:"request,omitempty"`
	Tasks      []string `json:"tasks,omitempty"`
	Repeatable bool     `json:"repeatable,omitempty"`
	// Deadline is when the request must have been answered.
	Deadline time.Time `json:"deadline,omitzero"`
	Outcome  string    `json:"outcome,omitempty"`
	NotRun   bool      `json:"not_run,omitempty"`
	// Results are those of a complete answer, by task.
	Results []Result `json:"results,omitempty"`
	// Result is that of a finished attempt.
	Result  string `json:"result,omitempty"`
	Section string `json:"section,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Detail is for readers only.
	Detail string `json:"detail,omitempty"`
}

// Result is the result of one task in an answer.
type Result struct {
	Task   string `json:"task"`
	Result string `json:"result"`
}

// Recorder collects events of many goroutines.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// New returns a recorder without events.
func New() *Recorder { return new(Recorder) }

// Add records the event, now where it has no time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	r.events = append(r.events, e)
}

// Events returns the events so far, in the order of their times.
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

// Read reads JSON lines of events. An error names the file and the line.
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

// Violation is one thing that must never happen, with the events that show it.
type Violation struct {
	Rule   string
	Detail string
	Events []Event
}

// String renders the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }
