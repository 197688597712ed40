package yuccamodel_test

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// modelWorker is a simulated worker. It starts runs without regard to its
// capacity, which the sides must respect, and loses its runs when its lease
// expires.
type modelWorker struct {
	world       *world
	name        string
	startCount  int
	incarnation yuccaworker.Incarnation
	// cpuMilli is the current capacity, cpuLimit the one that starts are checked
	// against: a smaller one counts after capacityGrace.
	cpuMilli        int
	cpuLimit        int
	capacityChanges int
	labels          []string
	// speed is in milliseconds of work per millisecond.
	speed     float64
	startedAt time.Time
	runs      map[yuccaworker.Key]*modelRun
	// lastRun is the highest run number of each task that has ended or was
	// stopped. Older runs are refused.
	lastRun map[string]uint64
	// completions holds the completions that the side has not acknowledged.
	// lastCompletion is the number of the latest one.
	completions    []yuccaworker.Completion
	lastCompletion int64
	// token is the highest fencing token received.
	token int64
	// leaseUntilMS is in milliseconds of the worker's clock.
	leaseUntilMS int64
	pendingHolds []pendingHold

	isDown bool
	// refuses is set while only the process is down, not its machine.
	refuses bool
	hangs   bool
	fails   bool
	// failShare is the share of started runs that fail.
	failShare float64
	// hasFailed is set once the worker has failed runs.
	hasFailed bool
	// leavesAt is when the worker leaves, zero while it does not. It reports the time
	// unless hidesRemaining is set.
	leavesAt       time.Time
	hidesRemaining bool
	// slowdown divides the speed if it is more than 1.
	slowdown float64
	// delayedCallShare is the share of calls that take effect seconds late and
	// get no answer.
	delayedCallShare float64
	// delaySpread is by how much the delays of these calls differ.
	delaySpread    time.Duration
	lostReplyShare float64
	// unhealthyShare is the share of starts that are refused as unhealthy,
	// noCapacityShare that of starts of new runs that are refused for lack of capacity.
	unhealthyShare  float64
	noCapacityShare float64
	// stopTime is how long stops take, during which hidesStopping keeps the runs from both
	// lists.
	stopTime      time.Duration
	hidesStopping bool
	// refusalsDue is how many of the next starts are refused as unhealthy.
	refusalsDue    int
	reportSequence int64
	// reportsFrom is when a restarted worker sends its first report.
	reportsFrom time.Time
	// standsStill is set while the worker does nothing, though its clock goes on. waiting are the
	// calls that it has received since. isLate is set while it executes them, as nobody waits
	// for the answers any more.
	standsStill bool
	waiting     []func()
	isLate      bool
	// isUnreachable is set while no call arrives, isUnheard while neither answers nor reports leave the machine.
	isUnreachable, isUnheard bool
}

// modelRun is a run of a task; remainingMS is the work left.
type modelRun struct {
	cpuMilli    int
	job         *callerJob
	remainingMS float64
	startedAt   time.Time
	// fails is set if the run fails near its end.
	fails bool
	// isStopping is set from the stop of the run on.
	isStopping bool
}

// pendingHold is a hold call that waits for a completion.
type pendingHold struct {
	call  yuccaworker.CallHold
	until time.Time
	reply func(yuccaworker.HoldResult)
}

// clock returns the worker's clock in milliseconds, which runs 1 % slow.
func (m *modelWorker) clock() int64 { return m.world.now.Sub(m.startedAt).Milliseconds() * 99 / 100 }

func (m *modelWorker) report() yuccaworker.Report {
	m.reportSequence++
	remaining := time.Duration(0)
	if !m.leavesAt.IsZero() && !m.hidesRemaining {
		remaining = max(m.leavesAt.Sub(m.world.now), time.Millisecond)
	}
	return yuccaworker.Report{
		Leaving: !m.leavesAt.IsZero(), Remaining: remaining,
		ID: m.incarnation.ID, StartedAtMS: m.incarnation.StartedAtMS, Service: "belfry", CPUMilli: m.cpuMilli, MemoryMB: 32768, Labels: m.labels,
		ClockMS: m.clock(), Sequence: m.reportSequence,
	}
}

// advance simulates a millisecond of the worker's runs.
func (m *modelWorker) advance() {
	if m.isDown || m.standsStill {
		return
	}
	if len(m.runs) > 0 && m.clock() > m.leaseUntilMS {
		for _, key := range m.runKeys() {
			m.complete(key, yuccawire.RunEnd_RUN_END_LOST)
		}
	}
	if len(m.runs) == 0 {
		m.answerHolds()
		return
	}
	for _, key := range m.runKeys() {
		r := m.runs[key]
		if !m.hangs {
			r.remainingMS -= m.speed / max(m.slowdown, 1)
		}
		switch {
		case (m.fails || r.fails) && r.remainingMS < 50:
			m.hasFailed = true
			m.world.failedRuns++
			r.job.failedRuns++
			m.complete(key, yuccawire.RunEnd_RUN_END_FAILED)
		case r.remainingMS <= 0:
			m.complete(key, yuccawire.RunEnd_RUN_END_DONE)
		}
	}
	m.answerHolds()
}

