package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

func TestTaskThatWaitedRunsBesideItsResendAsACutRefusesConnections(t *testing.T) {
	for _, reject := range []bool{false, true} {
		for _, busy := range []time.Duration{1700 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint("reject ", reject, busy), func(t *testing.T) {
				w := newUnseen(t, 3, 3)
				w.partitionEntries(w.entries[0], w.entries[1], 10*time.Second)
				if reject {
					a, b := w.entries[0], w.entries[1]
					for i := range 18 {
						w.after(600*time.Millisecond+time.Duration(i)*500*time.Millisecond, func() {
							a.broker.HandleEntryGone(a.now(), b.name, b.incarnation)
							b.broker.HandleEntryGone(b.now(), a.name, a.incarnation)
						})
					}
				}
				w.run(time.Second)
				w.fillWorkers(busy)
				job := w.submitSome(900 * time.Millisecond)
				w.leaveUnseenAfter(job, unseenDelay)
				job.checkAnswered()
			})
		}
	}
}

func TestTaskThatWaitedRunsBesideItsResendAtAnEntryThatHasRestartedBehindACut(t *testing.T) {
	for _, busy := range []time.Duration{1700 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		t.Run(fmt.Sprint(busy), func(t *testing.T) {
			w := newUnseen(t, 3, 3)
			w.partitionEntries(w.entries[0], w.entries[1], 12*time.Second)
			w.run(time.Second)
			w.killEntry(w.entries[1], true, 500*time.Millisecond)
			l := w.entryLinks[pairOf(w.entries[0], w.entries[1])]
			l.isPartitioned = true
			w.run(2500 * time.Millisecond)
			l.isPartitioned = true
			w.fillWorkers(busy)
			job := w.submitSome(900 * time.Millisecond)
			w.leaveUnseenAfter(job, unseenDelay)
			job.checkAnswered()
		})
	}
}
