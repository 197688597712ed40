// Package yuccasuspend detects that the machine was suspended.
//
// Leases expire by the monotonic clock, which does not advance while the machine
// is suspended. Its peers' clocks do advance, so a lease may have expired for them
// while it still looks valid here. The holder of a lease therefore has to check for
// a suspension before it relies on the lease.
//
// # Usage
//
//	monitor := yuccasuspend.NewMonitor()
//	granted, at := monitor.Check().Count, time.Now() // with the lease
//	if monitor.Check().Count != granted || time.Since(at) > leaseDuration {
//		// treat the lease as expired
//	}
package yuccasuspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is detected. It is far longer than
// the time between the readings of the two clocks.
const minSuspension = 50 * time.Millisecond

const (
	// maxReadingTime is how long reading the clocks may take for the result to count.
	maxReadingTime = minSuspension / 5
	// maxReadings limits how often the clocks are read again.
	maxReadings = 100
)

// watch detects suspensions of the machine by comparing CLOCK_BOOTTIME, which
// advances during a suspension, with CLOCK_MONOTONIC, which does not. It is not safe
// for concurrent use.
type watch struct {
	// lastTotal is the total when the last suspension was detected.
	lastTotal time.Duration
}

// advance returns how long the machine was suspended since the last detected
// suspension, or zero if it is shorter than minSuspension.
func (w *watch) advance(total time.Duration) time.Duration {
	suspended := total - w.lastTotal
	if suspended < minSuspension {
		return 0
	}
	w.lastTotal = total
	return suspended
}

// processStart is read with a monotonic reading, from which the time since then is known
// without a system call.
var processStart = time.Now()

// totalSuspended returns the total time that the machine was suspended, up to a constant.
func totalSuspended() time.Duration {
	return measureSuspended(func() time.Duration { return time.Since(processStart) }, readBootClock)
}

// readBootClock returns the reading of CLOCK_BOOTTIME, or zero if it can't be read.
func readBootClock() time.Duration {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}

// measureSuspended returns the difference of the two clocks. If the process stands still
// between the readings, they are repeated. The result is never too high, as a suspension that
// is shorter than the excess would go unnoticed later.
func measureSuspended(readMonotonic, readBoot func() time.Duration) time.Duration {
	var suspended time.Duration
	for range maxReadings {
		before := readMonotonic()
		boot := readBoot()
		after := readMonotonic()
		suspended = boot - after
		if after-before < maxReadingTime {
			break
		}
	}
	return suspended
}
