package yuccacommand

import (
	"context"
	"errors"
	"expvar"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/yuccaturn/yuccaturn/platform"
	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadisk"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccadriver"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccalog"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccamux"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// memoryShare is the part of the memory limit at which the collector works
	// harder; the rest is for stacks, buffers of the kernel and the runtime.
	memoryShare = 0.6
	// collectPercent keeps the heap small, which is a few megabytes here, for some
	// more work of the collector.
	collectPercent = 50
	// settingsInterval is how often the settings file is looked at: it may change
	// without a signal.
	settingsInterval = time.Second
	// stopMargin is kept between the end of a drain and the end of the grace.
	stopMargin = 1200 * time.Millisecond
	// formPatience is how long a replica waits for the wanted number of voters
	// before it forms a smaller group.
	formPatience = 4 * time.Second
	// controlKeepAlive and controlWriteTimeout notice a silent connection between
	// controls within an election timeout or two.
	controlKeepAlive    = 500 * time.Millisecond
	controlWriteTimeout = time.Second
	// meshKeepAlive ends the connections that a lost peer has left; the mesh itself
	// notices silent links sooner.
	meshKeepAlive = 5 * time.Second
	// replicaPendingBytes bounds what waits for a slow replica.
	replicaPendingBytes = 16 << 20
	// meshPendingBytes bounds what waits for a slow peer: some seconds of orders.
	meshPendingBytes = 2 << 20
	// deployedCompactEntries keeps the log short on the small disks: whole
	// documents of 100 KB make 25 MB.
	deployedCompactEntries = 250
)

type deployedCommands struct {
	Entry deployedEntryCommand `cmd:"" help:"Run an entry, with a control where there is a disk."`
	Side  deployedSideCommand  `cmd:"" help:"Run the process beside a worker that is driven by orders."`
	Check deployedCheckCommand `cmd:"" help:"Check a settings file of the platform."`
}

type deployedEntryCommand struct{}

// Help shows where the settings come from.
func (deployedEntryCommand) Help() string {
	return "The settings file is that of the users' platform, whose path is in the environment."
}

type deployedSideCommand struct{}

type deployedCheckCommand struct {
	File string `arg:"" help:"Settings file." placeholder:"FILE"`
}

// Run checks the file and prints what it says.
func (c *deployedCheckCommand) Run(o *output) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	settings, err := yuccaplatform.Parse(c.File, text)
	if err != nil {
		return err
	}
	o.printf("%s in %s, seeds %v, disk %q\n", settings.Name, settings.DataCentre, settings.Seeds, settings.DataFolder)
	return nil
}

// deployed is what both roles on the users' platform share.
type deployed struct {
	process  *process
	settings *currentSettings
	metrics  *yuccametric.Set
	logger   *slog.Logger
}

func newDeployed(o *output) (*deployed, error) {
	settings, err := yuccaplatform.Load()
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(collectPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryShare * (1 << 20)))
	}
	metrics := yuccametric.New("yuccaturn")
	metrics.Publish()
	writer := yuccalog.New(o.out, metrics)
	logger := slog.New(slog.NewJSONHandler(writer, nil)).With("process", settings.Name)
	slog.SetDefault(logger)
	p := &process{
		settings: &yuccasettings.Settings{Process: yuccasettings.Process{
			Name: settings.Name, DataCentre: settings.DataCentre, DrainTimeout: settings.Grace - stopMargin,
		}},
		logger: logger,
	}
	current := &currentSettings{settings: settings, logger: logger}
	p.add(writer, current, yuccaserver.New(settings.MetricsAddress(), metricsHandler()))
	return &deployed{process: p, settings: current, metrics: metrics, logger: logger}, nil
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// currentSettings reads the settings file again when it changes. Only the seeds
// are taken up while the process runs.
type currentSettings struct {
	logger *slog.Logger

	mu       sync.Mutex
	settings *yuccaplatform.Settings
	changed  time.Time
}

func (c *currentSettings) get() *yuccaplatform.Settings {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings
}

// Serve looks at the file until the context ends.
func (c *currentSettings) Serve(ctx context.Context) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			c.logger.Info("reloads the settings", "signal", "hangup")
			c.changed = time.Time{}
			c.reload()
		case <-ticker.C:
			c.reload()
		}
	}
}

func (c *currentSettings) reload() {
	info, err := os.Stat(yuccaplatform.Path())
	if err != nil || info.ModTime().Equal(c.changed) {
		return
	}
	c.changed = info.ModTime()
	next, err := yuccaplatform.Load()
	if err != nil {
		c.logger.Warn("keeps the settings that it has, the file can't be read", "error", err)
		return
	}
	if slices.Equal(next.Seeds, c.get().Seeds) {
		return
	}
	c.logger.Info("takes up new settings", "seeds", next.Seeds)
	c.mu.Lock()
	c.settings = next
	c.mu.Unlock()
}

func (d *deployed) node(role yuccawire.Role) *yuccawire.Node {
	s := d.settings.get()
	return &yuccawire.Node{
		Name: s.Name, Role: role, DataCentre: s.DataCentre, Address: s.MeshAddress(), Incarnation: incarnation(),
	}
}

func (d *deployed) mesh(options yuccamesh.Options) *yuccamesh.Mesh {
	options.Network = yuccamux.New(yuccamux.Options{KeepAlive: meshKeepAlive, WriteTimeout: meshKeepAlive, MaxPendingBytes: meshPendingBytes})
	options.Seeds = func() []string { return d.settings.get().MeshSeeds() }
	options.Metrics = d.metrics
	options.Logger = d.logger
	return yuccamesh.New(options)
}

