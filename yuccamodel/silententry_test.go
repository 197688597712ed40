package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

// silentReplicas is how many entries have a replica, the first ones.
const silentReplicas = 3

// silence plays a job whose entry and machine stand still before its caller, who has left unseen, comes again. Links between
// entries outlast the silence, as those of entries with many links do.
type silence struct {
	// entryAt and sideAt are when entry and machine begin to stand still, since the submission, duration is for how long.
	entryAt, sideAt, duration time.Duration
	// isSuspended is set if the clock of the entry stands still as well.
	isSuspended bool
	// alsoSilent are other entries that stand still with the first, killed those that are killed 0.3 s later.
	alsoSilent, killed []int
	// comesTo is the entry to which the caller comes again.
	comesTo int
}

func (s silence) String() string {
	return fmt.Sprintf("entry %v side %v for %v suspended %v with %v killed %v at %d", s.entryAt, s.sideAt, s.duration, s.isSuspended, s.alsoSilent, s.killed, s.comesTo)
}

func (s silence) play(t *testing.T) *callerJob {
	w := newFleet(t, 1, 3, 7, 3)
	for _, e := range w.entries[1:4] {
		e.isReplica = true
	}
	w.start()
	w.run(warmUp)
	w.patience = 6 * time.Second
	w.pickEntry = func() *modelEntry { return w.entries[0] }
	job := w.submitOneTask(1600, 900*time.Millisecond)
	w.pickEntry = func() *modelEntry { return w.entries[s.comesTo] }
	w.after(s.entryAt, func() {
		for _, i := range append([]int{0}, s.alsoSilent...) {
			if s.isSuspended {
				w.entries[i].suspend(s.duration)
			} else {
				w.freezeEntry(w.entries[i], s.duration)
			}
		}
		w.after(10*time.Millisecond, job.leaveUnseen)
	})
	w.after(10*time.Millisecond, func() {
		for _, side := range w.sides {
			if !side.core.Idle() {
				w.after(s.sideAt-10*time.Millisecond, func() { side.suspend(s.duration, false) })
			}
		}
	})
	w.after(s.entryAt+300*time.Millisecond, func() {
		for _, i := range s.killed {
			w.killEntry(w.entries[i], false, time.Minute)
		}
	})
	w.run(14 * time.Second)
	return job
}

// The entry that gets the resend knows nothing of the run, as the link to the silent one isn't lost.
func TestResendOfASilentEntryRunsBesideAStandingMachine(t *testing.T) {
	const ms = time.Millisecond
	var silences []silence
	for _, isSuspended := range []bool{false, true} {
		for comesTo := 1; comesTo <= 6; comesTo++ {
			s := silence{entryAt: 100 * ms, sideAt: 100 * ms, duration: 3 * time.Second, isSuspended: isSuspended, comesTo: comesTo}
			silences = append(silences, s)
			later, earlier, short := s, s, s
			later.sideAt, earlier.sideAt, short.duration = 400*ms, 20*ms, 1600*ms
			silences = append(silences, later, earlier, short)
			others := []int{comesTo%6 + 1, (comesTo+1)%6 + 1}
			two, three, killed := s, s, s
			two.alsoSilent, three.alsoSilent, killed.killed = others[:1], others, others[:1]
			silences = append(silences, two, three, killed)
		}
	}
	for _, s := range silences {
		t.Run(s.String(), func(t *testing.T) {
			if job := s.play(t); !job.isAnswered {
				t.Error("the caller is not answered")
			}
		})
	}
}

// Every side answers, so that the caller of a silent entry is served as any other.
func TestResendWaitsForASilentEntry(t *testing.T) {
	for _, duration := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		w, job := newResent(t)
		w.run(50 * time.Millisecond)
		w.freezeEntry(w.entries[0], duration)
		job.leaveUnseen()
		starts := w.starts
		w.run(resubmitDelay + 4*oneWay + 10*time.Millisecond)
		if duration > resubmitDelay && w.starts != starts+1 {
			t.Errorf("silent for %v: %d starts within two round trips of the resend, want 1", duration, w.starts-starts)
		}
		w.run(3 * time.Second)
		if !job.isCompleted() {
			t.Errorf("silent for %v: the job ends as %v", duration, job.state)
		}
	}
}

// silenceSome suspends a random machine, and has one or two entries of those that may be lost stand still around that moment.
// They may be killed meanwhile.
func (w *world) silenceSome(mayBeLost []*modelEntry) {
	s, d := w.sides[w.random.IntN(len(w.sides))], 100*time.Millisecond+w.randomDuration(4*time.Second)
	w.after(w.randomDuration(600*time.Millisecond), func() { s.suspend(d, w.random.IntN(2) == 0) })
	for range 1 + w.random.IntN(2) {
		e := mayBeLost[w.random.IntN(len(mayBeLost))]
		at, length, isSuspended := w.randomDuration(600*time.Millisecond), 100*time.Millisecond+w.randomDuration(4*time.Second), w.random.IntN(2) == 0
		w.after(at, func() {
			w.logf("fault %s stands still for %v, suspended %v", e.name, length, isSuspended)
			if isSuspended {
				e.suspend(length)
			} else {
				w.freezeEntry(e, length)
			}
		})
		if w.random.IntN(4) == 0 {
			w.after(at+w.randomDuration(2*time.Second), func() { w.killEntry(e, false, w.randomDuration(2*time.Second)) })
		}
	}
}

// Callers leave young jobs unseen while entries and machines stand still, all that may be lost at once. A task runs at most once at a time, a refused job
// never, and nothing hangs afterwards.
func TestFaultsOfSilentEntriesAndStandingMachines(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 16000 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFleet(t, seed, 3, 7, 5)
			for _, e := range w.entries[:silentReplicas] {
				e.isReplica = true
			}
			w.start()
			w.patience = 6 * time.Second
			w.shape = func(j *callerJob) {
				if w.now.Sub(startTime) < warmUp+lastFault+maxFault && w.random.IntN(2) == 0 {
					w.after(w.randomDuration(300*time.Millisecond), j.leaveUnseen)
				}
			}
			mayBeLost := append(w.entries[silentReplicas:len(w.entries):len(w.entries)], w.entries[seed%silentReplicas])
			w.playFaults(0.3, 8, func() { w.silenceSome(mayBeLost) })
			w.checkInUse()
		})
	}
}
