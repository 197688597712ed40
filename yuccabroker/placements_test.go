package yuccabroker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// backupPeers is a fixture of an entry in puno with linked entries, and what it sends them and its sides in order.
type backupPeers struct {
	*fixture
	sent []yuccabroker.Action
}

func newBackupPeers(t *testing.T, peers ...string) *backupPeers {
	f := &backupPeers{fixture: newFixture(t, "s1", "s2")}
	f.learnPeers(peers...)
	return f
}

func (f *backupPeers) learnPeers(peers ...string) {
	f.link(peers...)
	for _, name := range peers {
		f.broker.HandleEntryUp(f.now, name, 1)
		f.broker.HandleOpenJobs(f.now, name, 1, &yuccawire.OpenJobs{Whole: true})
	}
	f.tick(0)
}

// link links the entries, whose names begin with those of their data centres.
func (f *backupPeers) link(names ...string) {
	dataCentres := make(map[string]string)
	for _, name := range names {
		dataCentres[name] = name[:len(name)-2]
	}
	f.broker.SetDataCentres(dataCentres)
	f.broker.SetPeers(names)
}

// tick advances the time, with reports of both sides.
func (f *backupPeers) tick(d time.Duration) {
	for end := f.now.Add(d); ; f.now = f.now.Add(20 * time.Millisecond) {
		f.report("s1", fullCPU)
		f.report("s2", fullCPU)
		f.broker.Tick(f.now)
		f.collect()
		if !f.now.Before(end) {
			return
		}
	}
}

func (f *backupPeers) collect() {
	f.broker.Place(f.now)
	for _, a := range f.broker.Actions() {
		f.sent = append(f.sent, a)
		if s, isSend := a.(yuccabroker.Send); isSend && s.Message.GetOrders() != nil {
			f.lastOrder[s.Side] = s.Message.GetOrders().GetNumber()
		}
	}
}

// submitLater submits a job whose caller waits for 6 s.
func (f *backupPeers) submitLater(id string) {
	j := job(id, 1)
	j.Deadline = f.now.Add(6 * time.Second)
	f.broker.Submit(f.now, j, 1)
	f.collect()
}

// told returns who was told of placements of the job, and of which sides.
func (f *backupPeers) told(id string) map[string][]string {
	told := make(map[string][]string)
	for _, a := range f.sent {
		p, isPublish := a.(yuccabroker.Publish)
		for _, placed := range p.Message.GetPlacements().GetPlaced() {
			if isPublish && placed.GetJob() == id {
				told[p.To[0]] = placed.GetSides()
			}
		}
	}
	return told
}

func (f *backupPeers) orders() int {
	n := 0
	for _, a := range f.sent {
		if s, isSend := a.(yuccabroker.Send); isSend && s.Message.GetOrders() != nil {
			n++
		}
	}
	return n
}

// queries returns the numbers of the queries that a side got about the job.
func (f *backupPeers) queries(side, id string) []uint64 {
	var numbers []uint64
	for _, a := range f.sent {
		if s, isSend := a.(yuccabroker.Send); isSend && s.Side == side && slices.Contains(s.Message.GetRunsQuery().GetJobs(), id) {
			numbers = append(numbers, s.Message.GetRunsQuery().GetNumber())
		}
	}
	return numbers
}

// place tells the entry, as a backup, of a job of another one.
func (f *backupPeers) place(owner, id string, sides ...string) {
	f.broker.HandlePlacements(f.now, owner, 1, &yuccawire.Placements{Placed: []*yuccawire.Placement{{Job: id, Sides: sides, RemainingMs: 15000, LastRun: 3}}})
}

// published returns the jobs of a lost entry that all linked entries were told of.
func (f *backupPeers) published(owner string) []string {
	var jobs []string
	for _, a := range f.sent {
		p, _ := a.(yuccabroker.Publish)
		for _, lost := range p.Message.GetLostPlacements().GetOwners() {
			for _, placed := range lost.GetPlacements() {
				if lost.GetEntry() == owner && p.To == nil {
					jobs = append(jobs, placed.GetJob())
				}
			}
		}
	}
	return jobs
}

