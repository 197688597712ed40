package yuccaworker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

func newUnreported(t *testing.T) *harness {
	h := newHarness(t)
	h.restartSide()
	h.restart(-4000)
	return h
}

// The start is one of an earlier process of the side.
func TestWorkerExecutesALateStartBeforeItReportsToANewSide(t *testing.T) {
	h := newUnreported(t)
	late := yuccaworker.CallStart{Incarnation: h.incarnation, Key: runA, Token: 5100, DeadlineMS: 9000}
	h.advance(20 * time.Millisecond)
	h.start(late)
	if len(h.running) != 0 {
		t.Errorf("%v runs, started by an earlier process", h.running)
	}
}

// The side has noticed the restart by an answer, the report follows 1.5 s later.
func TestWorkerExecutesALateStartBetweenItsRestartAndItsReport(t *testing.T) {
	h := newHarness(t)
	h.order(entry, lease, task("b", 1, 1600))
	h.advanceWithLease(entry, 100*time.Millisecond)
	token := h.token
	h.restart(-4000)
	h.advanceWithLease(entry, 200*time.Millisecond)
	h.start(yuccaworker.CallStart{Incarnation: h.incarnation, Key: runA, Token: token, DeadlineMS: 9000})
	if len(h.running) != 0 {
		t.Errorf("%v runs, started under the token %d, the worker knows %d", h.running, token, h.token)
	}
}

// The wall clock was set back since an earlier process of the side called the worker.
func TestUnreportedWorkerIsCalledAgainUnderATokenThatItHasRefused(t *testing.T) {
	h := newUnreported(t)
	h.token = h.now.UnixMilli() + 10_000
	refused := h.token
	h.advance(2 * time.Second)
	if h.token <= refused {
		t.Errorf("the worker's highest token is %d, want one above %d", h.token, refused)
	}
}

func TestUnreportedWorkerIsCalledForEver(t *testing.T) {
	h := newUnreported(t)
	h.advance(15 * time.Second)
	h.token = 0
	h.advance(time.Second)
	if h.token != 0 {
		t.Error("the worker is still called")
	}
}
