package yuccabroker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// newRelay returns an entry that is linked with the named ones and with the side s1.
func newRelay(t *testing.T, peers ...string) *fixture {
	f := newFixture(t, "s1")
	f.linkEntries(peers...)
	return f
}

// linkEntries links the entry with the named ones, which confirm lists.
func (f *fixture) linkEntries(names ...string) {
	f.broker.SetPeers(names)
	for _, name := range names {
		f.broker.HandleHeldSeen(f.now, name, &yuccawire.HeldSeen{})
	}
}

// receiveHeld handles a list of the side and returns what is passed on.
func (f *fixture) receiveHeld(list *yuccawire.HeldTasks, reached ...string) []yuccabroker.Publish {
	list.Reached = reached
	f.broker.HandleHeldBySide(f.now, "s1", list)
	var passedOn []yuccabroker.Publish
	for _, a := range f.broker.Actions() {
		if p, isPublish := a.(yuccabroker.Publish); isPublish {
			passedOn = append(passedOn, p)
		}
	}
	return passedOn
}

func checkPassedOn(t *testing.T, passedOn []yuccabroker.Publish, to string, tasks ...string) {
	t.Helper()
	if len(passedOn) != 1 || !slices.Equal(passedOn[0].To, []string{to}) {
		t.Fatalf("passed on %v, want one list to %s", passedOn, to)
	}
	list := passedOn[0].Message.GetHeldTasks()
	var names []string
	for _, h := range list.GetTasks() {
		names = append(names, h.GetTask())
		if h.GetSide() != "s1" {
			t.Errorf("%s is held at %q, want s1", h.GetTask(), h.GetSide())
		}
	}
	if !slices.Equal(names, tasks) || list.GetSender() != "s1" || !list.GetPartial() || !slices.Contains(list.GetReached(), "entry") || slices.Contains(list.GetReached(), to) {
		t.Errorf("passed on %v, want %v of s1, in part, with entry among those reached, and without %s, which may be cut off", list, tasks, to)
	}
}

func TestEntryThatASideDoesNotReachIsToldOfItsHeldTasks(t *testing.T) {
	f := newRelay(t, "other", "unlinked")
	checkPassedOn(t, f.receiveHeld(heldTasks(1, 10*time.Second, "a.0.0.0"), "entry", "other"), "unlinked", "a.0.0.0")
	f.now = f.now.Add(250 * time.Millisecond)
	checkPassedOn(t, f.receiveHeld(heldTasks(2, 10*time.Second, "a.0.0.0", "a.0.0.1"), "entry", "other"), "unlinked", "a.0.0.1")
	if p := f.receiveHeld(heldTasks(3, 10*time.Second, "a.0.0.0", "a.0.0.1"), "entry", "other"); len(p) > 0 {
		t.Errorf("passed on %v, which is known", p)
	}
	f.now = f.now.Add(3 * time.Second)
	checkPassedOn(t, f.receiveHeld(heldTasks(4, 10*time.Second, "a.0.0.0"), "entry", "other"), "unlinked", "a.0.0.0")
}

func TestEntryThatMayNotHaveReceivedAListIsToldOfAllItsTasks(t *testing.T) {
	f := newRelay(t, "other")
	if p := f.receiveHeld(heldTasks(1, 10*time.Second, "a.0.0.0", "a.0.0.1"), "entry", "other"); len(p) > 0 {
		t.Errorf("passed on %v, want nothing where the side reaches all", p)
	}
	checkPassedOn(t, f.receiveHeld(heldTasks(2, 10*time.Second, "a.0.0.0", "a.0.0.1", "b.0.0.0"), "entry"), "other", "a.0.0.0", "a.0.0.1", "b.0.0.0")
}

// Each of several entries has told this one, with others that it has reached.
func TestTasksThatWerePassedOnAreNotPassedOnAgain(t *testing.T) {
	f := newRelay(t, "first", "second", "third")
	for i, reached := range [][]string{{"first", "entry"}, {"second", "entry"}, {"first", "third", "entry"}} {
		list := heldTasks(1, 10*time.Second, "a.0.0.0")
		list.Partial, list.Reached = true, reached
		f.broker.HandleHeldTasks(f.now, list)
		if actions := f.broker.Actions(); len(actions) > 0 != (i == 0) {
			t.Errorf("list %d: actions are %v, want the task passed on once", i, actions)
		}
	}
}

