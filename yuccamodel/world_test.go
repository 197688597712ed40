package yuccamodel_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

var startTime = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

const (
	// oneWay is the one-way delay of a link, callDelay that of a local call.
	oneWay    = 1500 * time.Microsecond
	callDelay = 300 * time.Microsecond
	// linkTimeout is how long a partition lasts before the link is closed,
	// reconnectDelay the minimum delay before the next link.
	linkTimeout    = 1300 * time.Millisecond
	reconnectDelay = 60 * time.Millisecond
	// unreachableAfter is when sides replace an entry that is down.
	unreachableAfter = 1500 * time.Millisecond
	tickInterval     = 20 * time.Millisecond
	reportInterval   = 1500 * time.Millisecond
	// capacityGrace is when a smaller capacity counts: one report and some slack.
	capacityGrace = reportInterval + 100*time.Millisecond
	// resubmitDelay is how long a caller waits before it retries after its
	// connection has closed.
	resubmitDelay = 1300 * time.Millisecond
	// crashDelay is when after its start a crashing task crashes its worker,
	// restartDelay how long the worker is down then. maxCrashes is how many workers
	// a task may crash, unless a test sets another number.
	crashDelay   = 10 * time.Millisecond
	restartDelay = 3300 * time.Millisecond
	maxCrashes   = 2
	// Delayed calls take effect minLateness late, and up to usualDelaySpread more unless
	// a test sets another spread.
	minLateness      = 2 * time.Second
	usualDelaySpread = 8 * time.Second
)

// event is a scheduled action. Events of the same time run in order of sequence.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

type eventQueue []*event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = nil
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a simulated deployment of entries and sides, with simulated time and
// an event queue.
type world struct {
	t            testing.TB
	seed         uint64
	random       *rand.Rand
	now          time.Time
	queue        eventQueue
	lastSequence int
	// handled counts the events that were handled.
	handled int
	entries []*modelEntry
	sides   []*modelSide
	links   map[[2]int]*link
	// entryLinks are the links between entries. demandReports counts the reports of demand
	// on them.
	entryLinks    map[entryPair]*link
	demandReports int
	// isLinked reports which entries and sides are linked.
	isLinked func(e *modelEntry, s *modelSide) bool
	// jobRandom makes the jobs independent of what else is random, if it is set.
	jobRandom *rand.Rand
	// shape changes new jobs before they are submitted. remoteFactor is how many times
	// as long a task takes outside the rack of its data.
	shape        func(j *callerJob)
	remoteFactor float64
	// entriesOf and sidesByName index the entries by data centre and the sides.
	entriesOf   map[string][]*modelEntry
	sidesByName map[string]*modelSide
	// patience is how long after the objective callers stop waiting.
	patience time.Duration
	// meanCPUMilli is the mean processor demand of a task, kinds are the kinds of
	// jobs.
	meanCPUMilli float64
	kinds        []jobKind
	// lateFirstStarts is the share of the tasks whose first start is executed late. firstStarts are those
	// that were sent.
	lateFirstStarts float64
	firstStarts     map[string]bool
	// noticeSpread is how much later one end may notice that a link is up or down. If it is
	// zero, both notice it at once.
	noticeSpread time.Duration
	// scheduling holds the settings of the entries.
	scheduling yuccabroker.Scheduling
	// pickEntry returns the entry for the next submission.
	pickEntry func() *modelEntry
	// messages counts the messages on links, heldLists those received with held tasks.
	messages, heldLists int
	callers             map[string]*callerJob
	// jobs holds all jobs in order of arrival.
	jobs []*callerJob
	// runningCount counts the current runs of each task.
	runningCount map[string]int
	// crashingShare is the share of new jobs, by kind, whose first task crashes the
	// worker that starts it. crashes counts the workers that each task has crashed.
	crashingShare map[string]float64
	crashes       map[string]int
	// lostRuns counts the runs of each task that ended with their worker.
	lostRuns map[string]int
	// lostEnds counts the ends that were lost with their worker before it could forget them.
	lostEnds      map[string]int
	workerCrashes int
	failedRuns    int
	maxCrashes    int
	// onCrash is called when a task of the job has crashed a worker.
	onCrash  func(j *callerJob)
	workDone float64
	starts   int
	jobCount int
	// log is the trace that is printed with a violation, unless isQuiet is set.
	log     []string
	isQuiet bool
	// alter changes a message that is sent, or drops it by returning nil. connectResult changes the result of a
	// connection to a worker.
	alter         func(m *yuccawire.Envelope) *yuccawire.Envelope
	connectResult func(r yuccaworker.Result) yuccaworker.Result
	// onTouch is called before each event that concerns a run, if it is set.
	onTouch func(t touch)
}

