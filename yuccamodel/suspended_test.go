package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"
)

// suspensions are those of a machine, whose steady clock doesn't count their time.
type suspensions struct {
	total, unnoticed time.Duration
	// since is zero unless the machine is suspended now.
	since time.Time
}

func (s *suspensions) isSuspended() bool { return !s.since.IsZero() }

func (s *suspensions) localTime(now time.Time) time.Time {
	if s.isSuspended() {
		now = s.since
	}
	return now.Add(-s.total)
}

func (s *suspensions) end(d time.Duration) {
	s.since = time.Time{}
	s.total += d
	s.unnoticed += d
}

func (e *modelEntry) now() time.Time { return e.suspensions.localTime(e.world.now) }
func (s *modelSide) now() time.Time  { return s.suspensions.localTime(s.world.now) }

// checkSuspension is that of the edge, before each event.
func (e *modelEntry) checkSuspension() {
	if d := e.suspensions.unnoticed; d > 0 {
		e.suspensions.unnoticed = 0
		e.broker.HandleSuspension(e.now(), d)
	}
}

// checkSuspension is that of the driver, before each event.
func (s *modelSide) checkSuspension() {
	if d := s.suspensions.unnoticed; d > 0 {
		s.suspensions.unnoticed = 0
		s.core.HandleSuspension(s.now(), d)
	}
}

// after is that of the world, by the clock of the machine.
func (s *modelSide) after(d time.Duration, action func()) {
	until := s.now().Add(d)
	s.world.after(d, func() {
		if left := until.Sub(s.now()); left > 0 {
			s.after(max(left, time.Millisecond), action)
			return
		}
		action()
	})
}

// suspend stops side and worker with their clocks. Calls that are on their way to the worker are
// executed before or after the first events of the side.
func (s *modelSide) suspend(d time.Duration, callsFirst bool) {
	w, m := s.world, s.worker
	if s.suspensions.isSuspended() || s.isFrozen || m.isDown || m.standsStill {
		return
	}
	w.logf("fault machine of %s is suspended for %v, calls first %v", s.name, d, callsFirst)
	s.suspensions.since, m.standsStill = w.now, true
	w.after(d, func() {
		w.logf("fault machine of %s wakes", s.name)
		s.suspensions.end(d)
		m.wake(d)
		if callsFirst {
			m.executeCalls()
		}
	})
	w.freezeSide(s, d)
	w.after(d, m.executeCalls)
}

// wake lets the runs go on where they were.
func (m *modelWorker) wake(d time.Duration) {
	m.standsStill = false
	m.startedAt = m.startedAt.Add(d)
	for i := range m.pendingHolds {
		m.pendingHolds[i].until = m.pendingHolds[i].until.Add(d)
	}
}

func (m *modelWorker) executeCalls() {
	waiting := m.waiting
	m.waiting = nil
	for _, execute := range waiting {
		execute()
	}
}

func (e *modelEntry) suspend(d time.Duration) {
	w := e.world
	if e.isDown || e.isFrozen {
		return
	}
	w.logf("fault %s is suspended for %v", e.name, d)
	e.suspensions.since = w.now
	w.after(d, func() { e.suspensions.end(d) })
	w.freezeEntry(e, d)
}

// The clocks of the suspended machine don't count the time, so that the run goes on with the hold that is left.
func TestRunOfASuspendedMachineOverlapsTheNextOne(t *testing.T) {
	const suspension = 2500 * time.Millisecond
	for name, disturb := range map[string]func(w *world, s *modelSide){
		"machine":            func(*world, *modelSide) {},
		"side restarts":      func(w *world, s *modelSide) { w.killSide(s, 300*time.Millisecond) },
		"side is lost":       func(w *world, s *modelSide) { w.killSide(s, time.Minute) },
		"side is cut off":    func(w *world, s *modelSide) { w.partitionLink(w.entries[0], s, suspension+time.Second) },
		"connections closed": func(w *world, s *modelSide) { w.closeLink(w.entries[0], s) },
	} {
		for _, callsFirst := range []bool{false, true} {
			for _, after := range []time.Duration{2*oneWay + callDelay/2, 200 * time.Millisecond} {
				t.Run(fmt.Sprint(name, " after ", after, ", calls first ", callsFirst), func(t *testing.T) {
					w := newWorld(t, 1, 1, 2)
					w.run(warmUp)
					w.patience = 6 * time.Second
					job := w.submitOneTask(1600, 600*time.Millisecond)
					w.run(after)
					for _, s := range w.sides {
						if !s.core.Idle() {
							disturb(w, s)
							s.suspend(suspension, callsFirst)
						}
					}
					w.run(12 * time.Second)
					if !job.isAnswered {
						t.Error("the caller is not answered")
					}
				})
			}
		}
	}
}

// suspendSomeSide suspends the machine of a random side, whose process may restart or be cut off too.
func (w *world) suspendSomeSide() {
	s, e := w.sides[w.random.IntN(len(w.sides))], w.entries[w.random.IntN(len(w.entries))]
	d, downtime := 100*time.Millisecond+w.randomDuration(4*time.Second), w.randomDuration(time.Second)
	kind, callsFirst := w.random.IntN(4), w.random.IntN(2) == 0
	switch kind {
	case 0:
		w.killSide(s, downtime)
	case 1:
		w.partitionLink(e, s, d+downtime)
	}
	s.suspend(d, callsFirst)
}

func (w *world) suspendSomeEntry() {
	w.entries[w.random.IntN(len(w.entries))].suspend(100*time.Millisecond + w.randomDuration(4*time.Second))
}

// testFaultsOfSuspension plays suspensions at once and with links whose ends notice changes late.
func testFaultsOfSuspension(t *testing.T, faults int, injectors ...func(w *world)) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 10800 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFleet(t, seed, 1, 4, 5)
			if seed%2 == 0 {
				w.noticeSpread = 800 * time.Millisecond
			}
			w.patience = 6 * time.Second
			w.start()
			w.playFaults(0.3, faults, func() {
				for _, inject := range injectors {
					inject(w)
				}
			})
			w.checkInUse()
		})
	}
}

// A task runs at most once at a time, a refused job never, and nothing hangs afterwards.
func TestFaultsOfSuspendedMachines(t *testing.T) {
	testFaultsOfSuspension(t, 12, (*world).suspendSomeSide)
}

func TestFaultsOfSuspendedEntries(t *testing.T) {
	testFaultsOfSuspension(t, 6, (*world).suspendSomeEntry)
}

// The callers of a suspended entry come again at others, which know nothing of its runs on suspended machines.
func TestFaultsOfEntriesSuspendedWithMachines(t *testing.T) {
	testFaultsOfSuspension(t, 8, (*world).suspendSomeSide, (*world).suspendSomeEntry)
}
