package yuccamodel_test

import (
	"cmp"
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

const (
	// explorerWarmUp is when links are up and workers taken over.
	explorerWarmUp = 300 * time.Millisecond
	// reportAfter is when workers report after the submission.
	reportAfter = 70 * time.Millisecond
	// explorerPatience leaves time to answer after the longest fault.
	explorerPatience = 13 * time.Second
	// serviceBound is how long after the last fault a job may take: its caller comes again, links are opened
	// again, leases run out, and the task runs.
	serviceBound = resubmitDelay + linkTimeout + yuccaworker.OwnerLease + yuccaworker.Hold + reportInterval + time.Second
	// Faults strike in the first and the last part of the play, firstPart and lastPart long. Renewals that repeat
	// are between them. Where there are other faults, the first part begins with the last of these.
	firstPart = 300 * time.Millisecond
	lastPart  = 60 * time.Millisecond
	// explorerGCPercent saves a part of the collections, as plays are short.
	explorerGCPercent = 400
	// afterAnswer is how long a play goes on after the answer.
	afterAnswer = 500 * time.Millisecond
)

// scenario is a small deployment with one job, in whose play faults strike.
type scenario struct {
	name  string
	tasks int
	work  time.Duration
	// noticeSpread is that of the world.
	noticeSpread time.Duration
	// plant takes a mechanism out, if it is set.
	plant func(w *world)
}

var scenarios = []scenario{
	{name: "one_task", tasks: 1, work: 2200 * time.Millisecond},
	{name: "two_tasks", tasks: 2, work: 120 * time.Millisecond},
	{name: "late_notice", tasks: 1, work: 120 * time.Millisecond, noticeSpread: 100 * time.Millisecond},
}

// fault is one of a schedule: a kind that strikes at a point, the number of an event, for a length.
type fault struct {
	kind   *faultKind
	point  int
	length length
}

// play is one run of a scenario with the faults of a schedule.
type play struct {
	*recorder
	scenario scenario
	world    *world
	job      *callerJob
	faults   []fault
	// points are the events that have come. over is when the last fault that ends was over.
	points       []touch
	over         time.Time
	lastsForGood bool
	// findsNoSides is set once the caller has come while no entry had sides, or was answered by one that had none.
	findsNoSides bool
}

// newPlay returns a play up to the submission of its job.
func newPlay(sc scenario, faults []fault) *play {
	p := &play{recorder: &recorder{}, scenario: sc, faults: faults}
	w := newFleet(p.recorder, 1, 1, 2, 3)
	p.world = w
	if sc.plant != nil {
		sc.plant(w)
	}
	w.isQuiet, w.noticeSpread, w.patience = true, sc.noticeSpread, explorerPatience
	w.start()
	w.run(explorerWarmUp)
	return p
}

// submit submits the job.
func (p *play) submit() {
	w := p.world
	w.pickEntry = p.nextEntry
	w.shape = func(j *callerJob) {
		p.job = j
		j.tasks = make(map[string]taskSize)
		for i := range p.scenario.tasks {
			j.tasks[fmt.Sprintf("%s.0.0.%d", j.job.ID, i)] = taskSize{cpuMilli: 1600, workMS: float64(p.scenario.work.Milliseconds())}
		}
		j.job.Steps = []yuccabroker.Step{{Count: p.scenario.tasks, CPUMilli: 1600, MemoryMB: 64, Estimate: p.scenario.work}}
		j.objective = p.scenario.work*2 + targetLatency
		j.job.Deadline = w.now.Add(j.objective + w.patience)
	}
	w.onTouch = p.handleTouch
	w.submitNew(jobKinds[0])
	w.after(reportAfter, w.reportAll)
}

// nextEntry returns the entry at which the caller comes next: the other one each time, but for one that has just
// restarted, which opens its port once it has sides.
func (p *play) nextEntry() *modelEntry {
	entries := p.world.entries
	e := entries[(p.job.attempts-1)%len(entries)]
	if !e.isDown && e.broker.ReadySides() == 0 {
		e = entries[p.job.attempts%len(entries)]
		p.findsNoSides = p.findsNoSides || e.isDown || e.broker.ReadySides() == 0
	}
	return e
}

// handleTouch numbers an event and lets the faults of its number strike.
func (p *play) handleTouch(t touch) {
	number := len(p.points)
	t = p.complete(t)
	p.points = append(p.points, t)
	p.findsNoSides = p.findsNoSides || t.what == "answer sent" && t.entry.broker.ReadySides() == 0
	for _, f := range p.faults {
		if f.point != number {
			continue
		}
		strike := func() {
			p.world.logf("fault %s after point %d (%s, %s, %s) for %s", f.kind.name, number, t.what, t.entry.name, t.side.name, f.length.name)
			f.kind.strike(p, t, f.length.d)
			if f.length.d == forGood {
				p.lastsForGood = true
			} else {
				p.endsAt(p.world.now.Add(f.length.d))
			}
		}
		if f.kind.changesEvent {
			strike()
		} else {
			p.world.after(0, strike)
		}
	}
}

// complete adds the entry of the job, or the last side that was concerned. The largest worker gets the first task.
func (p *play) complete(t touch) touch {
	w := p.world
	if t.side == nil {
		t.side = w.sides[len(w.sides)-1]
		if len(p.points) > 0 {
			t.side = p.points[len(p.points)-1].side
		}
	}
	if t.entry == nil {
		t.entry = cmp.Or(p.job.entry, p.job.firstEntry)
	}
	return t
}

// endsAt notes when a fault is over.
func (p *play) endsAt(at time.Time) {
	if at.After(p.over) {
		p.over = at
	}
}

// run plays to the end of the job and of all faults, and checks the service.
func (p *play) run() {
	w, j := p.world, p.job
	end := j.job.Deadline.Add(resubmitDelay + afterAnswer)
	for !p.Failed() && w.now.Before(end) {
		w.run(tickInterval)
		isServed := j.isAnswered && w.now.Sub(j.sentAt) >= j.responseTime+afterAnswer
		if isServed && !w.now.Before(p.over.Add(afterAnswer)) {
			break
		}
	}
	if !p.Failed() {
		p.checkService()
	}
}

// checkService checks that the caller was answered, and served in time if all faults end early enough. A job may be
// failed for runs that failed or were lost with two workers, and rejected by an entry without sides.
func (p *play) checkService() {
	j, e := p.job, p.job.entry
	isConnected := e != nil && !e.isDown && !e.isFrozen
	switch {
	case !j.isAnswered && (isConnected || !p.lastsForGood && p.over.Before(j.job.Deadline)):
		p.world.reportViolation(j.job.ID, "job %s has no answer at its deadline", j.job.ID)
	case p.lastsForGood || p.latest().Add(serviceBound).After(j.job.Deadline):
	case j.isAnswered && j.state == yuccabroker.Failed && j.mayFail():
	case j.isAnswered && j.state == yuccabroker.Rejected && p.findsNoSides:
	case !j.isCompleted():
		p.world.reportViolation(j.job.ID, "job %s is %v though all faults end", j.job.ID, j.state)
	case j.sentAt.Add(j.responseTime).After(p.latest().Add(serviceBound)):
		p.world.reportViolation(j.job.ID, "job %s is answered %v after the last fault", j.job.ID, j.sentAt.Add(j.responseTime).Sub(p.latest()))
	}
}

func (p *play) latest() time.Time {
	if p.over.After(p.job.sentAt) {
		return p.over
	}
	return p.job.sentAt
}

// explore plays a schedule.
func explore(sc scenario, faults []fault) *play {
	p := newPlay(sc, faults)
	p.submit()
	p.run()
	return p
}

// isStruckAt reports whether the event is in the first part of the play, from a time on, or in the last one.
func (p *play) isStruckAt(t touch, from time.Time) bool {
	return t.at.Sub(from) < firstPart || p.job.sentAt.Add(p.job.responseTime).Sub(t.at) < lastPart
}

// singleFaults returns the schedules of one fault for a scenario.
func singleFaults(sc scenario) []fault { return followingFaults(sc, nil) }

// followingFaults returns the faults that may come after others, or at the last point of these.
func followingFaults(sc scenario, given []fault) []fault {
	from := 0
	for _, f := range given {
		from = max(from, f.point)
	}
	return faultsAt(explore(sc, given), from)
}

// faultsAt returns the faults at the points of a play from a number on. What strikes after an event does so once
// for all points of that event with the same entry and side, as these plays are the same.
func faultsAt(p *play, from int) []fault {
	type strike struct {
		kind *faultKind
		touch
	}
	var all []fault
	seen := make(map[strike]bool)
	since := p.points[from].at
	for number, t := range p.points {
		if number < from || !p.isStruckAt(t, since) {
			continue
		}
		for i := range faultKinds {
			k := &faultKinds[i]
			same := strike{k, t}
			same.what, same.isBetween = "", false
			if !k.strikesAt(t) || seen[same] && !k.changesEvent {
				continue
			}
			seen[same] = true
			for _, l := range k.lengths {
				all = append(all, fault{kind: k, point: number, length: l})
			}
		}
	}
	return all
}

// forEach calls do for the numbers below n, on all processors.
func forEach(n int, do func(i int)) {
	var group sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				do(i)
			}
		})
	}
	group.Wait()
}