// A data centre that is lost may not take the entry and all its backups with it.
func TestBackupsAreInOtherDataCentresAndKnowOfAnOrderBeforeItIsSent(t *testing.T) {
	f := newBackupPeers(t, "puno-2", "puno-3", "cusco-1", "cusco-2", "lima-1", "lima-2")
	used := make(map[string]bool)
	for i := range 20 {
		id := fmt.Sprintf("%016d", i)
		f.sent = nil
		f.submitLater(id)
		isKnown := 0
		for _, a := range f.sent {
			if p, isPublish := a.(yuccabroker.Publish); isPublish && p.Message.GetPlacements() != nil {
				isKnown++
			}
			if s, isSend := a.(yuccabroker.Send); isSend && s.Message.GetOrders() != nil && isKnown != 3 {
				t.Fatalf("job %s: order sent when %d backups were told", id, isKnown)
			}
		}
		told := f.told(id)
		inLima, inCusco := 0, 0
		for name := range told {
			used[name] = true
			if name[:4] == "lima" {
				inLima++
			} else if name[:5] == "cusco" {
				inCusco++
			}
		}
		if inLima < 1 || inCusco < 1 || len(told) != 3 {
			t.Errorf("job %s: backups %v, want one in each other data centre and a third", id, told)
		}
	}
	if len(used) != 6 {
		t.Errorf("only %v are ever backups", used)
	}
}

// One replica more than may be lost has to know of a job, and an entry without a replica, also if it is late known who has one.
func TestBackupsAreLostTogether(t *testing.T) {
	for _, tc := range []struct {
		tolerated        int
		isReplica        bool
		replicas, others int
	}{{tolerated: 0, replicas: 1, others: 2}, {tolerated: 1, replicas: 2, others: 1}, {tolerated: 1, isReplica: true, replicas: 1, others: 2}, {tolerated: 2, replicas: 3, others: 1}} {
		t.Run(fmt.Sprintf("%+v", tc), func(t *testing.T) {
			f := &backupPeers{fixture: newFixtureWith(t, func(o *yuccabroker.Options) { o.ToleratedFailures, o.IsReplica = tc.tolerated, tc.isReplica })}
			f.sides = []string{"s1"}
			f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 1, DataCentre: "puno"})
			f.learnPeers("cusco-1", "cusco-2", "cusco-3", "lima-1", "lima-2", "lima-3", "puno-2", "puno-3")
			for i := range 20 {
				f.submitLater(fmt.Sprintf("%016d", i))
			}
			f.broker.SetReplicas([]string{"cusco-1", "lima-1", "puno-2"})
			f.tick(0)
			for i := range 20 {
				id := fmt.Sprintf("%016d", i)
				replicas, others := 0, 0
				for name := range f.told(id) {
					if name == "cusco-1" || name == "lima-1" || name == "puno-2" {
						replicas++
					} else {
						others++
					}
				}
				if replicas < tc.replicas || others < tc.others {
					t.Errorf("job %s: %d replicas and %d others told, want %d and %d", id, replicas, others, tc.replicas, tc.others)
				}
			}
		})
	}
}

// An entry that is linked with some of the others may be linked with no replica, and its jobs have no backup that is left. The
// links that it needs have to be kept.
func TestEntryIsLinkedWithTooFewReplicas(t *testing.T) {
	f := &backupPeers{fixture: newFixtureWith(t, func(o *yuccabroker.Options) { o.ToleratedFailures = 1 })}
	f.broker.SetReplicas([]string{"cusco-1", "lima-1", "puno-1"})
	for _, tc := range []struct {
		linked []string
		wanted int
	}{{nil, 3}, {[]string{"lima-1", "puno-2"}, 3}, {[]string{"cusco-1", "lima-1"}, 2}, {[]string{"cusco-1", "lima-1", "puno-1"}, 2}} {
		f.link(tc.linked...)
		wanted := f.broker.WantedReplicas()
		areLinked := !slices.ContainsFunc(wanted, func(name string) bool { return !slices.Contains(tc.linked, name) })
		if len(wanted) != tc.wanted || tc.wanted == 2 && !areLinked {
			t.Errorf("linked with %v: wants links to %v, want %d", tc.linked, wanted, tc.wanted)
		}
	}
}

// toldSides returns the sides that were told of placements of the job, with the sides named.
func (f *backupPeers) toldSides(id string) map[string][]string {
	told := make(map[string][]string)
	for _, a := range f.sent {
		s, _ := a.(yuccabroker.Send)
		for _, placed := range s.Message.GetPlacements().GetPlaced() {
			if placed.GetJob() == id {
				told[s.Side] = append(told[s.Side], placed.GetSides()...)
			}
		}
	}
	return told
}