func TestEntryIsToldOfAllTasksAsAnUnlinkedOneIsReachedNoLonger(t *testing.T) {
	for _, isPartial := range []bool{false, true} {
		f := newRelay(t, "between")
		checkPassedOn(t, f.receiveHeld(heldTasks(1, 10*time.Second, "a.0.0.0"), "entry", "cut"), "between", "a.0.0.0")
		list := heldTasks(2, 10*time.Second, "a.0.0.0")
		list.Partial = isPartial
		p := f.receiveHeld(list, "entry")
		if len(p) != 1 || !slices.Equal(p[0].To, []string{"between"}) || len(p[0].Message.GetHeldTasks().GetTasks()) != 1 || p[0].Message.GetHeldTasks().GetPartial() != isPartial {
			t.Errorf("passed on %v, want the task again to between, in part: %v", p, isPartial)
		}
		if p := f.receiveHeld(heldTasks(3, 10*time.Second, "a.0.0.0"), "entry"); len(p) > 0 {
			t.Errorf("passed on %v, want nothing more", p)
		}
	}
}

// Each of three entries tells this one, after a part with the first task.
func TestTasksArePassedOnOnceToAnEntryThatIsReachedNoLonger(t *testing.T) {
	for _, isPartial := range []bool{false, true} {
		f := newRelay(t, "cut")
		part := heldTasks(1, 10*time.Second, "a.0.0.0")
		part.Sender, part.Partial, part.Reached = "s1", true, []string{"cut", "first", "second", "third"}
		f.broker.HandleHeldTasks(f.now, part)
		var told []int
		for _, relay := range []string{"first", "second", "third"} {
			list := heldTasks(2, 10*time.Second, "a.0.0.0", "b.0.0.0")
			list.Sender, list.Partial, list.Reached = "s1", isPartial, []string{"first", "second", "third", relay}
			f.broker.HandleHeldTasks(f.now, list)
			for _, a := range f.broker.Actions() {
				if p, isPublish := a.(yuccabroker.Publish); isPublish && slices.Equal(p.To, []string{"cut"}) {
					told = append(told, len(p.Message.GetHeldTasks().GetTasks()))
				}
			}
		}
		if !slices.Equal(told, []int{2}) {
			t.Errorf("lists with %v tasks are passed on, want one with both, in part: %v", told, isPartial)
		}
	}
}

// A list of an entry names its sender, too.
func TestEntryThatAnotherOneReachesNoLongerIsToldOfAllItsTasks(t *testing.T) {
	f := newRelay(t, "cut", "other")
	f.broker.SetMembers(f.now, []string{"cut", "other"})
	f.broker.Actions()
	for i, reached := range [][]string{{"cut", "entry", "other"}, {"entry", "other"}} {
		list := heldTasks(uint64(i+1), 10*time.Second, "a.0.0.0")
		list.Sender, list.Reached = "other", reached
		f.broker.HandleHeldTasks(f.now, list)
	}
	if actions := f.broker.Actions(); len(actions) != 1 || !slices.Equal(actions[0].(yuccabroker.Publish).To, []string{"cut"}) {
		t.Errorf("actions are %v, want the task passed on to cut", actions)
	}
}

// An entry tells on a new link that it reaches those that it is linked with itself.
func TestListThatANewLinkTellsDoesNotSayWhomASideReaches(t *testing.T) {
	for _, isPartial := range []bool{false, true} {
		f := newRelay(t, "other")
		list := heldTasks(1, 10*time.Second, "a.0.0.0")
		list.Sender, list.Incarnation, list.Partial, list.Reached = "s1", 1, isPartial, []string{"entry", "far", "other", "s1"}
		list.Tasks[0].Side = "s1"
		f.broker.HandleHeldTasks(f.now, list)
		if p := f.receiveHeld(heldTasks(2, 10*time.Second, "a.0.0.0"), "entry"); len(p) > 0 {
			t.Errorf("passed on %v, which is known", p)
		}
	}
}

