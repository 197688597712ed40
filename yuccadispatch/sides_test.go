package yuccadispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
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
