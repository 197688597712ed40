package yuccabroker

import (
	"container/heap"
	"time"
)

// queue holds the tasks that wait to be placed, the lowest rank first.
type taskQueue struct {
	tasks []*task
	cpu   int
	// work is what waits, in core-seconds by estimate.
	work float64
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *taskQueue) Len() int { return len(q.tasks) }

// Less orders by rank, and by number where ranks are equal.
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

// Swap keeps the tasks' positions.
func (q *taskQueue) Swap(i, j int) {
	q.tasks[i], q.tasks[j] = q.tasks[j], q.tasks[i]
	q.tasks[i].heapIndex, q.tasks[j].heapIndex = i, j
}

// Push adds a task.
func (q *taskQueue) Push(x any) {
	t := x.(*task)
	t.heapIndex = len(q.tasks)
	q.tasks = append(q.tasks, t)
	q.cpu += t.step.CPUMilli
	q.work += t.work()
}

// Pop removes the last task.
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

// rerank orders the tasks anew after their ranks have changed.
func (q *taskQueue) rerank() { heap.Init(q) }

func (q *taskQueue) peek() *task { return q.tasks[0] }

// rate measures the work that this entry's tasks finish, in cores.
type throughput struct {
	work        float64
	windowStart time.Time
	mean        float64
}

const (
	// backlogWindow is how long tasks must have waited before the rate counts as
	// all that is to be had; three windows of the rate.
	backlogWindow    = 1500 * time.Millisecond
	throughputWindow = 500 * time.Millisecond
	throughputWeight = 0.3
)

func (r *throughput) add(now time.Time, work float64) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	r.work += work
	if elapsed := now.Sub(r.windowStart); elapsed > throughputWindow {
		sample := r.work / elapsed.Seconds()
		if r.mean == 0 {
			r.mean = sample
		}
		r.mean += throughputWeight * (sample - r.mean)
		r.work, r.windowStart = 0, now
	}
}