// An entry that is slow to confirm lists would get all tasks of a side from each of the others.
func TestThreeEntriesTellAnotherOneOfAllTasksOfASide(t *testing.T) {
	names := []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "slow"}
	relays := 0
	for _, name := range names[:7] {
		f := newFixtureWith(t, func(o *yuccabroker.Options) { o.Name = name })
		f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 1})
		f.linkEntries(slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })...)
		f.broker.Actions()
		f.receiveHeld(heldTasks(1, 10*time.Second, "a.0.0.0"), names...)
		relays += len(f.receiveHeld(heldTasks(2, 10*time.Second, "a.0.0.0"), names[:7]...))
	}
	if relays != 3 {
		t.Errorf("%d entries tell it, want 3", relays)
	}
}

func TestEntryOfAnEarlierVersionTakesAPartForTheWholeList(t *testing.T) {
	f := newRelay(t, "new")
	f.broker.SetPeers([]string{"earlier", "new"})
	checkPassedOn(t, f.receiveHeld(heldTasks(1, 10*time.Second, "a.0.0.0"), "entry"), "new", "a.0.0.0")
	part := heldTasks(5, 10*time.Second, "b.0.0.0")
	part.Partial = true
	f.broker.HandleHeldTasks(f.now, part)
	for _, list := range f.broker.HeldLists(f.now) {
		if list.GetPartial() {
			t.Errorf("a new link is told %v, want whole lists until the entry confirms", list)
		}
	}
	if parts := f.broker.HeldParts(f.now); len(parts) != 1 || parts[0].GetSender() != "third" || !parts[0].GetPartial() {
		t.Errorf("an entry that confirms is told %v, want the part", parts)
	}
}

// A list that is passed on may come before or after those of its sender.
func TestPartOfAListEndsNoHeldTask(t *testing.T) {
	f := newRelay(t)
	held := func(sequence uint64, isPartial bool, tasks ...string) {
		list := heldTasks(sequence, 10*time.Second, tasks...)
		list.Partial = isPartial
		f.broker.HandleHeldTasks(f.now, list)
	}
	held(1, false, "a.0.0.0")
	held(3, true, "a.0.0.1")
	held(2, false, "a.0.0.2")
	f.submit(job("a", 4), 1)
	if runs := f.sentRuns(); len(runs) != 1 || runs["a.0.0.3/1"] == "" {
		t.Errorf("sent %v, want only the task that no list has named", runs)
	}
	held(3, false, "a.0.0.1")
	f.advance(20*time.Millisecond, "s1")
	if runs := f.sentRuns(); len(runs) != 3 || runs["a.0.0.1/1"] != "" {
		t.Errorf("sent %v, want all but the one that the last whole list names", runs)
	}
}

func TestLinkIsRequestedWithTheOnlySideThatMayRunATask(t *testing.T) {
	f := newRelay(t, "other")
	list := heldTasks(1, 10*time.Second, "a.0.0.0")
	list.Tasks[0].Side = otherSide
	f.broker.HandleHeldTasks(f.now, list)
	f.broker.Submit(f.now, job("a", 1), 1)
	f.broker.Place(f.now)
	var request *yuccawire.LinkRequest
	for _, a := range f.broker.Actions() {
		if p, isPublish := a.(yuccabroker.Publish); isPublish && p.Message.GetLinkRequest() != nil {
			request = p.Message.GetLinkRequest()
		}
	}
	if request.GetEntry() != "entry" || request.GetSide() != otherSide {
		t.Fatalf("requested %v, want a link of entry with %s", request, otherSide)
	}
	linked := newOtherEntry(t)
	linked.flush()
	linked.broker.HandleLinkRequest(linked.now, request)
	linked.broker.HandleLinkRequest(linked.now, request)
	if actions := linked.broker.Actions(); len(actions) != 1 || actions[0].(yuccabroker.Send).Side != otherSide {
		t.Errorf("actions are %v, want one request to the side", actions)
	}
	between := newFixtureWith(t, func(o *yuccabroker.Options) { o.Name = "between" })
	between.broker.SetPeers([]string{"entry", "linked", "other"})
	between.broker.HandleLinkRequest(between.now, request)
	if actions := between.broker.Actions(); len(actions) != 1 || !slices.Equal(actions[0].(yuccabroker.Publish).To, []string{"linked"}) {
		t.Errorf("actions are %v, want the request passed on to the entry that it has not reached", actions)
	}
}

