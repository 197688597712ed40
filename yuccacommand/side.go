package yuccacommand

import (
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccamux"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
	"github.com/yuccaturn/yuccaturn/yuccaside"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

type sideCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (sideCommand) Help() string {
	return "Example: yuccaturn side --settings examples/loopback/side-cusco-1.jsonc"
}

// Run serves the side until SIGINT or SIGTERM.
func (c *sideCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleSide, c.Settings)
	if err != nil {
		return err
	}
	p := newProcess(settings, o)
	network := yuccamux.New(yuccamux.Options{})
	defer network.Close()
	metrics := yuccametric.New("yuccaturn")
	metrics.Publish()
	side := yuccaside.New(yuccaside.Options{
		Network:        network,
		Self:           newNode(settings, yuccawire.Role_ROLE_SIDE, settings.Side.Listen),
		Controls:       settings.Side.Controls,
		Runner:         yuccaside.NewHTTPRunner(),
		Retention:      settings.Side.Retention,
		MaxResultBytes: settings.Side.MaxResultBytes,
		Random:         newRandom(),
		Metrics:        metrics,
		Logger:         p.logger,
		Suspensions:    yuccasuspend.NewMonitor(),
	})
	p.drain = side.Drain
	p.add(side, side.Lease(),
		yuccaserver.New(settings.Side.Targets, side.Handler()),
		yuccaserver.New(settings.Side.Operators, yuccaserver.WithVars(side.OperatorHandler())))
	return p.run()
}
