package yuccacommand

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"

	"github.com/yuccaturn/yuccaturn/yuccaload"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

type loadCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
	JSON     bool   `name:"json" help:"Print the report as JSON."`
}

// Help shows an example.
func (loadCommand) Help() string {
	return "Exits with 1 if an answer was partial or a task started twice.\n\nExample: yuccaturn load --settings examples/andina/load.jsonc"
}

// Run drives the system and prints the report.
func (c *loadCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleLoad, c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := yuccaload.New(settings.Load, o.err).Do(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(o.out).Encode(report)
	} else {
		report.Print(o.out)
	}
	if report.Partial > 0 || report.StartTwice > 0 {
		return errSilent
	}
	return err
}
