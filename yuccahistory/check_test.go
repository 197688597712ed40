package yuccahistory_test

import (
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccahistory"
)

var startTime = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

func submitted(seconds float64, request string) yuccahistory.Event {
	return yuccahistory.Event{
		At: at(seconds), Kind: yuccahistory.Submitted, Job: "p/j", Request: request,
		Tasks: []string{"a", "b"}, Deadline: at(seconds + 10),
	}
}

func started(seconds float64, task, node string) yuccahistory.Event {
	return yuccahistory.Event{At: at(seconds), Kind: yuccahistory.Started, Job: "p/j", Task: task, Node: node, DataCentre: "cusco"}
}

func finished(seconds float64, task string) yuccahistory.Event {
	return yuccahistory.Event{At: at(seconds), Kind: yuccahistory.Finished, Job: "p/j", Task: task, Result: "result of " + task}
}

func complete(seconds float64, request string, tasks ...string) yuccahistory.Event {
	e := yuccahistory.Event{At: at(seconds), Kind: yuccahistory.Answered, Job: "p/j", Request: request, Outcome: yuccahistory.OutcomeComplete}
	for _, task := range tasks {
		e.Results = append(e.Results, yuccahistory.Result{Task: task, Result: "result of " + task})
	}
	return e
}

func refused(seconds float64, request string) yuccahistory.Event {
	return yuccahistory.Event{At: at(seconds), Kind: yuccahistory.Answered, Job: "p/j", Request: request, Outcome: yuccahistory.OutcomeRefused, NotRun: true}
}

func event(seconds float64, kind yuccahistory.Kind, node string) yuccahistory.Event {
	return yuccahistory.Event{At: at(seconds), Kind: kind, Node: node, DataCentre: "cusco"}
}

// validHistory returns a history without violations.
func validHistory() []yuccahistory.Event {
	return []yuccahistory.Event{
		submitted(0, "r1"), started(1, "a", "s1"), started(1, "b", "s2"),
		finished(2, "a"), finished(2, "b"), complete(3, "r1", "a", "b"),
	}
}

func TestCheckValidHistory(t *testing.T) {
	if violations := yuccahistory.Check(validHistory(), yuccahistory.Bounds{}); len(violations) > 0 {
		t.Errorf("got violations %v, want none", violations)
	}
}

// Each invalid history is reported under the rule that it violates.
func TestCheckReportsViolations(t *testing.T) {
	interrupted := started(2, "a", "s1")
	interrupted.Kind = yuccahistory.Interrupted
	foreignResult := complete(3, "r1", "a", "b")
	foreignResult.Results[1].Result = "result of another job"
	failed := refused(4, "r2")
	failed.Outcome, failed.NotRun = yuccahistory.OutcomeFailed, false
	older := yuccahistory.Event{At: at(2), Kind: yuccahistory.Applied, Node: "e1", Section: "limits", Version: 3}
	newer := older
	newer.At, newer.Version = at(1), 4
	for _, c := range []struct {
		name, rule string
		events     []yuccahistory.Event
	}{
		{"started twice", yuccahistory.RuleStartOnce, append(validHistory(), started(4, "a", "s3"))},
		{"missing result", yuccahistory.RuleNoPartialAnswer, append(validHistory()[:5], complete(3, "r1", "a"))},
		{"results in wrong order", yuccahistory.RuleNoPartialAnswer, append(validHistory()[:5], complete(3, "r1", "b", "a"))},
		{"result of another job", yuccahistory.RuleOwnResult, append(validHistory()[:5], foreignResult)},
		{"different outcomes", yuccahistory.RuleOneOutcome, append(validHistory(), submitted(3, "r2"), failed)},
		{"answered twice", yuccahistory.RuleAnsweredOnce, append(validHistory(), complete(4, "r1", "a", "b"))},
		{"answered late", yuccahistory.RuleAnsweredOnce, append(validHistory()[:5], complete(12, "r1", "a", "b"))},
		{"never answered", yuccahistory.RuleAnsweredOnce, validHistory()[:5]},
		{"refused after a start", yuccahistory.RuleNotRun, append(validHistory(), submitted(4, "r2"), refused(5, "r2"))},
		{"started after all submissions were refused", yuccahistory.RuleNotRun, []yuccahistory.Event{submitted(0, "r1"), refused(1, "r1"), started(2, "a", "s1")}},
		{"started in a drained data centre", yuccahistory.RuleDrainedDataCentre, append(validHistory(), event(4, yuccahistory.DataCentreDrained, ""), started(8.5, "c", "s1"))},
		{"started at a leaving target", yuccahistory.RuleTargetLeaving, append(validHistory(), event(4, yuccahistory.TargetLeaving, "s1"), started(6.5, "c", "s1"))},
		{"interrupted by a planned stop", yuccahistory.RuleGracefulStop, append(validHistory(), event(1.5, yuccahistory.StopStarted, "s1"), interrupted)},
		{"older version in force", yuccahistory.RuleNeverReverts, append(validHistory(), newer, older)},
	} {
		t.Run(c.name, func(t *testing.T) {
			violations := yuccahistory.Check(c.events, yuccahistory.Bounds{})
			for _, v := range violations {
				if v.Rule == c.rule {
					return
				}
			}
			t.Errorf("got violations %v, want one of rule %q", violations, c.rule)
		})
	}
}

// Valid histories that resemble the violations of TestCheckReportsViolations.
func TestCheckAllowsBorderlineHistories(t *testing.T) {
	repeatable := submitted(0, "r1")
	repeatable.Repeatable = true
	for name, events := range map[string][]yuccahistory.Event{
		"start within the drain bound":          append(validHistory(), event(4, yuccahistory.DataCentreDrained, ""), started(7.9, "c", "s1")),
		"start after the end of the drain":      append(validHistory(), event(4, yuccahistory.DataCentreDrained, ""), event(9, yuccahistory.DataCentreRestored, ""), started(9.1, "c", "s1")),
		"second start of a repeatable task":     append(append([]yuccahistory.Event{repeatable}, validHistory()[1:]...), started(4, "a", "s3")),
		"refused, then submitted again and run": append([]yuccahistory.Event{submitted(-2, "r0"), refused(-1, "r0")}, validHistory()...),
	} {
		if violations := yuccahistory.Check(events, yuccahistory.Bounds{}); len(violations) > 0 {
			t.Errorf("%s: got violations %v, want none", name, violations)
		}
	}
}

func TestReadErrorNamesFileAndLine(t *testing.T) {
	_, err := yuccahistory.Read("journal.jsonl", strings.NewReader("{}\n\nnonsense\n"))
	if err == nil || !strings.Contains(err.Error(), "journal.jsonl:3") {
		t.Errorf("got error %v, want one that contains journal.jsonl:3", err)
	}
}
