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
	"github.com/yuccaturn/yuccaturn/yuccalog"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

const (
	// memoryShare is the part of the memory limit at which the collector works
	// harder; the rest is for stacks, buffers of the kernel and the runtime.
	memoryLimitShare = 0.6
	// collectPercent keeps the heap small, which is a few megabytes here, for some
	// more work of the collector.
	gcPercent = 50
	// settingsInterval is how often the settings file is looked at: it may change
	// without a signal.
	settingsPollInterval = time.Second
	// stopMargin is kept between the end of a drain and the end of the grace.
	shutdownMargin = 1200 * time.Millisecond
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
	settings, err := yuccaplatform.ParseSettings(c.File, text)
	if err != nil {
		return err
	}
	o.printf("%s in %s, seeds %v, disk %q\n", settings.Name, settings.DataCentre, settings.Seeds, settings.DataFolder)
	return nil
}

// deployed is what both roles on the users' platform share.
type deployedProcess struct {
	process  *process
	settings *settingsWatcher
	metrics  *yuccametric.Set
	logger   *slog.Logger
}

func newDeployedProcess(o *output) (*deployedProcess, error) {
	settings, err := yuccaplatform.LoadSettings()
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryLimitShare * (1 << 20)))
	}
	metrics := yuccametric.New("yuccaturn")
	metrics.Publish()
	writer := yuccalog.New(o.out, metrics)
	logger := slog.New(slog.NewJSONHandler(writer, nil)).With("process", settings.Name)
	slog.SetDefault(logger)
	p := &process{
		settings: &yuccasettings.Settings{Process: yuccasettings.Process{
			Name: settings.Name, DataCentre: settings.DataCentre, DrainTimeout: settings.ShutdownGrace - shutdownMargin,
		}},
		logger: logger,
	}
	watcher := &settingsWatcher{settings: settings, logger: logger}
	p.add(writer, watcher, yuccaserver.New(settings.MetricsAddress(), metricsHandler()))
	return &deployedProcess{process: p, settings: watcher, metrics: metrics, logger: logger}, nil
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// currentSettings reads the settings file again when it changes. Only the seeds
// are taken up while the process runs.
type settingsWatcher struct {
	logger *slog.Logger

	mu       sync.Mutex
	settings *yuccaplatform.Settings
	modTime  time.Time
}

func (c *settingsWatcher) get() *yuccaplatform.Settings {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings
}

// Serve looks at the file until the context ends.
func (c *settingsWatcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
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
			c.modTime = time.Time{}
			c.reload()
		case <-ticker.C:
			c.reload()
		}
	}
}

func (c *settingsWatcher) reload() {
	info, err := os.Stat(yuccaplatform.SettingsPath())
	if err != nil || info.ModTime().Equal(c.modTime) {
		return
	}
	c.modTime = info.ModTime()
	next, err := yuccaplatform.LoadSettings()
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

// place is where this process runs, from the platform's settings.
func (d *deployedProcess) sizedConfig() sizedConfig {
	s := d.settings.get()
	return sizedConfig{
		name: s.Name, dataCentre: s.DataCentre, mesh: s.MeshAddress(), control: s.ControlAddress(), operators: s.OperatorAddress,
		seeds: func() []string { return d.settings.get().MeshSeeds() }, bootstrap: s.Bootstrap, dataFolder: s.DataFolder,
		toleratedLosses: s.ToleratedFailures, maxConfigurationAge: s.MaxConfigurationAge, metrics: d.metrics, logger: d.logger,
	}
}

// Run runs the side until a signal.
func (c *deployedSideCommand) Run(o *output) error {
	d, err := newDeployedProcess(o)
	if err != nil {
		return err
	}
	settings := d.settings.get()
	if !settings.CommandsByCall {
		return errors.New("the worker takes its orders with its reports, which this version does not support")
	}
	driver := d.sizedConfig().addSide(d.process, yuccaplatform.NewWorker(settings, d.logger))
	d.process.add(yuccaserver.New(settings.OperatorAddress, yuccaplatform.NewRegistry(driver, settings, d.logger)))
	return d.process.run()
}

// Run runs the entry until a signal.
func (c *deployedEntryCommand) Run(o *output) error {
	d, err := newDeployedProcess(o)
	if err != nil {
		return err
	}
	settings := d.settings.get()
	edge, err := d.sizedConfig().addEntry(d.process, yuccaplatform.DecodeDocument)
	if err != nil {
		return err
	}
	callers := yuccaserver.New(settings.CallerAddress, yuccaplatform.NewFrontend(edge, d.metrics, d.logger)).
		ListenAfter(edge.AwaitReady).CloseAfterResponseUnless(edge.Ready)
	d.process.drain = func(ctx context.Context) int { return edge.Drain(ctx, callers) }
	d.process.add(callers,
		yuccaserver.New(settings.ReadinessAddress, yuccaplatform.Readiness(edge.Ready)),
		yuccaserver.New(settings.OperatorAddress, yuccaplatform.NewOperators(edge, settings, d.logger)))
	return d.process.run()
}
