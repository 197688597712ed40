package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// answerOddly answers the next renewal with a result that the test changes.
func (h *harness) answerOddly(change func(r *yuccaworker.HoldResult)) yuccaworker.CallHold {
	h.holdsUnanswered = true
	h.core.Tick(h.now.Add(100 * time.Millisecond))
	for _, a := range h.core.Actions() {
		call, isHold := a.(yuccaworker.CallHold)
		if !isHold {
			continue
		}
		r := yuccaworker.HoldResult{Incarnation: call.Incarnation, SentAt: call.SentAt, ClockMS: h.clock(), Result: yuccaworker.ResultOK}
		for key := range h.running {
			r.Running = append(r.Running, key)
		}
		change(&r)
		h.now = h.now.Add(100 * time.Millisecond)
		h.core.HandleHoldReply(h.now, r)
		h.runActions()
		h.holdsUnanswered = false
		return call
	}
	h.t.Fatal("no renewal was sent")
	return yuccaworker.CallHold{}
}

func TestSenselessListEndsARunThatRuns(t *testing.T) {
	a, b := yuccaworker.Key{Task: "a", Run: 1}, yuccaworker.Key{Task: "b", Run: 1}
	done := yuccawire.RunEnd_RUN_END_FAILED
	for name, change := range map[string]func(r *yuccaworker.HoldResult){
		"run without a number": func(r *yuccaworker.HoldResult) { r.Running = []yuccaworker.Key{b, {Task: "a"}} },
		"run without a task":   func(r *yuccaworker.HoldResult) { r.Running = []yuccaworker.Key{b, {Run: 1}} },
		"running and completed": func(r *yuccaworker.HoldResult) {
			r.Running = []yuccaworker.Key{a, b}
			r.Completions = []yuccaworker.Completion{{1, a, done}}
		},
		"running twice":          func(r *yuccaworker.HoldResult) { r.Running = []yuccaworker.Key{b, b} },
		"completion without one": func(r *yuccaworker.HoldResult) { r.Completions = []yuccaworker.Completion{{0, a, done}} },
		"completion of 2^63-1":   func(r *yuccaworker.HoldResult) { r.Completions = []yuccaworker.Completion{{1<<63 - 1, a, done}} },
		"same number twice":      func(r *yuccaworker.HoldResult) { r.Completions = []yuccaworker.Completion{{1, a, done}, {1, b, done}} },
		"negative clock":         func(r *yuccaworker.HoldResult) { r.ClockMS = -1 },
		"clock near 2^63":        func(r *yuccaworker.HoldResult) { r.ClockMS = 1<<63 - 1 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.order(entry, lease, task("a", 1, 1600), task("b", 1, 1600))
			h.advanceWithLease(entry, 200*time.Millisecond)
			h.answerOddly(change)
			h.advanceWithLease(entry, 400*time.Millisecond)
			if len(h.delivered[entry]) > 0 || len(h.running) != 2 {
				t.Errorf("%d runs are left, delivered %v", len(h.running), h.delivered[entry])
			}
			h.complete(a, yuccawire.RunEnd_RUN_END_DONE)
			h.advanceWithLease(entry, 200*time.Millisecond)
			h.expectOutcome(entry, "a", yuccawire.RunEnd_RUN_END_DONE, 0)
		})
	}
}

func TestSenselessClockMovesTheDeadlines(t *testing.T) {
	for _, clock := range []int64{1<<63 - 1, 1 << 62} {
		h := newHarness(t)
		key := yuccaworker.Key{Task: "a", Run: 1}
		h.dropStartReplies = true
		h.handleOrder(entry, lease, task("a", 1, 1600))
		h.core.HandleStartReply(h.now, h.incarnation, key, yuccaworker.ResultOK, clock)
		h.core.HandleWithdraw(h.now, entry, &yuccawire.Withdraw{Runs: []*yuccawire.RunKey{{Task: "a", Run: 1}}})
		h.core.HandleStopReply(h.now, h.incarnation, key, true, clock)
		h.core.Actions()
		call := h.answerOddly(func(r *yuccaworker.HoldResult) { r.Running = []yuccaworker.Key{key} })
		if limit := h.clock() + yuccaworker.Hold.Milliseconds(); call.DeadlineMS > limit {
			t.Errorf("clock %d: the worker keeps its runs until %d, want %d at most", clock, call.DeadlineMS, limit)
		}
	}
}

// Unfixed, an answer of 4 MiB leads to some hundred thousand calls at once.
func TestListOfUnknownRunsIsStoppedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("a", 1, 1600))
	h.unresponsive = true
	h.answerOddly(func(r *yuccaworker.HoldResult) {
		for run := range uint64(300_000) {
			r.Running = append(r.Running, yuccaworker.Key{Task: "x", Run: run + 1})
		}
		h.core.HandleHoldReply(h.now, *r)
		stops := 0
		for _, a := range h.core.Actions() {
			if _, isStop := a.(yuccaworker.CallStop); isStop {
				stops++
			}
		}
		if stops != 1000 {
			t.Errorf("%d stops are sent at once, want 1000", stops)
		}
		r.Running = []yuccaworker.Key{{Task: "a", Run: 1}}
	})
	if len(h.delivered[entry]) > 0 {
		t.Errorf("delivered %v", h.delivered[entry])
	}
}

