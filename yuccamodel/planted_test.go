package yuccamodel_test

import (
	"flag"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

var every = flag.Bool("every", false, "play all schedules where CI plays a part")

// plantedShare is one in how many schedules of a planted fault is played without -every.
const plantedShare = 17

// mechanisms are taken out one at a time. Where one fault doesn't show that, the explorer adds one to those given,
// and checks with -every that there is none. Where another mechanism serves as well, it is taken out with it by coveredBy, and
// without that one alone no rule is broken.
var mechanisms = []struct {
	name      string
	takeOut   func(w *world)
	coveredBy func(w *world)
	given     string
}{
	{name: "hold of the worker", takeOut: func(w *world) {
		w.every(time.Millisecond, func() {
			for _, s := range w.sides {
				if len(s.worker.runs) > 0 {
					s.worker.leaseUntilMS = math.MaxInt32
				}
			}
		})
	}},
	{
		name: "owner's lease", takeOut: func(w *world) { w.every(tickInterval, w.renewForAll) }, coveredBy: forgetPlacements,
		given: "entry_stands at 30 for over_report_interval",
	},
	{name: "placements told to backups", takeOut: forgetPlacements, given: "machine_suspended at 15 for over_max_report_age"},
	{name: "lists of held tasks", takeOut: func(w *world) {
		w.alter = func(m *yuccawire.Envelope) *yuccawire.Envelope {
			if m.GetHeldTasks() != nil {
				return nil
			}
			return m
		}
	}, given: "machine_stands at 30 for over_max_report_age"},
	{name: "pinned tasks", takeOut: func(w *world) { w.alter = withoutPins }, given: "late_call at 3 for over_report_interval\nrun_fails at 20 for once"},
	{name: "asked worker", takeOut: func(w *world) { w.alter = withoutAsking }, given: "late_call at 3 for over_report_interval\ncaller_leaves at 20 for once"},
	{name: "fence", takeOut: func(w *world) {
		w.every(time.Millisecond, func() {
			for _, s := range w.sides {
				s.worker.token = 0
			}
		})
	}, given: "late_call at 3 for over_report_interval"},
	{name: "refused connection", takeOut: func(w *world) {
		w.connectResult = func(yuccaworker.Result) yuccaworker.Result { return yuccaworker.ResultUnreachable }
	}},
}

// renewForAll renews the leases of all entries and of their earlier incarnations, also of those that are gone.
func (w *world) renewForAll() {
	for _, e := range w.entries {
		for incarnation := range e.incarnation {
			for _, s := range w.sides {
				id := yuccaworker.Owner{Name: e.name, Incarnation: incarnation + 1}
				s.handle(func() {
					s.core.HandleHeartbeat(s.now(), id, &yuccawire.Beat{UntilMs: math.MaxInt64 / uint64(time.Millisecond)})
				})
			}
		}
	}
}

// forgetPlacements has other entries know nothing of the runs of one that is lost or silent.
func forgetPlacements(w *world) {
	w.alter = func(m *yuccawire.Envelope) *yuccawire.Envelope {
		if m.GetPlacements() != nil {
			return nil
		}
		return m
	}
}

// withoutAsking removes from orders that the side asks the worker before it starts the task.
func withoutAsking(m *yuccawire.Envelope) *yuccawire.Envelope {
	m = proto.Clone(m).(*yuccawire.Envelope)
	for _, job := range m.GetOrders().GetJobs() {
		for _, task := range job.GetTasks() {
			task.Pinned = false
		}
	}
	return m
}

// withoutPins removes what tells an entry that a worker may still execute a start, the lists included.
func withoutPins(m *yuccawire.Envelope) *yuccawire.Envelope {
	if m.GetHeldTasks() != nil {
		return nil
	}
	m = proto.Clone(m).(*yuccawire.Envelope)
	for _, state := range []*yuccawire.WorkerState{m.GetWorkerState(), m.GetEnds().GetState()} {
		if state != nil {
			state.Unsettled = nil
		}
	}
	for _, e := range m.GetEnds().GetEnds() {
		e.MayStart, e.Unanswered = false, false
	}
	return m
}

// shortest returns the first play that breaks a rule, by the length of its faults, and how many were played.
func shortest(sc scenario, schedules [][]fault) (*play, int) {
	slices.SortStableFunc(schedules, func(a, b []fault) int { return int(totalLength(a) - totalLength(b)) })
	var found atomic.Int64
	var played atomic.Int64
	found.Store(int64(len(schedules)))
	forEach(len(schedules), func(i int) {
		if int64(i) > found.Load() {
			return
		}
		played.Add(1)
		if !explore(sc, schedules[i]).Failed() {
			return
		}
		for known := found.Load(); int64(i) < known && !found.CompareAndSwap(known, int64(i)); {
			known = found.Load()
		}
	})
	if i := found.Load(); i < int64(len(schedules)) {
		return explore(sc, schedules[i]), int(played.Load())
	}
	return nil, int(played.Load())
}

// alone returns a schedule for each fault.
func alone(faults []fault) [][]fault {
	var schedules [][]fault
	for _, f := range faults {
		schedules = append(schedules, []fault{f})
	}
	return schedules
}

func totalLength(faults []fault) time.Duration {
	total := time.Duration(0)
	for _, f := range faults {
		total += f.length.d
	}
	return total
}

// Each mechanism is needed: without it, the explorer reports a broken rule, with a schedule that replays it.
func TestPlantedFaultsAreReported(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			sc, given, err := readSchedule("play one_task\n" + m.given)
			if err != nil {
				t.Fatal(err)
			}
			takeOut := func(w *world) {
				m.takeOut(w)
				if m.coveredBy != nil {
					m.coveredBy(w)
				}
			}
			sc.plant = takeOut
			var schedules [][]fault
			for i, f := range followingFaults(sc, given) {
				if *every || i%plantedShare == 0 {
					schedules = append(schedules, append(slices.Clone(given), f))
				}
			}
			found, played := shortest(sc, schedules)
			if *every && len(given) > 0 {
				if single, played := shortest(sc, alone(singleFaults(sc))); single != nil {
					found = single
				} else {
					t.Logf("none of %d plays of one fault breaks a rule", played)
				}
			}
			if found == nil {
				t.Fatalf("no play of %d breaks a rule", played)
			}
			schedule := writeSchedule(sc, found.faults)
			p, err := replaySchedule(schedule, takeOut)
			if err != nil || !slices.Equal(p.violations, found.violations) {
				t.Fatalf("replaying %q: %v, %v, want %v", schedule, err, p.violations, found.violations)
			}
			timeline := p.timeline()
			t.Logf("%d of %d plays, schedule:\n%s\ntimeline:\n%s", played, len(schedules), schedule, timeline)
			for _, f := range found.faults {
				if !strings.Contains(timeline, "fault "+f.kind.name+" after point") {
					t.Errorf("the timeline doesn't show %s", f.kind.name)
				}
			}
			if p, err := replaySchedule(schedule, m.coveredBy); err == nil && p.Failed() {
				t.Errorf("the code breaks a rule also with the mechanism: %v", p.violations)
			}
		})
	}
}
