// Package yuccaload drives a running system from outside and measures it.
//
// Arrivals are open-loop: each job has its time of arrival from a seeded
// schedule, and its response time counts from there, so that a slow system
// can't hide its own queue.
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

const progressInterval = 5 * time.Second

// Run is one run of the load.
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

// job is one job of the schedule.
type job struct {
	run    *Run
	due    time.Time
	team   string
	id     string
	client *yuccaclient.Client
	tasks  []time.Duration
}

// result is what became of a job.
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

// New returns a run that has not begun.
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

// Do runs the whole load and measures it.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	before, err := r.sumCounters(ctx)
	if err != nil {
		return nil, err
	}
	schedule := newSchedule(r.settings, r.random)
	r.startedAt = time.Now()
	printer := &progressPrinter{run: r, done: make(chan struct{})}
	go printer.printLoop()
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
	go j.submit(ctx)
}

// jobBody and taskBody are the job as the entry takes it.
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

// loop submits the job and records what became of it.
func (j *job) submit(ctx context.Context) {
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

// ideal is the longest task's own time plus the round trip.
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

// reporter prints the progress of a run.
type progressPrinter struct {
	run  *Run
	done chan struct{}
}

func (p *progressPrinter) printLoop() {
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
