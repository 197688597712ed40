package yuccacommand

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
)

const (
	// traceFlushTimeout limits the export of the remaining spans at exit.
	traceFlushTimeout = 2 * time.Second
	// serviceStopTimeout limits the wait for each service after the drain.
	serviceStopTimeout = 10 * time.Second
)

// process is a long-running command whose services run under a supervisor.
type process struct {
	settings *yuccasettings.Settings
	logger   *slog.Logger
	services []suture.Service
	// servers stop before the services that their requests need.
	servers []*yuccaserver.Server
	// drain finishes the work in progress and returns zero. If the context ends
	// first, it returns the number of jobs or tasks that are still open, or 1 if that
	// is not known. Optional.
	drain func(ctx context.Context) int
}

func newProcess(settings *yuccasettings.Settings, o *output) *process {
	logger := settings.Log.Logger(o.stderr).With("process", settings.Process.Name)
	slog.SetDefault(logger)
	return &process{settings: settings, logger: logger}
}

// add registers services that run starts.
func (p *process) add(services ...suture.Service) {
	for _, s := range services {
		if server, ok := s.(*yuccaserver.Server); ok {
			p.servers = append(p.servers, server)
			continue
		}
		p.services = append(p.services, s)
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// newIncarnation returns the incarnation of this process: the start time in Unix
// nanoseconds, so that a restarted process has a higher one.
func newIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// run serves until SIGINT or SIGTERM, then drains the process. It returns an
// error if the supervisor stops before that.
func (p *process) run() error {
	flush, err := yuccatrace.Install(context.Background(), p.settings.Trace.Options(p.settings.Process.Name))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	err = p.serve(signals)
	flushCtx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	return errors.Join(err, flush(flushCtx))
}

func (p *process) serve(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	supervisor := suture.New(p.settings.Process.Name, suture.Spec{
		EventHook: p.logEvent, PassThroughPanics: true, Timeout: serviceStopTimeout,
	})
	for _, s := range p.services {
		supervisor.Add(s)
	}
	tokens := make([]suture.ServiceToken, 0, len(p.servers))
	for _, s := range p.servers {
		tokens = append(tokens, supervisor.Add(s))
	}
	stopped := supervisor.ServeBackground(ctx)
	p.logger.Info("started")
	select {
	case err := <-stopped:
		return merry.Prepend(err, "supervisor stopped unexpectedly")
	case s := <-signals:
		p.logger.Info("stopping", "signal", s.String())
	}
	p.drainUntilSignal(signals)
	for _, token := range tokens {
		_ = supervisor.RemoveAndWait(token, serviceStopTimeout)
	}
	cancel()
	<-stopped
	p.logger.Info("stopped")
	return nil
}

// drainUntilSignal drains the process and answers the requests in progress. A second
// signal or the drain timeout of the settings aborts the remaining work.
func (p *process) drainUntilSignal(signals <-chan os.Signal) {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Process.DrainTimeout)
	defer cancel()
	d := &drainer{process: p, done: make(chan struct{})}
	go d.run(ctx)
	select {
	case <-d.done:
	case s := <-signals:
		p.logger.Warn("second signal received, aborting the drain", "signal", s.String())
		cancel()
		<-d.done
	}
}

func (p *process) logDrained(aborted int) {
	if aborted > 0 {
		p.logger.Warn("work in progress aborted", "count", aborted)
		return
	}
	p.logger.Info("drained")
}

// drainer drains a process in a goroutine.
type drainer struct {
	process *process
	done    chan struct{}
}

func (d *drainer) run(ctx context.Context) {
	defer close(d.done)
	p := d.process
	for _, s := range p.servers {
		s.CloseAfterResponse()
	}
	if p.drain != nil {
		p.logDrained(p.drain(ctx))
	}
	var finishing sync.WaitGroup
	var refused atomic.Int64
	for _, s := range p.servers {
		finishing.Go(func() { refused.Add(int64(s.Finish(ctx))) })
	}
	finishing.Wait()
	if n := refused.Load(); n > 0 {
		p.logger.Warn("requests refused that were not read to their end in time", "count", n)
	}
}

func (p *process) logEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServiceTerminate:
		p.logger.Error("service stopped", "service", e.ServiceName, "error", e.Err, "restarting", e.Restarting)
	case suture.EventStopTimeout:
		p.logger.Warn("service did not stop in time", "service", e.ServiceName)
	case suture.EventBackoff:
		p.logger.Warn("services fail too often, backing off")
	}
}
