package yuccabroker

import (
	"container/heap"
	"slices"
	"time"
)

// taskQueue is a heap of the tasks of one queue that are to be placed, ordered by tier,
// rank and name. It implements heap.Interface.
type taskQueue struct {
	name, service string
	tasks         []*task
	// cpu is the processors the queued tasks need, in thousandths.
	cpu int
	// work is the work of the queued tasks, in core-seconds by estimate.
	work float64
	// runningCPU is the processors of the runs of the queue that may be alive, in
	// thousandths.
	runningCPU int
	// loggedAt is when it was last logged that the queue is over its share.
	loggedAt time.Time
}

func (q *taskQueue) Len() int { return len(q.tasks) }

func (q *taskQueue) Less(i, j int) bool { return q.tasks[i].isBefore(q.tasks[j]) }

// isBefore reports whether a task is placed before another one.
func (t *task) isBefore(other *task) bool {
	if t.tier != other.tier {
		return t.tier < other.tier
	}
	if !t.rank.Equal(other.rank) {
		return t.rank.Before(other.rank)
	}
	return t.name < other.name
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

// queueOf returns the queue for a task. There is one for each queue name, so that the
// tasks of a queue that is held back or confined don't delay those of others.
func (b *Broker) queueOf(t *task) *taskQueue {
	name := t.job.Queue.Name
	q := b.queues[name]
	if q == nil {
		q = &taskQueue{name: name}
		b.queues[name] = q
		b.queueList = append(b.queueList, q)
	}
	q.service = t.job.Queue.Service
	return q
}

// evictQueues removes the queues without tasks and runs.
func (b *Broker) evictQueues() {
	b.queueList = slices.DeleteFunc(b.queueList, func(q *taskQueue) bool {
		isUnused := q.Len() == 0 && q.runningCPU == 0
		if isUnused {
			delete(b.queues, q.name)
		}
		return isUnused
	})
}

// queuedTasks returns the number of queued tasks.
func (b *Broker) queuedTasks() int {
	n := 0
	for _, q := range b.queueList {
		n += q.Len()
	}
	return n
}

// openQueues returns the queues with tasks that are not confined.
func (b *Broker) openQueues() []*taskQueue {
	var open []*taskQueue
	for _, q := range b.queueList {
		if q.Len() > 0 && !b.isConfined(q.name) {
			open = append(open, q)
		}
	}
	return open
}

// firstQueue returns the queue whose first task is placed before those of the others, nil
// if all are empty.
func firstQueue(queues []*taskQueue) *taskQueue {
	var first *taskQueue
	for _, q := range queues {
		if q.Len() > 0 && (first == nil || q.peek().isBefore(first.peek())) {
			first = q
		}
	}
	return first
}

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
