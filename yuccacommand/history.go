package yuccacommand

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccahistory"
)

type historyCommands struct {
	Check historyCheck `cmd:"" help:"Check the journals of a run against what must always hold."`
}

type historyCheck struct {
	Address  string   `help:"Operators' address of a control, to check starts against data centres that were out." placeholder:"HOST:PORT"`
	Files    []string `arg:"" help:"Journals, JSON lines of events." placeholder:"FILES"`
	Operator string   `hidden:""`
}

// Help returns the detailed help text for kong.
func (historyCheck) Help() string {
	return "Example: yuccaturn history check examples/loopback/data/journal-*.jsonl"
}

// Run merges the journals, adds the drains from the history of changes if a
// control is given, and prints the violated invariants.
func (c *historyCheck) Run(o *output) error {
	var events []yuccahistory.Event
	for _, name := range c.Files {
		journal, err := readJournal(name)
		if err != nil {
			return err
		}
		events = append(events, journal...)
	}
	if c.Address != "" {
		changes, err := yuccaclient.New(c.Address, c.Operator).Changes(context.Background(), yuccadocument.SectionDrainedDataCentres, maxChanges)
		if err != nil {
			return err
		}
		events = append(events, dataCentreEvents(changes)...)
	}
	violations := yuccahistory.Check(events, yuccahistory.Bounds{})
	for _, v := range violations {
		o.printf("%s\n", v)
	}
	o.printf("%d events, %d violations\n", len(events), len(violations))
	if len(violations) > 0 {
		return errReported
	}
	return nil
}

func readJournal(name string) ([]yuccahistory.Event, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, merry.Prepend(err, "opening a journal")
	}
	defer file.Close()
	return yuccahistory.Read(name, file)
}

// dataCentreEvents returns an event for each start and end of a drain in the
// changes, which are ordered newest first.
func dataCentreEvents(changes []yuccaclient.Change) []yuccahistory.Event {
	var events []yuccahistory.Event
	var previous []string
	for _, change := range slices.Backward(changes) {
		var body struct {
			Drained []string `json:"out"`
		}
		at, err := time.Parse(time.RFC3339Nano, change.At)
		if err != nil || json.Unmarshal(change.Body, &body) != nil {
			continue
		}
		events = append(events, addedEvents(at, previous, body.Drained, yuccahistory.DataCentreDrained)...)
		events = append(events, addedEvents(at, body.Drained, previous, yuccahistory.DataCentreRestored)...)
		previous = body.Drained
	}
	return events
}

// addedEvents returns an event for each name that is in after but not in before.
func addedEvents(at time.Time, before, after []string, kind yuccahistory.Kind) []yuccahistory.Event {
	var events []yuccahistory.Event
	for _, name := range after {
		if !slices.Contains(before, name) {
			events = append(events, yuccahistory.Event{At: at, Kind: kind, DataCentre: name})
		}
	}
	return events
}
