package yuccaload

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

const (
	// changeTimeout limits the retries of a change of a data centre,
	// changeRetryInterval is the pause between them.
	changeTimeout       = 5 * time.Second
	changeRetryInterval = 200 * time.Millisecond
)

// arrival is a job in the schedule: its arrival time since the start of the run,
// and the run times of its tasks.
type arrival struct {
	at    time.Duration
	tasks []time.Duration
}

// newSchedule draws all arrivals of a run, sorted by time: a Poisson process, and
// bursts of jobs that arrive at once.
func newSchedule(s *yuccasettings.Workload, random *rand.Rand) []arrival {
	var schedule []arrival
	mean := float64(time.Second) / s.JobsPerSecond
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * mean)
		if at >= s.Duration {
			break
		}
		schedule = append(schedule, arrival{at: at, tasks: drawTasks(s, random)})
	}
	for _, burst := range s.Bursts {
		for range burst.Jobs {
			schedule = append(schedule, arrival{at: burst.At, tasks: drawTasks(s, random)})
		}
	}
	slices.SortStableFunc(schedule, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return schedule
}

// drawTasks draws the run times of a job's tasks from a log-normal distribution.
func drawTasks(s *yuccasettings.Workload, random *rand.Rand) []time.Duration {
	tasks := make([]time.Duration, s.MinTasks+random.IntN(s.MaxTasks-s.MinTasks+1))
	for i := range tasks {
		run := float64(s.MedianRun) * math.Exp(s.RunSpread*random.NormFloat64())
		tasks[i] = min(time.Duration(run), s.MaxRun).Round(time.Microsecond)
	}
	return tasks
}

// change is an action at a fixed time after the start of the run.
type change struct {
	at    time.Duration
	apply func(ctx context.Context)
}

// startChanges schedules the waves of cancellations and the changes of data
// centres. The returned group waits until all of them are complete.
func (r *Run) startChanges(ctx context.Context) *sync.WaitGroup {
	control := yuccaclient.New(r.settings.Control, "load")
	var changes []change
	for _, dc := range r.settings.DataCentres {
		id := fmt.Sprintf("load-%s-%s", r.name, dc.At)
		changes = append(changes, change{at: dc.At, apply: func(ctx context.Context) {
			if err := setDataCentre(ctx, control, dc, id); err != nil {
				fmt.Fprintf(r.progress, "data centre %s was not changed: %v\n", dc.Name, err)
			}
		}})
	}
	for _, wave := range r.settings.Cancellations {
		changes = append(changes, change{at: wave.At, apply: func(ctx context.Context) { r.cancel(ctx, wave.Share) }})
	}
	group := new(sync.WaitGroup)
	for _, c := range changes {
		t := &timedChange{change: c, startedAt: r.startedAt, group: group}
		group.Add(1)
		go t.run(ctx)
	}
	return group
}

// setDataCentre retries the same request until it succeeds or changeTimeout has
// passed.
func setDataCentre(ctx context.Context, control *yuccaclient.Client, dc yuccasettings.DataCentreChange, id string) error {
	deadline := time.Now().Add(changeTimeout)
	for {
		_, err := control.SetDataCentre(ctx, dc.Name, dc.Drained, id)
		if err == nil || time.Now().After(deadline) || !sleepUntil(ctx, time.Now().Add(changeRetryInterval)) {
			return err
		}
	}
}

// timedChange applies a change at its scheduled time.
type timedChange struct {
	change
	startedAt time.Time
	group     *sync.WaitGroup
}

func (t *timedChange) run(ctx context.Context) {
	defer t.group.Done()
	if sleepUntil(ctx, t.startedAt.Add(t.at)) {
		t.apply(ctx)
	}
}

// cancel cancels a share of the jobs in progress concurrently.
func (r *Run) cancel(ctx context.Context, share float64) {
	r.mu.Lock()
	var jobs []*job
	for _, j := range r.inFlight {
		if len(jobs) < int(share*float64(len(r.inFlight))) {
			jobs = append(jobs, j)
		}
	}
	r.mu.Unlock()
	var group sync.WaitGroup
	for _, j := range jobs {
		group.Go(func() { _, _, _ = j.client.Cancel(ctx, j.team, j.id) })
	}
	group.Wait()
}
