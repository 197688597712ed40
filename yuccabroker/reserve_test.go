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

// reportFull reports a worker with little free capacity that is released after a time.
func (f *fixture) reportFull(side string, free int, releaseMS uint32, reserved bool) {
	state := f.workerState(free)
	state.OrdersSeen, state.Reserved = f.lastOrder[side], reserved
	state.Releases = []*yuccawire.Release{{InMs: releaseMS, CpuMilli: uint32(fullCPU - free), MemoryMb: 32768}}
	f.broker.HandleWorkerState(f.now, side, state)
}

// tickFull advances the time by 20 ms while the workers are full.
func (f *fixture) tickFull(n int) {
	for range n {
		f.now = f.now.Add(20 * time.Millisecond)
		for i, s := range f.sides {
			f.reportFull(s, 1000, uint32(200-50*i), false)
		}
		f.broker.Tick(f.now)
		f.flush()
	}
}

func largeJob(id string) yuccabroker.Job {
	j := job(id, 1)
	j.Steps[0].CPUMilli = 8000
	return j
}

// reservedOrders returns the sides of the reserved orders, in order of sides.
func (f *fixture) reservedOrders() []string {
	var sides []string
	for _, s := range f.sides {
		for _, m := range f.orders[s] {
			for _, j := range m.GetJobs() {
				for _, t := range j.GetTasks() {
					if t.GetReserved() {
						sides = append(sides, s)
					}
				}
			}
		}
	}
	return sides
}

func newFullFixture(t *testing.T, sides int) *fixture {
	var names []string
	for i := range sides {
		names = append(names, fmt.Sprint("s", i))
	}
	f := newFixture(t, names...)
	f.tickFull(1)
	return f
}

// A large task that fits nowhere is reserved where it is expected to fit first, but not
// before 30 ms: the next report often brings a worker with capacity.
func TestReserveAfterDelay(t *testing.T) {
	f := newFullFixture(t, 3)
	f.submit(largeJob("a"), 1)
	f.tickFull(1)
	if got := f.reservedOrders(); len(got) > 0 {
		t.Errorf("reserved at %v after 20 ms, want none", got)
	}
	f.tickFull(1)
	if got := f.reservedOrders(); len(got) != 1 || got[0] != "s2" {
		t.Errorf("reserved at %v, want the side that is free first", got)
	}
	if got := f.broker.Reservations(f.now); len(got) != 1 || got[0].Side != "s2" || got[0].Task != "a.0.0.0" || got[0].Forecast != 100*time.Millisecond {
		t.Errorf("reservations are %+v", got)
	}
	f.endRun("s2", "a.0.0.0", 1, done, 0)
	f.wantState(1, yuccabroker.Completed)
	if got := f.broker.Reservations(f.now); len(got) != 0 {
		t.Errorf("reservations are %+v after the task is done", got)
	}
}

// A refused reservation is tried elsewhere at once.
func TestRefusedReservationGoesElsewhere(t *testing.T) {
	for _, refusal := range []yuccawire.RunRefusal{yuccawire.RunRefusal_RUN_REFUSAL_RESERVED, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM} {
		f := newFullFixture(t, 3)
		f.submit(largeJob("a"), 1)
		f.tickFull(2)
		state := f.workerState(1000)
		state.OrdersSeen = f.lastOrder["s2"]
		f.broker.HandleEnds(f.now, "s2", &yuccawire.Ends{State: state, Ends: []*yuccawire.Ended{{Run: &yuccawire.RunKey{Task: "a.0.0.0", Run: 1}, End: refused, Refusal: refusal}}})
		f.flush()
		if got := f.reservedOrders(); len(got) != 2 || got[0] != "s1" {
			t.Errorf("%v: reserved at %v, want s1 besides", refusal, got)
		}
	}
}

// An entry holds a tenth of the workers at most, as reserved workers leave less for all
// other tasks. The next one is reserved once the task of the first has started.
func TestReservationsAreBounded(t *testing.T) {
	f := newFullFixture(t, 3)
	f.submit(largeJob("a"), 1)
	f.submit(largeJob("b"), 2)
	f.tickFull(3)
	if got := f.reservedOrders(); len(got) != 2 {
		// The report after the first order shows no reservation: its task has started.
		t.Errorf("reserved at %v, want a second one after the first has started", got)
	}
	f = newFullFixture(t, 3)
	f.submit(largeJob("a"), 1)
	f.submit(largeJob("b"), 2)
	f.tickFull(2)
	for range 5 {
		f.now = f.now.Add(20 * time.Millisecond)
		for _, s := range f.sides {
			f.reportFull(s, 1000, 100, s == "s2")
		}
		f.broker.Tick(f.now)
		f.flush()
	}
	if got := f.reservedOrders(); len(got) != 1 {
		t.Errorf("reserved at %v, want one while it is held", got)
	}
}