func TestOneReportWithAHighSequenceLocksTheWorkerOut(t *testing.T) {
	h := newHarness(t)
	h.report(1<<50, false)
	for sequence := range int64(4) {
		h.advance(1500 * time.Millisecond)
		h.report(2+sequence, false)
	}
	h.order(entry, lease, task("a", 1, 1600))
	if len(h.running) != 1 {
		t.Errorf("the worker is out of use: %v", h.delivered[entry])
	}
}

// Guards against delayed reports being taken for those of a worker that reports no more.
func TestDelayedReportsOfASilentWorkerAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.report(100, false)
	h.advance(5 * time.Second)
	for sequence := range int64(5) {
		if h.advance(100 * time.Millisecond); h.report(90+sequence, false) {
			t.Errorf("report %d was taken in", 90+sequence)
		}
	}
	for range 5 {
		if h.advance(1500 * time.Millisecond); h.report(90, false) {
			t.Error("a repeated report was taken in")
		}
	}
}

func TestReportWithAWrongClockMovesTheDeadlines(t *testing.T) {
	for name, report := range map[string]func(h *harness, r yuccaworker.Report){
		"known worker": func(h *harness, r yuccaworker.Report) { h.core.HandleReport(h.now, r) },
		"new worker": func(h *harness, r yuccaworker.Report) {
			h.restartSide()
			h.core.HandleReport(h.now, r)
			h.runActions()
			h.advance(takeOverTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			r := h.newReport(2)
			r.ClockMS = 1 << 40
			report(h, r)
			h.order(entry, lease, task("a", 1, 1600))
			h.advanceWithLease(entry, 200*time.Millisecond)
			call := h.answerOddly(func(*yuccaworker.HoldResult) {})
			if limit := h.clock() + yuccaworker.Hold.Milliseconds(); call.DeadlineMS > limit {
				t.Errorf("the worker keeps its runs until %d, want %d at most", call.DeadlineMS, limit)
			}
		})
	}
}

func TestTokenOverflowsAtAWorkerThatFencesForGood(t *testing.T) {
	h := newHarness(t)
	last := int64(0)
	for range 200 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.core.HandleHoldReply(h.now, yuccaworker.HoldResult{Incarnation: h.incarnation, Result: yuccaworker.ResultFenced, ClockMS: h.clock()})
		h.core.Tick(h.now)
		for _, a := range h.core.Actions() {
			if call, isHold := a.(yuccaworker.CallHold); isHold && call.Token < last {
				t.Fatalf("token %d follows %d", call.Token, last)
			} else if isHold {
				last = call.Token
			}
		}
	}
	if last < 1<<61 {
		t.Errorf("the token has reached %d only", last)
	}
}

// Whatever a worker states, its calls have deadlines on its clock and rising tokens.
func FuzzStatedValues(f *testing.F) {
	f.Add(int64(482113), int64(1), uint64(1), int64(100), int64(2), 16000)
	f.Add(int64(1<<63-1), int64(1<<63-1), uint64(1<<64-1), int64(1<<63-1), int64(1<<63-1), 1<<63-1)
	f.Add(int64(-1<<63), int64(-1), uint64(0), int64(-1), int64(-1<<63), -1)
	f.Add(int64(3162240000000), int64(1<<53-1), uint64(2), int64(7258118400000), int64(1<<53-1), 1_000_000_000)
	f.Fuzz(func(t *testing.T, clock, number int64, run uint64, born, sequence int64, cpu int) {
		h := newHarness(t)
		h.order(entry, lease, task("a", 1, 1600))
		token := int64(0)
		check := func() {
			h.now = h.now.Add(160 * time.Millisecond)
			h.core.Tick(h.now)
			for _, a := range h.core.Actions() {
				call, isHold := a.(yuccaworker.CallHold)
				if !isHold {
					continue
				}
				if call.Token < token || call.DeadlineMS < 0 || call.DeadlineMS > 1<<43 || call.Cursor < 0 {
					t.Errorf("call %+v follows token %d", call, token)
				}
				token = call.Token
				h.core.HandleHoldReply(h.now, yuccaworker.HoldResult{
					Incarnation: call.Incarnation, SentAt: call.SentAt, Result: yuccaworker.ResultOK, ClockMS: clock, Running: []yuccaworker.Key{{Task: "a", Run: run}},
					Completions: []yuccaworker.Completion{{Number: number, Key: yuccaworker.Key{Task: "b", Run: run}, Outcome: yuccawire.RunEnd_RUN_END_DONE}},
				})
			}
		}
		check()
		h.core.HandleStartReply(h.now, h.incarnation, runA, yuccaworker.ResultFenced, clock)
		h.core.HandleStopReply(h.now, h.incarnation, runA, true, clock)
		check()
		r := h.newReport(sequence)
		r.StartedAtMS, r.ClockMS, r.CPUMilli = born, clock, cpu
		if len(r.Faults()) == 0 {
			h.core.HandleReport(h.now, r)
		}
		for range 4 {
			check()
		}
		h.core.HandleLinkUp(h.now, entry)
		for _, a := range h.core.Actions() {
			send, isSend := a.(yuccaworker.Send)
			if state := send.Message.GetEnds().GetState(); isSend && state != nil && state.GetFreeCpuMilli() < -2000 {
				t.Errorf("state %v", state)
			}
		}
	})
}
