package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// touch is an event that concerns a run, at which faults may strike. If it is not between entry and side, the
// other one is nil until the play has chosen it.
type touch struct {
	what  string
	entry *modelEntry
	side  *modelSide
	// isBetween is set if the event is between entry and side.
	isBetween bool
	// event is the number of the event of the world during which it comes, at its time.
	event int
	at    time.Time
}

// touch announces an event between the side and its worker.
func (s *modelSide) touch(what string) {
	if s.world.onTouch != nil && s.hasRun() {
		s.world.onTouch(touch{what: what, side: s, event: s.world.handled, at: s.world.now})
	}
}

// touch announces an event between a caller and the entry.
func (e *modelEntry) touch(what string) {
	if e.world.onTouch != nil {
		e.world.onTouch(touch{what: what, entry: e, event: e.world.handled, at: e.world.now})
	}
}

// hasRun reports whether side or worker know of a run, or of an end that has not been acknowledged, or a late call is
// still on its way.
func (s *modelSide) hasRun() bool {
	return s.lateCalls > 0 || !s.core.Idle() || len(s.worker.runs) > 0 || len(s.worker.completions) > 0
}

// touch announces that a message is sent or arrives. Renewals and states of sides without runs concern none.
func (w *world) touch(e *modelEntry, s *modelSide, m *yuccawire.Envelope, stage string) {
	if w.onTouch == nil {
		return
	}
	name, concernsRun := "", true
	switch m.GetBody().(type) {
	case *yuccawire.Envelope_Orders:
		name = "orders"
	case *yuccawire.Envelope_Withdraw:
		name = "withdrawal"
	case *yuccawire.Envelope_Ends:
		name = "ends"
	case *yuccawire.Envelope_HeldTasks:
		name = "held tasks"
	case *yuccawire.Envelope_HeldSeen:
		name = "held tasks seen"
	case *yuccawire.Envelope_CrashReport:
		name = "crash report"
	case *yuccawire.Envelope_Beat:
		name, concernsRun = "lease renewal", s.hasRun()
	case *yuccawire.Envelope_WorkerState:
		name, concernsRun = "state", s.hasRun()
	}
	if name != "" && concernsRun {
		w.onTouch(touch{what: name + " " + stage, entry: e, side: s, isBetween: true, event: w.handled, at: w.now})
	}
}

// recorder keeps what a play reports, so that it fails no test by itself.
type recorder struct {
	testing.TB
	violations []string
}

func (r *recorder) Failed() bool { return len(r.violations) > 0 }
func (r *recorder) Log(...any)   {}
func (r *recorder) Errorf(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}
