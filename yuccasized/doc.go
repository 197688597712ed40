// Package yuccasized implements the JSON over HTTP interface for jobs whose tasks
// declare the resources they need. It serves the callers and operators of an
// entry, and it connects a side with its worker: the side calls the worker with a
// [WorkerClient], and the worker reports to the side's [Registry]. The package
// only translates; all decisions are made by [yuccaedge.Edge] and
// [yuccadriver.Driver].
//
// [SimulatedWorker] is a worker for tests and demonstrations.
//
// # Usage
//
//	callers := yuccasized.NewCallers(edge, metrics, logger)
//	operators := yuccasized.NewOperators(edge, yuccasized.OperatorOptions{...})
//	driver := yuccadriver.New(yuccadriver.Options{Client: yuccasized.NewWorkerClient("127.0.0.1:7401", logger), ...})
//	registry := yuccasized.NewRegistry(driver, logger)
package yuccasized

import "time"

const (
	// maxTasks limits the number of tasks of one job. The limit is the same for jobs
	// whose tasks are single HTTP requests.
	maxTasks = 10_000
	// maxJobBytes limits the size of the body of a submission, maxDocumentBytes that
	// of a configuration document.
	maxJobBytes      = 1 << 20
	maxDocumentBytes = 8 << 20
	// maxReportBytes limits the size of the body of a worker's report.
	maxReportBytes = 1 << 20
	// maxNameBytes limits the length of the id of a job, the name of a queue, and the
	// id and the service of a worker.
	maxNameBytes = 200
	// maxDeadline limits the deadline of a job and the timeout of a queue.
	maxDeadline = 10 * time.Minute
	// retryAfter is the default Retry-After of an error response: a new leader is
	// elected and broken links are reconnected within a second.
	retryAfter = time.Second
	// changeTimeout limits how long an operator's change may take. It leaves time
	// for one leader election and two disk syncs.
	changeTimeout = 3 * time.Second
	// maxConnections limits the connections to a worker. Four are enough for one
	// hold call, which waits for completions, and three concurrent start or stop
	// calls, which take a millisecond each.
	maxConnections = 4
	// reportInterval is the interval between the reports of a simulated worker.
	reportInterval = 500 * time.Millisecond
	// drainReports is how often a simulated worker reports at most that it is leaving,
	// drainReportDelay the time after a report without success.
	drainReports     = 6
	drainReportDelay = 100 * time.Millisecond
	// simulatedDowntime is how long a simulated worker is down after a crash.
	simulatedDowntime = time.Second
	// maxLease limits how long the runs of a simulated worker continue without a
	// renewal by its side.
	maxLease = time.Second
	// milli converts cores to millicores.
	milli = 1000
)
