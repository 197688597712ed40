package yuccacommand

import (
	"context"
	"encoding/json"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccasettings"
	"github.com/yuccaturn/yuccaturn/yuccasized"
)

type sizedCommands struct {
	Entry  sizedEntryCommand  `cmd:"" help:"Run an entry, with a control where there is a data folder."`
	Side   sizedSideCommand   `cmd:"" help:"Run the process beside a worker that is driven by orders."`
	Worker sizedWorkerCommand `cmd:"" help:"Run a stand-in for a worker."`

	Submit  sizedSubmit  `cmd:"" help:"Submit a job and wait for its answer."`
	Show    sizedShow    `cmd:"" help:"Show how far a job is."`
	Cancel  sizedCancel  `cmd:"" help:"End a job: what has not started never will."`
	Pending sizedPending `cmd:"" help:"Count the jobs of a queue that have not begun."`

	Check    sizedCheck    `cmd:"" help:"Check a document."`
	Apply    sizedApply    `cmd:"" help:"Put a document in force."`
	Document sizedDocument `cmd:"" help:"Print the document in force."`
	Out      sizedOut      `cmd:"" help:"Take a data centre out."`
	Back     sizedBack     `cmd:"" help:"Bring a data centre back."`
	Links    sizedLinks    `cmd:"" help:"List the links of an entry or a side, and how fresh they are."`
	Demand   sizedDemand   `cmd:"" help:"Show what waits and runs at all entries, as an entry knows it."`

	Reservations sizedReservations `cmd:"" help:"List the capacity that an entry has reserved for large tasks."`
	RunTimes     sizedRunTimes     `cmd:"" help:"Show the learned run times of queues and speeds of workers."`
}

type sizedEntryCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (sizedEntryCommand) Help() string {
	return "Example: yuccaturn sized entry --settings examples/sized/entry-1.jsonc"
}

// newSizedConfig returns the configuration of a process that is started with a
// settings file of package yuccasettings.
func newSizedConfig(settings *yuccasettings.Settings, mesh string, seeds []string, p *process) sizedConfig {
	metrics := yuccametric.New("yuccaturn")
	metrics.Publish()
	return sizedConfig{
		name: settings.Process.Name, dataCentre: settings.Process.DataCentre, mesh: mesh,
		seeds: func() []string { return seeds }, metrics: metrics, logger: p.logger,
	}
}

// Run serves the entry until SIGINT or SIGTERM.
func (c *sizedEntryCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleSizedEntry, c.Settings)
	if err != nil {
		return err
	}
	p := newProcess(settings, o)
	e := settings.SizedEntry
	config := newSizedConfig(settings, e.Mesh, e.Seeds, p)
	config.control, config.operators, config.bootstrap, config.dataFolder = e.Control, e.Operators, e.Bootstrap, e.DataFolder
	config.toleratedFailures, config.maxConfigurationAge = e.ToleratedFailures, e.MaxConfigurationAge
	config.scheduling = yuccabroker.Scheduling{
		FairShares: *e.Scheduling.FairShares, AdmissionForecast: *e.Scheduling.AdmissionForecast, LearnedRunTimes: *e.Scheduling.LearnedRunTimes,
		Reservations: *e.Scheduling.Reservations, FailureRates: *e.Scheduling.FailureRates, RemoteRackFactor: e.Scheduling.RemoteRackFactor,
	}
	edge, err := config.addEntry(p, yuccasized.DecodeDocument)
	if err != nil {
		return err
	}
	callers := yuccaserver.New(e.Callers, yuccasized.NewCallers(edge, config.metrics, p.logger)).CloseAfterResponseUnless(edge.Ready)
	operators := yuccasized.NewOperators(edge, yuccasized.OperatorOptions{DataCentres: e.DataCentres, Logger: p.logger})
	p.drain = func(ctx context.Context) int { return edge.Drain(ctx, callers) }
	p.add(callers, yuccaserver.New(e.Operators, yuccaserver.WithVars(operators)))
	return p.run()
}

type sizedSideCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (sizedSideCommand) Help() string {
	return "Example: yuccaturn sized side --settings examples/sized/side-1.jsonc"
}

