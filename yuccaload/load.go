// Package yuccaload generates load for a running system and measures how the
// system handles it.
//
// The load is open-loop: the arrival time of each job comes from a seeded
// schedule, and its response time is measured from there, even if the job is
// submitted late. A slow system therefore can't hide the time that jobs wait to be
// submitted.
//
// # Usage
//
//	run := yuccaload.New(settings, progress)
//	report, err := run.Do(ctx)
//	report.Print(os.Stdout)
package yuccaload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

// progressInterval is the interval at which the progress is printed.
const progressInterval = 5 * time.Second

// Run generates the load of a workload and records the results.
type Run struct {
	settings  *yuccasettings.Workload
	progress  io.Writer
	clients   []*yuccaclient.Client
	random    *rand.Rand
	name      string
	startedAt time.Time
	pending   sync.WaitGroup

	mu       sync.Mutex
	inFlight map[string]*job
	results  []result
}

// job is a scheduled job. Tasks holds the run times of its tasks.
type job struct {
	run    *Run
	due    time.Time
	team   string
	id     string
	client *yuccaclient.Client
	tasks  []time.Duration
}

// result is the result of a job. Elapsed is the response time from the scheduled
// arrival; ideal is its lower bound.
type result struct {
	due      time.Time
	elapsed  time.Duration
	ideal    time.Duration
	tasks    int
	outcome  string
	complete bool
	partial  bool
	notRun   bool
	inTime   bool
}

// New returns a run. The progress is printed to the given writer.
func New(settings *yuccasettings.Workload, progress io.Writer) *Run {
	r := &Run{
		settings: settings,
		progress: progress,
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		name:     time.Now().UTC().Format("150405.000"),
		inFlight: make(map[string]*job),
	}
	for _, address := range settings.Entries {
		r.clients = append(r.clients, yuccaclient.New(address, "load"))
	}
	return r
}

// Do submits all jobs, waits for their responses and returns the report.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	before, err := r.sumCounters(ctx)
	if err != nil {
		return nil, err
	}
	schedule := newSchedule(r.settings, r.random)
	r.startedAt = time.Now()
	printer := &progressPrinter{run: r, done: make(chan struct{})}
	go printer.loop()
	changes := r.startChanges(ctx)
	for n, arrival := range schedule {
		due := r.startedAt.Add(arrival.at)
		if !sleepUntil(ctx, due) {
			break
		}
		r.startJob(ctx, n, due, arrival)
	}
	r.pending.Wait()
	changes.Wait()
	close(printer.done)
	after, err := r.sumCounters(ctx)
	if err != nil {
		return nil, err
	}
	return r.report(before, after)
}

// sleepUntil returns false if the context ends before the given time.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Run) startJob(ctx context.Context, n int, due time.Time, a arrival) {
	j := &job{
		run: r, due: due, team: r.settings.Teams[n%len(r.settings.Teams)],
		id: fmt.Sprintf("load-%s-%d", r.name, n), client: r.clients[n%len(r.clients)], tasks: a.tasks,
	}
	r.mu.Lock()
	r.inFlight[j.id] = j
	r.mu.Unlock()
	r.pending.Add(1)
	go j.loop(ctx)
}

// jobBody is the body of a submission, taskBody one of its tasks, and payload the
// payload of a task, which sets its run time.
type jobBody struct {
	Team        string     `json:"team"`
	Service     string     `json:"service"`
	ID          string     `json:"id"`
	SubmittedAt time.Time  `json:"submitted_at"`
	Deadline    string     `json:"deadline"`
	Tasks       []taskBody `json:"tasks"`
}

type taskBody struct {
	ID      string  `json:"id"`
	Payload payload `json:"payload"`
}

type payload struct {
	Sleep string `json:"sleep"`
}

func (j *job) body() ([]byte, error) {
	body := jobBody{
		Team: j.team, Service: j.run.settings.Service, ID: j.id,
		SubmittedAt: j.due.UTC(), Deadline: j.run.settings.Deadline.String(),
	}
	for i, run := range j.tasks {
		body.Tasks = append(body.Tasks, taskBody{ID: fmt.Sprintf("t%d", i), Payload: payload{Sleep: run.String()}})
	}
	return json.Marshal(body)
}

// loop submits the job, waits for the response and records the result.
func (j *job) loop(ctx context.Context) {
	defer j.run.pending.Done()
	body, err := j.body()
	if err != nil {
		return
	}
	answer, _, err := j.client.Submit(ctx, body)
	elapsed := time.Since(j.due)
	r := result{due: j.due, elapsed: elapsed, ideal: j.ideal(), tasks: len(j.tasks), outcome: "complete", inTime: elapsed <= j.run.settings.Deadline}
	var problem *yuccaproblem.Problem
	switch {
	case errors.As(err, &problem):
		r.outcome = string(problem.Type)
		r.notRun = problem.NotRun
	case err != nil:
		r.outcome = "unreachable"
	default:
		r.complete = answer.IsComplete()
		r.partial = !hasAllResults(answer, len(j.tasks))
	}
	j.run.record(j, r)
}

// hasAllResults reports whether the response has a result for each task.
func hasAllResults(answer yuccaclient.Job, tasks int) bool {
	if len(answer.Tasks) != tasks {
		return false
	}
	for _, t := range answer.Tasks {
		if t.State != "finished" || len(t.Result) == 0 {
			return false
		}
	}
	return true
}

// ideal returns the response time on an idle system: the run time of the longest
// task plus the round trip.
func (j *job) ideal() time.Duration {
	longest := time.Duration(0)
	for _, run := range j.tasks {
		longest = max(longest, run)
	}
	return longest + j.run.settings.RoundTrip
}

func (r *Run) record(j *job, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, j.id)
	r.results = append(r.results, res)
}

// progressPrinter prints the progress of a run until done is closed.
type progressPrinter struct {
	run  *Run
	done chan struct{}
}

// loop prints the progress every progressInterval until done is closed.
func (p *progressPrinter) loop() {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
			p.run.mu.Lock()
			fmt.Fprintf(p.run.progress, "%4.0f s: %d jobs answered, %d in progress\n",
				time.Since(p.run.startedAt).Seconds(), len(p.run.results), len(p.run.inFlight))
			p.run.mu.Unlock()
		}
	}
}
