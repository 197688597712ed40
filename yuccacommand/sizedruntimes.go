package yuccacommand

import (
	"context"
	"encoding/json"
)

type sizedRunTimes struct {
	sizedOperatorFlags
	JSON bool `name:"json" help:"Print JSON."`
}

// Help returns the detailed help text for kong.
func (sizedRunTimes) Help() string {
	return "Ratios are those of run time to estimate on a worker of usual speed. A queue's ratios are used from 30 runs on.\n\n" +
		"Example: yuccaturn sized run-times --address 127.0.0.1:7491"
}

// Run prints one line for each queue, and one for each worker.
func (c *sizedRunTimes) Run(o *output) error {
	runTimes, err := c.client().RunTimes(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(o.stdout).Encode(runTimes)
	}
	for _, q := range runTimes.Queues {
		o.printf("queue %s: %d runs, ratio %.2f (25%%), %.2f (median), %.2f (75%%), %.2f (99%%); %d runs in other racks, factor %.2f\n",
			q.Queue, q.Runs, q.P25, q.Median, q.P75, q.P99, q.RemoteRuns, q.RackFactor)
	}
	for _, w := range runTimes.Workers {
		o.printf("worker of %s: speed %.2f, %d runs\n", w.Side, w.Speed, w.Runs)
	}
	o.printf("%d queues, %d workers\n", len(runTimes.Queues), len(runTimes.Workers))
	return nil
}