// If all entries are lost, a side has to know of the run that has none of its machine.
func TestNoSideIsToldOfAnOrder(t *testing.T) {
	f := newBackupPeers(t, "cusco-1", "lima-1")
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "far", Incarnation: 1, DataCentre: "cusco"})
	f.submitLater("a")
	told := f.toldSides("a")
	if len(told) != 1 || len(told["s1"])+len(told["s2"]) != 1 || slices.Contains(told["s1"], "s1") || slices.Contains(told["s2"], "s2") {
		t.Fatalf("told %v, want the side without a run in the data centre of the entry", told)
	}
	f.sent = nil
	for name := range told {
		f.broker.HandleLinkDown(f.now, name)
	}
	f.tick(0)
	if told := f.toldSides("a"); len(told) != 1 || len(told["far"]) != 1 {
		t.Errorf("told %v as that one was lost, want the side in another data centre", told)
	}
}

// Each side may have runs, and the machine of one of them stands still.
func TestOnlyASideWithARunIsToldOfOrders(t *testing.T) {
	f := newBackupPeers(t, "cusco-1")
	j := job("a", 12)
	j.Deadline = f.now.Add(6 * time.Second)
	j.Steps[0].CPUMilli = fullCPU / 8
	f.broker.Submit(f.now, j, 1)
	f.collect()
	if told := f.toldSides("a"); len(told) != 2 {
		t.Errorf("told %v, want both sides", told)
	}
}

// Sides tell an entry that starts after all were lost. Before they are linked, it knows of no run.
func TestEntryThatStartsPlacesBeforeTheSidesHaveToldItOfLostEntries(t *testing.T) {
	for name, tc := range map[string]struct {
		runningMS uint32
		orders    int
	}{"earlier version": {0, 1}, "started as well": {100, 0}, "older": {5000, 1}} {
		t.Run(name, func(t *testing.T) {
			f := &backupPeers{fixture: newFixture(t, "s1", "s2")}
			f.link("cusco-1")
			f.broker.SetMembers(f.now, []string{"cusco-1"})
			f.broker.HandleEntryUp(f.now, "cusco-1", 2)
			for range 2 {
				f.broker.HandleOpenJobs(f.now, "cusco-1", 2, &yuccawire.OpenJobs{Whole: true, RunningMs: tc.runningMS})
			}
			f.broker.HandleLostPlacements(f.now, &yuccawire.LostPlacements{Owners: []*yuccawire.LostOwner{{Entry: "cusco-1", Incarnation: 1, Placements: placed("b", "s1")}}})
			f.tick(100 * time.Millisecond)
			f.submitLater("a")
			f.tick(400 * time.Millisecond)
			if f.orders() != tc.orders {
				t.Errorf("%d orders 0.5 s after the start, want %d", f.orders(), tc.orders)
			}
			f.tick(200 * time.Millisecond)
			if f.orders() != 1 {
				t.Errorf("%d orders 0.7 s after the start, want 1", f.orders())
			}
		})
	}
}

func TestJobGetsAnotherBackupAsOneIsLost(t *testing.T) {
	f := newBackupPeers(t, "cusco-1", "lima-1", "puno-2", "puno-3")
	f.submitLater("a")
	first := f.told("a")
	f.sent = nil
	f.link("lima-1", "puno-2", "puno-3")
	f.tick(0)
	for name := range f.told("a") {
		first[name] = nil
	}
	if len(first) != 4 || len(f.told("a")) != 1 {
		t.Errorf("told %v as cusco-1 was lost, want the entry that was not told before", f.told("a"))
	}
}

func TestBackupTellsAllOfTheJobsOfALostEntry(t *testing.T) {
	for name, lose := range map[string]func(f *backupPeers){
		"unlinked":  func(f *backupPeers) { f.link("cusco-1") },
		"restarted": func(f *backupPeers) { f.broker.HandleEntryUp(f.now, "lima-1", 2) },
		"clock set back": func(f *backupPeers) {
			f.broker.HandleEntryReplaced(f.now, "lima-1", 0)
			f.broker.HandleEntryUp(f.now, "lima-1", 7)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newBackupPeers(t, "cusco-1", "lima-1")
			f.place("lima-1", "a", "s1")
			f.place("lima-1", "closed", "s1")
			f.broker.HandlePlacements(f.now, "lima-1", 1, &yuccawire.Placements{Closed: []string{"closed"}})
			f.tick(time.Second)
			if jobs := f.published("lima-1"); len(jobs) > 0 {
				t.Errorf("%v told while the entry is linked", jobs)
			}
			lose(f)
			f.tick(0)
			if jobs := f.published("lima-1"); len(jobs) != 1 || jobs[0] != "a" {
				t.Errorf("told %v, want a", jobs)
			}
			if owners := f.broker.LostPlacements(f.now).GetOwners(); len(owners) != 1 || owners[0].GetPlacements()[0].GetLastRun() != 3 {
				t.Errorf("told on a new link: %v", owners)
			}
		})
	}
}

