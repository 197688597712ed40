package yuccaload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

const (
	// lateFactor times the objective is the longest response time that still counts
	// as late. A later response has no value for its caller and counts as overdue.
	lateFactor = 3
	// windowLength is the length of the windows of which the report shows the worst.
	windowLength = 2 * time.Second
	// maxResponse is the longest response time that the histograms can record.
	maxResponse = time.Hour
)

// Sized generates a load of sized jobs, whose tasks declare the resources they
// need, and records the results.
type Sized struct {
	settings  *yuccasettings.SizedLoad
	clients   []*yuccaclient.Client
	random    *rand.Rand
	name      string
	startedAt time.Time
	pending   sync.WaitGroup

	mu      sync.Mutex
	results []sizedResult
}

// sizedArrival is a job in the schedule. Run is the run time of each of its tasks,
// estimate the one that it declares. If abandons is set, the caller disconnects if
// it has no response within GiveUpAfter of the settings.
type sizedArrival struct {
	at       time.Duration
	kind     yuccasettings.SizedJobKind
	tasks    int
	run      time.Duration
	estimate time.Duration
	abandons bool
}

// sizedJob is a submitted job.
type sizedJob struct {
	load    *Sized
	arrival sizedArrival
	due     time.Time
	id      string
	client  *yuccaclient.Client
}

// sizedOutcome is the outcome of a job for its caller.
type sizedOutcome int

const (
	sizedInTime sizedOutcome = iota
	sizedLate
	sizedOverdue
	sizedRefused
	sizedFailed
	sizedAbandoned
)

type sizedResult struct {
	arrival sizedArrival
	outcome sizedOutcome
	elapsed time.Duration
}

// NewSized returns a run with the given settings.
func NewSized(settings *yuccasettings.SizedLoad) *Sized {
	s := &Sized{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 0)), name: time.Now().UTC().Format("150405.000")}
	for _, address := range settings.Entries {
		s.clients = append(s.clients, yuccaclient.New(address, "load"))
	}
	return s
}

// Do submits all jobs, waits for their responses and returns the report.
func (s *Sized) Do(ctx context.Context) *SizedReport {
	schedule := newSizedSchedule(s.settings, s.random)
	s.startedAt = time.Now()
	for n, a := range schedule {
		j := &sizedJob{
			load: s, arrival: a, due: s.startedAt.Add(a.at), id: fmt.Sprintf("load-%s-%d", s.name, n), client: s.clients[n%len(s.clients)],
		}
		if !sleepUntil(ctx, j.due) {
			break
		}
		s.pending.Add(1)
		go j.run(ctx)
	}
	s.pending.Wait()
	return s.report()
}

// newSizedSchedule draws all arrivals, sorted by time. It draws a Poisson process at
// the highest rate and drops arrivals where the rate is lower (thinning).
func newSizedSchedule(settings *yuccasettings.SizedLoad, random *rand.Rand) []sizedArrival {
	maxFactor := 1.0
	for _, b := range settings.Bursts {
		maxFactor = max(maxFactor, b.Factor)
	}
	totalRate := 0.0
	for _, k := range settings.Kinds {
		totalRate += k.JobsPerSecond
	}
	var arrivals []sizedArrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / (totalRate * maxFactor) * float64(time.Second))
		if at > settings.Duration {
			return arrivals
		}
		kind, skip := drawKind(settings, random, totalRate), random.Float64()*maxFactor > burstFactor(settings, at)
		a := drawArrival(at, kind, random)
		a.abandons = random.Float64() < settings.GiveUpShare
		if !skip {
			arrivals = append(arrivals, a)
		}
	}
}

// drawKind draws a kind of job, weighted by the rates of the kinds.
func drawKind(settings *yuccasettings.SizedLoad, random *rand.Rand, totalRate float64) yuccasettings.SizedJobKind {
	remaining := random.Float64() * totalRate
	for _, k := range settings.Kinds {
		if remaining -= k.JobsPerSecond; remaining < 0 {
			return k
		}
	}
	return settings.Kinds[len(settings.Kinds)-1]
}

