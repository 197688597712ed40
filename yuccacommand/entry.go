package yuccacommand

import (
	"github.com/yuccaturn/yuccaturn/yuccaentry"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccamux"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

type entryCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (entryCommand) Help() string {
	return "Example: yuccaturn entry --settings examples/loopback/entry-1.jsonc"
}

// Run serves the entry until SIGINT or SIGTERM.
func (c *entryCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleEntry, c.Settings)
	if err != nil {
		return err
	}
	p := newProcess(settings, o)
	network := yuccamux.New(yuccamux.Options{})
	defer network.Close()
	metrics := yuccametric.New("yuccaturn")
	metrics.Publish()
	entry := yuccaentry.New(yuccaentry.Options{
		Network:     network,
		Self:        newNode(settings, yuccawire.Role_ROLE_ENTRY, settings.Entry.Listen),
		Controls:    settings.Entry.Controls,
		Random:      newRandom(),
		Metrics:     metrics,
		Logger:      p.logger,
		Suspensions: yuccasuspend.NewMonitor(),
	})
	p.drain = entry.Drain
	p.add(entry, entry.Lease(),
		yuccaserver.New(settings.Entry.Callers, entry.Handler()),
		yuccaserver.New(settings.Entry.Operators, yuccaserver.WithVars(entry.OperatorHandler())))
	return p.run()
}

func newNode(settings *yuccasettings.Settings, role yuccawire.Role, address string) *yuccawire.Node {
	return &yuccawire.Node{
		Name: settings.Process.Name, Role: role, DataCentre: settings.Process.DataCentre,
		Address: address, Incarnation: newIncarnation(),
	}
}
