// Package yuccaworker implements the state machine of a side that drives a
// worker on behalf of entries. It queues and starts runs, stops them, renews the
// lease under which the worker keeps them running (the hold), and processes the
// worker's list of completed runs.
//
// The state machine does no I/O and reads no clock. The embedding process calls
// it from a single goroutine for each event and executes the returned actions.
//
// Two leases limit the lifetime of a run. The side stops the runs of an entry
// whose owner lease expires, and the worker stops all its runs when the side no
// longer renews the hold. A process that stands still does neither before it goes on:
// the expiry of a lease by another clock is no proof that a run has ended. The side
// reports the end of a run when the worker's lists or its next incarnation show it, or
// when its process or its machine is gone.
//
// # Usage
//
//	worker := yuccaworker.New(yuccaworker.Options{...}, now)
//	worker.HandleReport(now, report)
//	worker.HandleOrders(now, owner, orders)
//	worker.HandleHoldReply(now, reply)
//	worker.Tick(now)
//	for _, action := range worker.Actions() { ... }
package yuccaworker

import "time"

// OwnerLease is the duration of an owner's lease, counted from the latest time
// stamp of the side's clock that the owner has sent back. OwnerLease, [Hold] and
// the time to stop a run together stay below the 1.3 s after which a caller may
// submit its job elsewhere.
const OwnerLease = 550 * time.Millisecond

// Hold is how long the worker keeps its runs after the last renewal that it
// received.
const Hold = 450 * time.Millisecond

// ClockDrift is the maximum fraction by which the worker's clock runs slow.
const ClockDrift = 0.02

// OutcomeRetention is how long a side retains outcomes for an owner whose link is down.
const OutcomeRetention = 3 * time.Second

const (
	// holdWait is how long the worker may delay the answer to a renewal until a
	// run completes. No completions arrive until the timeout of a lost renewal
	// expires: with one call in sixteen lost, a wait of 120 ms made a third of the
	// shortest jobs late.
	holdWait = 50 * time.Millisecond
	// holdTimeout is when a renewal counts as lost, with a margin for a slow
	// processor. Five timeouts fit into one Hold.
	holdTimeout = holdWait + 30*time.Millisecond
	// startTimeout is the timeout of the first try of a start. A worker on the
	// same host answers within a few milliseconds, and starts are idempotent. The
	// timeout doubles with each try, to allow for a slow processor, up to
	// callTimeout.
	startTimeout = 40 * time.Millisecond
	callTimeout  = 120 * time.Millisecond
	// takeOverRetry is the interval between attempts to take over a worker.
	takeOverRetry = 150 * time.Millisecond
	// unresponsiveAfter is how long a worker with runs may leave all calls
	// unanswered before its hold is no longer extended. Two renewals fit into it.
	unresponsiveAfter = 300 * time.Millisecond
	// maxListAge is the maximum age of the worker's lists for a health check:
	// lost answers delay the news of completed runs, which then look overdue.
	maxListAge = holdTimeout
	// maxAckAge is how old the worker's last lists may be for its completions to be
	// acknowledged. It is far less than a worker takes to restart.
	maxAckAge = 100 * time.Millisecond
	// stopRetry is the interval at which an unanswered stop is sent again.
	stopRetry = 100 * time.Millisecond
	// maxStopTime is how long the stop of a withdrawn run may stay unanswered before the
	// hold is no longer extended. With it, OwnerLease as the longest time that the
	// withdrawal takes to arrive, and Hold, the run ends within 1.3 s.
	maxStopTime = 200 * time.Millisecond
	// stopTime is how long a worker takes to stop a run, with a margin. It may list the run
	// neither as running nor as completed in that time.
	stopTime = 60 * time.Millisecond
	// loggedStopTry is the try of a stop that is logged.
	loggedStopTry = 3
	// maxForeignStops limits how many runs that the side doesn't know are stopped after an
	// answer, since each call waits in a goroutine. The next answer lists the others again.
	maxForeignStops = 1000
	// maxStartTries limits the tries of an unanswered start. A worker answers a
	// start of a run that is already running like the first one.
	maxStartTries = 3
	// maxQueuedShare limits the demand of queued tasks, as a fraction of the
	// worker's capacity. Queued tasks fill freed capacity without a round trip to
	// the owner.
	maxQueuedShare = 0.2
	// tierCount is the number of priority tiers; tier 0 is the most urgent.
	tierCount = 3
	// maxQueuedRuns limits the length of the queue across all tiers.
	maxQueuedRuns = 64
	// maxBackfill is how many queued tasks are considered when those before them
	// don't fit.
	maxBackfill = 6
	// idleStateInterval is the interval of state messages to an owner without runs
	// on this worker, until the owner requests another one.
	idleStateInterval = 250 * time.Millisecond
	// busyStateInterval is the maximum interval of state messages to an owner with
	// runs. It limits the age of the time stamp with which the owner renews its
	// lease.
	busyStateInterval = 100 * time.Millisecond
	// spareCapacityShare is the fraction of the processors that must be free for
	// state messages at busyStateInterval only: the orders that all entries send
	// in the meantime then still fit.
	spareCapacityShare = 0.45
	// minStateInterval limits the rate of state messages to one owner.
	minStateInterval = 15 * time.Millisecond
	// maxReportAge is how old the worker's last report may be for its capacity to
	// count as known, for example after the side stood still. Workers report every
	// 1.5 s.
	maxReportAge = 4 * time.Second
	// maxClockAge is how old a reading of the worker's clock may be when it arrives. A
	// worker sends a report to another process after a second.
	maxClockAge = time.Second
	// reportTimeout is how long a worker counts as reachable without a report or
	// an answer. Workers report every 1.5 s.
	reportTimeout = 5 * time.Second
)
