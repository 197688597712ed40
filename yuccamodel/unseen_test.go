package yuccamodel_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// unseenDelay is when after its submission a caller leaves.
const unseenDelay = 300 * time.Millisecond

// newUnseen returns a world whose first entry gets what is submitted now, and whose second one gets
// what comes again.
func newUnseen(t *testing.T, entries, sides int) *world {
	w := newWorld(t, 1, entries, sides)
	w.patience = 8 * time.Second
	w.run(warmUp)
	w.pickEntry = func() *modelEntry { return w.entries[0] }
	return w
}

// leaveUnseenAfter has a caller that has just submitted a job leave unseen, and come again at the second entry.
func (w *world) leaveUnseenAfter(j *callerJob, d time.Duration) {
	w.pickEntry = func() *modelEntry { return w.entries[1] }
	w.after(d, j.leaveUnseen)
}

// fillWorkers has the last entry run tasks on all processors for a time, which end at about the same time.
func (w *world) fillWorkers(d time.Duration) {
	w.pickEntry = func() *modelEntry { return w.entries[len(w.entries)-1] }
	waiting := 0
	for _, s := range w.sides {
		s.worker.speed = 1
		waiting += s.worker.cpuMilli / 7500
	}
	for range waiting {
		w.submitOneTask(7500, d)
		w.run(10 * time.Millisecond)
	}
	for _, s := range w.sides {
		if len(s.worker.runs) != s.worker.cpuMilli/7500 {
			w.t.Fatalf("%s has %d runs, want it full", s.name, len(s.worker.runs))
		}
	}
	w.pickEntry = func() *modelEntry { return w.entries[0] }
}

// submitSome submits a job of six equal tasks.
func (w *world) submitSome(work time.Duration) *callerJob {
	w.shape = func(j *callerJob) {
		j.tasks = make(map[string]taskSize)
		for i := range 6 {
			j.tasks[fmt.Sprintf("%s.0.0.%d", j.job.ID, i)] = taskSize{cpuMilli: 1600, workMS: float64(work.Milliseconds())}
		}
		j.job.Steps = []yuccabroker.Step{{Count: 6, CPUMilli: 1600, MemoryMB: 64, Estimate: work}}
	}
	return w.submitNew(jobKinds[0])
}

// checkCompleted runs the world and checks that the job is completed in time.
func (j *callerJob) checkCompleted(limit time.Duration) {
	j.world.run(12 * time.Second)
	if !j.isCompleted() || j.responseTime > limit {
		j.world.reportViolation(j.job.ID, "job answered: %v, as %v, after %v, want it completed within %v", j.isAnswered, j.state, j.responseTime, limit)
	}
}

// checkAnswered runs the world and checks that the job is answered.
func (j *callerJob) checkAnswered() {
	j.world.run(12 * time.Second)
	if !j.isAnswered {
		j.world.reportViolation(j.job.ID, "job is not answered")
	}
}

// submitToStandingEntry has a request wait in the socket of the first entry, whose caller leaves unseen.
func (w *world) submitToStandingEntry(work, stand time.Duration) *callerJob {
	w.freezeEntry(w.entries[0], stand)
	w.run(10 * time.Millisecond)
	job := w.submitOneTask(1600, work)
	w.leaveUnseenAfter(job, unseenDelay)
	return job
}

// The entry goes on with a request whose resend runs elsewhere.
func TestRequestThatWaitedAtAStandingEntryRunsBesideItsResend(t *testing.T) {
	for _, stand := range []time.Duration{1200 * time.Millisecond, 1610 * time.Millisecond, 1650 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprint(stand), func(t *testing.T) {
			w := newUnseen(t, 3, 3)
			w.submitToStandingEntry(900*time.Millisecond, stand).checkCompleted(4 * time.Second)
		})
	}
}

// As above for an entry whose machine was suspended, and gets the request when it wakes.
func TestRequestToASuspendedEntryRunsBesideItsResend(t *testing.T) {
	w := newUnseen(t, 3, 3)
	w.entries[0].suspend(2 * time.Second)
	w.run(10 * time.Millisecond)
	job := w.submitOneTask(1600, 900*time.Millisecond)
	w.leaveUnseenAfter(job, unseenDelay)
	job.checkCompleted(4 * time.Second)
}

