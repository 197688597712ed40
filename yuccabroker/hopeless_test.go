package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The side was silent for longer than its leases last, and reports then that it can't tell the end.
func TestJobWithARunLostAfterSilenceKeepsItsOtherRuns(t *testing.T) {
	for name, lose := range map[string]func(f *fixture){
		"lost by the side": func(f *fixture) {
			f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{Ends: []*yuccawire.Ended{{Run: firstRun, End: yuccawire.RunEnd_RUN_END_LOST, MayStart: true}}})
		},
		"end forgotten": func(f *fixture) {
			f.advance(3*time.Second, "s2")
			f.relink("s1", f.sideClock())
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1")
			submitted := job("a", 2)
			submitted.Deadline = startTime.Add(30 * time.Second)
			submitted.Steps[0].Spread = 1
			f.submit(submitted, 1)
			f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s2", Incarnation: 1, DataCentre: "puno"})
			f.report("s2", fullCPU)
			f.flush()
			f.advance(2000*time.Millisecond, "s2")
			if len(f.withdrawn["s2"]) != 0 {
				t.Fatalf("withdrawn %v while the side may report the end, want none", f.withdrawn["s2"])
			}
			lose(f)
			f.flush()
			if _, isAnswered := f.answers[1]; isAnswered || len(f.withdrawn["s2"]) != 1 {
				t.Errorf("withdrawn %v, answered %v, want the other run withdrawn and no answer yet", f.withdrawn["s2"], isAnswered)
			}
		})
	}
}
