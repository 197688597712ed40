package yuccacommand

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalocal"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
)

const (
	// localStartTimeout limits the setup of the local system, and its drain after
	// the demo.
	localStartTimeout = 20 * time.Second
)

type localCommand struct {
	Settings string `help:"Settings file." default:"examples/local.jsonc" placeholder:"FILE"`
	Demo     bool   `help:"Submit the example job, print its results, and stop."`
}

// Help returns the detailed help text for kong.
func (localCommand) Help() string {
	return "Example: yuccaturn local --demo"
}

// Run serves the system until SIGINT or SIGTERM, or until the demo is complete.
func (c *localCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleLocal, c.Settings)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "yuccaturn-local-")
	if err != nil {
		return merry.Prepend(err, "creating the data folder")
	}
	defer os.RemoveAll(folder)
	p := newProcess(settings, o)
	l := settings.Local
	system, err := yuccalocal.New(yuccalocal.Options{
		DataFolder: folder, Service: l.Service, DataCentres: l.DataCentres, Entries: l.Entries,
		SidesPerDataCentre: l.SidesPerDataCentre, Slots: l.Slots, Sleep: l.Sleep, Logger: p.logger,
	})
	if err != nil {
		return err
	}
	defer system.Close()
	if c.Demo {
		return runDemo(o, system, l)
	}
	setup := &localSetup{system: system, settings: l, logger: p.logger}
	p.drain = system.Drain
	p.add(system.Supervisor(), setup)
	return p.run()
}

// localSetup is the service that applies the document to a started system and
// logs the addresses of the system.
type localSetup struct {
	system   *yuccalocal.System
	settings *yuccasettings.Local
	logger   *slog.Logger
}

// Serve sets up the system, then waits until the context ends.
func (s *localSetup) Serve(ctx context.Context) error {
	callers, err := startLocal(ctx, s.system, s.settings)
	if err != nil {
		return err
	}
	operators, err := s.system.OperatorAddress(ctx)
	if err != nil {
		return err
	}
	s.logger.Info("ready", "callers", callers, "operators", operators)
	<-ctx.Done()
	return ctx.Err()
}

// startLocal applies the document, waits until the entries can serve callers, and
// returns the addresses for callers.
func startLocal(ctx context.Context, system *yuccalocal.System, l *yuccasettings.Local) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, localStartTimeout)
	defer cancel()
	address, err := system.OperatorAddress(ctx)
	if err != nil {
		return nil, err
	}
	document, err := os.ReadFile(l.Document)
	if err != nil {
		return nil, merry.Prepend(err, "reading the document")
	}
	if err := applyDocument(ctx, yuccaclient.New(address, "local"), l.Document, document); err != nil {
		return nil, err
	}
	if err := system.AwaitReady(ctx); err != nil {
		return nil, err
	}
	return system.CallerAddresses(ctx)
}

// applyDocument applies the sections of a document to a control group without any
// sections.
func applyDocument(ctx context.Context, client *yuccaclient.Client, file string, document []byte) error {
	if _, err := yuccadocument.Parse(file, document); err != nil {
		return err
	}
	for _, section := range []string{yuccadocument.SectionDataCentres, yuccadocument.SectionServices, yuccadocument.SectionLimits} {
		body, err := yuccadocument.ExtractSection(file, document, section)
		if err != nil {
			return err
		}
		if err := applyInitialSection(ctx, client, section, body); err != nil {
			return merry.Prependf(err, "applying section %s", section)
		}
	}
	return nil
}

// applyInitialSection applies the first version of a section. It retries while
// the control doesn't answer or the group has no leader.
func applyInitialSection(ctx context.Context, client *yuccaclient.Client, section string, body []byte) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		_, err := client.ApplySection(ctx, section, 0, "local-"+section, body)
		if err == nil || exitCode(err) != ExitUnreachable {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-ticker.C:
		}
	}
}

// runDemo runs the system until the example job is complete, then drains it.
func runDemo(o *output, system *yuccalocal.System, l *yuccasettings.Local) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := system.Supervisor().ServeBackground(ctx)
	err := submitDemoJob(ctx, o, system, l)
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), localStartTimeout)
	defer cancelDrain()
	if aborted := system.Drain(drainCtx); aborted > 0 {
		o.printf("cut work in progress: %d\n", aborted)
	}
	cancel()
	<-stopped
	return err
}

func submitDemoJob(ctx context.Context, o *output, system *yuccalocal.System, l *yuccasettings.Local) error {
	callers, err := startLocal(ctx, system, l)
	if err != nil {
		return err
	}
	body, err := readJob(l.Job)
	if err != nil {
		return err
	}
	return submit(ctx, o, yuccaclient.New(callers[0], ""), body, false)
}

// readJob reads a job file. It sets submitted_at to the current time if the file
// lacks it.
func readJob(file string) ([]byte, error) {
	job, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Prepend(err, "reading the job")
	}
	return setSubmittedAt(file, job, time.Now())
}
