// Package yuccasuspend detects that the machine was suspended.
//
// Leases expire by the monotonic clock, which does not advance while the machine
// is suspended. Its peers' clocks do advance, so a lease may have expired for them
// while it still looks valid here. The holder of a lease therefore has to check for
// a suspension before it relies on the lease.
//
// # Usage
//
//	watch := yuccasuspend.New()
//	if suspended := watch.SuspendedFor(); suspended > 0 {
//		// treat all leases as expired
//	}
package yuccasuspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is detected. It is far longer than
// the time between the readings of the two clocks.
const minSuspension = 50 * time.Millisecond

// Watch detects suspensions of the machine by comparing CLOCK_BOOTTIME, which
// advances during a suspension, with CLOCK_MONOTONIC, which does not. It is not safe
// for concurrent use.
type Watch struct {
	// lastTotal is the result of totalSuspended when the last suspension was
	// detected.
	lastTotal time.Duration
}

// New returns a watch that ignores suspensions before the call.
func New() *Watch {
	w := &Watch{}
	w.lastTotal = totalSuspended()
	return w
}

// SuspendedFor returns how long the machine was suspended since the last detected
// suspension, or zero if it is shorter than minSuspension.
func (w *Watch) SuspendedFor() time.Duration { return w.advance(totalSuspended()) }

func (w *Watch) advance(total time.Duration) time.Duration {
	suspended := total - w.lastTotal
	if suspended < minSuspension {
		return 0
	}
	w.lastTotal = total
	return suspended
}

// totalSuspended returns the total time that the machine was suspended since boot,
// or zero if a clock can't be read.
func totalSuspended() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
