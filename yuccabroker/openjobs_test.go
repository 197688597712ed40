package yuccabroker_test

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// openPeers is a fixture of an entry that is linked with others, and what it sends them.
type openPeers struct {
	*fixture
	told []*yuccawire.OpenJobs
	seen map[string][]*yuccawire.OpenJobsSeen
}

func newOpenPeers(t *testing.T, peers ...string) *openPeers {
	f := &openPeers{fixture: newFixture(t, "s1", "s2"), seen: make(map[string][]*yuccawire.OpenJobsSeen)}
	f.broker.SetPeers(peers)
	for _, name := range peers {
		f.linkUp(name, 1)
	}
	f.step(0)
	return f
}

// linkUp has another entry link, and send its open jobs.
func (f *openPeers) linkUp(name string, incarnation uint64, jobs ...*yuccawire.OpenJob) {
	f.broker.HandleEntryUp(f.now, name, incarnation)
	f.broker.HandleOpenJobs(f.now, name, incarnation, &yuccawire.OpenJobs{Whole: true, Opened: jobs})
}

func (f *openPeers) tell(name string, m *yuccawire.OpenJobs) {
	f.broker.HandleOpenJobs(f.now, name, 1, m)
	f.collect()
}

// collect keeps what was sent to the other entries, and passes the rest on.
func (f *openPeers) collect() {
	f.broker.Place(f.now)
	for _, a := range f.broker.Actions() {
		switch a := a.(type) {
		case yuccabroker.Publish:
			if m := a.Message.GetOpenJobs(); m != nil {
				f.told = append(f.told, m)
			}
			if m := a.Message.GetOpenJobsSeen(); m != nil {
				for _, name := range a.To {
					f.seen[name] = append(f.seen[name], m)
				}
			}
		case yuccabroker.Send:
			if m := a.Message.GetOrders(); m != nil {
				f.orders[a.Side] = append(f.orders[a.Side], m)
				f.lastOrder[a.Side] = m.GetNumber()
			}
			f.withdrawn[a.Side] = append(f.withdrawn[a.Side], a.Message.GetWithdraw().GetRuns()...)
		case yuccabroker.Answer:
			f.answers[a.Waiter] = a.Outcome
		}
	}
}

// step advances the time with ticks and reports of both sides.
func (f *openPeers) step(d time.Duration) {
	for end := f.now.Add(d); ; f.now = f.now.Add(20 * time.Millisecond) {
		for _, s := range f.sides {
			f.report(s, fullCPU)
		}
		f.broker.Tick(f.now)
		f.collect()
		if !f.now.Before(end) {
			return
		}
	}
}

func (f *openPeers) confirm(names ...string) {
	for _, name := range names {
		f.broker.HandleOpenJobsSeen(f.now, name, &yuccawire.OpenJobsSeen{Sequence: f.told[len(f.told)-1].GetSequence()})
	}
	f.collect()
}

func (f *openPeers) isOpen(id string) bool {
	isOpen := false
	for _, m := range f.told {
		isOpen = isOpen || slices.ContainsFunc(m.GetOpened(), func(o *yuccawire.OpenJob) bool { return o.GetJob() == id })
		isOpen = isOpen && !slices.ContainsFunc(m.GetClosed(), func(c *yuccawire.ClosedJob) bool { return c.GetJob() == id })
	}
	return isOpen
}

// received returns a job whose request reached this machine some time ago.
func (f *openPeers) received(id string, age time.Duration) yuccabroker.Job {
	j := job(id, 1)
	j.ReceivedAt, j.Deadline = f.now.Add(-age), f.now.Add(6*time.Second)
	return j
}

func open(sequence uint64, age time.Duration, ids ...string) *yuccawire.OpenJobs {
	m := &yuccawire.OpenJobs{Sequence: sequence}
	for _, id := range ids {
		m.Opened = append(m.Opened, &yuccawire.OpenJob{Job: id, AgeMs: uint32(age.Milliseconds()), RemainingMs: 5000, LastRun: 1})
	}
	return m
}

