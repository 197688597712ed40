package yuccabroker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// A connection was refused, and the process lives.
func TestProcessThatLinksAgainAfterARefusedConnectionIsTakenForGone(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.broker.HandleEntryGone(f.now, "b", 1)
	f.step(100 * time.Millisecond)
	f.linkUp("b", 1, open(1, 2*time.Second, "a").GetOpened()...)
	f.collect()
	f.submit(f.received("a", 0), 1)
	f.step(time.Second)
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v, b is linked and has a open", f.sentRuns())
	}
	var gone int
	f.broker.SetPeers([]string{"c"})
	f.broker.HandleForward(f.now, &yuccawire.Forward{From: "c", Incarnation: 1, To: "b", OpenJobs: &yuccawire.OpenJobs{Whole: true}})
	for _, a := range f.broker.Actions() {
		if p, ok := a.(yuccabroker.Publish); ok && p.Message.GetForward().GetGone() {
			gone++
		}
	}
	if gone > 0 {
		t.Errorf("c is told that b is gone, after b had linked again")
	}
}

// A cut refuses connections.
func TestListOverAThirdEntryIsDroppedAsTheMachineRefusesConnections(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.broker.SetPeers([]string{"c"})
	f.broker.HandleEntryGone(f.now, "b", 1)
	f.submit(f.received("d", 1100*time.Millisecond), 1)
	for i := range 6 {
		f.broker.HandleForward(f.now, &yuccawire.Forward{To: "entry", From: "b", Incarnation: 1, OpenJobs: &yuccawire.OpenJobs{Sequence: uint64(i + 1), Whole: true, Opened: open(1, 2*time.Second, "a").GetOpened()}})
		if i == 0 {
			f.submit(f.received("a", 0), 2)
		}
		f.broker.HandleEntryGone(f.now, "b", 1)
		f.step(500 * time.Millisecond)
		f.confirm("c")
	}
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v, b has told over c that a is open, and has not confirmed that d is open here", f.sentRuns())
	}
}

// Both have the job, and the age in the message says nothing.
func TestJobOfTwoEntriesIsKeptByNeitherAfterAShortStandstill(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.submit(f.received("a", 1400*time.Millisecond), 1)
	f.step(20 * time.Millisecond) // told
	f.now = f.now.Add(300 * time.Millisecond)
	f.tell("b", open(1, 600*time.Millisecond, "a"))
	f.broker.HandleOpenJobsSeen(f.now, "b", &yuccawire.OpenJobsSeen{Sequence: f.told[len(f.told)-1].GetSequence(), Taken: []string{"a"}})
	f.collect()
	f.step(3 * time.Second)
	if _, ok := f.answers[1]; !ok {
		t.Errorf("neither given up nor placed: %v", f.sentRuns())
	}
}

// The entry that passes it on stood still.
func TestConfirmationToAnEarlierProcessCounts(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.submit(f.received("a", 1400*time.Millisecond), 1)
	f.step(100 * time.Millisecond)
	f.confirm("c")
	f.broker.HandleForward(f.now, &yuccawire.Forward{To: "entry", From: "b", Incarnation: 1, OpenJobsSeen: &yuccawire.OpenJobsSeen{Sequence: 5000}})
	f.collect()
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v, b confirmed 5000 of the earlier process, this one has sent %d", f.sentRuns(), f.told[len(f.told)-1].GetSequence())
	}
}

// What it asks for has waited here, and a job has come to it meanwhile.
func TestProcessThatIsHeardOverAnotherEntryHasNotToConfirm(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.broker.SetPeers([]string{"c"})
	f.broker.HandleForward(f.now, &yuccawire.Forward{To: "entry", From: "b", Incarnation: 2, OpenJobsSeen: &yuccawire.OpenJobsSeen{WantsWhole: true}})
	f.submit(f.received("a", 1400*time.Millisecond), 1)
	f.step(100 * time.Millisecond)
	f.confirm("c")
	if len(f.sentRuns()) > 0 {
		t.Fatalf("sent %v before b has confirmed that a is open here", f.sentRuns())
	}
	f.broker.HandleForward(f.now, &yuccawire.Forward{To: "entry", From: "b", Incarnation: 2, OpenJobsSeen: &yuccawire.OpenJobsSeen{Sequence: f.told[len(f.told)-1].GetSequence()}})
	f.collect()
	if len(f.sentRuns()) != 1 {
		t.Errorf("sent %v after b has confirmed it, want a run", f.sentRuns())
	}
}

