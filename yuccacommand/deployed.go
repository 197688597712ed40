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
	"github.com/yuccaturn/yuccaturn/yuccalog"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

const (
	// memoryLimitShare is the part of the process's memory limit that is set as the
	// Go memory limit, near which the garbage collector runs more often. The rest is
	// left for stacks, kernel buffers and the runtime.
	memoryLimitShare = 0.6
	// gcPercent keeps the heap, a few megabytes, small at the cost of more garbage
	// collections.
	gcPercent = 50
	// settingsPollInterval is how often the settings file is checked for changes: it
	// can change without a SIGHUP.
	settingsPollInterval = time.Second
	// shutdownMargin is the time between the end of the drain and the end of the
	// platform's grace period.
	shutdownMargin = 1200 * time.Millisecond
)

type deployedCommands struct {
	Entry deployedEntryCommand `cmd:"" help:"Run an entry, with a control where there is a disk."`
	Side  deployedSideCommand  `cmd:"" help:"Run the process beside a worker that is driven by orders."`
	Check deployedCheckCommand `cmd:"" help:"Check a settings file of the platform."`
}

type deployedEntryCommand struct{}

// Help returns the help text, which names the source of the settings.
func (deployedEntryCommand) Help() string {
	return "The settings file is that of the users' platform, whose path is in the environment."
}

type deployedSideCommand struct{}

type deployedCheckCommand struct {
	File string `arg:"" help:"Settings file." placeholder:"FILE"`
}

// Run parses the file and prints its main settings.
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

// deployedProcess is the common part of the roles deployed on the users' platform.
// Their settings come from the platform's file, see yuccaplatform.
type deployedProcess struct {
	process  *process
	settings *settingsWatcher
	metrics  *yuccametric.Set
	logger   *slog.Logger
}

func newDeployedProcess(o *output) (*deployedProcess, error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything that takes time, as a SIGHUP would end the process
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
	writer := yuccalog.New(o.stdout, metrics)
	logger := slog.New(slog.NewJSONHandler(writer, nil)).With("process", settings.Name)
	slog.SetDefault(logger)
	p := &process{
		settings: &yuccasettings.Settings{Process: yuccasettings.Process{
			Name: settings.Name, DataCentre: settings.DataCentre, DrainTimeout: settings.ShutdownGrace - shutdownMargin,
		}},
		logger: logger,
	}
	watcher := &settingsWatcher{settings: settings, hangups: hangups, logger: logger}
	p.add(writer, watcher, yuccaserver.New(settings.MetricsAddress(), metricsHandler()))
	return &deployedProcess{process: p, settings: watcher, metrics: metrics, logger: logger}, nil
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// settingsWatcher reloads the settings file when it changes and on SIGHUP. While
// the process runs, only changed seeds take effect.
type settingsWatcher struct {
	hangups <-chan os.Signal
	logger  *slog.Logger

	mu       sync.Mutex
	settings *yuccaplatform.Settings
	modTime  time.Time
}

func (w *settingsWatcher) get() *yuccaplatform.Settings {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settings
}

// Serve checks the file periodically until the context ends.
func (w *settingsWatcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.hangups:
			w.logger.Info("reloading the settings", "signal", "hangup")
			w.modTime = time.Time{}
			w.reload()
		case <-ticker.C:
			w.reload()
		}
	}
}

func (w *settingsWatcher) reload() {
	info, err := os.Stat(yuccaplatform.SettingsPath())
	if err != nil || info.ModTime().Equal(w.modTime) {
		return
	}
	w.modTime = info.ModTime()
	next, err := yuccaplatform.LoadSettings()
	if err != nil {
		w.logger.Warn("settings have errors, only their seeds are used", "error", err)
		if next == nil || len(next.Seeds) == 0 {
			return
		}
	}
	if slices.Equal(next.Seeds, w.get().Seeds) {
		return
	}
	w.logger.Info("settings reloaded", "seeds", next.Seeds)
	changed := *w.get()
	changed.Seeds = next.Seeds
	w.mu.Lock()
	w.settings = &changed
	w.mu.Unlock()
}

// sizedConfig returns the configuration of this process from the platform's
// settings.
func (d *deployedProcess) sizedConfig() sizedConfig {
	s := d.settings.get()
	scheduling := yuccabroker.DefaultScheduling()
	scheduling.RemoteRackFactor = s.RemoteRackFactor
	return sizedConfig{
		scheduling: scheduling,
		name:       s.Name, dataCentre: s.DataCentre, mesh: s.MeshAddress(), control: s.ControlAddress(), operators: s.OperatorAddress,
		seeds: func() []string { return d.settings.get().MeshSeeds() }, bootstrap: s.Bootstrap, dataFolder: s.DataFolder,
		toleratedFailures: s.ToleratedFailures, maxConfigurationAge: s.MaxConfigurationAge, metrics: d.metrics, logger: d.logger,
	}
}

// Run serves the side until SIGINT or SIGTERM.
func (c *deployedSideCommand) Run(o *output) error {
	d, err := newDeployedProcess(o)
	if err != nil {
		return err
	}
	settings := d.settings.get()
	if !settings.CommandsByCall {
		return errors.New("the worker takes its orders with its reports, which this version does not support")
	}
	driver := d.sizedConfig().addSide(d.process, yuccaplatform.NewWorkerClient(settings, d.logger))
	d.process.add(yuccaserver.New(settings.OperatorAddress, yuccaplatform.NewRegistry(driver, settings, d.logger)))
	return d.process.run()
}

// Run serves the entry until SIGINT or SIGTERM.
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
