package yuccahistory

import (
	"fmt"
	"slices"
	"time"
)

// Rules of [Check]. The texts are printed by the command "history check".
const (
	RuleStartOnce         = "each task of a submission starts at most once"
	RuleNoPartialAnswer   = "an answer is complete or failed, never partial"
	RuleOwnResult         = "a caller gets the answer to its own request"
	RuleOneOutcome        = "two callers of one job never hear different outcomes"
	RuleAnsweredOnce      = "a request is answered once, and in time"
	RuleNotRun            = "a refusal that says not run is true"
	RuleDrainedDataCentre = "no task starts in a data centre that was taken out"
	RuleTargetLeaving     = "a target that is leaving gets no new work"
	RuleGracefulStop      = "a planned stop cuts no request in progress"
	RuleNeverReverts      = "a configuration in force never reverts"
)

// Defaults of [Bounds], as required by the users.
const (
	DefaultDrainBound   = 4 * time.Second
	DefaultLeavingBound = 2 * time.Second
	DefaultAnswerGrace  = time.Second
)

// Bounds are the maximum delays that the rules allow. Zero fields get defaults.
type Bounds struct {
	// Drain is how long after the drain of a data centre tasks may start there.
	Drain time.Duration
	// Leaving is how long after a target announced that it leaves tasks may
	// start there.
	Leaving time.Duration
	// AnswerGrace is how long after the deadline an answer may arrive.
	AnswerGrace time.Duration
}

func (b Bounds) withDefaults() Bounds {
	if b.Drain == 0 {
		b.Drain = DefaultDrainBound
	}
	if b.Leaving == 0 {
		b.Leaving = DefaultLeavingBound
	}
	if b.AnswerGrace == 0 {
		b.AnswerGrace = DefaultAnswerGrace
	}
	return b
}

type taskID struct{ job, task string }

// checker holds the state of a check, which processes events in order of time.
// repeatable, jobStarts, outcomes and notRun are keyed by job, submitted and
// answered by request, drained by data centre, leaving and stopping by node, and
// applied by node, incarnation and section.
type checker struct {
	bounds     Bounds
	violations []Violation
	repeatable map[string]bool
	started    map[taskID][]Event
	jobStarts  map[string][]Event
	finished   map[taskID][]Event
	submitted  map[string]Event
	answered   map[string]Event
	outcomes   map[string]Event
	notRun     map[string][]Event
	drained    map[string]Event
	leaving    map[string]Event
	stopping   map[string]Event
	applied    map[string]Event
}

// Check returns all violations in the events. The events may be in any order.
func Check(events []Event, bounds Bounds) []Violation {
	c := &checker{
		bounds:     bounds.withDefaults(),
		repeatable: make(map[string]bool),
		started:    make(map[taskID][]Event),
		jobStarts:  make(map[string][]Event),
		finished:   make(map[taskID][]Event),
		submitted:  make(map[string]Event),
		answered:   make(map[string]Event),
		outcomes:   make(map[string]Event),
		notRun:     make(map[string][]Event),
		drained:    make(map[string]Event),
		leaving:    make(map[string]Event),
		stopping:   make(map[string]Event),
		applied:    make(map[string]Event),
	}
	events = slices.Clone(events)
	sortByTime(events)
	for _, e := range events {
		c.apply(e)
	}
	c.checkUnanswered()
	c.checkRefusedJobs()
	return c.violations
}

func (c *checker) report(rule, detail string, events ...Event) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: detail, Events: events})
}

func (c *checker) apply(e Event) {
	switch e.Kind {
	case Submitted:
		c.repeatable[e.Job] = e.Repeatable
		c.submitted[e.Request] = e
	case Answered:
		c.checkAnswer(e)
	case Started:
		c.checkStart(e)
	case Finished:
		id := taskID{e.Job, e.Task}
		c.finished[id] = append(c.finished[id], e)
	case Interrupted:
		c.checkInterrupted(e)
	case DataCentreDrained:
		if _, already := c.drained[e.DataCentre]; !already {
			c.drained[e.DataCentre] = e
		}
	case DataCentreRestored:
		delete(c.drained, e.DataCentre)
	case TargetLeaving:
		c.leaving[e.Node] = e
	case TargetReturned:
		delete(c.leaving, e.Node)
	case StopStarted:
		c.stopping[e.Node] = e
	case StopEnded:
		delete(c.stopping, e.Node)
	case Applied:
		c.checkApplied(e)
	case Accepted:
	}
}

