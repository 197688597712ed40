package yuccabroker_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// benchSides is the number of sides of the large deployment, benchRuns the number of
// runs on a worker that crashes.
const (
	benchSides = 160
	benchRuns  = 12
)

func benchCrash(i int) *yuccawire.Crash {
	c := &yuccawire.Crash{Side: fmt.Sprint("side-puno-", i%benchSides), Worker: "i-7f3a91c2", StartedUnixMs: int64(i), Service: "belfry"}
	for n := range benchRuns {
		c.Runs = append(c.Runs, &yuccawire.CrashedRun{
			Task: fmt.Sprintf("%016x.0.0.%d", i/2, n), Queue: fmt.Sprint("r-3hwrr6", n%3), RanMs: uint32(12 + 40*n), CpuMilli: 1600,
		})
	}
	return c
}

func benchBroker(now time.Time) *yuccabroker.Broker {
	broker := yuccabroker.New(yuccabroker.Options{
		Name: "entry", Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("bench"), Logger: slog.New(slog.DiscardHandler),
	})
	for i := range benchSides {
		name := fmt.Sprint("side-puno-", i)
		broker.HandleLinkUp(now, yuccabroker.Side{Name: name, Incarnation: 1, DataCentre: "puno"})
		broker.HandleWorkerState(now, name, &yuccawire.WorkerState{
			ClockMs: 1, Worker: "w", Service: "belfry", Ready: true, Taken: true, CpuMilli: fullCPU, MemoryMb: 32768, FreeCpuMilli: 1000, PacePercent: 100,
		})
	}
	for i := range 2 {
		j := job(fmt.Sprint("j", i), 1)
		j.Queue.Name = fmt.Sprint("r-3hwrr6", i)
		broker.Submit(now, j, uint64(i))
	}
	return broker
}

// BenchmarkCrashReport measures what an entry spends on one crash of a storm, of which
// every second one finds the same tasks again, and the size of the report.
func BenchmarkCrashReport(b *testing.B) {
	now := startTime
	broker := benchBroker(now)
	size := 0
	for i := 0; b.Loop(); i++ {
		now = now.Add(30 * time.Millisecond)
		report := &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{benchCrash(i)}}
		size = proto.Size(report)
		broker.HandleCrashReport(now, report)
		broker.Actions()
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(len(broker.RecentCrashes(now).GetConfined())), "confined")
}

// BenchmarkTick measures a tick of an entry with a confined queue, and without.
func BenchmarkTick(b *testing.B) {
	for _, crashes := range []int{0, 60} {
		b.Run(fmt.Sprint(crashes, " crashes"), func(b *testing.B) {
			broker := benchBroker(startTime)
			for i := range crashes {
				broker.HandleCrashReport(startTime, &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{benchCrash(i)}})
			}
			now := startTime
			for b.Loop() {
				now = now.Add(20 * time.Millisecond)
				broker.Tick(now)
				broker.Actions()
			}
			b.ReportMetric(float64(len(broker.RecentCrashes(now).GetConfined())), "confined")
		})
	}
}

// BenchmarkPlaceSuspects measures a placement while 120 suspect tasks wait for a worker.
func BenchmarkPlaceSuspects(b *testing.B) {
	broker := benchBroker(startTime)
	for i := range 400 {
		crash := benchCrash(2 * i)
		broker.HandleCrashReport(startTime.Add(time.Duration(i)*100*time.Millisecond), &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{crash}})
	}
	for i := range 10 {
		j := job(fmt.Sprintf("%016x", 150+i), benchRuns)
		j.Steps[0].CPUMilli = fullCPU
		j.Deadline = startTime.Add(time.Hour)
		broker.Submit(startTime, j, uint64(100+i))
	}
	broker.Actions()
	for b.Loop() {
		broker.HandleWorkerState(startTime, "side-puno-1", &yuccawire.WorkerState{ClockMs: 1, Ready: true, Taken: true, FreeCpuMilli: 1000, PacePercent: 100})
		broker.Place(startTime)
		broker.Actions()
	}
}

