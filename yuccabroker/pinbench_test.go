package yuccabroker_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// BenchmarkPlacePinned measures a placement while tasks wait that are held for an unlinked side,
// and lists of other sides are known. It must depend on neither.
func BenchmarkPlacePinned(b *testing.B) {
	for _, c := range []struct{ sides, lists, waiting int }{{132, 0, 0}, {132, 132, 0}, {132, 1, 200}, {132, 132, 200}, {1100, 0, 0}, {1100, 1, 200}, {1100, 900, 200}} {
		b.Run(fmt.Sprint(c.sides, " sides, ", c.lists, " lists, ", c.waiting, " waiting"), func(b *testing.B) {
			broker := yuccabroker.New(yuccabroker.Options{
				Name: "entry", DataCentre: "puno", Scheduling: yuccabroker.DefaultScheduling(), Random: rand.New(rand.NewPCG(1, 1)),
				Metrics: yuccametric.New("bench"), Logger: slog.New(slog.DiscardHandler),
			})
			for i := range c.sides {
				broker.HandleLinkUp(startTime, yuccabroker.Side{Name: fmt.Sprint("side-", i), Incarnation: 1})
				broker.HandleWorkerState(startTime, fmt.Sprint("side-", i), &yuccawire.WorkerState{
					ClockMs: 1, Worker: "w", Service: "belfry", Ready: true, Taken: true, CpuMilli: fullCPU, MemoryMb: 32768,
					FreeCpuMilli: fullCPU, FreeMemoryMb: 32768, PacePercent: 100, OrdersSeen: 1000,
				})
			}
			for i := range c.lists {
				list := &yuccawire.HeldTasks{Sender: fmt.Sprint("sender-", i), Incarnation: 1, Sequence: 1}
				for n := range 10 {
					list.Tasks = append(list.Tasks, &yuccawire.HeldTask{Task: fmt.Sprintf("%016x.0.0.%d", i, n), RemainingMs: 1e6, Side: "gone"})
				}
				for n := range c.waiting {
					if i == 0 {
						list.Tasks = append(list.Tasks, &yuccawire.HeldTask{Task: fmt.Sprintf("waits.0.0.%d", n), RemainingMs: 1e6, Side: "gone"})
					}
				}
				broker.HandleHeldTasks(startTime, list)
			}
			if c.waiting > 0 {
				j := job("waits", c.waiting)
				j.Deadline = startTime.Add(time.Hour)
				broker.Submit(startTime, j, 1)
			}
			broker.Actions()
			for n := 0; b.Loop(); n++ {
				broker.HandleWorkerState(startTime, "side-1", &yuccawire.WorkerState{ClockMs: 1, Ready: true, Taken: true, FreeCpuMilli: fullCPU, FreeMemoryMb: 32768, PacePercent: 100, OrdersSeen: 1e6})
				broker.Place(startTime)
				if actions := broker.Actions(); len(actions) > 0 {
					b.Fatalf("%d messages were sent, want none", len(actions))
				}
			}
		})
	}
}