// Run serves the side until SIGINT or SIGTERM.
func (c *sizedSideCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleSizedSide, c.Settings)
	if err != nil {
		return err
	}
	p := newProcess(settings, o)
	side := settings.SizedSide
	driver := newSizedConfig(settings, side.Listen, side.Seeds, p).addSide(p, yuccasized.NewWorkerClient(side.Worker, p.logger))
	p.add(yuccaserver.New(side.Listen, yuccasized.NewRegistry(driver, p.logger)),
		yuccaserver.New(side.Operators, yuccaserver.WithVars(yuccasized.NewLinks(driver.Links))))
	return p.run()
}

type sizedWorkerCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (sizedWorkerCommand) Help() string {
	return "Example: yuccaturn sized worker --settings examples/sized/worker-1.jsonc"
}

// Run serves the simulated worker until SIGINT or SIGTERM.
func (c *sizedWorkerCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleSizedWorker, c.Settings)
	if err != nil {
		return err
	}
	p := newProcess(settings, o)
	w := settings.SizedWorker
	worker := yuccasized.NewSimulatedWorker(yuccasized.SimulatedWorkerOptions{
		ID: settings.Process.Name, Service: w.Service, CPU: w.CPU, MemoryMB: w.MemoryMB, Side: w.Side, Sleep: w.Sleep, Logger: p.logger,
	})
	p.drain = worker.Drain
	p.add(worker, yuccaserver.New(w.Listen, worker.Handler()))
	return p.run()
}

// sizedCallerFlags is the address flag of commands that call the callers' API
// of an entry.
type sizedCallerFlags struct {
	Address string `help:"Callers' address of any entry." default:"127.0.0.1:7411" placeholder:"HOST:PORT"`
}

func (f sizedCallerFlags) client() *yuccaclient.Client { return yuccaclient.New(f.Address, "") }

// sizedOperatorFlags is the address flag of commands that call the operators'
// API of an entry.
type sizedOperatorFlags struct {
	Address string `help:"Operators' address of any entry." default:"127.0.0.1:7412" placeholder:"HOST:PORT"`
}

func (f sizedOperatorFlags) client() *yuccaclient.Client {
	return yuccaclient.New(f.Address, currentUsername())
}

type sizedSubmit struct {
	sizedCallerFlags
	Queue string `arg:"" help:"The queue."`
	ID    string `arg:"" name:"id" help:"The job's id; the same id again joins the job."`
	File  string `arg:"" help:"The job, JSON with comments." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (sizedSubmit) Help() string {
	return "Example: yuccaturn sized submit trim evening-1 examples/sized/job.jsonc"
}

// Run submits the job and prints its outcome.
func (c *sizedSubmit) Run(o *output) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return merry.Prepend(err, "reading the job")
	}
	job, err := c.client().SubmitSized(context.Background(), c.Queue, c.ID, body)
	return printSizedJob(o, job, err)
}

func printSizedJob(o *output, job yuccaclient.SizedJob, err error) error {
	if err != nil {
		return err
	}
	o.printf("job %s of queue %s: %s\n", job.ID, job.Queue, job.State)
	return nil
}

type sizedShow struct {
	sizedCallerFlags
	Queue string `arg:"" help:"The queue."`
	ID    string `arg:"" name:"id" help:"The job's id."`
}

// Help returns the detailed help text for kong.
func (sizedShow) Help() string { return "Example: yuccaturn sized show trim evening-1" }

// Run prints the state of the job.
func (c *sizedShow) Run(o *output) error {
	job, err := c.client().SizedJob(context.Background(), c.Queue, c.ID)
	return printSizedJob(o, job, err)
}

type sizedCancel struct {
	sizedCallerFlags
	Queue string `arg:"" help:"The queue."`
	ID    string `arg:"" name:"id" help:"The job's id."`
}

// Help returns the detailed help text for kong.
func (sizedCancel) Help() string { return "Example: yuccaturn sized cancel trim evening-1" }

// Run cancels the job and prints its state.
func (c *sizedCancel) Run(o *output) error {
	job, err := c.client().CancelSized(context.Background(), c.Queue, c.ID)
	return printSizedJob(o, job, err)
}

type sizedPending struct {
	sizedCallerFlags
	Queue string `arg:"" help:"The queue."`
}

// Help returns the detailed help text for kong.
func (sizedPending) Help() string { return "Example: yuccaturn sized pending trim" }

// Run prints the number of jobs in the queue that have not started.
func (c *sizedPending) Run(o *output) error {
	queue, err := c.client().SizedQueue(context.Background(), c.Queue)
	if err != nil {
		return err
	}
	o.printf("queue %s: %d jobs have not begun\n", queue.Queue, queue.Pending)
	return nil
}

type sizedApply struct {
	sizedOperatorFlags
	File string `arg:"" help:"The document, JSON with comments." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (sizedApply) Help() string {
	return "The highest version wins.\n\nExample: yuccaturn sized apply examples/sized/document.jsonc"
}

// Run checks the document, applies it and prints the accepted version.
func (c *sizedApply) Run(o *output) error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return merry.Prepend(err, "reading the document")
	}
	if _, err := yuccasized.ParseDocument(c.File, document); err != nil {
		return err
	}
	accepted, err := c.client().ApplyDocument(context.Background(), document)
	if err != nil {
		return err
	}
	o.printf("in force: version %d\n", accepted.Version)
	return nil
}