// burstFactor returns the factor by which the bursts at the given time multiply
// the rate of arrivals.
func burstFactor(settings *yuccasettings.SizedLoad, at time.Duration) float64 {
	factor := 1.0
	for _, b := range settings.Bursts {
		if at >= b.At && at < b.At+b.For {
			factor *= b.Factor
		}
	}
	return factor
}

// drawArrival draws the number of tasks, the run time and the estimate of a job.
// The number of tasks and the run time are log-normally distributed around the
// means of the kind.
func drawArrival(at time.Duration, k yuccasettings.SizedJobKind, random *rand.Rand) sizedArrival {
	drawFactor := func() float64 { return math.Exp(k.Spread*random.NormFloat64() - k.Spread*k.Spread/2) }
	a := sizedArrival{at: at, kind: k, tasks: max(int(math.Round(k.Tasks*drawFactor())), 1)}
	a.run = max(time.Duration(float64(k.Run)*drawFactor()), time.Millisecond)
	a.estimate = max(time.Duration(float64(a.run)*(1+k.EstimateError*(2*random.Float64()-1))), time.Millisecond)
	return a
}

// objective returns the response time within which the job counts as in time.
func (a sizedArrival) objective() time.Duration {
	return time.Duration(a.kind.Stretch*float64(a.run)) + a.kind.TargetLatency
}

// sizedBody is the body of a submission, sizedStep one of its steps.
type sizedBody struct {
	Deadline string      `json:"deadline"`
	Payload  payload     `json:"payload"`
	Steps    []sizedStep `json:"steps"`
}

type sizedStep struct {
	Tasks    int     `json:"tasks"`
	CPU      float64 `json:"cpu"`
	Estimate string  `json:"estimate"`
}

