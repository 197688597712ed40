package yuccabroker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// tell passes the entry, as a backup, a message of another one that keeps an interval of 250 ms.
func (f *backupPeers) tell(owner string, m *yuccawire.Placements) {
	m.IntervalMs = 250
	f.broker.HandlePlacements(f.now, owner, 1, m)
}

func placed(id string, sides ...string) []*yuccawire.Placement {
	return []*yuccawire.Placement{{Job: id, Sides: sides, RemainingMs: 15000, LastRun: 3}}
}

// The link to an entry that stands still is found lost only after its callers have come again elsewhere.
func TestBackupKeepsTheJobsOfASilentEntryToItself(t *testing.T) {
	f := newBackupPeers(t, "cusco-1", "lima-1")
	f.tell("lima-1", &yuccawire.Placements{Placed: placed("a", "s1")})
	f.tell("lima-1", &yuccawire.Placements{Placed: placed("closed", "s1")})
	f.tell("lima-1", &yuccawire.Placements{Closed: []string{"closed"}})
	f.place("cusco-1", "of an earlier version", "s1")
	f.tick(580 * time.Millisecond)
	if jobs := append(f.published("lima-1"), f.published("cusco-1")...); len(jobs) > 0 {
		t.Fatalf("%v told after 580 ms, want none", jobs)
	}
	f.tick(60 * time.Millisecond)
	if jobs := f.published("lima-1"); !slices.Equal(jobs, []string{"a"}) {
		t.Errorf("told %v after 640 ms, want a", jobs)
	}
	f.tick(10 * time.Second)
	if jobs := append(f.published("lima-1"), f.published("cusco-1")...); !slices.Equal(jobs, []string{"a"}) {
		t.Errorf("told %v in all, want a once", jobs)
	}
}

// A backup that places the job itself doesn't ask the side of its run.
func TestBackupPlacesAJobOfASilentEntry(t *testing.T) {
	f := newBackupPeers(t, "cusco-1", "lima-1")
	f.tell("lima-1", &yuccawire.Placements{Placed: placed("a", "s1")})
	f.tick(1300 * time.Millisecond)
	f.submitLater("a")
	f.tick(100 * time.Millisecond)
	queries := f.queries("s1", "a")
	if len(queries) == 0 || f.orders() > 0 {
		t.Fatalf("%d queries and %d orders before the side has replied, want a query only", len(queries), f.orders())
	}
	f.broker.HandleRunsReply(f.now, "s1", &yuccawire.RunsReply{Number: queries[0], Absent: []string{"a"}})
	f.tick(20 * time.Millisecond)
	if f.orders() != 1 {
		t.Errorf("%d orders after the reply, want 1", f.orders())
	}
}

// What a silent entry says as it goes on counts: its ended jobs wait no more, and the others hear only what is new.
func TestSilentEntryThatGoesOnIsNotHeard(t *testing.T) {
	f := newBackupPeers(t, "cusco-1", "lima-1")
	f.tell("lima-1", &yuccawire.Placements{Placed: append(placed("a", "s1"), placed("b", "s1")...)})
	f.tick(700 * time.Millisecond)
	f.submitLater("a")
	f.tell("lima-1", &yuccawire.Placements{Closed: []string{"a"}})
	f.tick(20 * time.Millisecond)
	if f.orders() != 1 {
		t.Errorf("%d orders of a as it is closed, want 1", f.orders())
	}
	f.tell("lima-1", &yuccawire.Placements{Placed: placed("c", "s2")})
	f.tick(700 * time.Millisecond)
	if jobs := f.published("lima-1"); !slices.Equal(jobs, []string{"a", "b", "c"}) {
		t.Errorf("told %v of two silences, want a and b and then c", jobs)
	}
}

// The side has been asked of an order that it has run, and the entry orders there again.
func TestOrderAfterASilenceIsNotTold(t *testing.T) {
	f := newBackupPeers(t, "cusco-1", "lima-1")
	f.tell("lima-1", &yuccawire.Placements{Placed: placed("a", "s1")})
	f.tick(1300 * time.Millisecond)
	f.submitLater("a")
	f.tick(100 * time.Millisecond)
	f.broker.HandleRunsReply(f.now, "s1", &yuccawire.RunsReply{Number: f.queries("s1", "a")[0], Absent: []string{"a"}})
	f.tell("lima-1", &yuccawire.Placements{Placed: []*yuccawire.Placement{{Job: "a", RemainingMs: 15000, LastRun: 4}}})
	f.tick(700 * time.Millisecond)
	owners := f.broker.LostPlacements(f.now).GetOwners()
	if len(owners) != 1 || !slices.Equal(owners[0].GetPlacements()[0].GetSides(), []string{"s1"}) || owners[0].GetPlacements()[0].GetLastRun() != 4 {
		t.Errorf("known of the job after the second silence: %v, want run 4 at s1", owners)
	}
}

// It has read nothing meanwhile.
func TestBackupThatStoodStillTakesTheOthersForSilent(t *testing.T) {
	f := newBackupPeers(t, "cusco-1", "lima-1")
	f.tell("lima-1", &yuccawire.Placements{Placed: placed("a", "s1")})
	f.tick(100 * time.Millisecond)
	f.now = f.now.Add(2 * time.Second)
	f.tick(0)
	f.tell("lima-1", &yuccawire.Placements{})
	f.tick(500 * time.Millisecond)
	if jobs := f.published("lima-1"); len(jobs) > 0 {
		t.Errorf("%v told, want none", jobs)
	}
}

// An entry whose jobs run for long has nothing to tell.
func TestEntryThatGoesOnIsSilent(t *testing.T) {
	f := newBackupPeers(t, "cusco-1", "lima-1", "puno-2")
	messages := func(d time.Duration) map[string]int {
		f.sent = nil
		f.tick(d)
		sent := make(map[string]int)
		for _, a := range f.sent {
			if p, isPublish := a.(yuccabroker.Publish); isPublish && p.Message.GetPlacements().GetIntervalMs() == 250 {
				sent[p.To[0]]++
			}
		}
		return sent
	}
	if sent := messages(time.Second); len(sent) > 0 {
		t.Errorf("messages in a second without jobs: %v, want none", sent)
	}
	f.submitLater("a")
	for name, n := range messages(2 * time.Second) {
		if n < 7 || n > 8 {
			t.Errorf("%d messages to %s in 2 s, want one each 250 ms", n, name)
		}
	}
	if len(messages(time.Second)) != 3 {
		t.Errorf("told %v, want all three backups", messages(time.Second))
	}
}
