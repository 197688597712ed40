package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// The only worker leaves the start unanswered, and is silent or restarts until the caller is
// answered; it may have executed the start.
func TestUnansweredStartIsNeverAnsweredAsNotRun(t *testing.T) {
	for name, fault := range map[string]func(w *world, m *modelWorker){
		"silent":     func(*world, *modelWorker) {},
		"hangs":      func(_ *world, m *modelWorker) { m.delayedCallShare = 0; m.hangs = true },
		"crashes":    func(_ *world, m *modelWorker) { m.crash() },
		"refuses":    func(_ *world, m *modelWorker) { m.crashProcess() },
		"restarts":   func(_ *world, m *modelWorker) { m.crash(); m.restartWithClock(0, time.Second) },
		"loses side": func(w *world, _ *modelWorker) { w.killSide(w.sides[0], time.Second) },
		"loses link": func(w *world, _ *modelWorker) { w.closeLink(w.entries[0], w.sides[0]) },
		"is cut off": func(w *world, _ *modelWorker) { w.partitionLink(w.entries[0], w.sides[0], 2*time.Second) },
		"loses power": func(w *world, m *modelWorker) {
			m.crash()
			w.killSide(w.sides[0], 500*time.Millisecond)
			w.after(400*time.Millisecond, func() { m.restartWithClock(0, 500*time.Millisecond) })
		},
	} {
		for _, late := range []bool{false, true} {
			for _, after := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
				t.Run(fmt.Sprint(name, " late ", late, " after ", after), func(t *testing.T) {
					w := newWorld(t, 1, 1, 1)
					w.run(warmUp)
					m := w.sides[0].worker
					if late {
						m.delayedCallShare = 1
					} else {
						m.lostReplyShare = 1
					}
					w.patience = 2500 * time.Millisecond
					job := w.submitOneTask(1600, 300*time.Millisecond)
					w.after(after, func() {
						m.unhealthyShare = 1
						fault(w, m)
					})
					w.run(10 * time.Second)
					if job.isAnswered && job.state == yuccabroker.Rejected {
						t.Error("the caller is told that the job has not run")
					}
				})
			}
		}
	}
}
