package yuccamodel_test

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// A schedule is text: the line "play SCENARIO", then a line "KIND at POINT for LENGTH" for each fault.

func writeSchedule(sc scenario, faults []fault) string {
	lines := []string{"play " + sc.name}
	for _, f := range faults {
		lines = append(lines, fmt.Sprintf("%s at %d for %s", f.kind.name, f.point, f.length.name))
	}
	return strings.Join(lines, "\n")
}

// readSchedule returns the scenario and the faults of a schedule, or an error with the number of the line.
func readSchedule(text string) (scenario, []fault, error) {
	var sc scenario
	var faults []fault
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		words := strings.Fields(line)
		if i == 0 {
			known := slices.IndexFunc(scenarios, func(sc scenario) bool { return line == "play "+sc.name })
			if known < 0 {
				return sc, nil, fmt.Errorf("schedule, line 1: %q names no scenario, expected play and its name", line)
			}
			sc = scenarios[known]
			continue
		}
		if len(words) != 5 || words[1] != "at" || words[3] != "for" {
			return sc, nil, fmt.Errorf("schedule, line %d: %q is no fault, expected KIND at POINT for LENGTH", i+1, line)
		}
		f, err := readFault(words[0], words[2], words[4])
		if err != nil {
			return sc, nil, fmt.Errorf("schedule, line %d: %w", i+1, err)
		}
		faults = append(faults, f)
	}
	return sc, faults, nil
}

func readFault(kind, point, class string) (fault, error) {
	k := slices.IndexFunc(faultKinds, func(k faultKind) bool { return k.name == kind })
	if k < 0 {
		return fault{}, fmt.Errorf("%q is no kind of fault", kind)
	}
	number, err := strconv.Atoi(point)
	if err != nil || number < 0 {
		return fault{}, fmt.Errorf("%q is no number of a point", point)
	}
	l := slices.IndexFunc(faultKinds[k].lengths, func(l length) bool { return l.name == class })
	if l < 0 {
		return fault{}, fmt.Errorf("%q is no length of %s", class, kind)
	}
	return fault{kind: &faultKinds[k], point: number, length: faultKinds[k].lengths[l]}, nil
}

// checkStruck returns an error if a fault of the schedule did not strike.
func (p *play) checkStruck() error {
	for i, f := range p.faults {
		switch {
		case f.point >= len(p.points):
			return fmt.Errorf("schedule, line %d: point %d doesn't come, the play has %d points", i+2, f.point, len(p.points))
		case !f.kind.strikesAt(p.points[f.point]):
			return fmt.Errorf("schedule, line %d: %s doesn't strike at point %d, %s", i+2, f.kind.name, f.point, p.points[f.point].what)
		}
	}
	return nil
}

// replaySchedule plays a schedule, with a mechanism taken out if plant is set.
func replaySchedule(text string, plant func(w *world)) (*play, error) {
	sc, faults, err := readSchedule(text)
	if err != nil {
		return nil, err
	}
	sc.plant = plant
	p := newPlay(sc, faults)
	p.world.isQuiet = false
	p.submit()
	p.run()
	return p, p.checkStruck()
}

// Lines of the timeline show of a message which runs it names, and how these ended.
var (
	messageBody = regexp.MustCompile(`(receives (?:held tasks|outcomes|link request)? ?(?:from \S+ )?)(orders|withdraw)?.*`)
	namedRun    = regexp.MustCompile(`run:(\d+)(?:}\s+end:(\w+))?`)
)

// timeline returns what concerned the job, one line for each event.
func (p *play) timeline() string {
	var lines []string
	for _, line := range p.world.log {
		isRenewal := strings.Contains(line, " beat:") || strings.Contains(line, " held_seen:")
		if strings.Contains(line, "fault") || strings.Contains(line, p.job.job.ID) && !isRenewal {
			lines = append(lines, shortenMessage(strings.ReplaceAll(line, p.job.job.ID+".", "task ")))
		}
	}
	return strings.Join(append(lines, p.violations...), "\n")
}

func shortenMessage(line string) string {
	if !strings.Contains(line, " receives ") {
		return line
	}
	short := messageBody.ReplaceAllString(line, "$1$2")
	for _, run := range namedRun.FindAllStringSubmatch(line, -1) {
		short = strings.TrimRight(fmt.Sprintf("%s run %s %s", strings.TrimSpace(short), run[1], run[2]), " ")
	}
	return short
}

// checkReplay replays a schedule on the code as it is. It is for tests of what the explorer has found.
func checkReplay(t *testing.T, text string) {
	t.Helper()
	p, err := replaySchedule(text, nil)
	if err != nil {
		t.Fatal(err)
	}
	if p.Failed() {
		t.Errorf("%s\n%s", text, p.timeline())
	}
}

func TestBadSchedulesAreReportedWithTheirPlace(t *testing.T) {
	for text, want := range map[string]string{
		"":                                 `schedule, line 1: "" names no scenario, expected play and its name`,
		"play nothing":                     `schedule, line 1: "play nothing" names no scenario, expected play and its name`,
		"play one_task\nentry_killed at 3": `schedule, line 2: "entry_killed at 3" is no fault, expected KIND at POINT for LENGTH`,
		"play one_task\nentry_kiled at 3 for at_once":                                               `schedule, line 2: "entry_kiled" is no kind of fault`,
		"play one_task\nentry_killed at three for at_once":                                          `schedule, line 2: "three" is no number of a point`,
		"play one_task\nentry_killed at 3 for ever":                                                 `schedule, line 2: "ever" is no length of entry_killed`,
		"play two_tasks\ncaller_leaves at 4 for once\nlate_call at 4000 for over_hold":              `schedule, line 3: point 4000 doesn't come, the play has`,
		"play two_tasks\nconnection_closed at 0 for once\nlate_message_to_side at 2 for under_hold": `schedule, line 2: connection_closed doesn't strike at point 0, job arrives`,
	} {
		_, err := replaySchedule(text, nil)
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("replaying %q: %v, want %s", text, err, want)
		}
	}
}