// The roster may forget an entry that no other process has had contact with.
func TestLinkedEntryCountsAsLostAsTheRosterForgetsIt(t *testing.T) {
	f := newBackupPeers(t, "cusco-1", "lima-1")
	f.broker.SetMembers(f.now, []string{"cusco-1", "lima-1"})
	f.place("lima-1", "a", "s1")
	f.broker.SetMembers(f.now, []string{"cusco-1"})
	f.tick(time.Second)
	if jobs := f.published("lima-1"); len(jobs) > 0 {
		t.Errorf("%v told while the entry is linked", jobs)
	}
	f.broker.HandleEntryUp(f.now, "lima-1", 2)
	f.tick(0)
	if jobs := f.published("lima-1"); len(jobs) != 1 {
		t.Errorf("told %v as the entry had restarted, want a", jobs)
	}
}

// Neither the silence of a side nor a reply to a query that was sent while orders of the lost entry could arrive counts.
func TestJobOfALostEntryIsPlacedWhileASideMayHaveARunOfIt(t *testing.T) {
	f := newBackupPeers(t)
	lost := &yuccawire.LostPlacements{Owners: []*yuccawire.LostOwner{{
		Entry: "cusco-1", Incarnation: 4, Placements: []*yuccawire.Placement{{Job: "a", Sides: []string{"s1", "s2"}, RemainingMs: 15000, LastRun: 3}},
	}}}
	f.broker.HandleLostPlacements(f.now, lost)
	f.submitLater("a")
	f.submitLater("b")
	f.tick(600 * time.Millisecond)
	if len(f.queries("s1", "a")) > 0 || f.orders() != 1 {
		t.Fatalf("%d queries and %d orders while orders of the lost entry may arrive, want none but the order of b", len(f.queries("s1", "a")), f.orders())
	}
	f.tick(1400 * time.Millisecond)
	queries := f.queries("s1", "a")
	if len(queries) < 10 || len(f.queries("s1", "b")) > 0 {
		t.Fatalf("%d queries about a and %d about b", len(queries), len(f.queries("s1", "b")))
	}
	f.broker.HandleRunsReply(f.now, "s1", &yuccawire.RunsReply{Number: queries[0], Absent: []string{"a"}})
	f.broker.HandleRunsReply(f.now, "s2", &yuccawire.RunsReply{Number: queries[0] - 1, Absent: []string{"a"}})
	f.tick(0)
	if f.orders() != 1 {
		t.Fatal("ordered with a reply of one side only, and one to an earlier query")
	}
	f.broker.HandleRunsReply(f.now, "s2", &yuccawire.RunsReply{Number: f.queries("s2", "a")[0], Absent: []string{"a"}})
	f.collect()
	order, _ := f.sent[len(f.sent)-1].(yuccabroker.Send)
	if f.orders() != 2 || order.Message.GetOrders().GetJobs()[0].GetTasks()[0].GetRun() != 4 {
		t.Errorf("last sent %v, want run 4 of a", f.sent[len(f.sent)-1])
	}
	// Another backup tells the same late.
	f.broker.HandleLostPlacements(f.now, &yuccawire.LostPlacements{Owners: []*yuccawire.LostOwner{{
		Entry: "cusco-1", Incarnation: 4, LostMs: 2000, Placements: lost.GetOwners()[0].GetPlacements(),
	}}})
	before := len(f.queries("s1", "a"))
	f.tick(300 * time.Millisecond)
	if len(f.queries("s1", "a")) != before {
		t.Error("the side is asked again")
	}
}