func TestRepeatedLinkRequestIsPassedOnEachTime(t *testing.T) {
	linked := newOtherEntry(t)
	linked.flush()
	sent := 0
	for range 4 {
		linked.broker.HandleLinkRequest(linked.now.Add(1500*time.Microsecond), &yuccawire.LinkRequest{Side: otherSide, Entry: "entry"})
		for _, a := range linked.broker.Actions() {
			if m, isSend := a.(yuccabroker.Send); isSend && m.Message.GetLinkRequest() != nil {
				sent++
			}
		}
		linked.advance(980*time.Millisecond, otherSide)
	}
	if sent != 4 {
		t.Errorf("%d of 4 requests, one each second with other delays, are sent to the side", sent)
	}
}

func TestEntriesHearThatAnotherOneHasNotReceivedTheListOfAnEntry(t *testing.T) {
	f := newRelay(t)
	f.broker.SetPeers([]string{"cut", "earlier", "other"})
	f.broker.HandleHeldSeen(f.now, "cut", &yuccawire.HeldSeen{})
	f.broker.HandleHeldSeen(f.now, "other", &yuccawire.HeldSeen{})
	f.submit(job("a", 1), 1)
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.advance(260*time.Millisecond, "s1")
	if len(f.published) != 1 || !slices.Equal(f.published[0].GetReached(), []string{"cut", "earlier", "other", "entry"}) {
		t.Fatalf("published %v, want one list that reaches all", f.published)
	}
	f.broker.HandleHeldSeen(f.now, "other", &yuccawire.HeldSeen{Sequence: 1})
	f.advance(480*time.Millisecond, "s1")
	if len(f.published) != 2 || !slices.Equal(f.published[1].GetReached(), []string{"earlier", "other", "entry"}) || len(f.published[1].GetTasks()) != 1 {
		t.Fatalf("published %v, want the task again, without the entry that has not received it", f.published)
	}
	f.broker.HandleHeldSeen(f.now, "other", &yuccawire.HeldSeen{Sequence: 2})
	f.advance(400*time.Millisecond, "s1")
	f.broker.SetPeers([]string{"earlier", "other"})
	f.broker.SetPeers([]string{"cut", "earlier", "other"})
	f.advance(400*time.Millisecond, "s1")
	if len(f.published) != 2 {
		t.Errorf("published %v, want nothing more while nothing changes", f.published)
	}
	f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	f.advance(100*time.Millisecond, "s1")
	if len(f.published) != 3 || !slices.Contains(f.published[2].GetReached(), "cut") {
		t.Errorf("published %v, want the end, and that it reaches the entry whose link is new", f.published)
	}
}

// What was passed on before is known to the entry until its link comes up again.
func TestEntryThatIsLateOnceCountsAsReachedAgain(t *testing.T) {
	f := newRelay(t, "late")
	f.broker.HandleHeldSeen(f.now, "late", &yuccawire.HeldSeen{})
	f.submit(job("a", 2), 1)
	f.broker.HandleDisconnect(f.now, "a", 1)
	f.advance(800*time.Millisecond, "s1")
	if len(f.published) != 2 {
		t.Fatalf("published %v, want the list and that it has not been received", f.published)
	}
	f.broker.HandleHeldSeen(f.now, "late", &yuccawire.HeldSeen{Sequence: 2})
	f.endRun("s1", "a.0.0.0", 1, yuccawire.RunEnd_RUN_END_STOPPED, 0)
	f.advance(100*time.Millisecond, "s1")
	if len(f.published) != 3 || !slices.Contains(f.published[2].GetReached(), "late") {
		t.Errorf("published %v, want a third list that reaches the entry", f.published)
	}
}

func TestKnownListIsToldOnANewLinkAsWhatItIs(t *testing.T) {
	f := newRelay(t, "other")
	part := heldTasks(2, 10*time.Second, "b.0.0.0")
	part.Partial = true
	for i, list := range []*yuccawire.HeldTasks{heldTasks(1, 10*time.Second, "a.0.0.0"), part, heldTasks(3, 10*time.Second, "b.0.0.0")} {
		f.receiveHeld(list, "entry", "other")
		lists := append(f.broker.HeldLists(f.now), f.broker.HeldParts(f.now)...)
		if len(lists) != 1 || lists[0].GetSequence() != uint64(i+1) || lists[0].GetPartial() != list.GetPartial() {
			t.Fatalf("told %v after list %d, want that number, in part: %v", lists, i+1, list.GetPartial())
		}
		if reached := lists[0].GetReached(); !slices.Equal(reached, []string{"entry", "other", "s1"}) {
			t.Errorf("told that %v are reached, want the side, the entry and its peer", reached)
		}
	}
}