// modelEntry is a simulated entry. While it is frozen, its events are deferred.
type modelEntry struct {
	world       *world
	index       int
	name        string
	dataCentre  string
	incarnation uint64
	// isReplica is set if it has a replica of the configuration.
	isReplica   bool
	broker      *yuccabroker.Broker
	isDown      bool
	isFrozen    bool
	deferred    []func()
	suspensions suspensions
	waiters     map[uint64]*callerJob
	lastWaiter  uint64
	// peers are the linked entries.
	peers []*modelEntry
}

// modelSide is a simulated side with its worker. While it is frozen, its events
// are deferred.
type modelSide struct {
	world       *world
	index       int
	name        string
	dataCentre  string
	incarnation uint64
	core        *yuccaworker.Worker
	// state is what the side last told an entry of its worker.
	state  *yuccawire.WorkerState
	worker *modelWorker
	// nextLateness is how late the next call is executed, losesNextReply whether the next answer is lost. lateCalls
	// counts the calls that are still on their way.
	nextLateness   time.Duration
	lateCalls      int
	losesNextReply bool
	isDown         bool
	isFrozen       bool
	deferred       []func()
	// suspensions are those of the machine, with its worker.
	suspensions suspensions
}

// link connects an entry and a side. A partition delays messages until it is
// healed; they are lost if the link is closed first.
type link struct {
	isUp          bool
	epoch         int
	isPartitioned bool
	// isCutToSide and isCutToEntry are set while messages in that direction are delayed.
	isCutToSide, isCutToEntry bool
	// newest is the last connection, atEntry and atSide those that the ends use, or nil.
	newest, atEntry, atSide *connection
	// opened counts the connections, lastAtEntry is the number of the newest that has come up at the entry.
	opened, lastAtEntry int
	delayed             []func()
	partitionedAt       time.Time
}

// newWorld returns a deployment of the size of the first ones: one data centre, in
// which every entry is linked to every side.
func newWorld(t *testing.T, seed uint64, entries, sides int) *world {
	w := newFleet(t, seed, 1, entries, sides)
	w.start()
	return w
}

// newFleet returns a deployment that is spread evenly over data centres. Every entry
// is linked to every side, unless isLinked is replaced before start.
func newFleet(t testing.TB, seed uint64, dataCentres, entries, sides int) *world {
	w := &world{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), now: startTime,
		links: make(map[[2]int]*link), entryLinks: make(map[entryPair]*link), callers: make(map[string]*callerJob), runningCount: make(map[string]int),
		crashingShare: make(map[string]float64), crashes: make(map[string]int), lostRuns: make(map[string]int), lostEnds: make(map[string]int), maxCrashes: maxCrashes, onCrash: func(*callerJob) {},
		isLinked:  func(*modelEntry, *modelSide) bool { return true },
		entriesOf: make(map[string][]*modelEntry), sidesByName: make(map[string]*modelSide),
		firstStarts: make(map[string]bool), meanCPUMilli: firstMeanCPUMilli, kinds: jobKinds, patience: callerPatience, scheduling: scheduling(),
	}
	w.alter = func(m *yuccawire.Envelope) *yuccawire.Envelope { return m }
	w.connectResult = func(r yuccaworker.Result) yuccaworker.Result { return r }
	w.pickEntry = func() *modelEntry { return w.entries[w.random.IntN(len(w.entries))] }
	speeds := []float64{0.8, 1, 1.25}
	for i := range sides {
		m := &modelWorker{
			world: w, name: fmt.Sprintf("side-%d", i), incarnation: yuccaworker.Incarnation{ID: fmt.Sprintf("w-%d", i), StartedAtMS: 1},
			cpuMilli: 16000, speed: speeds[i%3], startedAt: startTime.Add(-time.Minute),
			runs: make(map[yuccaworker.Key]*modelRun), lastRun: make(map[string]uint64), delaySpread: usualDelaySpread,
		}
		if i%3 == 2 {
			m.cpuMilli = 24000
		}
		m.cpuLimit = m.cpuMilli
		s := &modelSide{world: w, index: i, name: m.name, dataCentre: fmt.Sprint("dc", i%dataCentres), worker: m}
		w.sides = append(w.sides, s)
		w.sidesByName[s.name] = s
	}
	for i := range entries {
		e := &modelEntry{world: w, index: i, name: fmt.Sprintf("entry-%d", i), dataCentre: fmt.Sprint("dc", i%dataCentres)}
		w.entries = append(w.entries, e)
		w.entriesOf[e.dataCentre] = append(w.entriesOf[e.dataCentre], e)
	}
	return w
}