// Entries that are linked with all others have nothing to pass on.
func TestLostPlacementsReachOnlyTheEntriesThatABackupIsLinkedWith(t *testing.T) {
	f := newBackupPeers(t, "lima-1", "lima-2", "puno-2")
	lost := &yuccawire.LostPlacements{Reached: []string{"lima-1", "entry"}, Owners: []*yuccawire.LostOwner{{
		Entry: "cusco-1", Incarnation: 4, Placements: []*yuccawire.Placement{{Job: "a", Sides: []string{"s1"}, RemainingMs: 15000}},
	}}}
	passedOn := func() []string {
		f.sent = nil
		f.broker.HandleLostPlacements(f.now, lost)
		f.collect()
		var to []string
		for _, a := range f.sent {
			if p, _ := a.(yuccabroker.Publish); p.Message.GetLostPlacements() != nil {
				to = append(to, p.To...)
			}
		}
		return to
	}
	if to := passedOn(); !slices.Equal(to, []string{"lima-2", "puno-2"}) {
		t.Errorf("passed on to %v, want the two that it has not reached", to)
	}
	if to := passedOn(); len(to) > 0 {
		t.Errorf("passed on again to %v", to)
	}
}

// The queries about several jobs at several sides go out together.
func TestReplyAboutTheSecondJobOfAQueryIsIgnored(t *testing.T) {
	f := newBackupPeers(t)
	owner := &yuccawire.LostOwner{Entry: "cusco-1", Incarnation: 4, LostMs: 1300}
	for _, id := range []string{"a", "b"} {
		owner.Placements = append(owner.Placements, &yuccawire.Placement{Job: id, Sides: []string{"s1", "s2"}, RemainingMs: 15000, LastRun: 1})
	}
	f.broker.HandleLostPlacements(f.now, &yuccawire.LostPlacements{Owners: []*yuccawire.LostOwner{owner}})
	for _, id := range []string{"a", "b"} {
		f.broker.Submit(f.now, job(id, 1), 1)
	}
	f.collect()
	for _, s := range f.sides {
		f.broker.HandleRunsReply(f.now, s, &yuccawire.RunsReply{Number: f.queries(s, "b")[0], Absent: []string{"a", "b"}})
	}
	f.collect()
	runs := 0
	for _, a := range f.sent {
		s, _ := a.(yuccabroker.Send)
		runs += len(s.Message.GetOrders().GetJobs())
	}
	if runs != 2 {
		t.Errorf("%d jobs are ordered after the replies of both sides, want 2", runs)
	}
}

// The entry was linked again, and has ordered a task since the reply.
func TestReplyBeforeAnEntryWasLostAgainCounts(t *testing.T) {
	f := newBackupPeers(t)
	lose := func(lostMS uint32) {
		f.broker.HandleLostPlacements(f.now, &yuccawire.LostPlacements{Owners: []*yuccawire.LostOwner{{
			Entry: "cusco-1", Incarnation: 4, LostMs: lostMS, Placements: []*yuccawire.Placement{{Job: "a", Sides: []string{"s1"}, RemainingMs: 15000, LastRun: 1}},
		}}})
	}
	lose(1300)
	f.submitLater("a")
	first := f.queries("s1", "a")
	lose(0)
	f.broker.HandleRunsReply(f.now, "s1", &yuccawire.RunsReply{Number: first[0], Absent: []string{"a"}})
	f.tick(600 * time.Millisecond)
	if f.orders() > 0 || len(f.queries("s1", "a")) != 1 {
		t.Errorf("%d orders, %d queries while orders of the lost entry may arrive", f.orders(), len(f.queries("s1", "a")))
	}
	f.tick(200 * time.Millisecond)
	if len(f.queries("s1", "a")) < 2 {
		t.Error("the side is not asked again")
	}
}

// A job of many tasks is placed little by little.
func TestBackupsAreToldOfAllSidesWithEachOrder(t *testing.T) {
	f := newBackupPeers(t, "lima-1")
	j := job("a", 30)
	j.Deadline = f.now.Add(6 * time.Second)
	f.broker.Submit(f.now, j, 1)
	f.collect()
	first := f.told("a")["lima-1"]
	f.sent = nil
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s3", Incarnation: 1, DataCentre: "puno"})
	f.report("s3", fullCPU)
	f.collect()
	if told := f.told("a")["lima-1"]; len(first) != 2 || !slices.Equal(told, []string{"s3"}) {
		t.Errorf("told %v, then %v, want s1 and s2, then s3 only", first, told)
	}
	f.broker.HandleEntryUp(f.now, "lima-1", 2)
	f.sent = nil
	f.tick(0)
	if told := f.told("a")["lima-1"]; len(told) != 3 {
		t.Errorf("a backup that has restarted is told of %v, want all three sides", told)
	}
}
