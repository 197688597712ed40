package yuccamodel_test

import (
	"fmt"
	"math"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// kind is one kind of job, as the sheets of the first deployments have them.
type kind struct {
	name      string
	perSecond float64
	tasks     float64
	meanMS    float64
	priority  int
	attempts  int
}

var kinds = []kind{
	{name: "trim", perSecond: 34.4, tasks: 8, meanMS: 60, priority: 0, attempts: 3},
	{name: "resync", perSecond: 6.25, tasks: 4, meanMS: 900, priority: 2, attempts: 2},
	{name: "check", perSecond: 100, tasks: 2, meanMS: 200, priority: 1, attempts: 4},
}

const (
	meanCPU       = 1600.0
	targetLatency = 60 * time.Millisecond
	stretch       = 1.6
	// patience beyond the objective is how long a caller waits.
	patience    = 1500 * time.Millisecond
	estimateOff = 0.4
)

type taskSize struct {
	cpu    int
	workMS float64
}

// callerJob is a job as its caller sees it.
type callerJob struct {
	w         *world
	kind      kind
	job       yuccabroker.Job
	tasks     map[string]taskSize
	sentAt    time.Time
	objective time.Duration
	at        *modelEntry
	waiter    uint64
	tries     int
	ended     bool
	refused   bool
	ran       bool
	response  time.Duration
	state     yuccabroker.State
	cores     float64
}

// spread draws a log-normal factor with mean one.
func (w *world) spread(sigma float64) float64 {
	return math.Exp(sigma*w.draw.NormFloat64() - sigma*sigma/2)
}

// arrive hands a new job of the kind in.
func (w *world) arrive(k kind) *callerJob {
	w.nextJob++
	id := fmt.Sprintf("%016x", w.nextJob)
	count := max(int(math.Round(k.tasks*w.spread(0.4))), 1)
	mean := k.meanMS * w.spread(0.4)
	cpu := min(int(meanCPU*w.spread(0.2)), 2300)
	j := &callerJob{w: w, kind: k, tasks: make(map[string]taskSize), sentAt: w.now}
	longest := 0.0
	for i := range count {
		work := mean * w.spread(0.15)
		longest = max(longest, work)
		j.tasks[fmt.Sprintf("%s.0.0.%d", id, i)] = taskSize{cpu: cpu, workMS: work}
		j.cores += work / 1000 * float64(cpu) / 1000
	}
	j.objective = time.Duration(stretch*longest)*time.Millisecond + targetLatency
	estimate := mean * (1 + estimateOff*(2*w.draw.Float64()-1))
	j.job = yuccabroker.Job{
		ID: id, Payload: []byte(id), Deadline: w.now.Add(j.objective + patience),
		Queue: yuccabroker.Queue{
			Name: k.name, Service: "belfry", Priority: k.priority, MaxAttempts: k.attempts, Stretch: stretch, TargetLatency: targetLatency,
		},
		Steps: []yuccabroker.Step{{Count: count, CPUMilli: cpu, MemoryMB: 64, Estimate: time.Duration(estimate) * time.Millisecond}},
	}
	w.callers[id] = j
	w.jobs = append(w.jobs, j)
	j.send()
	return j
}

// send hands the job in at an entry that runs.
func (j *callerJob) send() {
	w := j.w
	j.tries++
	e := w.entries[w.draw.IntN(len(w.entries))]
	if e.dead {
		w.after(resendAfter, j.again)
		return
	}
	j.at = e
	e.nextWaiter++
	waiter := e.nextWaiter
	j.waiter = waiter
	e.waiters[waiter] = j
	submitted := j.job
	w.note("caller sends %s to %s, try %d", j.job.ID, e.name, j.tries)
	w.after(oneWay, func() {
		e.do(func() { e.broker.Submit(w.now, submitted, waiter) })
	})
}

func (j *callerJob) again() {
	if !j.ended && j.w.now.Sub(j.sentAt) < j.objective+patience {
		j.send()
		return
	}
	j.finish(yuccabroker.Abandoned)
}

// broken tells that the connection for a try has ended without an answer.
func (j *callerJob) broken(e *modelEntry, waiter uint64) {
	if j.ended || j.at != e || j.waiter != waiter {
		return
	}
	j.at = nil
	j.w.after(resendAfter, j.again)
}

// leave breaks the connection: the caller hands the job in again elsewhere.
func (j *callerJob) leave() {
	e, waiter := j.at, j.waiter
	if j.ended || e == nil {
		return
	}
	delete(e.waiters, waiter)
	j.w.after(oneWay, func() { e.do(func() { e.broker.HandleDisconnect(j.w.now, j.job.ID, waiter) }) })
	j.broken(e, waiter)
}

func (j *callerJob) answered(e *modelEntry, waiter uint64, o yuccabroker.Outcome) {
	if j.ended || j.at != e || j.waiter != waiter {
		return
	}
	if o.State == yuccabroker.Abandoned {
		j.broken(e, waiter)
		return
	}
	if o.State == yuccabroker.Rejected && j.tries == 1 {
		if j.ran {
			j.w.violated(j.job.ID, "job %s is refused as not run, and has run", j.job.ID)
		}
		j.refused = true
	}
	j.finish(o.State)
}

func (j *callerJob) finish(state yuccabroker.State) {
	j.ended = true
	j.state = state
	j.response = j.w.now.Sub(j.sentAt)
}

// offer lets jobs of all kinds arrive, at factor times the plain rate.
func (w *world) offer(factor float64, d time.Duration) {
	for _, k := range kinds {
		w.offerKind(k, factor, d)
	}
}

func (w *world) offerKind(k kind, factor float64, d time.Duration) {
	for at := time.Duration(0); ; {
		at += time.Duration(w.draw.ExpFloat64() / (k.perSecond * factor) * float64(time.Second))
		if at > d {
			return
		}
		w.after(at, func() { w.arrive(k) })
	}
}

// result is what callers got.
type result struct {
	jobs, inTime, late, refused, failed int
	// overdue are those answered well, and too late to be worth anything.
	overdue int
	// worth is the share of the credit that was earned, each kind weighing alike.
	worth float64
	kinds map[string]float64
}

func (w *world) result() result {
	r := result{kinds: make(map[string]float64)}
	earned, owed := make(map[string]float64), make(map[string]float64)
	for _, j := range w.jobs {
		r.jobs++
		mean := j.kind.tasks * j.kind.meanMS / 1000 * meanCPU / 1000
		worth := min(0.3+0.7*j.cores/mean, 4)
		owed[j.kind.name] += worth
		switch {
		case !j.ended || j.state == yuccabroker.Failed || j.state == yuccabroker.Abandoned:
			r.failed++
		case j.state == yuccabroker.Rejected:
			r.refused++
		case j.response <= j.objective:
			r.inTime++
			earned[j.kind.name] += worth
		default:
			if j.response > 3*j.objective {
				r.overdue++
				break
			}
			r.late++
			earned[j.kind.name] += worth / 5
		}
	}
	for name := range owed {
		r.kinds[name] = earned[name] / owed[name]
		r.worth += r.kinds[name] / float64(len(owed))
	}
	return r
}
