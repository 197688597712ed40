package yuccabroker

import (
	"container/heap"
	"time"
)

// taskQueue is a heap of the tasks to be placed, ordered by tier, rank and name.
// It implements heap.Interface.
type taskQueue struct {
	tasks []*task
	// cpu is the processors the queued tasks need, in thousandths.
	cpu int
	// work is the work of the queued tasks, in core-seconds by estimate.
	work float64
}

func (q *taskQueue) Len() int { return len(q.tasks) }

func (q *taskQueue) Less(i, j int) bool {
	a, b := q.tasks[i], q.tasks[j]
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.name < b.name
}

func (q *taskQueue) Swap(i, j int) {
	q.tasks[i], q.tasks[j] = q.tasks[j], q.tasks[i]
	q.tasks[i].heapIndex, q.tasks[j].heapIndex = i, j
}

func (q *taskQueue) Push(x any) {
	t := x.(*task)
	t.heapIndex = len(q.tasks)
	q.tasks = append(q.tasks, t)
	q.cpu += t.step.CPUMilli
	q.work += t.work()
}

func (q *taskQueue) Pop() any {
	last := len(q.tasks) - 1
	t := q.tasks[last]
	q.tasks[last] = nil
	q.tasks = q.tasks[:last]
	t.heapIndex = -1
	q.cpu -= t.step.CPUMilli
	q.work -= t.work()
	return t
}

func (q *taskQueue) add(t *task) { heap.Push(q, t) }

func (q *taskQueue) remove(t *task) {
	if t.heapIndex >= 0 {
		heap.Remove(q, t.heapIndex)
	}
}

// rerank updates the ranks of the tasks, some of which may have become late.
func (q *taskQueue) rerank(now time.Time) {
	changed := false
	for _, t := range q.tasks {
		if tier, rank := t.rankAt(now); tier != t.tier || !rank.Equal(t.rank) {
			t.tier, t.rank = tier, rank
			changed = true
		}
	}
	if changed {
		heap.Init(q)
	}
}

func (q *taskQueue) peek() *task { return q.tasks[0] }

// throughput measures the work that this entry completes, in core-seconds per
// second, as a moving average over windows.
type throughput struct {
	work        float64
	windowStart time.Time
	mean        float64
}

const (
	// backlogWindow is how long tasks must have been queued before the throughput
	// is taken as the available capacity: three throughput windows.
	backlogWindow    = 1500 * time.Millisecond
	throughputWindow = 500 * time.Millisecond
	throughputWeight = 0.3
)

func (t *throughput) add(now time.Time, work float64) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	t.work += work
	if elapsed := now.Sub(t.windowStart); elapsed > throughputWindow {
		sample := t.work / elapsed.Seconds()
		if t.mean == 0 {
			t.mean = sample
		}
		t.mean += throughputWeight * (sample - t.mean)
		t.work, t.windowStart = 0, now
	}
}