// BenchmarkPlaceHeldBack measures a placement while tasks of 32 queues wait, which are held
// back. It must not depend on the number of waiting tasks.
func BenchmarkPlaceHeldBack(b *testing.B) {
	const queues = 32
	for _, waiting := range []int{320, 32000} {
		b.Run(fmt.Sprint(waiting, " tasks"), func(b *testing.B) {
			broker := yuccabroker.New(yuccabroker.Options{
				Name: "entry", DataCentre: "puno", Scheduling: yuccabroker.DefaultScheduling(), Random: rand.New(rand.NewPCG(1, 1)),
				Metrics: yuccametric.New("bench"), Logger: slog.New(slog.DiscardHandler),
			})
			report := func(free int32) {
				for i := range benchSides {
					broker.HandleWorkerState(startTime, fmt.Sprint("side-", i), &yuccawire.WorkerState{
						ClockMs: 1, Worker: "w", Service: "belfry", Ready: true, Taken: true, CpuMilli: fullCPU, MemoryMb: 32768,
						FreeCpuMilli: free, FreeMemoryMb: 32768, PacePercent: 100, OrdersSeen: 1000,
					})
				}
			}
			for i := range benchSides {
				broker.HandleLinkUp(startTime, yuccabroker.Side{Name: fmt.Sprint("side-", i), Incarnation: 1})
			}
			submit := func(prefix string, tasks int) {
				for i := range queues {
					broker.Submit(startTime, longJob(fmt.Sprint(prefix, i), fmt.Sprint("q", i), tasks), uint64(i))
				}
				broker.Place(startTime)
			}
			report(fullCPU)
			submit("running", 40)
			report(full)
			submit("waiting", waiting/queues)
			var demand fixedDemand
			for i := range queues {
				demand = append(demand, otherDemand(0, 1e9)...)
				demand[i].Queue = fmt.Sprint("other", i)
			}
			broker.SetDemand(demand)
			broker.Tick(startTime)
			report(2000)
			broker.Actions()
			for b.Loop() {
				broker.HandleWorkerState(startTime, "side-1", &yuccawire.WorkerState{ClockMs: 1, Ready: true, Taken: true, FreeCpuMilli: 2000, PacePercent: 100, OrdersSeen: 1000})
				broker.Place(startTime)
				if actions := broker.Actions(); len(actions) > 0 {
					b.Fatalf("%d messages were sent, want none while the queues are held back", len(actions))
				}
			}
		})
	}
}

// BenchmarkPlaceHeldElsewhere measures a placement while 20 tasks wait for room, beside the lists of held
// tasks of 1,100 sides, and without. The lists must not slow it down.
func BenchmarkPlaceHeldElsewhere(b *testing.B) {
	for _, lists := range []int{0, 1100} {
		b.Run(fmt.Sprint(lists, " lists"), func(b *testing.B) {
			broker := benchBroker(startTime)
			for i := range lists {
				list := &yuccawire.HeldTasks{Sender: fmt.Sprint("side-", i), Incarnation: 1, Sequence: 1}
				for n := range 5 {
					list.Tasks = append(list.Tasks, &yuccawire.HeldTask{Task: fmt.Sprintf("%016x.0.0.%d", i, n), RemainingMs: 10_000, Side: list.GetSender()})
				}
				broker.HandleHeldTasks(startTime, list)
			}
			for i := range 10 {
				broker.Submit(startTime, job(fmt.Sprint("waiting", i), 2), uint64(10+i))
			}
			for b.Loop() {
				broker.HandleWorkerState(startTime, "side-puno-1", &yuccawire.WorkerState{ClockMs: 1, Ready: true, Taken: true, FreeCpuMilli: 1000, PacePercent: 100})
				broker.Place(startTime)
			}
		})
	}
}
