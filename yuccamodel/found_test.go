package yuccamodel_test

import "testing"

// replaySchedules replays what the explorer has found on the code as it is, by name.
func replaySchedules(t *testing.T, schedules map[string]string) {
	for name, schedule := range schedules {
		t.Run(name, func(t *testing.T) { checkReplay(t, schedule) })
	}
}

// The machine accepts no connection, which counts as a proof that its clock goes on, but its worker ends nothing.
func TestRunOfAStandingWorkerBehindACutOverlapsTheNextOne(t *testing.T) {
	replaySchedules(t, map[string]string{
		"answers are lost": "play one_task\nworker_stands at 10 for over_loss_time\nworker_unheard at 16 for over_unresponsive_after",
		"cut both ways":    "play one_task\nworker_stands at 6 for under_outcome_retention\nworker_cut at 10 for over_loss_time",
		"cut first":        "play one_task\nworker_cut at 25 for over_hold\nworker_stands at 33 for over_resubmit_delay",
	})
}

// Refused connections count as a proof that the process has ended, but it stands still.
func TestRunOfAStandingWorkerThatRefusesConnectionsOverlapsTheNextOne(t *testing.T) {
	replaySchedules(t, map[string]string{
		"announced": "play one_task\nworker_stands at 8 for under_outcome_retention\nend_announced_and_refusing at 11 for over_loss_time",
	})
}

// A worker that refuses connections for 20 ms counts as crashed, although it goes on.
func TestJobIsFailedForAWorkerThatRefusesConnections(t *testing.T) {
	replaySchedules(t, map[string]string{
		"after a crash": "play late_notice\nworker_replaced at 14 for at_once\nend_announced_and_refusing at 36 for over_silent_after",
	})
}

// Nobody is left who can tell of the run, as in TestResendAfterALostEntryRunsBesideAStandingMachine.
func TestResendAfterAKilledEntryRunsBesideASuspendedMachine(t *testing.T) {
	replaySchedules(t, map[string]string{
		"entry restarts at once":    "play one_task\nentry_killed at 17 for at_once\nmachine_suspended_calls_first at 17 for over_outcome_retention",
		"machine first":             "play one_task\nmachine_suspended at 15 for over_max_report_age\nentry_killed at 18 for over_start_timeout",
		"machine stands":            "play one_task\nmachine_stands at 23 for for_good\nentry_killed_unnoticed at 25 for under_unresponsive_after",
		"long after the submission": "play one_task\nmachine_suspended_calls_first at 172 for over_max_report_age\nentry_killed at 174 for over_held_after",
		"second task":               "play two_tasks\nentry_killed at 30 for under_silent_after\nmachine_suspended_calls_first at 40 for under_report_interval",
		"links notice it late":      "play late_notice\nmachine_suspended at 12 for under_max_report_age\nentry_killed_unnoticed at 14 for over_unresponsive_after",
	})
}

// One run is lost with its worker, and another one behind a cut or at a worker that stands still, which counts as a crash.
func TestJobIsFailedForOneCrash(t *testing.T) {
	replaySchedules(t, map[string]string{
		"cut last":  "play one_task\nworker_replaced at 9 for under_start_timeout\nworker_cut at 29 for under_loss_time",
		"cut first": "play two_tasks\nworker_cut_from_calls at 23 for over_loss_time\nworker_killed at 109 for under_max_report_age",
		"standing":  "play one_task\nworker_replaced at 34 for at_once\nworker_stands at 85 for for_good",
	})
}
