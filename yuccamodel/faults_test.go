package yuccamodel_test

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// Waits of the code that it doesn't export, as in the packages' doc.go, held.go and silence.go.
const (
	startTimeout      = 40 * time.Millisecond
	callTimeout       = 120 * time.Millisecond
	heldAfter         = 250 * time.Millisecond
	unresponsiveAfter = 300 * time.Millisecond
	silentAfter       = 600 * time.Millisecond
	lossTime          = 1120 * time.Millisecond
	maxReportAge      = 4 * time.Second
	reportTimeout     = 5 * time.Second
)

const (
	// atOnce is how long a process is away that is replaced at once.
	atOnce = 5 * time.Millisecond
	// justUnder and justOver are the distances of a length from its wait: a tick, and two for one at either end.
	justUnder = tickInterval
	justOver  = 2 * tickInterval
	forGood   = time.Hour
)

// length is a class of lengths of a fault.
type length struct {
	name string
	d    time.Duration
}

// waits are the leases, holds, timeouts and resend times that a fault may outlast.
var waits = []length{
	{"start_timeout", startTimeout},
	{"call_timeout", callTimeout},
	{"held_after", heldAfter},
	{"unresponsive_after", unresponsiveAfter},
	{"hold", yuccaworker.Hold},
	{"owner_lease", yuccaworker.OwnerLease},
	{"silent_after", silentAfter},
	{"loss_time", lossTime},
	{"resubmit_delay", resubmitDelay},
	{"report_interval", reportInterval},
	{"outcome_retention", yuccaworker.OutcomeRetention},
	{"max_report_age", maxReportAge},
	{"report_timeout", reportTimeout},
}

var (
	once     = []length{{"once", 0}}
	lasting  = lengthsAround(waits)
	downtime = append([]length{{"at_once", atOnce}}, lasting...)
	passing  = downtime[:len(downtime)-1]
	// Entries and links are not concerned by the age of the worker's reports, the last waits.
	lastingAtEntry  = lengthsAround(waits[:len(waits)-2])
	downtimeOfEntry = append([]length{{"at_once", atOnce}}, lastingAtEntry...)
)

// lengthsAround returns the lengths just under and just over each wait, and that for good.
func lengthsAround(waits []length) []length {
	var all []length
	for _, l := range waits {
		all = append(all, length{"under_" + l.name, l.d - justUnder}, length{"over_" + l.name, l.d + justOver})
	}
	return append(all, length{"for_good", forGood})
}

// faultKind is a kind of fault. One that changes the event itself strikes before it, others right after it.
type faultKind struct {
	name         string
	changesEvent bool
	lengths      []length
	// strikesAt reports whether the kind makes sense at the event.
	strikesAt func(t touch) bool
	strike    func(p *play, t touch, d time.Duration)
}

func anywhere(touch) bool { return true }

func at(events ...string) func(t touch) bool {
	return func(t touch) bool {
		for _, event := range events {
			if t.what == event {
				return true
			}
		}
		return false
	}
}

func between(t touch) bool { return t.isBetween }