// A request has waited in the socket of an entry that stood still, and its caller may have come again elsewhere.
func TestOldRequestIsPlacedOnlyOnceTheOtherEntriesKnowOfIt(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.submit(f.received("a", 2*time.Second), 1)
	f.step(100 * time.Millisecond)
	f.confirm("b")
	if len(f.sentRuns()) > 0 || !f.isOpen("a") {
		t.Fatalf("sent %v before c has confirmed that a is open: %v", f.sentRuns(), f.isOpen("a"))
	}
	f.confirm("c")
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want one run", f.sentRuns())
	}
}

// The same for a task that has waited at the entry, or is placed again.
func TestTaskOfAnOldJobIsPlacedOnlyOnceTheOtherEntriesKnowOfIt(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.submit(f.received("a", 0), 1)
	f.step(1200 * time.Millisecond)
	f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_FAILED, 0)
	f.endRun("s2", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_FAILED, 0)
	f.step(100 * time.Millisecond)
	if len(f.sentRuns()) != 1 {
		t.Fatalf("sent %v before b has confirmed that a is open", f.sentRuns())
	}
	f.confirm("b")
	if len(f.sentRuns()) != 2 {
		t.Errorf("sent %v, want a second run", f.sentRuns())
	}
}

func TestJobThatIsOpenElsewhereWaitsUntilItIsClosedThere(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.tell("b", open(1, 2*time.Second, "a"))
	f.submit(f.received("a", 0), 1)
	f.step(200 * time.Millisecond)
	if len(f.sentRuns()) > 0 {
		t.Fatalf("sent %v while the job is open at b", f.sentRuns())
	}
	f.tell("b", &yuccawire.OpenJobs{Sequence: 2, Closed: []*yuccawire.ClosedJob{{Job: "a", LastRun: 3}}})
	if runs := f.sentRuns(); len(runs) != 1 || runs["a.0.0.0/4"] == "" {
		t.Errorf("sent %v, want run 4", runs)
	}
}

func TestJobThatIsOpenElsewhereIsAnsweredAsThere(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.tell("b", open(1, 2*time.Second, "a"))
	f.submit(f.received("a", 0), 1)
	f.broker.HandleEndedJobs(f.now, &yuccawire.EndedJobs{Completed: []*yuccawire.CompletedJobs{{Queue: job("a", 1).Queue.Name, Jobs: []string{"a"}}}})
	f.collect()
	f.wantState(1, yuccabroker.Completed)
}

// Of two entries with a job, the one that has received it later has the caller.
func TestEntryThatHasReceivedAJobEarlierGivesItUp(t *testing.T) {
	for name, c := range map[string]struct {
		ageThere time.Duration
		want     yuccabroker.State
	}{
		"here earlier": {ageThere: 0, want: yuccabroker.Abandoned},
		"here later":   {ageThere: 3 * time.Second, want: yuccabroker.Queued},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOpenPeers(t, "b")
			f.submit(f.received("a", 1400*time.Millisecond), 1)
			f.tell("b", open(1, c.ageThere, "a"))
			if got := f.answers[1].State; got != c.want {
				t.Errorf("answered as %v, want %v", got, c.want)
			}
			seen := f.seen["b"][len(f.seen["b"])-1]
			if takes := slices.Contains(seen.GetTaken(), "a"); takes != (c.want == yuccabroker.Queued) {
				t.Errorf("takes the job: %v", takes)
			}
		})
	}
}

func TestJobThatAnotherEntryTakesIsGivenUpAndClosedOnceItsRunsHaveEnded(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.submit(f.received("a", 0), 1)
	f.step(700 * time.Millisecond)
	f.broker.HandleOpenJobsSeen(f.now, "b", &yuccawire.OpenJobsSeen{Sequence: 1, Taken: []string{"a"}})
	f.step(100 * time.Millisecond)
	f.wantState(1, yuccabroker.Abandoned)
	if !f.isOpen("a") {
		t.Fatal("closed while its run may be in progress")
	}
	for run, side := range f.sentRuns() {
		if run == "a.0.0.0/1" {
			f.endRun(side, "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
		}
	}
	f.step(200 * time.Millisecond)
	if f.isOpen("a") {
		t.Error("not closed")
	}
}

func TestJobsOfAnEntryAreOverOnceItHasRestartedAndItsLeasesHaveExpired(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.tell("b", open(1, 2*time.Second, "a"))
	f.submit(f.received("a", 0), 1)
	f.linkUp("b", 2)
	f.step(600 * time.Millisecond)
	if len(f.sentRuns()) > 0 {
		t.Fatalf("sent %v while runs of the earlier incarnation may be in progress", f.sentRuns())
	}
	f.step(200 * time.Millisecond)
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want one run", f.sentRuns())
	}
}

