package yuccabroker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const crashed = yuccawire.RunEnd_RUN_END_CRASHED

// crashRuns reports crashes of workers under the runs of a task, each after a run time.
func (f *fixture) crashRuns(task string, after ...time.Duration) {
	for i, ran := range after {
		run := uint64(i + 1)
		f.endRunAfter(f.sentRuns()[fmt.Sprintf("%s/%d", task, run)], task, run, crashed, ran)
	}
}

func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		after []time.Duration
		runs  int
	}{
		"at its start":          {after: []time.Duration{12 * ms, 24 * ms}, runs: 2},
		"later, in proportion":  {after: []time.Duration{400 * ms, 310 * ms}, runs: 2},
		"at different points":   {after: []time.Duration{12 * ms, 150 * ms, 60 * ms}, runs: 3},
		"twice at the same one": {after: []time.Duration{150 * ms, 12 * ms, 20 * ms}, runs: 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "s1", "s2", "s3", "s4")
			f.submit(job("a", 1), 1)
			f.crashRuns("a.0.0.0", c.after[:c.runs-1]...)
			if _, answered := f.answers[1]; answered {
				t.Fatalf("the job is given up after %d crashes", c.runs-1)
			}
			f.crashRuns("a.0.0.0", c.after...)
			f.wantState(1, yuccabroker.Failed)
			if len(f.sentRuns()) != c.runs {
				t.Errorf("sent %v, want %d runs", f.sentRuns(), c.runs)
			}
		})
	}
}

// Runs that are lost for another cause than a crash don't count.
func TestLostRunsAreRepeated(t *testing.T) {
	f := newFixture(t, "s1", "s2")
	f.submit(job("a", 1), 1)
	for run := uint64(1); run <= 4; run++ {
		f.endRunAfter(f.sentRuns()[fmt.Sprintf("a.0.0.0/%d", run)], "a.0.0.0", run, yuccawire.RunEnd_RUN_END_LOST, 10*time.Millisecond)
	}
	if f.sentRuns()["a.0.0.0/5"] == "" {
		t.Errorf("sent %v, want the fifth run", f.sentRuns())
	}
}
