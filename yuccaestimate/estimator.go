package yuccaestimate

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options limits what an Estimator keeps. Zero values are replaced by defaults.
type Options struct {
	// MaxQueues and MaxWorkers are how many queues (64) and workers (2,048) are kept;
	// the one unused longest is evicted first.
	MaxQueues  int
	MaxWorkers int
	// Half is half of the time (10 s) after which a run no longer counts.
	Half time.Duration
}

// Estimator learns run times.
type Estimator struct {
	options Options
	queues  map[string]*queue
	workers map[string]*worker
	// medianSpeed is the median of the workers' speeds, which counts as speed 1.
	// runsSinceMedian counts the runs since it was computed.
	medianSpeed     float64
	runsSinceMedian int
	speeds          []float64
}

// queue holds the ratios of a queue on a worker of usual speed: near those of runs in
// the rack of their data or without such a rack, remote those of the other runs.
type queue struct {
	near       *distribution
	remote     *distribution
	observedAt time.Time
}

// worker holds the speed of a worker, before division by the median speed.
type worker struct {
	speed      float64
	runs       int
	observedAt time.Time
}

// New returns an estimator that has observed nothing.
func New(options Options) *Estimator {
	options.MaxQueues = cmp.Or(options.MaxQueues, defaultMaxQueues)
	options.MaxWorkers = cmp.Or(options.MaxWorkers, defaultMaxWorkers)
	options.Half = cmp.Or(options.Half, defaultHalf)
	return &Estimator{options: options, queues: make(map[string]*queue), workers: make(map[string]*worker), medianSpeed: 1}
}

// Observe learns from a successful run in the rack of its data, or without such a rack.
// Runs without an estimate are ignored.
func (e *Estimator) Observe(now time.Time, queueName, workerName string, estimate, ran time.Duration) {
	if estimate > 0 {
		q := e.queue(now, queueName)
		e.observe(now, q.near, workerName, ratioOf(estimate, ran))
	}
}

// ObserveRemote learns from a successful run outside the rack of its data.
func (e *Estimator) ObserveRemote(now time.Time, queueName, workerName string, estimate, ran time.Duration) {
	if estimate <= 0 {
		return
	}
	q := e.queue(now, queueName)
	if q.remote == nil {
		q.remote = newDistribution(now)
	}
	e.observe(now, q.remote, workerName, ratioOf(estimate, ran))
}

// ObserveStopped learns from a run in the rack of its data that was stopped because it
// took long. Its run time is a lower bound, and recorded if it is beyond most others.
func (e *Estimator) ObserveStopped(now time.Time, queueName, workerName string, estimate, ran time.Duration) {
	q := e.queues[queueName]
	if q == nil || estimate <= 0 || q.near.runs() < MinRuns {
		return
	}
	speed, _ := e.Speed(workerName)
	if ratio := ratioOf(estimate, ran) * speed; ratio > q.near.ratio(StoppedFrom) {
		q.near.record(now, e.options.Half, ratio)
		q.near.valuesOf = 0 // few such runs move the tail
	}
}

func ratioOf(estimate, ran time.Duration) float64 { return float64(ran) / float64(estimate) }

// observe records the ratio that the run would have had on a worker of usual speed, and
// the speed that the run would have had with the median ratio.
func (e *Estimator) observe(now time.Time, d *distribution, workerName string, ratio float64) {
	speed, _ := e.Speed(workerName)
	d.record(now, e.options.Half, ratio*speed)
	if d.runs() < MinRuns {
		return
	}
	w := e.worker(now, workerName)
	w.runs++
	sample := min(max(d.ratio(Median)/max(ratio, minRatio), minSpeed), maxSpeed) * e.medianSpeed
	w.speed += (sample - w.speed) / float64(min(w.runs+priorRuns, speedRuns))
	e.updateMedian()
}

// updateMedian computes the median speed again after enough runs.
func (e *Estimator) updateMedian() {
	e.runsSinceMedian++
	if e.runsSinceMedian < max(minMedianRuns, len(e.workers)/medianDivisor) {
		return
	}
	e.runsSinceMedian = 0
	e.speeds = e.speeds[:0]
	for _, w := range e.workers {
		e.speeds = append(e.speeds, w.speed)
	}
	slices.Sort(e.speeds)
	e.medianSpeed = e.speeds[len(e.speeds)/2]
}

func (e *Estimator) queue(now time.Time, name string) *queue {
	q := e.queues[name]
	if q == nil {
		evictOldest(e.queues, e.options.MaxQueues, func(q *queue) time.Time { return q.observedAt })
		q = &queue{near: newDistribution(now)}
		e.queues[name] = q
	}
	q.observedAt = now
	return q
}