// TestEverySingleFault plays each kind of fault at each point for each length. With the race detector, one in
// playedShare is played.
func TestEverySingleFault(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(explorerGCPercent))
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			clean, all := explore(sc, nil), singleFaults(sc)
			plays := make([]*play, len(all)/playedShare)
			forEach(len(plays), func(i int) { plays[i] = explore(sc, all[i*playedShare:i*playedShare+1]) })
			outcomes := make(map[string]int)
			for _, p := range plays {
				outcomes[p.outcome()]++
				if p.Failed() {
					t.Errorf("%s\n%s", p.violations[0], writeSchedule(sc, p.faults))
				}
			}
			struck := 0
			for _, point := range clean.points {
				if clean.isStruckAt(point, clean.job.sentAt) {
					struck++
				}
			}
			t.Logf("%d of %d points, %d kinds, %d of %d plays: %v", struck, len(clean.points), len(faultKinds), len(plays), len(all), outcomes)
		})
	}
}

// outcome names what the caller of a play got.
func (p *play) outcome() string {
	switch {
	case p.Failed():
		return "broken"
	case p.job.isCompleted():
		return "completed"
	case p.job.isAnswered && p.job.state != yuccabroker.Abandoned:
		return fmt.Sprint("answered as ", p.job.state)
	case p.job.isAnswered:
		return "given up"
	}
	return "waits, its entry is lost"
}
