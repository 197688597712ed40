package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The links to the sides are up before those to the other entries.
func TestEntryThatWasCutOffPlacesAJobThatIsOpenElsewhereAsItsFirstLinkIsUp(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.broker.SetPeers(nil)
	for _, s := range f.sides {
		f.broker.HandleLinkDown(f.now, s)
	}
	f.step(500 * time.Millisecond)
	f.submit(f.received("a", 0), 1)
	for _, s := range f.sides {
		f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: s, Incarnation: 1, DataCentre: "puno"})
		f.lastOrder[s] = 0
		f.report(s, fullCPU)
	}
	f.collect()
	if len(f.sentRuns()) > 0 {
		t.Fatalf("sent %v before b was heard", f.sentRuns())
	}
	f.broker.SetPeers([]string{"b"})
	f.linkUp("b", 1, open(1, 2*time.Second, "a").GetOpened()...)
	f.step(time.Second)
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v, b has told that a is open there", f.sentRuns())
	}
}

// The entry restarts meanwhile, and gets the job after it has sent the list that comes with the link.
func TestListThatCameDuringAStandstillIsTakenForTheOneThatWasRequested(t *testing.T) {
	f := newOpenPeers(t, "b")
	f.submit(f.received("a", 900*time.Millisecond), 1)
	f.step(20 * time.Millisecond)
	f.confirm("b")
	f.now = f.now.Add(2 * time.Second)
	f.step(0)
	f.linkUp("b", 2)
	f.submit(f.received("d", 0), 2)
	before := len(f.sentRuns())
	f.collect()
	if sent := f.sentRuns(); len(sent) > before {
		t.Fatalf("sent %v by a list of unknown age", sent)
	}
	f.broker.HandleOpenJobs(f.now, "b", 2, &yuccawire.OpenJobs{Sequence: 1, Whole: true, Opened: open(1, 700*time.Millisecond, "d").GetOpened()})
	f.step(time.Second)
	if _, isSent := f.sentRuns()["d.0.0.0/1"]; isSent {
		t.Error("d is sent, b has told that it is open there")
	}
}