func (m *modelWorker) runKeys() []yuccaworker.Key {
	keys := slices.AppendSeq(make([]yuccaworker.Key, 0, len(m.runs)), maps.Keys(m.runs))
	slices.SortFunc(keys, func(a, b yuccaworker.Key) int {
		if a.Task != b.Task {
			if a.Task < b.Task {
				return -1
			}
			return 1
		}
		return int(a.Run) - int(b.Run)
	})
	return keys
}

// listedKeys returns the runs that the worker lists as running.
func (m *modelWorker) listedKeys() []yuccaworker.Key {
	return slices.DeleteFunc(m.runKeys(), func(key yuccaworker.Key) bool { return m.hidesStopping && m.runs[key].isStopping })
}

// answerHolds answers the hold calls whose wait is over, or all of them if there
// is a completion.
func (m *modelWorker) answerHolds() {
	pending := m.pendingHolds[:0]
	for _, h := range m.pendingHolds {
		if len(m.completions) > 0 || !m.world.now.Before(h.until) {
			h.reply(m.holdResult(h.call))
			continue
		}
		pending = append(pending, h)
	}
	m.pendingHolds = pending
}

func (m *modelWorker) complete(key yuccaworker.Key, outcome yuccawire.RunEnd) {
	m.world.logf("%s completes %v %v", m.name, key, outcome)
	r := m.runs[key]
	delete(m.runs, key)
	m.world.sidesByName[m.name].touch("end of the run")
	m.world.runningCount[key.Task]--
	m.lastCompletion++
	m.lastRun[key.Task] = max(m.lastRun[key.Task], key.Run)
	m.completions = append(m.completions, yuccaworker.Completion{Number: m.lastCompletion, Key: key, Outcome: outcome})
	if outcome == yuccawire.RunEnd_RUN_END_DONE {
		m.world.workDone += float64(r.cpuMilli)
	}
}

// setCapacity changes the capacity while tasks run.
func (m *modelWorker) setCapacity(cpuMilli int) {
	m.world.logf("fault %s capacity %d to %d", m.name, m.cpuMilli, cpuMilli)
	m.cpuMilli = cpuMilli
	m.cpuLimit = max(m.cpuLimit, cpuMilli)
	m.capacityChanges++
	change := m.capacityChanges
	m.world.after(capacityGrace, func() {
		if m.capacityChanges == change {
			m.cpuLimit = cpuMilli
		}
	})
}

// crash stops the worker and all its runs. It restarts as a new incarnation.
func (m *modelWorker) crash() {
	m.isDown = true
	m.standsStill, m.waiting = false, nil
	for key := range m.runs {
		m.world.runningCount[key.Task]--
		m.world.lostRuns[key.Task]++
	}
	for _, e := range m.completions {
		m.world.lostEnds[e.Key.Task]++
	}
	m.runs = make(map[yuccaworker.Key]*modelRun)
	m.completions, m.pendingHolds = nil, nil
}

// crashProcess is the crash of the worker's process alone: its connections are
// closed, and it refuses new ones.
func (m *modelWorker) crashProcess() {
	holds := m.pendingHolds
	m.refuses = true
	m.crash()
	for _, h := range holds {
		h.reply(yuccaworker.HoldResult{Incarnation: h.call.Incarnation, SentAt: h.call.SentAt})
	}
}

// crashBy schedules the crash of the worker by a run.
func (m *modelWorker) crashBy(key yuccaworker.Key) {
	r := m.runs[key]
	m.world.after(crashDelay, func() {
		if m.isDown || m.runs[key] != r {
			return
		}
		m.world.crashes[key.Task]++
		m.world.workerCrashes++
		m.world.logf("%s is crashed by %v, the worker %d of that task", m.name, key, m.world.crashes[key.Task])
		m.crashProcess()
		m.world.onCrash(r.job)
		m.world.after(restartDelay, func() {
			m.restart()
			m.world.sidesByName[m.name].handleReport()
		})
	})
}

// restart starts the next incarnation. If the worker is up, as an earlier fault has overlapped, its runs end with it.
func (m *modelWorker) restart() {
	if !m.isDown {
		m.crash()
	}
	m.isDown, m.refuses = false, false
	m.incarnation.StartedAtMS = max(m.incarnation.StartedAtMS+1, m.world.now.UnixMilli())
	m.startedAt = m.world.now
	m.lastRun = make(map[string]uint64)
	m.lastCompletion, m.token, m.leaseUntilMS, m.reportSequence = 0, 0, 0, 0
}

