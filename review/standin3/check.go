package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// exitBroken is the exit code of a check that has found a rule broken.
const exitBroken = 1

// event is a line of the record.
type event struct {
	at   int64
	who  string
	what []string
}

func readRecord(path string) ([]event, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the record: %w", err)
	}
	var events []event
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 3 {
			continue
		}
		at, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("record line %q: %w", line, err)
		}
		events = append(events, event{at: at, who: fields[1], what: fields[2:]})
	}
	slices.SortStableFunc(events, func(x, y event) int { return int(x.at - y.at) })
	return events, nil
}

// span is a run in progress on a worker that is up: from its start, or the end of a suspension of the machine, to its
// end, or the next suspension.
type span struct {
	worker, task, run string
	from, to          int64
}

// spans returns the times in which tasks were in progress. Runs that have not ended last until the end of the record.
func spans(events []event) []span {
	var all []span
	open := make(map[string]span)
	finish := func(key string, at int64) {
		if s, isOpen := open[key]; isOpen {
			s.to = at
			all = append(all, s)
		}
	}
	last := int64(0)
	for _, e := range events {
		last = e.at
		switch e.what[0] {
		case "start":
			open[e.who+" "+e.what[1]+" "+e.what[2]] = span{worker: e.who, task: e.what[1], run: e.what[2], from: e.at}
		case "end":
			key := e.who + " " + e.what[1] + " " + e.what[2]
			finish(key, e.at)
			delete(open, key)
		case "suspended", "resumed":
			for key, s := range open {
				if s.worker != e.who {
					continue
				}
				if e.what[0] == "suspended" {
					finish(key, e.at)
				}
				s.from = e.at
				open[key] = s
			}
		}
	}
	for key := range open {
		finish(key, last)
	}
	return all
}

// runTwice checks that no two runs of a task were in progress at the same time on workers that were up. Overlaps
// of a few milliseconds are within the precision of the record.
func runTwice(_ context.Context, arguments []string) (int, error) {
	flags := flag.NewFlagSet("twice", flag.ContinueOnError)
	path := flags.String("record", "record.txt", "file with the record")
	precision := flags.Duration("precision", 20*time.Millisecond, "overlap that counts as none")
	if err := flags.Parse(arguments); err != nil {
		return 0, err
	}
	events, err := readRecord(*path)
	if err != nil {
		return 0, err
	}
	byTask := make(map[string][]span)
	for _, s := range spans(events) {
		byTask[s.task] = append(byTask[s.task], s)
	}
	broken := 0
	for task, list := range byTask {
		for i, x := range list {
			for _, y := range list[i+1:] {
				overlap := time.Duration(min(x.to, y.to)-max(x.from, y.from)) * time.Millisecond
				isSame := x.worker == y.worker && x.run == y.run
				if isSame || overlap <= *precision {
					continue
				}
				broken++
				fmt.Printf("task %s ran twice for %v: %s on %s from %d to %d, %s on %s from %d to %d\n", task, overlap, x.run, x.worker, x.from, x.to, y.run, y.worker, y.from, y.to)
			}
		}
	}
	fmt.Printf("%d tasks started, %d times two runs of one at the same time\n", len(byTask), broken)
	if broken > 0 {
		return exitBroken, nil
	}
	return 0, nil
}

// runEvacuated checks that no task has started in a zone later than the bound after its evacuation was acknowledged.
func runEvacuated(_ context.Context, arguments []string) (int, error) {
	flags := flag.NewFlagSet("evacuated", flag.ContinueOnError)
	path := flags.String("record", "record.txt", "file with the record")
	zone := flags.String("zone", "", "zone that was evacuated")
	since := flags.Int64("since", 0, "time of the acknowledgement in milliseconds since 1970")
	bound := flags.Duration("bound", 5*time.Second, "time after which no task may start there")
	if err := flags.Parse(arguments); err != nil {
		return 0, err
	}
	events, err := readRecord(*path)
	if err != nil {
		return 0, err
	}
	late, elsewhere, last := 0, 0, int64(0)
	for _, e := range events {
		if e.what[0] != "start" || e.at <= *since+bound.Milliseconds() {
			continue
		}
		if slices.Contains(e.what, "zone="+*zone) {
			late, last = late+1, e.at
		} else {
			elsewhere++
		}
	}
	fmt.Printf("later than %v after the acknowledgement, %d tasks started in %s and %d elsewhere\n", *bound, late, *zone, elsewhere)
	if late > 0 {
		fmt.Printf("the last of them %d ms after the acknowledgement\n", last-*since)
		return exitBroken, nil
	}
	return 0, nil
}