// start starts all processes.
func (w *world) start() {
	for _, s := range w.sides {
		s.start()
	}
	w.chooseEntryPeers()
	for _, e := range w.entries {
		e.start()
	}
	w.every(tickInterval, w.tickAll)
	w.every(reportInterval, w.reportAll)
	w.every(time.Millisecond, w.advanceAll)
}

func (w *world) after(d time.Duration, action func()) {
	w.lastSequence++
	heap.Push(&w.queue, &event{at: w.now.Add(d), sequence: w.lastSequence, action: action})
}

func (w *world) every(d time.Duration, action func()) {
	var repeat func()
	repeat = func() {
		action()
		w.after(d, repeat)
	}
	w.after(d, repeat)
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && !w.t.Failed() {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.at
		w.handled++
		e.action()
	}
	w.now = end
}

func (w *world) tickAll() {
	for _, e := range w.entries {
		if !e.isFrozen || w.noticeSpread == 0 {
			e.handle(e.tick)
		}
	}
	for _, s := range w.sides {
		if !s.isFrozen || w.noticeSpread == 0 {
			s.handle(s.tick)
		}
	}
}

func (e *modelEntry) tick() {
	e.broker.Tick(e.now())
	e.exchangeDemand()
}

func (s *modelSide) tick() { s.core.Tick(s.now()) }

func (w *world) reportAll() {
	for _, s := range w.sides {
		if !s.worker.isDown && !s.worker.standsStill && !s.worker.isUnheard && !w.now.Before(s.worker.reportsFrom) {
			s.handleReport()
		}
	}
}

// handleReport delivers a report of the worker to its side.
func (s *modelSide) handleReport() {
	r := s.worker.report()
	s.touch("report")
	s.handle(func() { s.core.HandleReport(s.now(), r) })
}

func (w *world) advanceAll() {
	for _, s := range w.sides {
		s.worker.advance()
	}
}

// logf appends a line to the log.
func (w *world) logf(format string, args ...any) {
	if w.isQuiet {
		return
	}
	w.log = append(w.log, fmt.Sprintf("%v ", w.now.Sub(startTime))+fmt.Sprintf(format, args...))
}

// reportViolation fails the test and prints the log lines of the job and all
// injected faults.
func (w *world) reportViolation(job, format string, args ...any) {
	for _, line := range w.log {
		if strings.Contains(line, job) || strings.Contains(line, "fault") {
			w.t.Log(line)
		}
	}
	w.t.Errorf("seed %d, %v: %s", w.seed, w.now.Sub(startTime), fmt.Sprintf(format, args...))
}

// recordStart counts a start and checks that the task has no other run and that
// its job was not refused.
func (w *world) recordStart(m *modelWorker, task string, job *callerJob) {
	w.starts++
	w.runningCount[task]++
	if w.runningCount[task] > 1 {
		w.reportViolation(job.job.ID, "%s starts on %s while another run of it exists", task, m.name)
	}
	if job.wasRefused {
		w.reportViolation(job.job.ID, "%s starts after its job was refused as not run", task)
	}
	if w.crashes[task] >= w.maxCrashes {
		w.reportViolation(job.job.ID, "%s starts on %s after it has crashed %d workers", task, m.name, w.crashes[task])
	}
	if !job.hasRun {
		job.startedAt = w.now
	}
	job.hasRun = true
}

// start starts a new incarnation of the entry.
func (e *modelEntry) start() {
	w := e.world
	e.incarnation++
	e.isDown, e.suspensions.unnoticed = false, 0
	e.waiters = make(map[uint64]*callerJob)
	e.broker = yuccabroker.New(yuccabroker.Options{
		Name: e.name, Incarnation: e.incarnation, DataCentre: e.dataCentre, IsReplica: e.isReplica, ToleratedFailures: 1, Scheduling: w.scheduling, Random: rand.New(rand.NewPCG(w.seed, uint64(e.index)<<8|e.incarnation)),
		Metrics: yuccametric.New(e.name), Logger: slog.New(slog.DiscardHandler),
	})
	for _, s := range w.sides {
		if w.isLinked(e, s) {
			w.connect(e, s)
		}
	}
	e.setMembers()
	e.connectPeers()
}

// setMembers tells the broker which other entries there are.
func (e *modelEntry) setMembers() {
	var names, replicas []string
	for _, peer := range e.peers {
		names = append(names, peer.name)
		if peer.isReplica {
			replicas = append(replicas, peer.name)
		}
	}
	e.broker.SetMembers(e.now(), names)
	e.broker.SetReplicas(replicas)
}

