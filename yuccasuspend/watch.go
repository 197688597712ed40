// Package yuccasuspend notices that the machine stood still while the clock of
// the runtime did not count.
//
// Leases are kept on the monotonic clock, which stops while a machine is
// suspended; the leases of its peers do not. The owner of a lease therefore
// asks before it acts on one.
//
// # Usage
//
//	watch := yuccasuspend.New()
//	if stood := watch.Stood(); stood > 0 {
//		// treat every lease as run out
//	}
package yuccasuspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// threshold is the least difference that counts; reading two clocks one after
// the other differs by far less.
const minSuspension = 50 * time.Millisecond

// Watch compares two clocks. It is not safe for concurrent use.
type Watch struct {
	lastTotal time.Duration
}

// New returns a watch that counts from now.
func New() *Watch {
	w := &Watch{}
	w.lastTotal = totalSuspended()
	return w
}

// Stood returns how long the machine stood still since the last call, zero if
// it did not.
func (w *Watch) SuspendedFor() time.Duration {
	total := totalSuspended()
	suspended := total - w.lastTotal
	if suspended < minSuspension {
		return 0
	}
	w.lastTotal = total
	return suspended
}

// difference is how much longer the machine has been up than running.
func totalSuspended() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