// It has started during a cut.
func TestListOfAProcessThatWasNeverLinkedIsIgnored(t *testing.T) {
	f := newOpenPeers(t, "c")
	f.broker.SetMembers(f.now, []string{"b", "c"})
	f.broker.HandleForward(f.now, &yuccawire.Forward{To: "entry", From: "b", Incarnation: 1, OpenJobs: &yuccawire.OpenJobs{Sequence: 3, Whole: true, Opened: open(1, 2*time.Second, "a").GetOpened()}})
	f.collect()
	f.submit(f.received("a", 0), 1)
	f.step(time.Second)
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v, b has told over c that a is open", f.sentRuns())
	}
}

func TestTheSameEntriesAreAskedToForwardEachTime(t *testing.T) {
	f := newOpenPeers(t, "b", "c", "d", "e", "z")
	f.broker.SetPeers([]string{"b", "c", "d", "e"})
	asked := map[string]int{}
	for range 100 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.broker.Tick(f.now)
		for _, a := range f.broker.Actions() {
			if p, ok := a.(yuccabroker.Publish); ok && p.Message.GetForward() != nil {
				for _, n := range p.To {
					asked[n]++
				}
			}
		}
	}
	if asked["e"] == 0 {
		t.Errorf("asked %v: e, which alone reaches z, is never asked", asked)
	}
}

// A burst makes entries confirm late, and lose their links.
func TestMessagesOverSidesGrowWithTheNumberOfSlowEntries(t *testing.T) {
	var names []string
	for i := range 15 {
		names = append(names, fmt.Sprint("e", i))
	}
	for what, tc := range map[string]struct {
		linked []string
		want   int
	}{
		"linked": {names, 0},
		"lost":   {nil, 2 * 2 * 8 * 2},
	} {
		f := newOpenPeers(t, names...)
		f.submit(f.received("a", 0), 1)
		f.broker.SetPeers(tc.linked)
		overSides := 0
		for range 100 {
			f.now = f.now.Add(20 * time.Millisecond)
			f.broker.Tick(f.now)
			for _, a := range f.broker.Actions() {
				if m, isSend := a.(yuccabroker.Send); isSend && m.Message.GetForward() != nil {
					overSides++
				}
			}
		}
		if overSides > tc.want {
			t.Errorf("%s: %d messages over sides in 2 s, want %d at most", what, overSides, tc.want)
		}
	}
}

func TestWholeListIsCountedTwice(t *testing.T) {
	f := newOpenPeers(t, "b")
	var jobs []*yuccawire.OpenJob
	for i := range 60000 {
		jobs = append(jobs, &yuccawire.OpenJob{Job: string(rune('a'+i%26)) + time.Duration(i).String(), RemainingMs: 5000})
	}
	f.tell("b", &yuccawire.OpenJobs{Sequence: 1, Whole: true, Opened: jobs})
	f.tell("b", &yuccawire.OpenJobs{Sequence: 2, Whole: true, Opened: jobs})
	if s := f.seen["b"][len(f.seen["b"])-1].GetSequence(); s != 2 {
		t.Errorf("confirmed %d, want 2", s)
	}
}

func TestJobIsGivenUpForAListThatAForwarderHasDelayed(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	f.broker.SetPeers([]string{"c"})
	f.submit(f.received("a", 0), 1) // b received it 1.4 s before
	f.step(time.Second)
	// sent by b when it was 1.5 s old, read 0.9+ s later: b's real age now is 2.4 s
	f.broker.HandleForward(f.now, &yuccawire.Forward{To: "entry", From: "b", Incarnation: 1, OpenJobs: &yuccawire.OpenJobs{Sequence: 1, Whole: true, Opened: open(1, 900*time.Millisecond, "a").GetOpened()}})
	f.collect()
	if o, ok := f.answers[1]; ok {
		t.Errorf("given up (%v) for an entry that received it 1.4 s earlier", o.State)
	}
}