// start starts a new incarnation of the side.
func (s *modelSide) start() {
	w := s.world
	s.incarnation++
	s.isDown, s.suspensions.unnoticed = false, 0
	s.core = yuccaworker.New(yuccaworker.Options{Name: s.name, Metrics: yuccametric.New(s.name), Logger: slog.New(slog.DiscardHandler)}, s.now())
	if !s.worker.isDown && !s.worker.standsStill && !s.worker.isUnheard && !w.now.Before(s.worker.reportsFrom) {
		s.handleReport()
	}
	for _, e := range w.entries {
		if e.broker != nil && w.isLinked(e, s) {
			w.connect(e, s)
		}
	}
}

// handle calls handler for an event and performs the resulting actions. It defers
// the call if the entry is frozen, and does nothing if the entry is down.
func (e *modelEntry) handle(handler func()) {
	if e.isDown {
		return
	}
	if e.isFrozen {
		e.deferred = append(e.deferred, handler)
		return
	}
	e.checkSuspension()
	handler()
	e.broker.Place(e.now())
	e.performActions()
}

func (e *modelEntry) performActions() {
	w := e.world
	for _, a := range e.broker.Actions() {
		switch a := a.(type) {
		case yuccabroker.Send:
			w.sendToSide(e, w.sidesByName[a.Side], a.Message)
		case yuccabroker.Publish:
			w.publish(e, a.Message, a.To)
		case yuccabroker.Answer:
			if j := e.waiters[a.Waiter]; j != nil {
				delete(e.waiters, a.Waiter)
				waiter := a.Waiter
				e.touch("answer sent")
				w.after(oneWay, func() { j.handleAnswer(e, waiter, a.Outcome) })
			}
		}
	}
}

// publish sends a message to the linked entries named, or to all. Crash reports and the jobs that have ended
// reach those that aren't linked, too.
func (w *world) publish(from *modelEntry, m *yuccawire.Envelope, to []string) {
	if m = w.alter(m); m == nil {
		return
	}
	isFlooded := m.GetHeldTasks() == nil && m.GetLinkRequest() == nil && m.GetOpenJobs() == nil && m.GetOpenJobsSeen() == nil && m.GetForward() == nil &&
		m.GetPlacements() == nil && m.GetLostPlacements() == nil
	for _, e := range w.entries {
		if e == from || e.isDown {
			continue
		}
		incarnation, sender := e.incarnation, from.incarnation
		deliver := func() {
			if e.incarnation == incarnation {
				e.handle(func() { e.handleFrom(from, sender, m) })
			}
		}
		if isFlooded {
			w.after(oneWay, deliver)
		} else if l := w.entryLinks[pairOf(from, e)]; l != nil && (to == nil || slices.Contains(to, e.name)) {
			w.transmit(l, deliver)
		}
	}
}

// handleFrom handles a message of an incarnation of another entry.
func (e *modelEntry) handleFrom(from *modelEntry, incarnation uint64, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_OpenJobs:
		e.world.logf("%s receives from %s.%d open jobs %v", e.name, from.name, incarnation, body.OpenJobs)
		e.broker.HandleOpenJobs(e.now(), from.name, incarnation, body.OpenJobs)
	case *yuccawire.Envelope_OpenJobsSeen:
		e.world.logf("%s receives from %s.%d open jobs seen %v", e.name, from.name, incarnation, body.OpenJobsSeen)
		e.broker.HandleOpenJobsSeen(e.now(), from.name, body.OpenJobsSeen)
	case *yuccawire.Envelope_Placements:
		e.broker.HandlePlacements(e.now(), from.name, incarnation, body.Placements)
	case *yuccawire.Envelope_LostPlacements:
		e.world.logf("%s receives from %s.%d lost placements %v", e.name, from.name, incarnation, body.LostPlacements)
		e.broker.HandleLostPlacements(e.now(), body.LostPlacements)
	case *yuccawire.Envelope_Forward:
		e.world.logf("%s receives from %s.%d forwarded %v", e.name, from.name, incarnation, body.Forward)
		e.broker.HandleForward(e.now(), body.Forward)
	default:
		e.handlePublished(from, m)
	}
}

