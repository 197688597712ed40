// Package yuccaworker is the decision core of a side whose worker is driven by
// orders: it starts and stops runs there, renews the hold that keeps them
// running, and takes in the list of those that ended.
//
// The core does no I/O and reads no clock. Its owner calls it from one
// goroutine with what happened, and carries out the actions that it returns.
//
// Nothing runs longer than somebody wants it. A run goes on only while its
// owner, an entry, renews its lease here, and the worker itself ends everything
// when this side stops renewing the hold. Both are short, so that an entry which
// can reach neither knows when its runs are over.
//
// # Usage
//
//	worker := yuccaworker.New(yuccaworker.Options{...}, now)
//	worker.Report(now, report)
//	worker.Orders(now, owner, orders)
//	worker.HoldReply(now, reply)
//	worker.Tick(now)
//	for _, action := range worker.Actions() { ... }
package yuccaworker

import "time"

// OwnerLease is how long the runs of an owner outlive the last stamp of the
// side's clock that the owner has used. With [Hold] and the time of a stop it
// stays under the 1.3 s after which a caller may hand its job in elsewhere.
const OwnerLease = 550 * time.Millisecond

// Hold is how long the worker keeps its runs after the last renewal that it has
// heard.
const Hold = 450 * time.Millisecond

// ClockDrift is the share by which the worker's clock may be slow.
const ClockDrift = 0.02

const (
	// holdWait is how long a renewal waits for an end. While one that was lost is
	// waited for, ends are not seen: 120 ms made a third of the quickest jobs late
	// where one call in sixteen is lost.
	holdWait = 50 * time.Millisecond
	// holdTimeout counts a renewal as lost, with room for a slow processor. Five
	// fit into one hold.
	holdTimeout = holdWait + 30*time.Millisecond
	// startTimeout counts the first try of a start as unanswered: a worker on the
	// same host answers within a few milliseconds, and a second try of a start
	// that was carried out does no harm. Each later try waits twice as long, which
	// a slow processor needs, up to callTimeout.
	startTimeout = 40 * time.Millisecond
	callTimeout  = 120 * time.Millisecond
	// takeOverRetry is the pause between attempts to take a worker over.
	takeOverRetry = 150 * time.Millisecond
	// silentAfter is how long a worker with runs may leave all calls unanswered;
	// two renewals fit into it.
	unresponsiveAfter = 300 * time.Millisecond
	// listMaxAge is how old the worker's lists may be for a judgement of its runs:
	// where answers are lost, ends are seen late.
	maxListAge = holdTimeout
	// stopRetry is the pause between stops that are not answered.
	stopRetry = 100 * time.Millisecond
	// maxStartTries bounds how often an unanswered start is sent again; a start
	// that is there already is answered like the first.
	maxStartTries = 3
	// queuedShare is the share of the worker's processors that may wait here, so
	// that a place which becomes free is filled without a round trip.
	maxQueuedShare = 0.2
	// tiers is the number of classes of urgency.
	tierCount = 3
	// maxQueuedRuns bounds what waits here in all tiers.
	maxQueuedRuns = 64
	// backfill is the number of waiting tasks that are tried when the first does
	// not fit.
	maxBackfill = 6
	// idleStateInterval is how often an owner without runs here hears of the
	// worker.
	idleStateInterval = 250 * time.Millisecond
	// busyStateInterval bounds the age of the clock stamp that an owner renews
	// its lease with.
	busyStateInterval = 100 * time.Millisecond
	// roomyShare of the processors must be free for reports at that interval: what
	// all entries together send meanwhile then still fits.
	spareCapacityShare = 0.45
	// minStateInterval bounds the rate of reports to one owner.
	minStateInterval = 15 * time.Millisecond
	// endsKept is how long ends are kept for an owner whose link broke.
	outcomeRetention = 3 * time.Second
	// reportTimeout is how long a worker counts as there without a report or an
	// answer; its reports come every 1.5 s.
	reportTimeout = 5 * time.Second
)
