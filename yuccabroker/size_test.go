package yuccabroker_test

import (
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// reportOther reports the side of another service.
func (f *fixture) reportOther(side string) {
	f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: side, Incarnation: 1, DataCentre: "puno"})
	state := f.workerState(fullCPU)
	state.Service = "spire"
	f.broker.HandleWorkerState(f.now, side, state)
}

// Tasks that no worker has room for come first in the queue of their service.
func TestOversizedJobBlocksItsService(t *testing.T) {
	f := newFixture(t, "side-1")
	f.reportOther("side-2")
	big := job("big", 20)
	big.Queue.Priority, big.Steps[0].CPUMilli = 0, 2*fullCPU
	f.submit(big, 1)
	f.submit(job("small", 1), 2)
	f.wantState(1, yuccabroker.Failed)
	if f.sentRuns()["small.0.0.0/1"] == "" {
		t.Errorf("sent %v, want the task of the other job", f.sentRuns())
	}
}