func (e *modelEntry) handlePublished(from *modelEntry, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_CrashReport:
		e.broker.HandleCrashReport(e.now(), body.CrashReport)
	case *yuccawire.Envelope_HeldTasks:
		e.world.heldLists++
		e.world.logf("%s receives held tasks %v", e.name, body.HeldTasks)
		e.broker.HandleHeldTasks(e.now(), body.HeldTasks)
		if body.HeldTasks.GetSender() == from.name && body.HeldTasks.GetIncarnation() == from.incarnation && !body.HeldTasks.GetPartial() {
			e.confirmHeld(from, body.HeldTasks.GetSequence())
		}
	case *yuccawire.Envelope_EndedJobs:
		e.broker.HandleEndedJobs(e.now(), body.EndedJobs)
	case *yuccawire.Envelope_LinkRequest:
		e.world.logf("%s receives link request %v", e.name, body.LinkRequest)
		e.broker.HandleLinkRequest(e.now(), body.LinkRequest)
	}
}

// confirmHeld tells a linked entry that its list has come.
func (e *modelEntry) confirmHeld(to *modelEntry, sequence uint64) {
	incarnation := to.incarnation
	e.world.transmit(e.world.entryLinks[pairOf(e, to)], func() {
		if to.incarnation == incarnation {
			to.handle(func() {
				to.broker.HandleHeldSeen(to.now(), e.name, &yuccawire.HeldSeen{Sequence: sequence})
				if sequence == 0 {
					to.sendLists(e, to.broker.HeldParts(to.now()))
				}
			})
		}
	})
}

func (s *modelSide) handle(handler func()) {
	if s.isDown {
		return
	}
	if s.isFrozen {
		s.deferred = append(s.deferred, handler)
		return
	}
	s.checkSuspension()
	handler()
	s.performActions()
}

func (s *modelSide) performActions() {
	w := s.world
	for _, a := range s.core.Actions() {
		switch a := a.(type) {
		case yuccaworker.Send:
			if state := cmp.Or(a.Message.GetWorkerState(), a.Message.GetEnds().GetState()); state != nil {
				s.state = state
			}
			for _, e := range w.entries {
				if e.name == a.Owner.Name && e.incarnation == a.Owner.Incarnation {
					w.sendToEntry(s, e, a.Message)
				}
			}
		case yuccaworker.CallStart:
			s.callStart(a)
		case yuccaworker.CallStop:
			s.callStop(a)
		case yuccaworker.CallHold:
			s.callHold(a)
		case yuccaworker.CallConnect:
			s.callConnect(a)
		}
	}
}

// call simulates a call to the worker. The call takes effect after callDelay, or
// seconds late without an answer, or never if the worker is down. If only its process
// is down, the connection is refused.
func (s *modelSide) call(deliver, onRefused, onTimeout func(), timeout time.Duration) {
	s.callLate(0, deliver, onRefused, onTimeout, timeout)
}

// callLate is call, of which a share is late at least.
func (s *modelSide) callLate(lateShare float64, deliver, onRefused, onTimeout func(), timeout time.Duration) {
	w, m := s.world, s.worker
	incarnation := s.incarnation
	failLater := func() {
		onFailure, delay := onTimeout, timeout
		if m.refuses {
			onFailure, delay = onRefused, callDelay
		}
		s.after(delay, func() {
			if s.incarnation == incarnation {
				s.handle(onFailure)
			}
		})
	}
	lateness := s.nextLateness
	s.nextLateness = 0
	switch {
	case m.isDown || m.isUnreachable:
		failLater()
	case lateness > 0:
		s.lateCalls++
		w.after(lateness, func() {
			s.lateCalls--
			m.receiveLate(deliver)
		})
		failLater()
	case w.random.Float64() < max(m.delayedCallShare, lateShare):
		w.after(minLateness+time.Duration(w.random.IntN(int(m.delaySpread.Milliseconds())))*time.Millisecond, func() { m.receiveLate(deliver) })
		failLater()
	default:
		w.after(callDelay, func() {
			switch {
			case s.suspensions.isSuspended():
				m.waiting = append(m.waiting, deliver)
			case m.standsStill:
				m.waiting = append(m.waiting, deliver)
				failLater()
			case !m.isDown:
				deliver()
			case m.refuses && s.incarnation == incarnation:
				// The connection was open when the worker crashed.
				s.handle(onTimeout)
			default:
				failLater()
			}
		})
	}
}

// reply simulates the reply to a call, which is lost with the probability
// lostReplyShare.
func (s *modelSide) reply(call string, deliver, onTimeout func(), timeout time.Duration) {
	w := s.world
	incarnation := s.incarnation
	if s.worker.isLate {
		return
	}
	s.touch(call + " answered")
	isLost := s.losesNextReply || s.worker.isUnheard
	s.losesNextReply = false
	if isLost || w.random.Float64() < s.worker.lostReplyShare {
		deliver = onTimeout
	} else {
		timeout = callDelay
	}
	s.after(timeout, func() {
		if s.incarnation == incarnation {
			s.handle(deliver)
		}
	})
}