// Run runs the side until a signal.
func (c *deployedSideCommand) Run(o *output) error {
	d, err := newDeployed(o)
	if err != nil {
		return err
	}
	settings := d.settings.get()
	if !settings.OrdersByCall {
		return errors.New("the worker takes its orders with its reports, which this version does not support")
	}
	mesh := d.mesh(yuccamesh.Options{Self: d.node(yuccawire.Role_ROLE_SIDE)})
	driver := yuccadriver.New(yuccadriver.Options{
		Mesh: mesh, Caller: yuccaplatform.NewWorker(settings, d.logger), Watch: yuccasuspend.New(),
		Metrics: d.metrics, Logger: d.logger,
	})
	d.process.drain = driver.Drain
	d.process.add(mesh, driver, yuccaserver.New(settings.Operators, yuccaplatform.NewRegistry(driver, settings, d.logger)))
	return d.process.run()
}

// Run runs the entry until a signal.
func (c *deployedEntryCommand) Run(o *output) error {
	d, err := newDeployed(o)
	if err != nil {
		return err
	}
	settings := d.settings.get()
	node := d.node(yuccawire.Role_ROLE_ENTRY)
	var folder *yuccadisk.Folder
	var address *yuccawire.ReplicaAddress
	if settings.DataFolder != "" {
		if folder, err = yuccadisk.Open(settings.DataFolder); err != nil {
			return err
		}
		address = &yuccawire.ReplicaAddress{
			Name: settings.Name, Address: settings.ControlAddress(), OperatorAddress: settings.Operators, Id: folder.ID(),
		}
	}
	var edge *yuccaedge.Edge
	mesh := d.mesh(yuccamesh.Options{
		Self: node, Listen: true, Replica: address,
		Sections: func() []*yuccawire.Section { return edge.Sections() },
	})
	control := yuccamux.New(yuccamux.Options{
		KeepAlive: controlKeepAlive, WriteTimeout: controlWriteTimeout, MaxPendingBytes: replicaPendingBytes,
	})
	lease := yuccalease.New(yuccalease.Options{
		Network: control, Self: node, Sections: yuccadocument.WholeSections, Random: random(), Logger: d.logger,
		Discover: func() []string { return controlsOf(mesh, address) },
	})
	var replica *yuccaedge.Replica
	if folder != nil {
		f := &formation{settings: settings, mesh: mesh, self: address, began: time.Now()}
		replica = yuccaedge.NewReplica(folder, func() (*yuccadisk.Folder, error) { return yuccadisk.Open(settings.DataFolder) },
			yuccacontrol.Options{
				Network: control, Self: address, DataCentre: settings.DataCentre, Discover: mesh.Replicas, MayForm: f.mayForm,
				Recovered: func(sections []*yuccawire.Section) { edge.Recovered(sections) }, Voters: 2*settings.LossesBorne + 1, CompactEntries: deployedCompactEntries, Random: random(),
				Watch: yuccasuspend.New(), Metrics: d.metrics, Logger: d.logger,
			})
		d.process.add(replica)
	}
	edge = yuccaedge.New(yuccaedge.Options{
		Mesh: mesh, Lease: lease, Replica: replica, Decode: yuccaplatform.DecodeDocument, FreshFor: settings.ConfigurationBound,
		Broker: yuccabroker.New(yuccabroker.Options{Name: settings.Name, Random: random(), Metrics: d.metrics, Logger: d.logger}),
		Watch:  yuccasuspend.New(), Metrics: d.metrics, Logger: d.logger,
	})
	callers := yuccaserver.New(settings.Callers, yuccaplatform.NewFrontend(edge, d.metrics, d.logger)).ListenAfter(edge.AwaitReady)
	d.process.drain = func(ctx context.Context) int { return edge.Drain(ctx, callers.Refuse) }
	d.process.add(mesh, lease, edge, callers,
		yuccaserver.New(settings.Readiness, yuccaplatform.Readiness(edge.Ready)),
		yuccaserver.New(settings.Operators, yuccaplatform.NewOperators(edge, settings, d.logger)))
	return d.process.run()
}

// controlsOf lists the addresses of the controls that are known.
func controlsOf(mesh *yuccamesh.Mesh, own *yuccawire.ReplicaAddress) []string {
	var addresses []string
	if own != nil {
		addresses = append(addresses, own.GetAddress())
	}
	for _, r := range mesh.Replicas() {
		addresses = append(addresses, r.GetAddress())
	}
	return addresses
}

// formation says which replica may form the group, and when.
type formation struct {
	settings *yuccaplatform.Settings
	mesh     *yuccamesh.Mesh
	self     *yuccawire.ReplicaAddress
	began    time.Time
}

// mayForm gives the licence to the first replica among the seeds, which all
// processes know when the system starts for the first time. Where no seed has a
// disk it is the first of all.
func (f *formation) mayForm() (may, fewer bool) {
	if !f.settings.Bootstrap {
		return false, false
	}
	known := make(map[string]bool)
	for _, node := range f.mesh.Nodes() {
		known[node.GetAddress()] = true
	}
	known[f.settings.MeshAddress()] = true
	for _, seed := range f.settings.MeshSeeds() {
		if !known[seed] {
			return false, false
		}
	}
	replicas := append(f.mesh.Replicas(), f.self)
	first := yuccaedge.FormedBy(replicas, f.settings.Seeds)
	patient := time.Since(f.began) < formPatience
	return first.GetName() == f.self.GetName(), !patient
}
