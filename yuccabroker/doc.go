// Package yuccabroker is the decision core of an entry for jobs whose tasks have
// sizes and may be tried again: it queues their tasks, places them on workers,
// and answers each job once.
//
// The entry that a caller has reached owns the job; no record of it is stored
// and nobody else is needed. At most one run of a task is alive at any time. A
// run is alive until its side has said how it ended, or until the leases that
// keep it alive have surely run out: that of this entry at the side, and that of
// the side at the worker.
//
// The core does no I/O and reads no clock. Its owner calls it from one
// goroutine with what happened, and carries out the actions that it returns.
//
// # Usage
//
//	broker := yuccabroker.New(yuccabroker.Options{...})
//	broker.Submit(now, job, waiter)
//	broker.Ends(now, "side-1", ends)
//	broker.Tick(now)
//	for _, action := range broker.Actions() { ... }
package yuccabroker

import "time"

const (
	// tierUrgent holds the tasks of the most urgent queues that can reach their
	// objective, tierInTime the others that can, tierLate the rest.
	tierUrgent = 0
	tierInTime = 1
	tierLate   = 2
	tierCount  = 3
	// milli is the number of thousandths in one.
	milli = 1000
	// beatInterval is the time between two renewals of the lease at a side that
	// runs something; five fit into one lease.
	heartbeatInterval = 100 * time.Millisecond
	// stampMaxAge is how old the stamp of a side's clock may be for new orders.
	maxReportAge = 350 * time.Millisecond
	// lossSlack is added to the leases before a silent run counts as over: the
	// stop of a run (50 ms), a tick at either end, and rounding.
	lossSlack = 120 * time.Millisecond
	// stateIntervalPerSide bounds what an entry receives to 330 reports a second.
	stateIntervalPerSide = 3 * time.Millisecond
	minStateInterval     = 25 * time.Millisecond
	maxStateInterval     = 250 * time.Millisecond
	// queuedShare is how much of a worker's processors may wait at its side.
	maxQueuedShare = 0.18
	// choices is the number of random workers that are compared for a task.
	sampleSize = 4
	// lateFactor times its objective is until when an answer is worth something, as
	// the users weigh it; a job of which nothing was sent out by then is refused.
	usefulFactor = 3
	// awayFactor is how much longer a task takes away from the rack of its data; the
	// users' deployments say 1.5 and 3. A worker there is taken while its free share
	// is above that part of the best other's.
	remoteRackFactor = 3
	// answerMargin is how long before a caller's deadline it is answered.
	answerMargin = 40 * time.Millisecond
	// withdrawMargin is how long before that the runs of a job that won't end are
	// withdrawn, so that their sides can say whether any has started: a round
	// trip, a tick at either end, and a stop.
	withdrawMargin = 80 * time.Millisecond
	// hopelessShare of a task's estimate must be left before its caller's
	// deadline; estimates are off by 40%, and workers up to a quarter faster.
	minTimeShare = 0.5
	// stopFactor times its chain, and stopSlack more, has to be left for a job at an
	// entry that is about to stop: half of the jobs end within their estimate, and
	// what is refused is not served at all.
	stopPathFactor = 1.3
	stopSlack      = 100 * time.Millisecond
	// sideKept is how long a side without a link is remembered, with the size of its
	// worker; as long as the mesh remembers an entry.
	sideRetention = time.Minute
	// outcomeKept is how long an outcome answers a late resend of its job.
	outcomeRetention = 10 * time.Second
	// priorityStep is how much later the objective of a job counts for each step
	// of its queue's priority.
	priorityStep = 50 * time.Millisecond
	// lateRankPerWork orders late jobs by the work that is left, in seconds of rank
	// for a core-second: jobs that are nearly done go first, so that as many as
	// possible are served and little is thrown away.
	lateRankPerWork = 10
	// nearlyDone is the part of a late job's tasks that may be left for the job to
	// be finished before new ones are begun: little work, and none thrown away.
	nearlyDoneDivisor = 3
	// pauseAfterRefusal keeps tasks from a side that has just refused one, until
	// it has reported again.
	refusalBackoff = 20 * time.Millisecond
)
