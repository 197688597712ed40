// Package yuccabroker implements the scheduling core of an entry for jobs whose
// tasks have resource demands and may be retried: it queues the tasks, places
// them on workers, and answers each job once.
//
// The entry that receives a job owns it. No record of the job is stored. Callers may
// submit it again at another entry while it is open here, so that the other entries are told of
// jobs that last, and have to confirm it before tasks of older ones are placed: see
// openjobs.go for the jobs of this entry, elsewhere.go for those of the others, forward.go
// for entries that can't be reached directly, and gone.go for those that have ended. A few entries are
// told at which sides its tasks are ordered, as what only this entry knows is lost with it: see
// placements.go, lostplacements.go for the jobs of entries that were lost, and runsquery.go for what
// sides are asked about these. At most
// one run of a task is alive at any time. A run counts as alive until its side has reported
// its end, or the next process of the side has taken over the worker. The expiry of the leases that keep it alive
// frees what it used here and proves no end: its machine may stand still. A run that
// its side had not reported as settled may still start even after a takeover; its
// task is not placed again.
//
// The core does no I/O and reads no clock. Its methods must be called from one
// goroutine; they record events, and the resulting actions are fetched with
// [Broker.Actions].
//
// # Usage
//
//	broker := yuccabroker.New(yuccabroker.Options{...})
//	broker.Submit(now, job, waiter)
//	broker.HandleEnds(now, "side-1", ends)
//	broker.Tick(now)
//	for _, action := range broker.Actions() { ... }
package yuccabroker

import "time"

const (
	// tierUrgent is the tier of tasks that can still meet their job's objective and
	// whose queue has priority 0. tierInTime is that of other tasks that can, and of
	// late jobs that are nearly done. tierLate is that of the remaining late tasks.
	tierUrgent = 0
	tierInTime = 1
	tierLate   = 2
	tierCount  = 3
	// milli is the number of thousandths in one.
	milli = 1000
	// renewInterval is the time between two renewals of the lease at a side with
	// runs. Orders renew it too; most runs need no other renewal.
	renewInterval = 250 * time.Millisecond
	// maxBusyReportAge is how old the last report of a side with runs may be for its
	// lease to be renewed and for the side to get orders. Such a side reports every
	// 100 ms.
	maxBusyReportAge = 350 * time.Millisecond
	// maxUnseenOrderAge is how long a side may leave an order unmentioned in its
	// reports and still get further ones.
	maxUnseenOrderAge = 250 * time.Millisecond
	// machineDrift is the maximum difference in speed between the clocks of two
	// machines.
	machineDrift = 0.01
	// lossSlack is added to the leases before a run at a silent side counts as
	// lost: the stop of a run (50 ms), a tick at either end, and rounding.
	lossSlack = 120 * time.Millisecond
	// stateIntervalPerSide limits the reports of changed workers that an entry
	// receives to 330 a second, idleIntervalPerSide those of unchanged ones to 40.
	stateIntervalPerSide = 3 * time.Millisecond
	minStateInterval     = 25 * time.Millisecond
	maxStateInterval     = 250 * time.Millisecond
	idleIntervalPerSide  = 25 * time.Millisecond
	minIdleInterval      = 250 * time.Millisecond
	maxIdleInterval      = time.Second
	// idleReportSlack is added to the interval of an idle side before its last report
	// is too old: a late tick, and a slow link.
	idleReportSlack = 250 * time.Millisecond
	// maxQueuedShare is the share of a worker's processors for which tasks may be
	// queued at its side.
	maxQueuedShare = 0.18
	// sampleSize is the number of random workers that are compared for a task.
	sampleSize = 4
	// usefulFactor times the objective is how long an answer has any value to the
	// users. A job of which no task was sent is rejected once it can't be answered
	// by then.
	usefulFactor = 3
	// defaultRemoteRackFactor is the slowdown of a task outside the rack of its data,
	// unless the settings state another one.
	defaultRemoteRackFactor = 3
	// AnswerMargin is how long before the caller's deadline a job is answered.
	AnswerMargin = 40 * time.Millisecond
	// withdrawMargin is how long before the job is answered the runs of an
	// unfinished job are withdrawn, so that the sides can report whether any has
	// started: a round trip, a tick at either end, and the stop of a run.
	withdrawMargin = 80 * time.Millisecond
	// A task takes minTimeShare of its estimate at least. Estimates are off by 40%, and
	// workers are up to 1.6 times as fast, which makes 0.45.
	minTimeShare = 0.4
	// An entry that is about to stop rejects a job if less than stopPathFactor
	// times its critical path plus stopSlack is left. The margin is small: half of
	// the jobs complete within their estimate, and a rejected job isn't served.
	stopPathFactor = 1.3
	stopSlack      = 100 * time.Millisecond
	// sideRetention is how long a side without a link is retained, together with
	// the size of its worker. The mesh retains entries for the same time.
	sideRetention = time.Minute
	// outcomeRetention is how long an outcome is retained to answer resends.
	outcomeRetention = 10 * time.Second
	// priorityStep is added to the rank of a task for each step of its queue's
	// priority.
	priorityStep = 50 * time.Millisecond
	// lateRankPerWork orders late jobs by their remaining work, in seconds of rank
	// per core-second. Jobs that are nearly done go first, so that as many as
	// possible complete and little work is wasted.
	lateRankPerWork = 10
	// nearlyDoneDivisor defines when a late job is completed ahead of new jobs: at
	// most one in nearlyDoneDivisor of its tasks is left. That takes little work
	// and wastes none.
	nearlyDoneDivisor = 3
	// maxSkippedSuspects is how many suspect tasks may find no worker before the others
	// are not tried.
	maxSkippedSuspects = 4
	// meanRunWeight is the weight of a run in the moving average of run times.
	meanRunWeight = 0.02
	// refusalBackoff is how long a side that refused an order gets no new ones, so
	// that it can report its state first.
	refusalBackoff = 20 * time.Millisecond
	// busyBackoff is how long a task waits at least that was refused as its side has another run of it.
	busyBackoff = 50 * time.Millisecond
	// drainedBackoff is the same for a side that says that its data centre is drained, which
	// this entry has not heard. Its idle worker would be chosen first each time.
	drainedBackoff = 500 * time.Millisecond
)