// run submits the job, waits for the response and records the result.
func (j *sizedJob) run(ctx context.Context) {
	defer j.load.pending.Done()
	a := j.arrival
	body, err := json.Marshal(sizedBody{
		Deadline: a.kind.Deadline.String(), Payload: payload{Sleep: a.run.String()},
		Steps: []sizedStep{{Tasks: a.tasks, CPU: a.kind.CPU, Estimate: a.estimate.String()}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	if a.abandons {
		abandonCtx, cancel := context.WithTimeout(ctx, j.load.settings.GiveUpAfter)
		defer cancel()
		ctx = abandonCtx
	}
	_, err = j.client.SubmitSized(ctx, a.kind.Queue, j.id, body)
	elapsed := time.Since(j.due)
	j.load.record(sizedResult{arrival: a, outcome: a.classify(elapsed, err), elapsed: elapsed})
}

// classify returns the outcome of a job with the given response time and error.
func (a sizedArrival) classify(elapsed time.Duration, err error) sizedOutcome {
	var problem *yuccaproblem.Problem
	switch {
	case errors.As(err, &problem) && problem.NotRun:
		return sizedRefused
	case errors.As(err, &problem):
		return sizedFailed
	case err != nil && a.abandons:
		return sizedAbandoned
	case err != nil:
		return sizedFailed
	case elapsed <= a.objective():
		return sizedInTime
	case elapsed <= lateFactor*a.objective():
		return sizedLate
	}
	return sizedOverdue
}

func (s *Sized) record(r sizedResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

// SizedReport is the result of a run of sized jobs, by kind.
type SizedReport struct {
	Kinds map[string]*SizedCounts `json:"kinds"`
	// Large counts the largest tenth of all jobs by CPU time.
	Large *SizedCounts `json:"large"`
	// WorstInTime is the share of jobs in time in the worst two-second window of
	// arrivals, which starts at WorstAtMS.
	WorstInTime float64 `json:"worst_in_time"`
	WorstAtMS   int64   `json:"worst_at_ms"`
}

// SizedCounts counts jobs by outcome. Left counts those whose callers disconnected.
type SizedCounts struct {
	Jobs, InTime, Late, Overdue, Refused, Failed, Left int
	// Response holds the percentiles of response times in milliseconds, Refusal
	// those of refused jobs, which Response excludes.
	Response Percentiles `json:"response_ms"`
	Refusal  Percentiles `json:"refusal_ms"`

	response *hdrhistogram.Histogram
	refusal  *hdrhistogram.Histogram
}

func newSizedCounts() *SizedCounts {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxResponse.Microseconds(), 3) }
	return &SizedCounts{response: newHistogram(), refusal: newHistogram()}
}

func (c *SizedCounts) count(r sizedResult) {
	c.Jobs++
	switch r.outcome {
	case sizedInTime:
		c.InTime++
	case sizedLate:
		c.Late++
	case sizedOverdue:
		c.Overdue++
	case sizedRefused:
		c.Refused++
	case sizedFailed:
		c.Failed++
	case sizedAbandoned:
		c.Left++
	}
	histogram := c.response
	if r.outcome == sizedRefused {
		histogram = c.refusal
	}
	_ = histogram.RecordValue(min(r.elapsed, maxResponse).Microseconds()) // within the range of the histogram
}

func (c *SizedCounts) computePercentiles() {
	c.Response = percentiles(c.response, float64(time.Millisecond.Microseconds()))
	c.Refusal = percentiles(c.refusal, float64(time.Millisecond.Microseconds()))
}

// coreSeconds returns the CPU time of the job in core-seconds.
func (a sizedArrival) coreSeconds() float64 { return float64(a.tasks) * a.kind.CPU * a.run.Seconds() }

func (s *Sized) report() *SizedReport {
	p := &SizedReport{Kinds: make(map[string]*SizedCounts), Large: newSizedCounts(), WorstInTime: 1}
	largeThreshold := largeJobThreshold(s.results)
	windows := make(map[time.Duration]*SizedCounts)
	for _, r := range s.results {
		if p.Kinds[r.arrival.kind.Queue] == nil {
			p.Kinds[r.arrival.kind.Queue] = newSizedCounts()
		}
		p.Kinds[r.arrival.kind.Queue].count(r)
		if r.arrival.coreSeconds() >= largeThreshold {
			p.Large.count(r)
		}
		window := r.arrival.at.Truncate(windowLength)
		if windows[window] == nil {
			windows[window] = newSizedCounts()
		}
		windows[window].count(r)
	}
	for at, c := range windows {
		if share := float64(c.InTime) / float64(max(c.Jobs-c.Left, 1)); share < p.WorstInTime {
			p.WorstInTime, p.WorstAtMS = share, at.Milliseconds()
		}
	}
	for _, c := range p.Kinds {
		c.computePercentiles()
	}
	p.Large.computePercentiles()
	return p
}

// Print writes the report as a table.
func (p *SizedReport) Print(w io.Writer) {
	fmt.Fprintf(w, "%-10s %6s %8s %6s %8s %8s %7s %6s %8s %8s %11s\n",
		"kind", "jobs", "in time", "late", "overdue", "refused", "failed", "left", "p50 ms", "p99 ms", "refusal p50")
	for _, name := range slices.Sorted(maps.Keys(p.Kinds)) {
		p.Kinds[name].print(w, name)
	}
	p.Large.print(w, "(largest)")
	fmt.Fprintf(w, "worst two seconds: %.3f in time, from %d ms on\n", p.WorstInTime, p.WorstAtMS)
}

func (c *SizedCounts) print(w io.Writer, name string) {
	fmt.Fprintf(w, "%-10s %6d %8d %6d %8d %8d %7d %6d %8.1f %8.1f %11.1f\n",
		name, c.Jobs, c.InTime, c.Late, c.Overdue, c.Refused, c.Failed, c.Left, c.Response.P50, c.Response.P99, c.Refusal.P50)
}

// largeJobThreshold returns the smallest CPU time of a job in the largest tenth, in
// core-seconds.
func largeJobThreshold(results []sizedResult) float64 {
	coreSeconds := make([]float64, 0, len(results))
	for _, r := range results {
		coreSeconds = append(coreSeconds, r.arrival.coreSeconds())
	}
	if len(coreSeconds) == 0 {
		return 0
	}
	slices.Sort(coreSeconds)
	return coreSeconds[len(coreSeconds)*9/10]
}