func (s *modelSide) callStart(a yuccaworker.CallStart) {
	core := s.core
	s.world.logf("%s sends start %v", s.name, a.Key)
	onTimeout := func() { core.HandleStartReply(s.now(), a.Incarnation, a.Key, yuccaworker.ResultUnknown, 0) }
	onRefused := func() { core.HandleStartReply(s.now(), a.Incarnation, a.Key, yuccaworker.ResultUnreachable, 0) }
	lateShare := 0.0
	if !s.world.firstStarts[a.Key.Task] {
		lateShare, s.world.firstStarts[a.Key.Task] = s.world.lateFirstStarts, true
	}
	s.touch("start sent")
	s.callLate(lateShare, func() {
		s.touch("start executed")
		result, clock := s.worker.start(a), s.worker.clock()
		s.reply("start", func() { core.HandleStartReply(s.now(), a.Incarnation, a.Key, result, clock) }, onTimeout, a.Timeout)
	}, onRefused, onTimeout, a.Timeout)
}

func (s *modelSide) callStop(a yuccaworker.CallStop) {
	core := s.core
	s.world.logf("%s calls stop %v", s.name, a.Key)
	onTimeout := func() { core.HandleStopReply(s.now(), a.Incarnation, a.Key, false, 0) }
	s.touch("stop sent")
	s.call(func() {
		s.touch("stop executed")
		answered, clock := s.worker.stop(a), s.worker.clock()
		s.world.logf("%s executes stop %v, accepted %v", s.worker.name, a.Key, answered)
		s.reply("stop", func() { core.HandleStopReply(s.now(), a.Incarnation, a.Key, answered, clock) }, onTimeout, a.Timeout)
	}, onTimeout, onTimeout, a.Timeout)
}

func (s *modelSide) callHold(a yuccaworker.CallHold) {
	core := s.core
	fail := func(result yuccaworker.Result) func() {
		return func() {
			core.HandleHoldReply(s.now(), yuccaworker.HoldResult{Incarnation: a.Incarnation, Result: result, SentAt: a.SentAt})
		}
	}
	onTimeout := fail(yuccaworker.ResultUnknown)
	s.touch("renewal sent")
	s.call(func() {
		s.touch("renewal executed")
		s.worker.hold(a, func(h yuccaworker.HoldResult) {
			s.reply("renewal", func() { core.HandleHoldReply(s.now(), h) }, onTimeout, a.Timeout)
		})
	}, fail(yuccaworker.ResultUnreachable), onTimeout, a.Timeout)
}

func (s *modelSide) callConnect(a yuccaworker.CallConnect) {
	result, delay := yuccaworker.ResultOK, callDelay
	switch {
	case s.worker.refuses:
		result = yuccaworker.ResultUnreachable
	case s.worker.isDown || s.worker.isUnreachable || s.worker.isUnheard:
		result, delay = yuccaworker.ResultUnknown, a.Timeout
	}
	result = s.world.connectResult(result)
	core, incarnation := s.core, s.incarnation
	s.after(delay, func() {
		if s.incarnation == incarnation {
			s.handle(func() { core.HandleConnectReply(s.now(), a, result) })
		}
	})
}

func (w *world) link(e *modelEntry, s *modelSide) *link {
	key := [2]int{e.index, s.index}
	if w.links[key] == nil {
		w.links[key] = &link{}
	}
	return w.links[key]
}

// connect opens a link after a random delay. It retries until both ends run and
// the link is not partitioned.
func (w *world) connect(e *modelEntry, s *modelSide) {
	l := w.link(e, s)
	l.epoch++
	l.isUp = false
	l.delayed = nil
	epoch := l.epoch
	w.after(reconnectDelay+time.Duration(w.random.IntN(40))*time.Millisecond, func() {
		switch {
		case l.epoch != epoch:
		case e.isDown || s.isDown || e.isFrozen || s.isFrozen || l.isPartitioned || l.isCutToSide || l.isCutToEntry:
			w.connect(e, s)
		default:
			w.open(e, s)
		}
	})
}

// closeLink closes a link and reconnects. Messages in flight are lost.
func (w *world) closeLink(e *modelEntry, s *modelSide) {
	l := w.link(e, s)
	if !l.isUp {
		return
	}
	w.breakConnection(e, s, l.newest)
}

