package yuccacommand

import (
	"context"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccasettings"
	"github.com/yuccaturn/yuccaturn/yuccatarget"
)

const journalPerm = 0o600

type targetCommand struct {
	Settings string `required:"" help:"Settings file." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (targetCommand) Help() string {
	return "Example: yuccaturn target --settings examples/loopback/target-cusco-1.jsonc"
}

// Run serves the simulated target until SIGINT or SIGTERM.
func (c *targetCommand) Run(o *output) error {
	settings, err := yuccasettings.Load(yuccasettings.RoleTarget, c.Settings)
	if err != nil {
		return err
	}
	p := newProcess(settings, o)
	journal, err := openJournal(settings.Target.Journal)
	if err != nil {
		return err
	}
	if journal != nil {
		defer journal.Close()
	}
	t := settings.Target
	target := yuccatarget.New(yuccatarget.Options{
		Service:     t.Service,
		Listen:      t.Listen,
		Side:        t.Side,
		Slots:       t.Slots,
		Connections: t.Connections,
		Behaviour:   yuccatarget.Behaviour{Sleep: t.Sleep, Status: t.Status, Hang: t.Hang, Drop: t.Drop},
		Node:        settings.Process.Name,
		DataCentre:  settings.Process.DataCentre,
		Journal:     journalWriter(journal),
		Logger:      p.logger,
	})
	p.drain = func(ctx context.Context) int {
		target.Leave(ctx)
		return 0
	}
	p.add(target)
	return p.run()
}

// openJournal opens the journal for appending, or returns nil for an empty path.
func openJournal(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalPerm)
	return file, merry.Prepend(err, "opening the journal")
}

// journalWriter converts the file to an io.Writer that is nil if the file is
// nil. A plain conversion returns a non-nil interface that holds a nil pointer.
func journalWriter(file *os.File) io.Writer {
	if file == nil {
		return nil
	}
	return file
}