// The workers become free for both entries at once.
func TestTaskThatWaitedRunsBesideItsResend(t *testing.T) {
	for _, busy := range []time.Duration{1300 * time.Millisecond, 1500 * time.Millisecond, 1700 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint(busy), func(t *testing.T) {
			w := newUnseen(t, 3, 3)
			w.fillWorkers(busy)
			job := w.submitSome(900 * time.Millisecond)
			w.leaveUnseenAfter(job, unseenDelay)
			job.checkCompleted(6 * time.Second)
		})
	}
}

// The entry that goes on is linked with the sides before it is linked with the other entries.
func TestRequestThatWaitedAtAStandingEntryRunsBesideItsResendAsTheOtherEntriesAreLinkedLater(t *testing.T) {
	for _, later := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(fmt.Sprint(later), func(t *testing.T) {
			w := newUnseen(t, 3, 3)
			job := w.submitToStandingEntry(900*time.Millisecond, 2*time.Second)
			for _, peer := range w.entries[0].peers {
				w.partitionEntries(w.entries[0], peer, 2*time.Second+later)
			}
			w.after(linkTimeout, func() {
				for _, s := range w.sides {
					w.closeLink(w.entries[0], s)
				}
			})
			job.checkCompleted(4 * time.Second)
		})
	}
}

// Both entries place the task again when its first run has failed or is lost.
func TestTaskThatIsPlacedAgainRunsBesideItsResend(t *testing.T) {
	for name, end := range map[string]func(m *modelWorker){
		"run fails": func(m *modelWorker) {
			m.hasFailed = true
			for _, key := range m.runKeys() {
				m.complete(key, yuccawire.RunEnd_RUN_END_FAILED)
			}
		},
		"worker crashes": (*modelWorker).crash,
	} {
		for _, at := range []time.Duration{500 * time.Millisecond, 1590 * time.Millisecond, 1610 * time.Millisecond, 1800 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " at ", at), func(t *testing.T) {
				w := newUnseen(t, 3, 3)
				job := w.submitOneTask(1600, 2200*time.Millisecond)
				w.leaveUnseenAfter(job, unseenDelay)
				w.after(at, func() {
					for _, s := range w.sides {
						if len(s.worker.runs) > 0 {
							w.logf("fault %s: %s", s.name, name)
							end(s.worker)
						}
					}
				})
				job.checkCompleted(9 * time.Second)
			})
		}
	}
}

// The run of the first entry has most of its time to go when the second one gets the job.
func TestResendIsNotAnsweredOnceTheRunOfAnotherEntryIsDone(t *testing.T) {
	w := newUnseen(t, 3, 3)
	job := w.submitOneTask(1600, 2200*time.Millisecond)
	w.leaveUnseenAfter(job, unseenDelay)
	job.checkCompleted(3300 * time.Millisecond)
	if w.starts != 1 {
		w.reportViolation(job.job.ID, "the task starts %d times, want once", w.starts)
	}
}

// The first entry is gone with what it knows of the job, and its caller's connection with it.
func TestResendOfAnOldJobIsNotServedAsItsEntryIsKilled(t *testing.T) {
	for _, at := range []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			w := newUnseen(t, 3, 3)
			job := w.submitOneTask(1600, 2200*time.Millisecond)
			w.pickEntry = func() *modelEntry { return w.entries[1] }
			w.after(at, func() { w.killEntry(w.entries[0], false, time.Minute) })
			job.checkCompleted(9 * time.Second)
		})
	}
}

// As above after the caller has left unseen.
func TestResendIsNotServedAsTheFirstEntryIsKilled(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		for _, at := range []time.Duration{310 * time.Millisecond, 700 * time.Millisecond, 1590 * time.Millisecond, 1620 * time.Millisecond, 2 * time.Second} {
			for name, busy := range map[string]time.Duration{"runs": 0, "waits": 1500 * time.Millisecond} {
				t.Run(fmt.Sprint(name, ", killed at ", at, ", unreachable ", unreachable), func(t *testing.T) {
					w := newUnseen(t, 3, 3)
					if busy > 0 {
						w.fillWorkers(busy)
					}
					job := w.submitOneTask(1600, 2200*time.Millisecond)
					w.leaveUnseenAfter(job, unseenDelay)
					w.after(at, func() { w.killEntry(w.entries[0], unreachable, time.Minute) })
					job.checkCompleted(9 * time.Second)
				})
			}
		}
	}
}

