package yuccacommand

import (
	"context"
	"encoding/json"
	"fmt"
)

type sizedReservations struct {
	sizedOperatorFlags
	JSON bool `name:"json" help:"Print JSON."`
}

// Help returns the detailed help text for kong.
func (sizedReservations) Help() string {
	return "Capacity is reserved for a task that is too large for the gaps that smaller ones leave. An entry lists its own reservations only.\n\n" +
		"Example: yuccaturn sized reservations --address 127.0.0.1:7491"
}

// Run prints one line for each reservation, and their number.
func (c *sizedReservations) Run(o *output) error {
	reservations, err := c.client().Reservations(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(o.stdout).Encode(reservations)
	}
	for _, r := range reservations {
		forecast := "no forecast"
		if r.ForecastMS != nil {
			forecast = fmt.Sprintf("forecast %d ms", *r.ForecastMS)
		}
		o.printf("%s run %d of %s at %s: %d thousandths of a processor, %d MB, %d accelerators, held for %d ms, %s\n",
			r.Task, r.Run, r.Queue, r.Side, r.CPUMilli, r.MemoryMB, r.Accelerators, r.HeldMS, forecast)
	}
	o.printf("%d reservations\n", len(reservations))
	return nil
}
