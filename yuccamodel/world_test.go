package yuccamodel_test

import (
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

var began = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

const (
	// oneWay is the delay of a link, callDelay that of a call on one machine.
	oneWay    = 1500 * time.Microsecond
	callDelay = 300 * time.Microsecond
	// linkSilence is when a silent link is closed, linkAgain the time to the next.
	linkSilence = 1300 * time.Millisecond
	linkAgain   = 60 * time.Millisecond
	tick        = 20 * time.Millisecond
	beatEvery   = 1500 * time.Millisecond
	// resendAfter is when a caller hands a job in again after a broken connection.
	resendAfter = 1300 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a deployment of entries and sides on one clock.
type world struct {
	t       *testing.T
	seed    uint64
	draw    *rand.Rand
	now     time.Time
	queue   events
	number  int
	entries []*modelEntry
	sides   []*modelSide
	links   map[[2]int]*link
	callers map[string]*callerJob
	// jobs are the callers' jobs in the order in which they came.
	jobs []*callerJob
	// alive counts the runs of each task that are there now.
	alive    map[string]int
	workDone float64
	starts   int
	nextJob  int
	// history holds what happened, to explain a violation.
	history []string
}

type modelEntry struct {
	w           *world
	index       int
	name        string
	incarnation uint64
	broker      *yuccabroker.Broker
	dead        bool
	frozen      bool
	held        []func()
	waiters     map[uint64]*callerJob
	nextWaiter  uint64
}

type modelSide struct {
	w           *world
	index       int
	name        string
	incarnation uint64
	core        *yuccaworker.Worker
	node        *node
	dead        bool
	frozen      bool
	held        []func()
}

// link is between an entry and a side. Cut bytes wait, and are lost when the
// link is closed.
type link struct {
	up      bool
	epoch   int
	cut     bool
	waiting []func()
	cutAt   time.Time
}

func newWorld(t *testing.T, seed uint64, entries, sides int) *world {
	w := &world{
		t: t, seed: seed, draw: rand.New(rand.NewPCG(seed, 7)), now: began,
		links: make(map[[2]int]*link), callers: make(map[string]*callerJob), alive: make(map[string]int),
	}
	speeds := []float64{0.8, 1, 1.25}
	for i := range sides {
		n := &node{
			w: w, name: fmt.Sprintf("side-%d", i), life: yuccaworker.Incarnation{ID: fmt.Sprintf("w-%d", i), StartedAtMS: 1},
			cpu: 16000, speed: speeds[i%3], bornAt: began.Add(-time.Minute),
			runs: make(map[yuccaworker.Key]*nodeRun), seen: make(map[string]uint64),
		}
		if i%3 == 2 {
			n.cpu = 24000
		}
		w.sides = append(w.sides, &modelSide{w: w, index: i, name: n.name, node: n})
	}
	for i := range entries {
		w.entries = append(w.entries, &modelEntry{w: w, index: i, name: fmt.Sprintf("entry-%d", i)})
	}
	for _, s := range w.sides {
		s.begin()
	}
	for _, e := range w.entries {
		e.begin()
	}
	w.every(tick, w.tickAll)
	w.every(beatEvery, w.reportAll)
	w.every(time.Millisecond, w.advanceAll)
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.queue, event{at: w.now.Add(d), number: w.number, do: do})
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && !w.t.Failed() {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) tickAll() {
	for _, e := range w.entries {
		e.do(func() { e.broker.Tick(w.now) })
	}
	for _, s := range w.sides {
		s.do(func() { s.core.Tick(w.now) })
	}
}

func (w *world) reportAll() {
	for _, s := range w.sides {
		if !s.node.down {
			r := s.node.report()
			s.do(func() { s.core.HandleReport(w.now, r) })
		}
	}
}

func (w *world) advanceAll() {
	for _, s := range w.sides {
		s.node.advance()
	}
}

// note remembers what happened.
func (w *world) note(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%v ", w.now.Sub(began))+fmt.Sprintf(format, args...))
}

// violated fails the test with what happened to the job.
func (w *world) violated(job, format string, args ...any) {
	for _, line := range w.history {
		if strings.Contains(line, job) || strings.Contains(line, "fault") {
			w.t.Log(line)
		}
	}
	w.t.Errorf("seed %d, %v: %s", w.seed, w.now.Sub(began), fmt.Sprintf(format, args...))
}

// startedAt checks that no other run of the task is there.
func (w *world) startedAt(n *node, task string, job *callerJob) {
	w.starts++
	w.alive[task]++
	if w.alive[task] > 1 {
		w.violated(job.job.ID, "%s starts on %s while another run of it is there", task, n.name)
	}
	if job.refused {
		w.violated(job.job.ID, "%s starts after its job was refused as not run", task)
	}
	job.ran = true
}

// begin starts the process of an entry.
func (e *modelEntry) begin() {
	w := e.w
	e.incarnation++
	e.dead = false
	e.waiters = make(map[uint64]*callerJob)
	e.broker = yuccabroker.New(yuccabroker.Options{
		Name: e.name, Random: rand.New(rand.NewPCG(w.seed, uint64(e.index)<<8|e.incarnation)),
		Metrics: yuccametric.New(e.name), Logger: slog.New(slog.DiscardHandler),
	})
	for _, s := range w.sides {
		w.connect(e, s)
	}
}

// begin starts the process of a side.
func (s *modelSide) begin() {
	w := s.w
	s.incarnation++
	s.dead = false
	s.core = yuccaworker.New(yuccaworker.Options{Metrics: yuccametric.New(s.name), Logger: slog.New(slog.DiscardHandler)}, w.now)
	if !s.node.down {
		r := s.node.report()
		s.do(func() { s.core.HandleReport(w.now, r) })
	}
	for _, e := range w.entries {
		if e.broker != nil {
			w.connect(e, s)
		}
	}
}

// do lets the process of an entry act, once it isn't frozen.
func (e *modelEntry) do(act func()) {
	if e.dead {
		return
	}
	if e.frozen {
		e.held = append(e.held, act)
		return
	}
	act()
	e.broker.Place(e.w.now)
	e.carryOut()
}

func (e *modelEntry) carryOut() {
	w := e.w
	for _, a := range e.broker.Actions() {
		switch a := a.(type) {
		case yuccabroker.Send:
			for _, s := range w.sides {
				if s.name == a.Side {
					w.toSide(e, s, a.Message)
				}
			}
		case yuccabroker.Answer:
			if j := e.waiters[a.Waiter]; j != nil {
				delete(e.waiters, a.Waiter)
				waiter := a.Waiter
				w.after(oneWay, func() { j.answered(e, waiter, a.Outcome) })
			}
		}
	}
}

func (s *modelSide) do(act func()) {
	if s.dead {
		return
	}
	if s.frozen {
		s.held = append(s.held, act)
		return
	}
	act()
	s.carryOut()
}

func (s *modelSide) carryOut() {
	w := s.w
	for _, a := range s.core.Actions() {
		switch a := a.(type) {
		case yuccaworker.Send:
			for _, e := range w.entries {
				if e.name == a.Owner.Name && e.incarnation == a.Owner.Incarnation {
					w.toEntry(s, e, a.Message)
				}
			}
		case yuccaworker.CallStart:
			s.callStart(a)
		case yuccaworker.CallStop:
			s.callStop(a)
		case yuccaworker.CallHold:
			s.callHold(a)
		}
	}
}

// call carries a call to the worker: at once, seconds late and unanswered, or
// not at all.
func (s *modelSide) call(reach func(), unanswered func(), timeout time.Duration) {
	w, n := s.w, s.node
	incarnation := s.incarnation
	fail := func() {
		w.after(timeout, func() {
			if s.incarnation == incarnation {
				s.do(unanswered)
			}
		})
	}
	switch {
	case n.down:
		fail()
	case w.draw.Float64() < n.lateOrders:
		w.after(2*time.Second+time.Duration(w.draw.IntN(8000))*time.Millisecond, func() {
			if !n.down {
				reach()
			}
		})
		fail()
	default:
		w.after(callDelay, func() {
			if n.down {
				fail()
				return
			}
			reach()
		})
	}
}

// reply carries an answer back, unless it is lost.
func (s *modelSide) reply(answer, unanswered func(), timeout time.Duration) {
	w := s.w
	incarnation := s.incarnation
	if w.draw.Float64() < s.node.lostAnswer {
		answer = unanswered
	} else {
		timeout = callDelay
	}
	w.after(timeout, func() {
		if s.incarnation == incarnation {
			s.do(answer)
		}
	})
}

func (s *modelSide) callStart(a yuccaworker.CallStart) {
	core := s.core
	s.w.note("%s calls start %v", s.name, a.Key)
	unknown := func() { core.HandleStartReply(s.w.now, a.Incarnation, a.Key, yuccaworker.ResultUnknown, 0) }
	s.call(func() {
		result, clock := s.node.start(a), s.node.clock()
		s.reply(func() { core.HandleStartReply(s.w.now, a.Incarnation, a.Key, result, clock) }, unknown, a.Timeout)
	}, unknown, a.Timeout)
}

func (s *modelSide) callStop(a yuccaworker.CallStop) {
	core := s.core
	unknown := func() { core.HandleStopReply(s.w.now, a.Incarnation, a.Key, false, 0) }
	s.call(func() {
		answered, clock := s.node.stop(a), s.node.clock()
		s.w.note("%s stop %v carried out %v", s.name, a.Key, answered)
		s.reply(func() { core.HandleStopReply(s.w.now, a.Incarnation, a.Key, answered, clock) }, unknown, a.Timeout)
	}, unknown, a.Timeout)
}

func (s *modelSide) callHold(a yuccaworker.CallHold) {
	core := s.core
	unknown := func() {
		core.HandleHoldReply(s.w.now, yuccaworker.HoldResult{Incarnation: a.Incarnation, SentAt: a.SentAt})
	}
	s.call(func() {
		s.node.hold(a, func(h yuccaworker.HoldResult) {
			s.reply(func() { core.HandleHoldReply(s.w.now, h) }, unknown, a.Timeout)
		})
	}, unknown, a.Timeout)
}

func (w *world) link(e *modelEntry, s *modelSide) *link {
	key := [2]int{e.index, s.index}
	if w.links[key] == nil {
		w.links[key] = &link{}
	}
	return w.links[key]
}

// connect opens a link soon, once both ends run and can reach each other.
func (w *world) connect(e *modelEntry, s *modelSide) {
	l := w.link(e, s)
	l.epoch++
	l.up = false
	l.waiting = nil
	epoch := l.epoch
	w.after(linkAgain+time.Duration(w.draw.IntN(40))*time.Millisecond, func() {
		switch {
		case l.epoch != epoch:
		case e.dead || s.dead || e.frozen || s.frozen || l.cut:
			w.connect(e, s)
		default:
			l.up = true
			id := yuccaworker.Owner{Name: e.name, Incarnation: e.incarnation}
			e.do(func() {
				e.broker.HandleLinkUp(w.now, yuccabroker.Side{Name: s.name, Incarnation: s.incarnation, DataCentre: "dc"})
			})
			s.do(func() { s.core.HandleLinkUp(w.now, id) })
		}
	})
}

// close ends a link; what was on its way is lost.
func (w *world) close(e *modelEntry, s *modelSide) {
	l := w.link(e, s)
	if !l.up {
		return
	}
	id := yuccaworker.Owner{Name: e.name, Incarnation: e.incarnation}
	e.do(func() { e.broker.HandleLinkDown(w.now, s.name) })
	s.do(func() { s.core.HandleLinkDown(id) })
	w.connect(e, s)
}

func (w *world) cutLink(e *modelEntry, s *modelSide, d time.Duration) {
	l := w.link(e, s)
	l.cut = true
	l.cutAt = w.now
	epoch := l.epoch
	w.after(linkSilence, func() {
		if l.cut && l.epoch == epoch {
			w.close(e, s)
		}
	})
	w.after(d, func() {
		l.cut = false
		held := l.waiting
		l.waiting = nil
		for _, deliver := range held {
			deliver()
		}
	})
}

func (w *world) pass(l *link, deliver func()) {
	if !l.up {
		return
	}
	epoch := l.epoch
	whole := func() {
		if l.epoch == epoch {
			deliver()
		}
	}
	if l.cut {
		l.waiting = append(l.waiting, whole)
		return
	}
	w.after(oneWay, whole)
}

func (w *world) toSide(e *modelEntry, s *modelSide, m *yuccawire.Envelope) {
	id := yuccaworker.Owner{Name: e.name, Incarnation: e.incarnation}
	incarnation := s.incarnation
	w.pass(w.link(e, s), func() {
		if s.incarnation != incarnation {
			return
		}
		s.do(func() {
			w.note("%s gets from %s.%d %v", s.name, e.name, e.incarnation, m)
			switch body := m.GetBody().(type) {
			case *yuccawire.Envelope_Orders:
				s.core.HandleOrders(w.now, id, body.Orders)
			case *yuccawire.Envelope_Beat:
				s.core.HandleHeartbeat(w.now, id, body.Beat)
			case *yuccawire.Envelope_Withdraw:
				s.core.HandleWithdraw(w.now, id, body.Withdraw)
			}
		})
	})
}

func (w *world) toEntry(s *modelSide, e *modelEntry, m *yuccawire.Envelope) {
	incarnation := e.incarnation
	w.pass(w.link(e, s), func() {
		if e.incarnation != incarnation {
			return
		}
		e.do(func() {
			switch body := m.GetBody().(type) {
			case *yuccawire.Envelope_WorkerState:
				e.broker.HandleWorkerState(w.now, s.name, body.WorkerState)
			case *yuccawire.Envelope_Ends:
				w.note("%s gets ends from %s.%d %v", e.name, s.name, s.incarnation, body.Ends)
				e.broker.HandleEnds(w.now, s.name, body.Ends)
			}
		})
	})
}

// killEntry ends the process of an entry; its callers notice at once unless the
// machine is dark.
func (w *world) killEntry(e *modelEntry, dark bool, back time.Duration) {
	if e.dead {
		return
	}
	waiters := maps.Clone(e.waiters)
	order := slices.Sorted(maps.Keys(waiters))
	for _, s := range w.sides {
		if !dark {
			w.close(e, s)
		}
		l := w.link(e, s)
		l.up = false
		l.waiting = nil
	}
	e.dead = true
	e.frozen = false
	e.held = nil
	for _, waiter := range order {
		if j := waiters[waiter]; !dark {
			j.broken(e, waiter)
		}
	}
	w.after(back, func() {
		for _, waiter := range order {
			waiters[waiter].broken(e, waiter)
		}
		e.begin()
	})
}

func (w *world) freezeEntry(e *modelEntry, d time.Duration) {
	if e.dead || e.frozen {
		return
	}
	e.frozen = true
	w.after(d, func() {
		if e.dead || !e.frozen {
			return
		}
		e.frozen = false
		held := e.held
		e.held = nil
		for _, act := range held {
			e.do(act)
		}
	})
}

func (w *world) killSide(s *modelSide, back time.Duration) {
	if s.dead {
		return
	}
	for _, e := range w.entries {
		w.close(e, s)
		l := w.link(e, s)
		l.up = false
	}
	s.dead = true
	s.frozen = false
	s.held = nil
	w.after(back, s.begin)
}

func (w *world) freezeSide(s *modelSide, d time.Duration) {
	if s.dead || s.frozen {
		return
	}
	s.frozen = true
	w.after(d, func() {
		if s.dead || !s.frozen {
			return
		}
		s.frozen = false
		held := s.held
		s.held = nil
		for _, act := range held {
			s.do(act)
		}
	})
}