func (e *Estimator) worker(now time.Time, name string) *worker {
	w := e.workers[name]
	if w == nil {
		evictOldest(e.workers, e.options.MaxWorkers, func(w *worker) time.Time { return w.observedAt })
		w = &worker{speed: e.medianSpeed}
		e.workers[name] = w
	}
	w.observedAt = now
	return w
}

// evictOldest makes room for one more item.
func evictOldest[V any](items map[string]V, limit int, observedAt func(V) time.Time) {
	if len(items) < limit {
		return
	}
	oldest, found := "", false
	for name, item := range items {
		at := observedAt(item)
		if !found || at.Before(observedAt(items[oldest])) || at.Equal(observedAt(items[oldest])) && name < oldest {
			oldest, found = name, true
		}
	}
	delete(items, oldest)
}

// Ratio returns the ratio of run time to estimate at a percentile of a queue, on a
// worker of usual speed, and the number of runs that it is learned from. The ratio is
// 1 with fewer than MinRuns runs.
func (e *Estimator) Ratio(queueName string, percentile float64) (ratio float64, runs int) {
	q := e.queues[queueName]
	if q == nil {
		return 1, 0
	}
	if runs = q.near.runs(); runs < MinRuns {
		return 1, runs
	}
	return q.near.ratio(percentile), runs
}

// RunTime returns the run time at a percentile on a worker, in the rack of the task's
// data. Unknown workers, and the empty name, have speed 1.
func (e *Estimator) RunTime(queueName, workerName string, estimate time.Duration, percentile float64) time.Duration {
	ratio, _ := e.Ratio(queueName, percentile)
	if workerName == "" {
		return time.Duration(float64(estimate) * ratio)
	}
	speed, _ := e.Speed(workerName)
	return time.Duration(float64(estimate) * ratio / speed)
}

// RackFactor returns how many times as long the tasks of a queue take outside the rack
// of their data. It returns false with fewer than MinRuns runs in or outside it.
func (e *Estimator) RackFactor(queueName string) (factor float64, known bool) {
	q := e.queues[queueName]
	if q == nil || q.near.runs() < MinRuns || q.remote.runs() < MinRuns {
		return 1, false
	}
	return q.remote.ratio(Median) / q.near.ratio(Median), true
}

// Speed returns the speed of a worker as a multiple of the usual one, and the number of
// runs that it is learned from.
func (e *Estimator) Speed(workerName string) (speed float64, runs int) {
	w := e.workers[workerName]
	if w == nil {
		return 1, 0
	}
	return w.speed / e.medianSpeed, w.runs
}

// Forget deletes what is known of a worker.
func (e *Estimator) Forget(workerName string) { delete(e.workers, workerName) }

// Status lists the queues and workers, sorted by name.
type Status struct {
	Queues  []QueueStatus
	Workers []WorkerStatus
}

// QueueStatus describes the ratios of run time to estimate of a queue. Ratios are zero
// if there are no runs.
type QueueStatus struct {
	Queue                 string
	Runs                  int
	P25, Median, P75, P99 float64
	RemoteRuns            int
	RackFactor            float64
	SinceObserved         time.Duration
}

// WorkerStatus describes the speed of a worker.
type WorkerStatus struct {
	Worker        string
	Speed         float64
	Runs          int
	SinceObserved time.Duration
}

// Status returns what is learned.
func (e *Estimator) Status(now time.Time) Status {
	var status Status
	for _, name := range slices.Sorted(maps.Keys(e.queues)) {
		q := e.queues[name]
		described := QueueStatus{Queue: name, Runs: q.near.runs(), RemoteRuns: q.remote.runs(), SinceObserved: now.Sub(q.observedAt)}
		if described.Runs > 0 {
			described.P25, described.Median = q.near.ratio(Quartile), q.near.ratio(Median)
			described.P75, described.P99 = q.near.ratio(UpperQuartile), q.near.ratio(Tail)
		}
		if factor, known := e.RackFactor(name); known {
			described.RackFactor = factor
		}
		status.Queues = append(status.Queues, described)
	}
	for _, name := range slices.Sorted(maps.Keys(e.workers)) {
		speed, runs := e.Speed(name)
		status.Workers = append(status.Workers, WorkerStatus{Worker: name, Speed: speed, Runs: runs, SinceObserved: now.Sub(e.workers[name].observedAt)})
	}
	return status
}
