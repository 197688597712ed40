package yuccabroker_test

import (
	"fmt"
	"testing"
	"time"
)

func TestNamesThatNobodyHasAnymoreStopTheWaitForALostEntry(t *testing.T) {
	f := newOpenPeers(t, "b", "c")
	members := []string{"b", "c"}
	for i := range 15 {
		members = append(members, fmt.Sprint("old", i))
	}
	f.broker.SetMembers(f.now, members)
	f.broker.SetPeers([]string{"c"})
	f.submit(f.received("a", 1400*time.Millisecond), 1)
	f.step(700 * time.Millisecond)
	f.confirm("c")
	f.step(20 * time.Millisecond)
	if len(f.sentRuns()) > 0 {
		t.Errorf("sent %v 0.7 s after the link to b was lost, b never confirmed", f.sentRuns())
	}
}
