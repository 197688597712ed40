package yuccamodel_test

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// node is a worker as its machine has it: it starts whatever it is told to, and
// keeps runs while its hold lasts.
type node struct {
	w       *world
	name    string
	life    yuccaworker.Incarnation
	cpu     int
	speed   float64
	bornAt  time.Time
	runs    map[yuccaworker.Key]*nodeRun
	seen    map[string]uint64
	ends    []yuccaworker.Completion
	number  int64
	token   int64
	holdTo  int64
	waiting []waitingHold

	down  bool
	hangs bool
	fails bool
	slow  float64
	// lateOrders is the share of calls that are carried out seconds late without
	// an answer.
	lateOrders float64
	lostAnswer float64
	sequence   int64
}

type nodeRun struct {
	cpu    int
	job    *callerJob
	leftMS float64
}

type waitingHold struct {
	call  yuccaworker.CallHold
	until time.Time
	reply func(yuccaworker.HoldResult)
}

func (n *node) clock() int64 { return n.w.now.Sub(n.bornAt).Milliseconds() * 99 / 100 }

func (n *node) report() yuccaworker.Report {
	n.sequence++
	return yuccaworker.Report{
		ID: n.life.ID, StartedAtMS: n.life.StartedAtMS, Service: "belfry", CPUMilli: n.cpu, MemoryMB: 32768,
		ClockMS: n.clock(), Sequence: n.sequence,
	}
}

// advance lets the runs work for a millisecond.
func (n *node) advance() {
	if n.down {
		return
	}
	if n.clock() > n.holdTo {
		for _, key := range n.keys() {
			n.end(key, yuccawire.RunEnd_RUN_END_LOST)
		}
	}
	for _, key := range n.keys() {
		r := n.runs[key]
		if !n.hangs {
			r.leftMS -= n.speed / max(n.slow, 1)
		}
		switch {
		case n.fails && r.leftMS < 50:
			n.end(key, yuccawire.RunEnd_RUN_END_FAILED)
		case r.leftMS <= 0:
			n.end(key, yuccawire.RunEnd_RUN_END_DONE)
		}
	}
	n.answerHolds()
}

func (n *node) keys() []yuccaworker.Key {
	return slices.SortedFunc(maps.Keys(n.runs), func(a, b yuccaworker.Key) int {
		if a.Task != b.Task {
			if a.Task < b.Task {
				return -1
			}
			return 1
		}
		return int(a.Run) - int(b.Run)
	})
}

func (n *node) answerHolds() {
	rest := n.waiting[:0]
	for _, h := range n.waiting {
		if len(n.ends) > 0 || !n.w.now.Before(h.until) {
			h.reply(n.lists(h.call))
			continue
		}
		rest = append(rest, h)
	}
	n.waiting = rest
}

func (n *node) end(key yuccaworker.Key, how yuccawire.RunEnd) {
	n.w.note("%s ends %v %v", n.name, key, how)
	r := n.runs[key]
	delete(n.runs, key)
	n.w.alive[key.Task]--
	n.number++
	n.seen[key.Task] = max(n.seen[key.Task], key.Run)
	n.ends = append(n.ends, yuccaworker.Completion{Number: n.number, Key: key, Outcome: how})
	if how == yuccawire.RunEnd_RUN_END_DONE {
		n.w.workDone += float64(r.cpu)
	}
}

// crash ends everything; the worker comes back as another life.
func (n *node) crash() {
	n.down = true
	for key := range n.runs {
		n.w.alive[key.Task]--
	}
	n.runs = make(map[yuccaworker.Key]*nodeRun)
	n.ends, n.waiting = nil, nil
}

func (n *node) rise() {
	n.down = false
	n.life.StartedAtMS++
	n.bornAt = n.w.now
	n.seen = make(map[string]uint64)
	n.number, n.token, n.holdTo, n.sequence = 0, 0, 0, 0
}

func (n *node) start(c yuccaworker.CallStart) yuccaworker.Result {
	key := c.Key
	switch {
	case c.Incarnation != n.life:
		return yuccaworker.ResultOtherIncarnation
	case c.Token < n.token:
		return yuccaworker.ResultFenced
	}
	n.token = c.Token
	if n.runs[key] != nil {
		return yuccaworker.ResultOK
	}
	if key.Run <= n.seen[key.Task] {
		return yuccaworker.ResultOldRun
	}
	if c.DeadlineMS <= n.clock() {
		return yuccaworker.ResultExpired
	}
	n.holdTo = max(n.holdTo, min(c.DeadlineMS, n.clock()+1000))
	job := n.w.callers[string(c.Payload)]
	size := job.tasks[key.Task]
	n.runs[key] = &nodeRun{cpu: size.cpu, job: job, leftMS: size.workMS}
	n.w.note("%s starts %v hold to %d clock %d", n.name, key, n.holdTo, n.clock())
	n.w.startedAt(n, key.Task, job)
	used := 0
	for _, r := range n.runs {
		used += r.cpu
	}
	if used > n.cpu {
		n.w.t.Errorf("seed %d, %v: %s is over its capacity: %d of %d", n.w.seed, n.w.now.Sub(began), n.name, used, n.cpu)
	}
	return yuccaworker.ResultOK
}

func (n *node) stop(c yuccaworker.CallStop) bool {
	if c.Incarnation != n.life || c.Token < n.token {
		return false
	}
	n.token = c.Token
	n.seen[c.Key.Task] = max(n.seen[c.Key.Task], c.Key.Run)
	if n.runs[c.Key] != nil {
		n.end(c.Key, yuccawire.RunEnd_RUN_END_STOPPED)
	}
	return true
}

func (n *node) hold(c yuccaworker.CallHold, reply func(yuccaworker.HoldResult)) {
	refused := yuccaworker.HoldResult{Incarnation: c.Incarnation, SentAt: c.SentAt, ClockMS: n.clock()}
	switch {
	case c.Incarnation != n.life:
		refused.Result = yuccaworker.ResultOtherIncarnation
		reply(refused)
		return
	case c.Token < n.token:
		refused.Result = yuccaworker.ResultFenced
		reply(refused)
		return
	}
	n.token = c.Token
	n.holdTo = max(n.holdTo, min(c.DeadlineMS, n.clock()+1000))
	for len(n.ends) > 0 && n.ends[0].Number <= c.Cursor {
		n.ends = n.ends[1:]
	}
	if len(n.ends) == 0 && c.Wait > 0 {
		n.waiting = append(n.waiting, waitingHold{call: c, until: n.w.now.Add(c.Wait), reply: reply})
		return
	}
	reply(n.lists(c))
}

func (n *node) lists(c yuccaworker.CallHold) yuccaworker.HoldResult {
	return yuccaworker.HoldResult{
		Incarnation: c.Incarnation, Result: yuccaworker.ResultOK, SentAt: c.SentAt, ClockMS: n.clock(),
		Running: n.keys(), Completions: slices.Clone(n.ends),
	}
}
