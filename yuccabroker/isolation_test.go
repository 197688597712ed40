package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
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
