package yuccacommand

import (
	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadisk"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccamux"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

type controlCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (controlCommand) Help() string {
	return "Example: yuccaturn control --settings examples/loopback/control-1.jsonc"
}

// Run serves the control until SIGINT or SIGTERM.
func (c *controlCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleControl, c.Settings)
	if err != nil {
		return err
	}
	folder, err := yuccadisk.Open(settings.Control.DataFolder)
	if err != nil {
		return err
	}
	defer folder.Close()
	p := newProcess(settings, o)
	if n := folder.TruncatedBytes(); n > 0 {
		p.logger.Warn("torn frame at the end of the log truncated", "bytes", n)
	}
	network := yuccamux.New(yuccamux.Options{})
	defer network.Close()
	metrics := yuccametric.New("yuccaturn")
	metrics.Publish()
	control, err := yuccacontrol.New(yuccacontrol.Options{
		Network:            network,
		Storage:            folder,
		Self:               replicaAddress(yuccasettings.Replica{Name: settings.Process.Name, Listen: settings.Control.Listen, Operators: settings.Control.Operators}),
		DataCentre:         settings.Process.DataCentre,
		ConfiguredReplicas: replicaAddresses(settings.Control.Replicas),
		Random:             newRandom(),
		Metrics:            metrics,
		Logger:             p.logger,
		Suspensions:        yuccasuspend.NewMonitor(),
	})
	if err != nil {
		return err
	}
	p.add(control, yuccaserver.New(settings.Control.Operators, yuccaserver.WithVars(control.Handler())))
	return p.run()
}

func replicaAddress(r yuccasettings.Replica) *yuccawire.ReplicaAddress {
	return &yuccawire.ReplicaAddress{Name: r.Name, Address: r.Listen, OperatorAddress: r.Operators}
}

func replicaAddresses(replicas []yuccasettings.Replica) []*yuccawire.ReplicaAddress {
	addresses := make([]*yuccawire.ReplicaAddress, len(replicas))
	for i, r := range replicas {
		addresses[i] = replicaAddress(r)
	}
	return addresses
}
