package yuccabroker

import (
	"container/heap"
	"time"
)

// queue holds the tasks that wait to be placed, the lowest rank first.
type queue struct {
	tasks []*task
	cpu   int
	// work is what waits, in core-seconds by estimate.
	work float64
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *queue) Len() int { return len(q.tasks) }

// Less orders by rank, and by number where ranks are equal.
func (q *queue) Less(i, j int) bool {
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
func (q *queue) Swap(i, j int) {
	q.tasks[i], q.tasks[j] = q.tasks[j], q.tasks[i]
	q.tasks[i].at, q.tasks[j].at = i, j
}

// Push adds a task.
func (q *queue) Push(x any) {
	t := x.(*task)
	t.at = len(q.tasks)
	q.tasks = append(q.tasks, t)
	q.cpu += t.step.CPUMilli
	q.work += t.work()
}

// Pop removes the last task.
func (q *queue) Pop() any {
	last := len(q.tasks) - 1
	t := q.tasks[last]
	q.tasks[last] = nil
	q.tasks = q.tasks[:last]
	t.at = -1
	q.cpu -= t.step.CPUMilli
	q.work -= t.work()
	return t
}

func (q *queue) add(t *task) { heap.Push(q, t) }

func (q *queue) remove(t *task) {
	if t.at >= 0 {
		heap.Remove(q, t.at)
	}
}

// rerank orders the tasks anew after their ranks have changed.
func (q *queue) rerank() { heap.Init(q) }

func (q *queue) first() *task { return q.tasks[0] }

// rate measures the work that this entry's tasks finish, in cores.
type rate struct {
	done  float64
	since time.Time
	mean  float64
}

const (
	// backlogWindow is how long tasks must have waited before the rate counts as
	// all that is to be had; three windows of the rate.
	backlogWindow = 1500 * time.Millisecond
	rateWindow    = 500 * time.Millisecond
	rateWeight    = 0.3
)

func (r *rate) add(now time.Time, work float64) {
	if r.since.IsZero() {
		r.since = now
	}
	r.done += work
	if elapsed := now.Sub(r.since); elapsed > rateWindow {
		sample := r.done / elapsed.Seconds()
		if r.mean == 0 {
			r.mean = sample
		}
		r.mean += rateWeight * (sample - r.mean)
		r.done, r.since = 0, now
	}
}