// An entry that was cut off is linked with the sides before the other entries.
func TestEntryThatHasLostTheOthersPlacesNoOldJob(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.broker.SetPeers(nil)
	f.step(10 * time.Second)
	f.submit(f.received("a", 2*time.Second), 1)
	f.step(time.Second)
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v, although the other entries may have the job", f.sentRuns())
	}
}

func TestEntryThatIsLinkedWithMostGoesOnWithoutOneThatIsGone(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.broker.SetPeers([]string{"b"})
	f.step(2200 * time.Millisecond)
	f.submit(f.received("a", 2*time.Second), 1)
	f.step(100 * time.Millisecond)
	f.confirm("b")
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want one run", f.sentRuns())
	}
}

// The lists of the others may be unread after a standstill.
func TestEntryThatStoodStillPlacesNothingUntilItKnowsTheOpenJobsOfTheOthers(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.now = f.now.Add(2 * time.Second)
	f.submit(f.received("a", 0), 1)
	f.collect()
	f.step(0)
	f.report("s1", fullCPU)
	if len(f.sentRuns()) > 0 {
		t.Fatalf("sent %v before b has told its open jobs", f.sentRuns())
	}
	f.tell("b", &yuccawire.OpenJobs{Whole: true})
	f.step(0)
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want one run", f.sentRuns())
	}
}

// An entry that has just started is linked with the sides before it hears of the open jobs of the others.
func TestEntryThatHasJustStartedPlacesNothingUntilItKnowsTheOpenJobsOfTheOthers(t *testing.T) {
	f := newFixture(t, "s1")
	f.broker.SetMembers(f.now, []string{"b"})
	f.submit(job("a", 1), 1)
	f.advance(500*time.Millisecond, "s1")
	if len(f.sentRuns()) > 0 {
		t.Fatalf("sent %v before b has told its open jobs", f.sentRuns())
	}
	f.advance(200*time.Millisecond, "s1")
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want one run", f.sentRuns())
	}
}

// An order waits at its side beyond the time at which the job may have come again.
func TestOrderOfAJobThatOtherEntriesDoNotKnowExpiresBeforeItComesAgain(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.submit(f.received("a", 200*time.Millisecond), 1)
	f.collect()
	for _, orders := range f.orders {
		left := int64(orders[0].GetJobs()[0].GetExpiresMs()) - f.now.Sub(startTime).Milliseconds() - 1000
		if left > 1050 {
			t.Errorf("the order expires in %d ms, want 1050 at most", left)
		}
	}
}

// Messages come twice over two links, one of which is new.
func TestRepeatedOpenJobsAreIgnored(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.tell("b", open(1, 2*time.Second, "a"))
	f.tell("b", &yuccawire.OpenJobs{Sequence: 2, Closed: []*yuccawire.ClosedJob{{Job: "a"}}})
	f.tell("b", open(1, 2*time.Second, "a"))
	f.tell("b", &yuccawire.OpenJobs{Sequence: 1, Whole: true, Opened: open(1, time.Second, "a").GetOpened()})
	f.submit(f.received("a", 0), 1)
	f.collect()
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v, want one run", f.sentRuns())
	}
}

func TestMissedOpenJobsAreRequested(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.tell("b", open(3, 2*time.Second, "a"))
	if seen := f.seen["b"][len(f.seen["b"])-1]; !seen.GetWantsWhole() || seen.GetSequence() != 0 {
		t.Errorf("answered %v, want a request for all open jobs", seen)
	}
}

func BenchmarkOpenJobs(b *testing.B) {
	broker := yuccabroker.New(yuccabroker.Options{
		Name: "entry", Incarnation: 1, Scheduling: yuccabroker.DefaultScheduling(), Random: rand.New(rand.NewPCG(1, 1)),
		Metrics: yuccametric.New("open"), Logger: slog.New(slog.DiscardHandler),
	})
	broker.HandleEntryUp(startTime, "b", 1)
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		broker.HandleOpenJobs(startTime, "b", 1, open(sequence, time.Second, "5c0e7a21d94b36f8"))
		broker.Actions()
	}
}
