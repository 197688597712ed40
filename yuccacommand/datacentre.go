package yuccacommand

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccacontrol"
)

// drainPollInterval is how often --wait queries the state of a data centre.
const drainPollInterval = 100 * time.Millisecond

type dataCentreCommands struct {
	List dataCentreList `cmd:"" help:"List the data centres."`
	Out  dataCentreOut  `cmd:"" help:"Take a data centre out: nothing starts there any more."`
	In   dataCentreIn   `cmd:"" help:"Bring a data centre back."`
}

type dataCentreList struct {
	controlFlags
	JSON bool `name:"json" help:"Print JSON."`
}

// Help returns the detailed help text for kong.
func (dataCentreList) Help() string {
	return "Example: yuccaturn data-centre list"
}

// Run prints the data centres and their states.
func (c *dataCentreList) Run(o *output) error {
	dataCentres, err := c.client().DataCentres(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(o.stdout).Encode(dataCentres)
	}
	for _, dc := range dataCentres {
		o.printf("%s: %s\n", dc.Name, dataCentreState(dc))
	}
	return nil
}

func dataCentreState(dc yuccacontrol.DataCentreStatus) string {
	switch {
	case !dc.Drained:
		return "in"
	case dc.Stopped:
		return "out, nothing can start there"
	case !dc.Settled:
		return "out, waiting for leases that a former leader granted"
	}
	return "out, waiting for " + strings.Join(dc.PendingSides, ", ")
}

type dataCentreOut struct {
	controlFlags
	RequestID string        `help:"Resend a request under the same id to get its first answer." placeholder:"ID"`
	Wait      time.Duration `help:"Wait at most this long until nothing there can start a task." placeholder:"DURATION"`
	JSON      bool          `name:"json" help:"Print JSON."`
	Name      string        `arg:"" help:"The data centre."`
}

// Help returns the detailed help text for kong.
func (dataCentreOut) Help() string {
	return "Returns when the change is committed, with --wait when it holds everywhere.\n\nExample: yuccaturn data-centre out cusco --wait 10s"
}

// Run drains the data centre. With --wait, it also waits until no task can start
// there.
func (c *dataCentreOut) Run(o *output) error {
	client := c.client()
	if err := setDataCentre(o, client, c.Name, true, c.RequestID, c.JSON); err != nil {
		return err
	}
	if c.Wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	return awaitStopped(ctx, o, client, c.Name, c.JSON)
}

func setDataCentre(o *output, client *yuccaclient.Client, name string, drained bool, requestID string, asJSON bool) error {
	if requestID == "" {
		requestID = rand.Text()
	}
	accepted, err := client.SetDataCentre(context.Background(), name, drained, requestID)
	if err != nil {
		return merry.Prependf(err, "request %s", requestID)
	}
	return printAccepted(o, accepted, asJSON)
}

// awaitStopped polls the data centre until no task can start there, and prints
// each state on the way unless quiet.
func awaitStopped(ctx context.Context, o *output, client *yuccaclient.Client, name string, quiet bool) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	state := ""
	for {
		dataCentres, err := client.DataCentres(ctx)
		for _, dc := range dataCentres {
			if dc.Name != name {
				continue
			}
			if current := dataCentreState(dc); current != state && !quiet {
				state = current
				o.printf("%s: %s\n", name, state)
			}
			if err == nil && dc.Stopped {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("data centre %q: the change is committed, but the wait ended first", name)
		case <-ticker.C:
		}
	}
}

type dataCentreIn struct {
	controlFlags
	RequestID string `help:"Resend a request under the same id to get its first answer." placeholder:"ID"`
	JSON      bool   `name:"json" help:"Print JSON."`
	Name      string `arg:"" help:"The data centre."`
}

// Help returns the detailed help text for kong.
func (dataCentreIn) Help() string {
	return "Example: yuccaturn data-centre in cusco"
}

// Run ends the drain of the data centre.
func (c *dataCentreIn) Run(o *output) error {
	return setDataCentre(o, c.client(), c.Name, false, c.RequestID, c.JSON)
}
