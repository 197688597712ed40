// Package yuccaestimate learns how long tasks take: for each queue the distribution of
// the ratio of run time to estimate, and for each worker its speed, separated from
// the error of the estimates.
//
// The package does no I/O and reads no clock. Its methods must be called from one
// goroutine. Memory is bounded by the numbers of queues and workers in [Options].
//
// # Usage
//
//	estimator := yuccaestimate.New(yuccaestimate.Options{})
//	estimator.Observe(now, "trim", "side-1", 200*time.Millisecond, 260*time.Millisecond)
//	expected := estimator.RunTime("trim", "side-1", 180*time.Millisecond, yuccaestimate.Median)
package yuccaestimate

import "time"

// Percentiles that are kept at hand; others are computed at each call.
const (
	Quartile      = 25
	Median        = 50
	UpperQuartile = 75
	// StoppedFrom is the percentile beyond which the run time of a stopped run is
	// recorded, as a lower bound.
	StoppedFrom = 95
	Tail        = 99
)

const (
	// MinRuns is how many runs of a queue are needed before its ratio is used.
	MinRuns = 30

	defaultMaxQueues  = 64
	defaultMaxWorkers = 2048
	defaultHalf       = 10 * time.Second

	// minRatio and maxRatio limit the recorded ratios. ratioUnits is the number of
	// units of the histogram in a ratio of 1: with two significant digits the
	// smallest ratio has to be 100 units for an error of 1%.
	minRatio          = 0.05
	maxRatio          = 50
	ratioUnits        = 2000
	significantDigits = 2
	// refreshDivisor times more runs than at the last computation of the percentiles
	// at hand change them little enough to use them still.
	refreshDivisor = 32

	// speedRuns is the number of runs over which the speed of a worker is averaged.
	// A new worker counts as having had priorRuns runs at speed 1: the tasks of a job
	// share the error of its estimate, which is up to 40%.
	speedRuns = 20
	priorRuns = 4
	// minSpeed and maxSpeed limit what one run says about the speed of its worker.
	minSpeed = 0.1
	maxSpeed = 10
	// The median speed of the workers is computed after at least minMedianRuns runs,
	// and one run for medianDivisor workers, so that its cost is spread over them.
	minMedianRuns = 16
	medianDivisor = 4
)