// Smaller tasks behind a large one that fits nowhere must not wait for it.
func TestSmallTasksBehindALargeOneArePlaced(t *testing.T) {
	f := newFullFixture(t, 3)
	f.submit(largeJob("a"), 1)
	f.now = f.now.Add(time.Millisecond)
	f.submit(job("b", 1), 2)
	if f.sentRuns()["b.0.0.0/1"] == "" || len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want the small task alone", f.sentRuns())
	}
}

// A small task that may be queued at a side needs no reservation, and takes none from a
// large one: under overload every task fits nowhere.
func TestSmallTasksAreNotReserved(t *testing.T) {
	f := newFullFixture(t, 1)
	for range 4 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.reportFull("s0", -1500, 200, false)
		f.submit(job(fmt.Sprint("a", f.now.UnixMilli()), 1), uint64(f.now.UnixMilli()))
		f.broker.Tick(f.now)
		f.flush()
	}
	if got := f.reservedOrders(); len(got) > 0 {
		t.Errorf("reserved at %v, want none", got)
	}
}

// A large task is never queued at a side without a reservation, where smaller ones would
// take what comes free.
func TestLargeTaskInTheQueueOfASideIsReserved(t *testing.T) {
	f := newFixture(t, "s0")
	f.report("s0", 6000)
	f.submit(largeJob("a"), 1)
	if got := f.reservedOrders(); len(got) != 1 {
		t.Errorf("reserved at %v, want the order to be reserved", got)
	}
}

// With the part off, decisions are as before.
func TestReservationsOff(t *testing.T) {
	scheduling := yuccabroker.DefaultScheduling()
	scheduling.Reservations = false
	f := newScheduledFixture(t, scheduling, "s0")
	f.tickFull(1)
	f.submit(largeJob("a"), 1)
	f.submit(job("b", 1), 2)
	f.tickFull(4)
	if len(f.sentRuns()) != 0 {
		t.Errorf("sent %v, want the queue to wait for the large task", f.sentRuns())
	}
}

// BenchmarkPlaceLarge measures a placement while 20 large tasks wait on full workers, of
// which reservations are held, with the part on and off.
func BenchmarkPlaceLarge(b *testing.B) {
	for _, on := range []bool{false, true} {
		for _, sides := range []int{benchSides, 1100} {
			b.Run(fmt.Sprint("reservations ", on, ", sides ", sides), func(b *testing.B) {
				broker := yuccabroker.New(yuccabroker.Options{
					Name: "entry", Scheduling: yuccabroker.Scheduling{Reservations: on}, Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("bench"), Logger: slog.New(slog.DiscardHandler),
				})
				full := &yuccawire.WorkerState{
					ClockMs: 1, Worker: "w", Service: "belfry", Ready: true, Taken: true, CpuMilli: fullCPU, MemoryMb: 32768, FreeCpuMilli: 1000, PacePercent: 100, Reserved: true,
				}
				for range 8 {
					full.Releases = append(full.Releases, &yuccawire.Release{InMs: 100, CpuMilli: 1800, MemoryMb: 4000})
				}
				for i := range sides {
					name := fmt.Sprint("side-", i)
					broker.HandleLinkUp(startTime, yuccabroker.Side{Name: name, Incarnation: 1})
					broker.HandleWorkerState(startTime, name, full)
				}
				for i := range 20 {
					j := largeJob(fmt.Sprint("j", i))
					j.Deadline = startTime.Add(time.Hour)
					broker.Submit(startTime, j, uint64(i))
				}
				broker.Place(startTime)
				now := startTime.Add(40 * time.Millisecond)
				for b.Loop() {
					broker.HandleWorkerState(now, "side-1", full)
					broker.Place(now)
					broker.Actions()
				}
			})
		}
	}
}

// The side restarts with a reservation, whose task it may have started: the task is reserved again
// there only, and the former reservation doesn't count any more.
func TestSideRestartsWithReservation(t *testing.T) {
	f := newFullFixture(t, 3)
	f.submit(largeJob("a"), 1)
	f.tickFull(2)
	f.broker.HandleLinkDown(f.now, "s2")
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 2, DataCentre: "puno"})
	f.lastOrder["s2"] = 0
	f.broker.HandleEnds(f.now, "s2", &yuccawire.Ends{Full: true, State: f.workerState(1000)})
	f.flush()
	held := f.broker.Reservations(f.now)
	if len(held) != 1 || held[0].Run != 2 || held[0].Side != "s2" || len(f.sentRuns()) != 2 || f.sentRuns()["a.0.0.0/2"] != "s2" {
		t.Errorf("reservations are %+v, sent %v, want a second run that is reserved at the same side", held, f.sentRuns())
	}
}
