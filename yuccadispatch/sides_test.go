package yuccadispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// A start that was decided on before its link was replaced is sent on the new one.
func TestStartOnReplacedLinkLeavesTheSideInUse(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	d.Submit(now, submission(now, 1, 1))
	for i := range workers {
		d.HandleLinkDown(fmt.Sprintf("side-%d", i))
		d.HandleLinkUp(now, fmt.Sprintf("side-%d", i))
	}
	for _, action := range d.Actions() {
		if start, ok := action.(yuccadispatch.SendStart); ok {
			load := &yuccawire.ServiceLoad{Service: "regulation", FreeSlots: slotsPerWorker - 1}
			d.HandleLoad(now, start.Name, &yuccawire.Load{Services: []*yuccawire.ServiceLoad{load}, StartsSeen: 1})
		}
	}
	if free := d.FreeSlots(now, "regulation"); free != workers*slotsPerWorker-1 {
		t.Errorf("%d slots are free, want %d", free, workers*slotsPerWorker-1)
	}
}

// Another entry may not know the side, and would start its tasks again.
func TestJoiningSideIsSentNoTasks(t *testing.T) {
	now := time.Now()
	d := newDispatcher(t, now)
	target := &yuccawire.Target{Service: "regulation", Slots: slotsPerWorker, Connections: 64}
	update := func(epoch, version uint64, targets []*yuccawire.Target, joining ...string) int {
		node := &yuccawire.Node{Name: "side-new", Role: yuccawire.Role_ROLE_SIDE, DataCentre: "cusco", Incarnation: 1}
		d.HandleControlUpdate(now, yuccalease.Update{
			Lease: d.Lease(), View: d.View(), Members: &yuccawire.MembersDelta{
				Epoch: epoch, Version: version, Changed: []*yuccawire.Member{{Node: node, Targets: targets, Joining: joining}},
			},
		})
		d.HandleLinkUp(now, "side-new")
		return d.FreeSlots(now, "regulation") - workers*slotsPerWorker
	}
	for _, step := range []struct {
		name string
		free int
		want int
	}{
		{"joining", update(1, 2, []*yuccawire.Target{target}, "regulation"), 0},
		{"another service has joined", update(1, 3, []*yuccawire.Target{target}, "regulation", "tolls"), 0},
		{"joined", update(1, 4, []*yuccawire.Target{target}), slotsPerWorker},
		{"joining under the next leader", update(2, 2, []*yuccawire.Target{target}, "regulation"), slotsPerWorker},
		{"withdrawn", update(2, 3, nil), 0},
		{"announced again", update(2, 4, []*yuccawire.Target{target}, "regulation"), 0},
	} {
		if step.free != step.want {
			t.Errorf("%s: %d slots of the side are free, want %d", step.name, step.free, step.want)
		}
	}
}