// openRequested opens the link that an entry has requested, if there is none.
func (w *world) openRequested(s *modelSide, entry string) {
	for _, e := range w.entries {
		if l := w.link(e, s); e.name == entry && !l.isUp && l.epoch == 0 {
			w.connect(e, s)
		}
	}
}

func (w *world) partitionLink(e *modelEntry, s *modelSide, d time.Duration) {
	w.cutLink(e, s, d, &w.link(e, s).isPartitioned)
}

// cutLink delays the messages of the directions that a flag of the link stands for.
func (w *world) cutLink(e *modelEntry, s *modelSide, d time.Duration, isCut *bool) {
	l := w.link(e, s)
	*isCut = true
	l.partitionedAt = w.now
	epoch := l.epoch
	w.after(linkTimeout, func() {
		if *isCut && l.epoch == epoch {
			w.closeLink(e, s)
		}
	})
	w.after(d, func() {
		*isCut = false
		delayed := l.delayed
		l.delayed = nil
		for _, deliver := range delayed {
			deliver()
		}
	})
}

func (w *world) transmit(l *link, deliver func()) {
	if !l.isUp {
		return
	}
	w.messages++
	epoch := l.epoch
	deliverIfOpen := func() {
		if l.epoch == epoch {
			deliver()
		}
	}
	if l.isPartitioned {
		l.delayed = append(l.delayed, deliverIfOpen)
		return
	}
	w.after(oneWay, deliverIfOpen)
}

func (w *world) sendToSide(e *modelEntry, s *modelSide, m *yuccawire.Envelope) {
	if m = w.alter(m); m == nil {
		return
	}
	id := yuccaworker.Owner{Name: e.name, Incarnation: e.incarnation}
	incarnation := s.incarnation
	l := w.link(e, s)
	c := l.atEntry
	w.touch(e, s, m, "sent")
	w.transmitOn(l, c, (*connection).sideEnd, l.isCutToSide, func() {
		if s.incarnation != incarnation {
			return
		}
		w.touch(e, s, m, "arrives")
		s.handle(func() {
			if l.atSide != c {
				return
			}
			w.logf("%s receives from %s.%d %v", s.name, e.name, e.incarnation, m)
			switch body := m.GetBody().(type) {
			case *yuccawire.Envelope_Orders:
				s.core.HandleOrders(s.now(), id, body.Orders)
			case *yuccawire.Envelope_Beat:
				s.core.HandleHeartbeat(s.now(), id, body.Beat)
			case *yuccawire.Envelope_Withdraw:
				s.core.HandleWithdraw(s.now(), id, body.Withdraw)
			case *yuccawire.Envelope_HeldSeen:
				s.core.HandleHeldSeen(s.now(), id, body.HeldSeen)
			case *yuccawire.Envelope_RunsQuery:
				s.core.HandleRunsQuery(s.now(), id, body.RunsQuery)
			case *yuccawire.Envelope_Placements:
				s.core.HandlePlacements(s.now(), id, body.Placements)
			case *yuccawire.Envelope_Forward:
				s.core.HandleForward(body.Forward)
			case *yuccawire.Envelope_LinkRequest:
				w.openRequested(s, body.LinkRequest.GetEntry())
			}
		})
	})
}

func (w *world) sendToEntry(s *modelSide, e *modelEntry, m *yuccawire.Envelope) {
	if m = w.alter(m); m == nil {
		return
	}
	incarnation := e.incarnation
	l := w.link(e, s)
	c := l.atSide
	w.touch(e, s, m, "sent")
	w.transmitOn(l, c, (*connection).entryEnd, l.isCutToEntry, func() {
		if e.incarnation != incarnation {
			return
		}
		w.touch(e, s, m, "arrives")
		e.handle(func() {
			if l.atEntry != c {
				return
			}
			switch body := m.GetBody().(type) {
			case *yuccawire.Envelope_WorkerState:
				e.broker.HandleWorkerState(e.now(), s.name, body.WorkerState)
			case *yuccawire.Envelope_CrashReport:
				e.broker.HandleCrashReport(e.now(), body.CrashReport)
			case *yuccawire.Envelope_HeldTasks:
				w.heldLists++
				w.logf("%s receives held tasks from %s.%d %v", e.name, s.name, s.incarnation, body.HeldTasks)
				e.broker.HandleHeldBySide(e.now(), s.name, body.HeldTasks)
			case *yuccawire.Envelope_RunsReply:
				w.logf("%s receives from %s.%d runs reply %v", e.name, s.name, s.incarnation, body.RunsReply)
				e.broker.HandleRunsReply(e.now(), s.name, body.RunsReply)
			case *yuccawire.Envelope_LostPlacements:
				w.logf("%s receives from %s.%d lost placements %v", e.name, s.name, s.incarnation, body.LostPlacements)
				e.broker.HandleLostPlacements(e.now(), body.LostPlacements)
			case *yuccawire.Envelope_Forward:
				w.logf("%s receives over %s forwarded %v", e.name, s.name, body.Forward)
				e.broker.HandleForward(e.now(), body.Forward)
			case *yuccawire.Envelope_Ends:
				w.logf("%s receives outcomes from %s.%d %v", e.name, s.name, s.incarnation, body.Ends)
				e.broker.HandleEnds(e.now(), s.name, body.Ends)
			}
		})
	})
}

