package yuccacommand

import (
	"cmp"
	"context"
	"encoding/json"
)

type sizedDemand struct {
	sizedOperatorFlags
	JSON bool `name:"json" help:"Print JSON."`
}

// Help returns the detailed help text for kong.
func (sizedDemand) Help() string {
	return "Prints what waits and runs at all entries, by queue and data centre of the callers, as the called entry knows it. " +
		"What an entry has last said counts less from an age of 500 ms on, and not at all from 2 s on.\n\n" +
		"Example: yuccaturn sized demand --address 127.0.0.1:7412"
}

// Run prints one line for each flow and each entry.
func (c *sizedDemand) Run(o *output) error {
	demand, err := c.client().Demand(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(o.stdout).Encode(demand)
	}
	for _, f := range demand.Flows {
		o.printf("queue %s of %s, callers in %s: %.1f cores wait (%.1f here), oldest for %d ms; %.1f run (%.1f here), %.1f%% of all\n",
			cmp.Or(f.Queue, "(others)"), cmp.Or(f.Service, "any service"), f.DataCentre, cores(f.WaitingCPUMilli), cores(f.Own.WaitingCPUMilli),
			f.OldestMS, cores(f.RunningCPUMilli), cores(f.Own.RunningCPUMilli), f.SharePercent)
	}
	for _, e := range demand.Entries {
		o.printf("entry %s in %s: %d queues, %.1f cores wait, %.1f run; %d ms old, counts %d%%\n",
			e.Entry, e.DataCentre, e.Queues, cores(e.WaitingCPUMilli), cores(e.RunningCPUMilli), e.AgeMS, e.WeightPercent)
	}
	o.printf("%d flows at %d entries, reports every %d ms\n", len(demand.Flows), len(demand.Entries), demand.IntervalMS)
	return nil
}

func cores(cpuMilli int64) float64 { return float64(cpuMilli) / 1000 }