// start executes the call also if it was meant for an earlier incarnation with the same
// ID, as calls name their target by ID.
func (m *modelWorker) start(c yuccaworker.CallStart) yuccaworker.Result {
	key := c.Key
	switch {
	case c.Incarnation.ID != m.incarnation.ID:
		return yuccaworker.ResultOtherWorker
	case m.unhealthyShare > 0 && m.world.random.Float64() < m.unhealthyShare:
		m.world.logf("%s refuses %v as unhealthy", m.name, key)
		return yuccaworker.ResultUnhealthy
	case m.refusalsDue > 0:
		m.refusalsDue--
		return yuccaworker.ResultUnhealthy
	case c.Token < m.token:
		return yuccaworker.ResultFenced
	}
	m.token = c.Token
	if r := m.runs[key]; r != nil && !r.isStopping {
		return yuccaworker.ResultOK
	}
	if key.Run <= m.lastRun[key.Task] {
		return yuccaworker.ResultOldRun
	}
	if c.DeadlineMS <= m.clock() {
		return yuccaworker.ResultExpired
	}
	m.leaseUntilMS = max(m.leaseUntilMS, min(c.DeadlineMS, m.clock()+1000))
	if m.noCapacityShare > 0 && m.world.random.Float64() < m.noCapacityShare {
		m.world.logf("%s refuses %v for lack of capacity", m.name, key)
		return yuccaworker.ResultNoCapacity
	}
	job := m.world.callers[string(c.Payload)]
	size := job.tasks[key.Task]
	m.runs[key] = &modelRun{cpuMilli: size.cpuMilli, job: job, remainingMS: size.workMS, startedAt: m.world.now}
	if rack := job.job.Steps[0].NearRack; rack != "" && !slices.Contains(m.labels, rack) {
		m.runs[key].remainingMS *= m.world.remoteFactor
	}
	if share := max(m.failShare, job.kind.failShare); share > 0 {
		m.runs[key].fails = m.world.random.Float64() < share
	}
	m.world.logf("%s starts %v lease until %d clock %d", m.name, key, m.leaseUntilMS, m.clock())
	m.startCount++
	m.world.recordStart(m, key.Task, job)
	if job.crashes[key.Task] {
		m.crashBy(key)
	}
	used := 0
	for _, r := range m.runs {
		used += r.cpuMilli
	}
	if used > m.cpuLimit {
		m.world.reportViolation(m.name, "%s exceeds its capacity: %d of %d milli-CPU in use", m.name, used, m.cpuLimit)
	}
	return yuccaworker.ResultOK
}

// receiveLate executes a call that nobody waits for any more.
func (m *modelWorker) receiveLate(deliver func()) {
	switch {
	case m.isDown:
	case m.standsStill:
		m.waiting = append(m.waiting, deliver)
	default:
		deliver()
	}
}

func (m *modelWorker) stop(c yuccaworker.CallStop) bool {
	if c.Incarnation.ID != m.incarnation.ID || c.Token < m.token {
		return false
	}
	m.token = c.Token
	m.lastRun[c.Key.Task] = max(m.lastRun[c.Key.Task], c.Key.Run)
	r := m.runs[c.Key]
	switch {
	case r == nil || r.isStopping:
	case m.stopTime == 0:
		m.complete(c.Key, yuccawire.RunEnd_RUN_END_STOPPED)
	default:
		r.isStopping = true
		m.world.after(m.stopTime, func() {
			if m.runs[c.Key] == r {
				m.complete(c.Key, yuccawire.RunEnd_RUN_END_STOPPED)
			}
		})
	}
	return true
}

func (m *modelWorker) hold(c yuccaworker.CallHold, reply func(yuccaworker.HoldResult)) {
	refusal := yuccaworker.HoldResult{Incarnation: c.Incarnation, SentAt: c.SentAt, ClockMS: m.clock()}
	switch {
	case c.Incarnation.ID != "" && c.Incarnation.ID != m.incarnation.ID:
		refusal.Result = yuccaworker.ResultOtherWorker
		reply(refusal)
		return
	case c.Token < m.token:
		refusal.Result = yuccaworker.ResultFenced
		reply(refusal)
		return
	}
	m.token = c.Token
	m.leaseUntilMS = max(m.leaseUntilMS, min(c.DeadlineMS, m.clock()+1000))
	for len(m.completions) > 0 && m.completions[0].Number <= c.Cursor {
		m.completions = m.completions[1:]
	}
	if len(m.completions) == 0 && c.Wait > 0 {
		m.pendingHolds = append(m.pendingHolds, pendingHold{call: c, until: m.world.now.Add(c.Wait), reply: reply})
		return
	}
	reply(m.holdResult(c))
}

// holdResult tells only now whether the hold was meant for an earlier incarnation.
func (m *modelWorker) holdResult(c yuccaworker.CallHold) yuccaworker.HoldResult {
	result := yuccaworker.ResultOK
	if c.Incarnation != m.incarnation {
		result = yuccaworker.ResultRestarted
	}
	return yuccaworker.HoldResult{
		Incarnation: c.Incarnation, Result: result, SentAt: c.SentAt, ClockMS: m.clock(),
		Running: m.listedKeys(), Completions: slices.Clone(m.completions),
	}
}
