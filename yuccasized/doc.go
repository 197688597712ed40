// Package yuccasized is the product's own interface for jobs whose tasks have
// sizes: JSON over HTTP for callers and operators of an entry, and between a side
// and a worker that is driven by orders. It decides nothing; [yuccaedge.Edge] and
// [yuccadriver.Driver] do.
//
// A [StandIn] is a worker for tests and for a first try.
//
// # Usage
//
//	callers := yuccasized.NewCallers(edge, metrics, logger)
//	operators := yuccasized.NewOperators(edge, yuccasized.OperatorOptions{...})
//	driver := yuccadriver.New(yuccadriver.Options{Caller: yuccasized.NewWorker("127.0.0.1:7401", logger), ...})
//	registry := yuccasized.NewRegistry(driver, logger)
package yuccasized

import "time"

const (
	// maxTasks bounds the tasks of one job, as for jobs of single requests.
	maxTasks = 10_000
	// maxJobBytes bounds the body of a job, maxDocumentBytes a whole document.
	maxJobBytes      = 1 << 20
	maxDocumentBytes = 8 << 20
	// maxReportBytes bounds what a worker says of itself.
	maxReportBytes = 1 << 20
	// maxNameBytes bounds the id of a job.
	maxNameBytes = 200
	// maxDeadline bounds the time that a caller may give a job.
	maxDeadline = 10 * time.Minute
	// retryAfter is what a caller is told where nothing better is known: leaders
	// are elected and links made anew within a second.
	retryAfter = time.Second
	// orderTimeout bounds an operator's change: an election and two syncs.
	changeTimeout = 3 * time.Second
	// maxConnections to a worker are enough for a renewal and three other calls,
	// which take a millisecond each.
	maxConnections = 4
	// reportInterval is how often a stand-in says that it is there.
	reportInterval = 500 * time.Millisecond
	// maxHold bounds how long a stand-in's runs go on without a renewal.
	maxLease = time.Second
	// milli is the number of thousandths in one.
	milli = 1000
)