// faultKinds is the table of kinds: a new one is one row.
var faultKinds = []faultKind{
	{"late_call", true, lasting, at("start sent", "stop sent", "renewal sent"), func(_ *play, t touch, d time.Duration) { t.side.nextLateness = d }},
	{"lost_answer", true, once, at("start answered", "stop answered", "renewal answered"), func(_ *play, t touch, _ time.Duration) { t.side.losesNextReply = true }},
	{"late_message_to_side", true, lastingAtEntry, at("orders sent", "withdrawal sent", "lease renewal sent", "held tasks seen sent"), func(p *play, t touch, d time.Duration) {
		p.cut(t.entry, t.side, d, &p.world.link(t.entry, t.side).isCutToSide)
	}},
	{"late_message_to_entry", true, lastingAtEntry, at("state sent", "ends sent", "held tasks sent", "crash report sent"), func(p *play, t touch, d time.Duration) {
		p.cut(t.entry, t.side, d, &p.world.link(t.entry, t.side).isCutToEntry)
	}},
	{"connection_closed", false, once, between, func(p *play, t touch, _ time.Duration) { p.world.closeLink(t.entry, t.side) }},
	{"entry_killed", false, downtimeOfEntry, anywhere, func(p *play, t touch, d time.Duration) { p.world.killEntry(t.entry, false, d) }},
	{"entry_killed_unnoticed", false, downtimeOfEntry, anywhere, func(p *play, t touch, d time.Duration) { p.world.killEntry(t.entry, true, d) }},
	{"entry_stands", false, lastingAtEntry, anywhere, func(p *play, t touch, d time.Duration) { p.world.freezeEntry(t.entry, d) }},
	{"entry_suspended", false, lastingAtEntry, anywhere, func(_ *play, t touch, d time.Duration) { t.entry.suspend(d) }},
	{"side_killed", false, downtime, anywhere, func(p *play, t touch, d time.Duration) { p.world.killSide(t.side, d) }},
	{"side_stands", false, lasting, anywhere, func(p *play, t touch, d time.Duration) { p.world.freezeSide(t.side, d) }},
	{"worker_killed", false, downtime, anywhere, func(p *play, t touch, d time.Duration) {
		t.side.worker.crashProcess()
		p.restartWorker(t.side.worker, d, t.side.worker.incarnation.ID, 0)
	}},
	{"worker_replaced", false, downtime, anywhere, func(p *play, t touch, d time.Duration) {
		t.side.worker.crashProcess()
		p.restartWorker(t.side.worker, d, "w-other", 0)
	}},
	{"worker_lost", false, downtime, anywhere, func(p *play, t touch, d time.Duration) {
		t.side.worker.crash()
		p.restartWorker(t.side.worker, d, t.side.worker.incarnation.ID, maxReportDelay)
	}},
	{"worker_stands", false, lasting, anywhere, func(_ *play, t touch, d time.Duration) { t.side.worker.standStill(d) }},
	{"machine_stands", false, lasting, anywhere, func(p *play, t touch, d time.Duration) {
		t.side.worker.standStill(d)
		p.world.freezeSide(t.side, d)
	}},
	{"machine_suspended", false, lasting, anywhere, func(p *play, t touch, d time.Duration) { p.suspend(t.side, d, false) }},
	{"machine_suspended_calls_first", false, lasting, anywhere, func(p *play, t touch, d time.Duration) { p.suspend(t.side, d, true) }},
	{"machine_without_power", false, downtime, anywhere, func(p *play, t touch, d time.Duration) {
		t.side.worker.crash()
		p.world.killSide(t.side, d)
		p.restartWorker(t.side.worker, d, t.side.worker.incarnation.ID, maxReportDelay)
	}},
	{"machine_without_power_side_later", false, passing, anywhere, func(p *play, t touch, d time.Duration) {
		t.side.worker.crash()
		p.world.killSide(t.side, d+silentAfter)
		p.endsAt(p.world.now.Add(d + silentAfter))
		p.restartWorker(t.side.worker, d, t.side.worker.incarnation.ID, maxReportDelay)
	}},
	{"link_cut", false, lastingAtEntry, between, func(p *play, t touch, d time.Duration) { p.world.partitionLink(t.entry, t.side, d) }},
	{"link_cut_to_side", false, lastingAtEntry, between, func(p *play, t touch, d time.Duration) {
		p.cut(t.entry, t.side, d, &p.world.link(t.entry, t.side).isCutToSide)
	}},
	{"link_cut_to_entry", false, lastingAtEntry, between, func(p *play, t touch, d time.Duration) {
		p.cut(t.entry, t.side, d, &p.world.link(t.entry, t.side).isCutToEntry)
	}},
	{"side_cut_off", false, lasting, anywhere, func(p *play, t touch, d time.Duration) {
		for _, e := range p.world.entries {
			p.world.partitionLink(e, t.side, d)
		}
	}},
	{"entry_cut_off", false, lastingAtEntry, anywhere, func(p *play, t touch, d time.Duration) { p.world.partitionEntry(t.entry, d) }},
	{"worker_cut", false, lasting, anywhere, func(p *play, t touch, d time.Duration) {
		p.set(&t.side.worker.isUnreachable, d)
		p.set(&t.side.worker.isUnheard, d)
	}},
	{"worker_cut_from_calls", false, lasting, anywhere, func(p *play, t touch, d time.Duration) { p.set(&t.side.worker.isUnreachable, d) }},
	{"worker_unheard", false, lasting, anywhere, func(p *play, t touch, d time.Duration) { p.set(&t.side.worker.isUnheard, d) }},
	{"other_worker_reported", false, once, anywhere, func(_ *play, t touch, _ time.Duration) { t.side.reportAs("w-other", time.Second) }},
	{"later_start_reported", false, once, anywhere, func(_ *play, t touch, _ time.Duration) {
		t.side.reportAs(t.side.worker.incarnation.ID, time.Second)
	}},
	{"earlier_worker_reported", false, once, anywhere, func(_ *play, t touch, _ time.Duration) { t.side.reportAs("w-other", -time.Second) }},
	{"end_announced", false, once, anywhere, func(_ *play, t touch, _ time.Duration) { t.side.announceEnd() }},
	{"end_announced_and_refusing", false, lasting, anywhere, func(p *play, t touch, d time.Duration) {
		t.side.announceEnd()
		p.set(&t.side.worker.isUnreachable, d)
		p.set(&t.side.worker.refuses, d)
	}},
	{"run_fails", false, once, anywhere, func(_ *play, t touch, _ time.Duration) {
		t.side.worker.hasFailed = true
		for _, key := range t.side.worker.runKeys() {
			t.side.worker.complete(key, yuccawire.RunEnd_RUN_END_FAILED)
		}
	}},
	{"caller_leaves", false, once, anywhere, func(p *play, _ touch, _ time.Duration) { p.job.disconnect() }},
}

func (p *play) cut(e *modelEntry, s *modelSide, d time.Duration, isCut *bool) {
	p.world.cutLink(e, s, d, isCut)
}

// suspend suspends a machine, which makes other faults of it last longer by the clock of the caller.
func (p *play) suspend(s *modelSide, d time.Duration, callsFirst bool) {
	p.endsAt(p.over.Add(d))
	s.suspend(d, callsFirst)
}

// set sets a flag for a while.
func (p *play) set(flag *bool, d time.Duration) {
	*flag = true
	p.world.after(d, func() { *flag = false })
}

// reportAs delivers a report of a worker that isn't there, which started later than the one that is.
func (s *modelSide) reportAs(id string, later time.Duration) {
	r := s.worker.report()
	r.ID, r.Sequence = id, 1
	r.StartedAtMS += later.Milliseconds()
	s.handle(func() { s.core.HandleReport(s.now(), r) })
}

// announceEnd announces the end of the worker, which goes on.
func (s *modelSide) announceEnd() {
	s.handle(func() { s.core.HandleDeregistration(s.now(), s.worker.incarnation.ID) })
}

func (p *play) restartWorker(m *modelWorker, d time.Duration, id string, reportDelay time.Duration) {
	p.world.after(d, func() {
		m.incarnation.ID = id
		m.restartWithClock(0, reportDelay)
	})
}
