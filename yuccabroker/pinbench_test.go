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

// BenchmarkHeldListOfOneJob measures the handling of a list that names all tasks of an open job, while lists
// of 130 sides are known. The job must be gone through once.
func BenchmarkHeldListOfOneJob(b *testing.B) {
	broker := benchBroker(startTime)
	list := func(sender string, sequence uint64, tasks int) *yuccawire.HeldTasks {
		m := &yuccawire.HeldTasks{Sender: sender, Incarnation: 1, Sequence: sequence}
		for n := range tasks {
			m.Tasks = append(m.Tasks, &yuccawire.HeldTask{Task: fmt.Sprintf("%s.0.0.%d", sender, n), RemainingMs: 1e6, Side: "s1"})
		}
		return m
	}
	for i := range 130 {
		broker.HandleHeldTasks(startTime, list(fmt.Sprint("side-", i), 1, 10))
	}
	broker.Submit(startTime, job("a", 200), 1)
	for n := uint64(1); b.Loop(); n++ {
		broker.HandleHeldTasks(startTime, list("a", n, 200))
	}
}