// killEntry stops an entry for the given downtime. Its callers and sides notice
// at once, or only after the downtime if the machine is unreachable.
func (w *world) killEntry(e *modelEntry, unreachable bool, downtime time.Duration) {
	if e.isDown || e.suspensions.isSuspended() {
		return
	}
	w.logf("fault %s is killed for %v", e.name, downtime)
	incarnation := e.incarnation
	waiters := maps.Clone(e.waiters)
	order := slices.Sorted(maps.Keys(waiters))
	for _, s := range w.sides {
		if !unreachable {
			w.closeLink(e, s)
		}
		l := w.link(e, s)
		l.drop()
		l.delayed = nil
	}
	for _, peer := range e.peers {
		l := w.entryLinks[pairOf(e, peer)]
		l.isUp = false
		l.delayed = nil
		peer.updatePeers()
		if !unreachable {
			w.after(reconnectDelay, func() { peer.noticeEnd(e, incarnation) })
		}
	}
	e.isDown = true
	e.isFrozen = false
	e.deferred = nil
	w.after(unreachableAfter, func() { w.replaceUnreachable(e, incarnation) })
	for _, waiter := range order {
		if j := waiters[waiter]; !unreachable {
			j.handleDisconnect(e, waiter)
		}
	}
	w.after(downtime, func() {
		for _, waiter := range order {
			waiters[waiter].handleDisconnect(e, waiter)
		}
		e.start()
	})
}

// noticeEnd has the machine of an entry that was killed refuse a connection.
func (e *modelEntry) noticeEnd(killed *modelEntry, incarnation uint64) {
	l := e.world.entryLinks[pairOf(e, killed)]
	if killed.isDown && !l.isPartitioned && !e.isDown {
		e.handle(func() { e.broker.HandleEntryGone(e.now(), killed.name, incarnation) })
	}
}

// replaceUnreachable links the sides of an entry that is still down with one that they aren't linked with, if
// there is any, as their topology does.
func (w *world) replaceUnreachable(e *modelEntry, incarnation uint64) {
	if e.incarnation != incarnation {
		return
	}
	for _, s := range w.sides {
		unlinked := slices.IndexFunc(w.entries, func(other *modelEntry) bool { return !other.isDown && !w.isLinked(other, s) })
		if w.isLinked(e, s) && unlinked >= 0 {
			w.openRequested(s, w.entries[unlinked].name)
		}
	}
}

func (w *world) freezeEntry(e *modelEntry, d time.Duration) {
	if e.isDown || e.isFrozen {
		return
	}
	e.isFrozen = true
	incarnation := e.incarnation
	for _, s := range w.sides {
		w.closeSilentLink(e, s)
	}
	w.after(d, func() {
		if e.isDown || !e.isFrozen || e.incarnation != incarnation {
			return
		}
		e.isFrozen = false
		deferred := w.withMissedTick(e.deferred, e.tick)
		e.deferred = nil
		for _, handler := range deferred {
			e.handle(handler)
		}
	})
}

func (w *world) killSide(s *modelSide, downtime time.Duration) {
	if s.isDown || s.suspensions.isSuspended() {
		return
	}
	for _, e := range w.entries {
		w.closeLink(e, s)
		w.link(e, s).drop()
	}
	s.isDown = true
	s.isFrozen = false
	s.deferred = nil
	s.after(downtime, s.start)
}

func (w *world) freezeSide(s *modelSide, d time.Duration) {
	if s.isDown || s.isFrozen {
		return
	}
	s.isFrozen = true
	incarnation := s.incarnation
	for _, e := range w.entries {
		w.closeSilentLink(e, s)
	}
	w.after(d, func() {
		if s.isDown || !s.isFrozen || s.incarnation != incarnation {
			return
		}
		s.isFrozen = false
		deferred := w.withMissedTick(s.deferred, s.tick)
		s.deferred = nil
		for _, handler := range deferred {
			s.handle(handler)
		}
	})
}