type sizedDocument struct{ sizedOperatorFlags }

// Help returns the detailed help text for kong.
func (sizedDocument) Help() string { return "Example: yuccaturn sized document" }

// Run prints the current document.
func (c *sizedDocument) Run(o *output) error {
	document, err := c.client().Document(context.Background())
	if err != nil {
		return err
	}
	o.printf("%s", document)
	return nil
}

type sizedOut struct {
	sizedOperatorFlags
	DataCentre string `arg:"" help:"The data centre."`
}

// Help returns the detailed help text for kong.
func (sizedOut) Help() string { return "Example: yuccaturn sized out puno" }

// Run drains the data centre.
func (c *sizedOut) Run(o *output) error { return setSizedDataCentre(o, c.client(), c.DataCentre, true) }

type sizedBack struct {
	sizedOperatorFlags
	DataCentre string `arg:"" help:"The data centre."`
}

// Help returns the detailed help text for kong.
func (sizedBack) Help() string { return "Example: yuccaturn sized back puno" }

// Run ends the drain of the data centre.
func (c *sizedBack) Run(o *output) error {
	return setSizedDataCentre(o, c.client(), c.DataCentre, false)
}

func setSizedDataCentre(o *output, client *yuccaclient.Client, dataCentre string, drained bool) error {
	accepted, err := client.SetDrained(context.Background(), dataCentre, drained)
	if err != nil {
		return err
	}
	state := "back"
	if drained {
		state = "out"
	}
	o.printf("data centre %s is %s (version %d)\n", dataCentre, state, accepted.Version)
	return nil
}

type sizedLinks struct {
	sizedOperatorFlags
	JSON bool `name:"json" help:"Print JSON."`
}

// Help returns the detailed help text for kong.
func (sizedLinks) Help() string {
	return "A link is closed after its longest silence. In a large deployment a process is linked to a part of the others only.\n\n" +
		"Example: yuccaturn sized links --address 127.0.0.1:7491"
}

// Run prints one line for each link, and their number by role.
func (c *sizedLinks) Run(o *output) error {
	links, err := c.client().Links(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(o.stdout).Encode(links)
	}
	byRole := make(map[string]int)
	for _, l := range links {
		byRole[l.Role]++
		note := "accepted"
		if l.Dialled {
			note = "dialled"
		}
		if l.Surplus {
			note += ", surplus"
		}
		o.printf("%s: %s in %s, %s, silent for %d ms of %d\n", l.Role, l.Peer, l.DataCentre, note, l.SilentMS, l.MaxSilentMS)
	}
	o.printf("%d links to entries, %d to sides\n", byRole["entry"], byRole["side"])
	return nil
}