func (c *checker) checkStart(e Event) {
	id := taskID{e.Job, e.Task}
	if earlier := c.started[id]; len(earlier) > 0 && !c.repeatable[e.Job] {
		c.report(RuleStartOnce, fmt.Sprintf("%s task %s started at %s and at %s", e.Job, e.Task, earlier[0].Node, e.Node), earlier[0], e)
	}
	c.started[id] = append(c.started[id], e)
	c.jobStarts[e.Job] = append(c.jobStarts[e.Job], e)
	if drain, isDrained := c.drained[e.DataCentre]; isDrained && e.At.Sub(drain.At) > c.bounds.Drain {
		c.report(RuleDrainedDataCentre, fmt.Sprintf("%s started in %s %s after it was taken out", e.Job, e.DataCentre, e.At.Sub(drain.At)), drain, e)
	}
	if announcement, isLeaving := c.leaving[e.Node]; isLeaving && e.At.Sub(announcement.At) > c.bounds.Leaving {
		c.report(RuleTargetLeaving, fmt.Sprintf("%s started at %s %s after it said that it leaves", e.Job, e.Node, e.At.Sub(announcement.At)), announcement, e)
	}
}

func (c *checker) checkInterrupted(e Event) {
	if stop, isStopping := c.stopping[e.Node]; isStopping {
		c.report(RuleGracefulStop, fmt.Sprintf("%s task %s was cut at %s", e.Job, e.Task, e.Node), stop, e)
	}
}

func (c *checker) checkAnswer(e Event) {
	if earlier, isRepeated := c.answered[e.Request]; isRepeated {
		c.report(RuleAnsweredOnce, fmt.Sprintf("request %s was answered twice", e.Request), earlier, e)
	}
	c.answered[e.Request] = e
	request, known := c.submitted[e.Request]
	if known && !request.Deadline.IsZero() && e.At.After(request.Deadline.Add(c.bounds.AnswerGrace)) {
		c.report(RuleAnsweredOnce, fmt.Sprintf("request %s was answered %s after its deadline", e.Request, e.At.Sub(request.Deadline)), request, e)
	}
	if e.NotRun {
		c.checkNotRun(e)
	}
	switch e.Outcome {
	case OutcomeComplete:
		c.checkComplete(request, e)
		c.checkOutcome(e)
	case OutcomeFailed:
		c.checkOutcome(e)
	}
}

// checkNotRun reports an answer of not run for a job that has already started.
// Later starts may belong to other submissions, see [checker.checkRefusedJobs].
func (c *checker) checkNotRun(e Event) {
	c.notRun[e.Job] = append(c.notRun[e.Job], e)
	if starts := c.jobStarts[e.Job]; len(starts) > 0 {
		c.report(RuleNotRun, fmt.Sprintf("%s was said not to be run, but task %s was started", e.Job, starts[0].Task), starts[0], e)
	}
}

func (c *checker) checkOutcome(e Event) {
	first, known := c.outcomes[e.Job]
	if !known {
		c.outcomes[e.Job] = e
		return
	}
	if first.Outcome != e.Outcome {
		c.report(RuleOneOutcome, fmt.Sprintf("%s was answered %s and %s", e.Job, first.Outcome, e.Outcome), first, e)
	}
}

func (c *checker) checkComplete(request, e Event) {
	if len(e.Results) != len(request.Tasks) {
		c.report(RuleNoPartialAnswer, fmt.Sprintf("%s has %d tasks and %d results", e.Job, len(request.Tasks), len(e.Results)), request, e)
		return
	}
	for i, task := range request.Tasks {
		r := e.Results[i]
		if r.Task != task {
			c.report(RuleNoPartialAnswer, fmt.Sprintf("%s result %d is of task %s, expected %s", e.Job, i, r.Task, task), request, e)
			continue
		}
		finished := c.finished[taskID{e.Job, task}]
		if !slices.ContainsFunc(finished, func(f Event) bool { return f.Result == r.Result }) {
			c.report(RuleOwnResult, fmt.Sprintf("%s task %s was answered %q, which no target gave", e.Job, task, r.Result), request, e)
		}
	}
}

func (c *checker) checkApplied(e Event) {
	key := fmt.Sprintf("%s/%d/%s", e.Node, e.Incarnation, e.Section)
	if earlier, known := c.applied[key]; known && earlier.Version > e.Version {
		c.report(RuleNeverReverts, fmt.Sprintf("section %s fell from %d to %d at %s", e.Section, earlier.Version, e.Version, e.Node), earlier, e)
	}
	c.applied[key] = e
}

// checkUnanswered reports the requests with a deadline that got no answer.
func (c *checker) checkUnanswered() {
	for id, request := range c.submitted {
		if _, ok := c.answered[id]; !ok && !request.Deadline.IsZero() {
			c.report(RuleAnsweredOnce, fmt.Sprintf("request %s was never answered", id), request)
		}
	}
}

// checkRefusedJobs reports the jobs that started although all their submissions
// were answered as not run.
func (c *checker) checkRefusedJobs() {
	submissions := make(map[string]int)
	for _, request := range c.submitted {
		submissions[request.Job]++
	}
	for job, refusals := range c.notRun {
		starts := c.jobStarts[job]
		if len(starts) > 0 && len(refusals) == submissions[job] {
			c.report(RuleNotRun, fmt.Sprintf("%s task %s started, and every submission was said not to be run", job, starts[0].Task), refusals[0], starts[0])
		}
	}
}
