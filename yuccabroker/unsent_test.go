package yuccabroker_test

import (
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// An order must not be pending while a link is replaced: it would be sent on the new one.
func TestOnlyPlacementSendsOrders(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	f.report("s1", noCapacity)
	f.report("s2", noCapacity)
	f.submit(job("b", 1), 2)
	side := yuccabroker.Side{Name: "s1", Incarnation: 1, DataCentre: "puno"}
	for _, event := range []struct {
		name   string
		handle func()
	}{
		{"submit", func() { f.broker.Submit(f.now, job("c", 1), 3) }},
		{"report", func() { f.report("s2", fullCPU) }},
		{"ends", func() { f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{State: f.workerState(fullCPU), Full: true}) }},
		{"link down", func() { f.broker.HandleLinkDown(f.now, "s1") }},
		{"link up", func() { f.broker.HandleLinkUp(f.now, side) }},
		{"restart", func() { f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 2, DataCentre: "puno"}) }},
		{"crash", func() {
			f.broker.HandleCrashReport(f.now, &yuccawire.CrashReport{Crashes: []*yuccawire.Crash{{Side: "s2"}}})
		}},
		{"drained", func() { f.broker.SetDrained(2, nil) }},
		{"caller left", func() { f.broker.HandleDisconnect(f.now, "b", 2) }},
		{"suspension", func() { f.broker.HandleSuspension(f.now, 0) }},
	} {
		event.handle()
		for _, a := range f.broker.Actions() {
			if s, isSend := a.(yuccabroker.Send); isSend && s.Message.GetOrders() != nil {
				t.Errorf("%s sends %v before the placement", event.name, s.Message)
			}
		}
	}
}
