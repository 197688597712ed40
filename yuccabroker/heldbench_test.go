package yuccabroker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// BenchmarkHeldPart measures a part of a list with one task that is new, or with one that is known, and the
// placement after it, while a task waits and other lists are known.
func BenchmarkHeldPart(b *testing.B) {
	for _, c := range []struct{ lists, tasks int }{{1, 10}, {66, 10}, {66, 100}, {132, 300}} {
		for _, isNew := range []bool{true, false} {
			b.Run(fmt.Sprint(c.lists, " lists of ", c.tasks, ", new ", isNew), func(b *testing.B) {
				f := newFixture(&testing.T{}, "s1")
				held := func(list int, sequence uint64, isPartial bool, tasks ...string) {
					m := heldTasks(sequence, 10*time.Second, tasks...)
					m.Sender, m.Partial = fmt.Sprint("side-", list), isPartial
					for _, h := range m.GetTasks() {
						h.Side = m.GetSender()
					}
					f.broker.HandleHeldTasks(f.now, m)
				}
				for i := range c.lists {
					var names []string
					for n := range c.tasks {
						names = append(names, fmt.Sprintf("%d-%d.0.0.0", i, n))
					}
					held(i, 1, false, names...)
				}
				f.broker.HandleHeldTasks(f.now, &yuccawire.HeldTasks{Sender: "x", Incarnation: 1, Sequence: 1, Tasks: []*yuccawire.HeldTask{{Task: "w.0.0.0", RemainingMs: 9000, Side: "x"}}})
				f.submit(job("w", 1), 1)
				sequence := uint64(1)
				for b.Loop() {
					name := "0-0.0.0.0"
					if isNew {
						name = fmt.Sprintf("new-%d.0.0.0", sequence)
					}
					sequence++
					held(0, sequence, true, name)
					f.broker.Place(f.now)
					f.broker.Actions()
				}
			})
		}
	}
}
