package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Whatever becomes of a run that may have started, and whatever ends its job then, the job is not answered as not run.
func TestNoWayFromARunToNotRun(t *testing.T) {
	fates := map[string]func(f *fixture){
		"in flight": func(*fixture) {},
		"silent":    func(f *fixture) { f.now = f.now.Add(1200 * time.Millisecond); f.broker.Tick(f.now) },
		"side restarts": func(f *fixture) {
			f.broker.HandleLinkUp(f.now, yuccabroker.Side{Name: "s1", Incarnation: 2, DataCentre: "puno"})
			f.report("s1", noCapacity)
		},
	}
	for _, end := range []yuccawire.RunEnd{yuccawire.RunEnd_RUN_END_UNSPECIFIED, failed, yuccawire.RunEnd_RUN_END_STOPPED, yuccawire.RunEnd_RUN_END_LOST, yuccawire.RunEnd_RUN_END_CRASHED} {
		fates[end.String()] = func(f *fixture) {
			f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{Ends: []*yuccawire.Ended{{Run: &yuccawire.RunKey{Task: "a.0.0.0", Run: 1}, End: end}}})
		}
	}
	for fate, apply := range fates {
		for cause, end := range map[string]func(f *fixture){
			"deadline":   func(f *fixture) { f.now = startTime.Add(3 * time.Second) },
			"suspension": func(f *fixture) { f.broker.HandleSuspension(f.now, time.Second) },
			"stop":       func(f *fixture) { f.broker.StopAt(f.now, f.now) },
			"no worker": func(f *fixture) {
				f.broker.HandleLinkDown(f.now, "s1")
				f.advance(3 * time.Second)
			},
			"late end of the withdrawn run": func(f *fixture) {
				f.broker.StopAt(f.now, f.now.Add(60*time.Millisecond))
				f.broker.Tick(f.now)
				f.broker.HandleEnds(f.now, "s1", &yuccawire.Ends{Ends: []*yuccawire.Ended{{Run: &yuccawire.RunKey{Task: "a.0.0.0", Run: 1}, End: yuccawire.RunEnd_RUN_END_STOPPED}}})
				f.now = f.now.Add(80 * time.Millisecond)
			},
		} {
			f := newFixture(t, "s1")
			f.submit(job("a", 1), 1)
			f.report("s1", noCapacity)
			apply(f)
			end(f)
			f.broker.Tick(f.now)
			f.flush()
			if o, answered := f.answers[1]; !answered || o.State != yuccabroker.Abandoned {
				t.Errorf("run %s, then %s: answered %v, %v, want abandoned", fate, cause, answered, o)
			}
		}
	}
}
