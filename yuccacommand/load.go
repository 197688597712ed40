package yuccacommand

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaload"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

type loadCommands struct {
	Jobs  loadJobsCommand  `cmd:"" help:"Send jobs and measure their answers."`
	Sized loadSizedCommand `cmd:"" help:"Send jobs whose tasks have sizes and measure what callers get."`
	Nodes loadNodesCommand `cmd:"" help:"Hold the leases of many light nodes and measure what they cost."`
}

type loadJobsCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
	JSON     bool   `name:"json" help:"Print the report as JSON."`
}

// Help returns the detailed help text for kong.
func (loadJobsCommand) Help() string {
	return "Exits with 1 if an answer was partial or a task started twice.\n\nExample: yuccaturn load jobs --settings examples/andina/load.jsonc"
}

// Run generates the load and prints the report.
func (c *loadJobsCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleLoad, c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := yuccaload.New(settings.Load, o.stderr).Do(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(o.stdout).Encode(report)
	} else {
		report.Print(o.stdout)
	}
	if report.Partial > 0 || report.StartedTwice > 0 {
		return errReported
	}
	return err
}

type loadNodesCommand struct {
	Controls   []string      `required:"" help:"Addresses at which the control group listens." placeholder:"HOST:PORT"`
	Count      int           `default:"100" help:"Number of nodes."`
	Entries    bool          `help:"Stand for entries, which are told of all members, instead of sides."`
	DataCentre string        `default:"nowhere" help:"Data centre of the nodes."`
	Settle     time.Duration `default:"5s" help:"Time before the measurement."`
	Duration   time.Duration `default:"10s" help:"Length of the measurement."`
	JSON       bool          `name:"json" help:"Print the report as JSON."`
}

// Help returns the detailed help text for kong.
func (loadNodesCommand) Help() string {
	return "Example: yuccaturn load nodes --controls 127.0.0.1:7101 --count 1000"
}

// Run keeps the leases renewed and prints the traffic that they cause.
func (c *loadNodesCommand) Run(o *output) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report := yuccaload.Nodes(ctx, yuccaload.NodesOptions{
		Controls: c.Controls, Count: c.Count, Entries: c.Entries, DataCentre: c.DataCentre,
		Settle: c.Settle, Duration: c.Duration,
	})
	if c.JSON {
		return json.NewEncoder(o.stdout).Encode(report)
	}
	o.printf("%d nodes, %d leased: %.2f updates, %.0f bytes sent and %.0f received a second each\n",
		report.Count, report.Leased, report.Updates, report.Sent, report.Received)
	return nil
}

type loadSizedCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
	JSON     bool   `name:"json" help:"Print the report as JSON."`
}

// Help returns the detailed help text for kong.
func (loadSizedCommand) Help() string {
	return "Example: yuccaturn load sized --settings examples/sized/load.jsonc"
}

// Run generates the load and prints the report.
func (c *loadSizedCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleSizedLoad, c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report := yuccaload.NewSized(settings.SizedLoad).Do(ctx)
	if c.JSON {
		return json.NewEncoder(o.stdout).Encode(report)
	}
	report.Print(o.stdout)
	return nil
}