// The two entries reach all sides, but not each other.
func TestTaskThatWaitedRunsBesideItsResendAsTheEntriesAreCutFromEachOther(t *testing.T) {
	for _, entries := range []int{2, 3, 4} {
		for _, before := range []time.Duration{0, 3 * time.Second} {
			for _, busy := range []time.Duration{1700 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
				t.Run(fmt.Sprint(entries, " entries, cut ", before, " before, busy ", busy), func(t *testing.T) {
					w := newUnseen(t, entries, 3)
					w.partitionEntries(w.entries[0], w.entries[1], 10*time.Second)
					w.run(before)
					w.fillWorkers(busy)
					job := w.submitSome(900 * time.Millisecond)
					w.leaveUnseenAfter(job, unseenDelay)
					job.checkAnswered()
				})
			}
		}
	}
}

func TestRunThatBeganBeforeRunsBesideItsResendAsTheEntriesAreCutFromEachOther(t *testing.T) {
	for _, entries := range []int{2, 3, 4} {
		for name, disturb := range map[string]func(w *world, s *modelSide){
			"undisturbed": func(*world, *modelSide) {},
			"run fails": func(_ *world, s *modelSide) {
				s.worker.hasFailed = true
				for _, key := range s.worker.runKeys() {
					s.worker.complete(key, yuccawire.RunEnd_RUN_END_FAILED)
				}
			},
			"side is cut from the second entry": func(w *world, s *modelSide) { w.partitionLink(w.entries[1], s, 3*time.Second) },
		} {
			for _, at := range []time.Duration{20 * time.Millisecond, 1500 * time.Millisecond, 1800 * time.Millisecond} {
				t.Run(fmt.Sprint(entries, " entries, ", name, " at ", at), func(t *testing.T) {
					w := newUnseen(t, entries, 3)
					job := w.submitOneTask(1600, 2200*time.Millisecond)
					w.leaveUnseenAfter(job, unseenDelay)
					w.partitionEntries(w.entries[0], w.entries[1], 10*time.Second)
					w.after(at, func() {
						for _, s := range w.sides {
							if len(s.worker.runs) > 0 {
								w.logf("fault %s: %s", s.name, name)
								disturb(w, s)
							}
						}
					})
					job.checkAnswered()
				})
			}
		}
	}
}

// The second entry takes the job, and the run of the first one has ended before the next tick, which has to tell it.
func TestJobThatWasTakenIsNotPlacedAsItsRunHasEndedAtOnce(t *testing.T) {
	for _, entries := range []int{2, 3, 4} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			w := newUnseen(t, entries, 3)
			w.partitionEntry(w.entries[1], 1900*time.Millisecond)
			job := w.submitOneTask(1600, 3500*time.Millisecond)
			w.leaveUnseenAfter(job, unseenDelay)
			job.checkCompleted(8 * time.Second)
		})
	}
}

// disturbUnseen stops, kills or cuts something, for a random time.
func (w *world) disturbUnseen() {
	e, s := w.entries[w.random.IntN(len(w.entries))], w.sides[w.random.IntN(len(w.sides))]
	peer := e.peers[w.random.IntN(len(e.peers))]
	d := 100*time.Millisecond + w.randomDuration(3*time.Second)
	kind := []string{"stands", "stands", "is killed", "is killed, unreachable", "is cut from an entry", "is cut from a side", "is cut off", "loses a side", "loses a worker"}[w.random.IntN(9)]
	w.logf("fault %s %s for %v, %s, %s", e.name, kind, d, peer.name, s.name)
	switch kind {
	case "stands":
		w.freezeEntry(e, d)
	case "is killed":
		w.killEntry(e, false, d)
	case "is killed, unreachable":
		w.killEntry(e, true, d)
	case "is cut from an entry":
		w.partitionEntries(e, peer, d)
	case "is cut from a side":
		w.partitionLink(e, s, d)
	case "is cut off":
		w.partitionEntry(e, d)
	case "loses a side":
		w.freezeSide(s, d)
	default:
		s.worker.crash()
		w.after(d, s.worker.restart)
	}
}

// Callers leave unseen while entries stand still, are lost or cut, and tasks wait. A task runs at most once
// at a time, a refused job never, and nothing hangs afterwards.
func TestFaultsOfUnseenDepartures(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 15000 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 3+int(seed%2), 4)
			w.patience, w.kinds = 6*time.Second, append(slices.Clone(jobKinds), longKind)
			w.shape = func(j *callerJob) {
				shapeLong(j)
				if w.now.Sub(startTime) < warmUp+lastFault+maxFault && w.random.IntN(4) == 0 {
					w.after(w.randomDuration(600*time.Millisecond), j.leaveUnseen)
				}
			}
			w.playFaults(0.3, 10, w.disturbUnseen)
			w.checkInUse()
		})
	}
}