func TestListIsNotPassedOnWithoutNeed(t *testing.T) {
	f := newRelay(t, "other")
	if p := f.receiveHeld(heldTasks(1, 10*time.Second, "a.0.0.0")); len(p) > 0 {
		t.Errorf("passed on %v of a side that doesn't say whom it reaches", p)
	}
	f = newRelay(t, "other")
	if p := f.receiveHeld(heldTasks(1, 10*time.Second), "entry"); len(p) > 0 {
		t.Errorf("passed on %v of a list without tasks", p)
	}
}

// linkRequests returns the link requests to other entries and to sides, by side.
func (f *fixture) linkRequests() (published, sent []string) {
	for _, a := range f.broker.Actions() {
		switch a := a.(type) {
		case yuccabroker.Publish:
			if m := a.Message.GetLinkRequest(); m != nil {
				published = append(published, m.GetSide())
			}
		case yuccabroker.Send:
			if a.Message.GetLinkRequest() != nil {
				sent = append(sent, a.Side)
			}
		}
	}
	return published, sent
}

func TestNoLinkIsRequestedForATaskOfTwoSides(t *testing.T) {
	f := newRelay(t, "other")
	for _, side := range []string{otherSide, "s3"} {
		list := heldTasks(1, 10*time.Second, "a.0.0.0")
		list.Sender, list.Tasks[0].Side = side, side
		f.broker.HandleHeldTasks(f.now, list)
	}
	f.broker.Submit(f.now, job("a", 1), 1)
	f.broker.Place(f.now)
	if published, _ := f.linkRequests(); len(published) > 0 {
		t.Errorf("requested links with %q, want none", published)
	}
}

func TestLostLinkIsRequestedAfterASecond(t *testing.T) {
	f := newRelay(t, "other")
	f.receiveHeld(heldTasks(1, 10*time.Second, "a.0.0.0"), "entry", "other")
	f.broker.HandleLinkDown(f.now, "s1")
	f.broker.Submit(f.now, job("a", 1), 1)
	for _, want := range []int{0, 1} {
		f.broker.Tick(f.now)
		f.broker.Place(f.now)
		if published, _ := f.linkRequests(); len(published) != want {
			t.Errorf("%v after the link was lost links with %q are requested, want %d", f.now.Sub(startTime), published, want)
		}
		f.now = f.now.Add(time.Second)
	}
}

func TestLinkRequestGoesOnWhereTheLinkWithTheSideIsLost(t *testing.T) {
	f := newRelay(t, "other")
	f.broker.HandleLinkDown(f.now, "s1")
	f.linkRequests()
	f.broker.HandleLinkRequest(f.now, &yuccawire.LinkRequest{Side: "s1", Entry: "far"})
	if published, sent := f.linkRequests(); len(published) != 1 || len(sent) > 0 {
		t.Errorf("request is passed on to %d and sent to %q, want one that is passed on", len(published), sent)
	}
	f.broker.HandleLinkRequest(f.now, &yuccawire.LinkRequest{Side: "s1", Entry: "entry"})
	if published, sent := f.linkRequests(); len(published)+len(sent) > 0 {
		t.Error("an own request is passed on")
	}
}

func TestLaterRunAndOtherSideOfAHeldTaskAreNews(t *testing.T) {
	f := newRelay(t, "unlinked")
	for i, c := range []struct {
		side string
		run  uint64
	}{{"x", 1}, {"x", 2}, {"y", 2}} {
		list := heldTasks(uint64(i+1), 10*time.Second, "a.0.0.0")
		list.Reached, list.Tasks[0].Side, list.Tasks[0].Run = []string{"entry"}, c.side, c.run
		f.broker.HandleHeldTasks(f.now, list)
		var passedOn []*yuccawire.HeldTask
		for _, a := range f.broker.Actions() {
			if p, isPublish := a.(yuccabroker.Publish); isPublish {
				passedOn = append(passedOn, p.Message.GetHeldTasks().GetTasks()...)
			}
		}
		if len(passedOn) != 1 || passedOn[0].GetSide() != c.side || passedOn[0].GetRun() != c.run {
			t.Errorf("passed on %v, want run %d at %s", passedOn, c.run, c.side)
		}
	}
}
