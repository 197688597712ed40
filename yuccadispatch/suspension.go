package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccalease"
)

// HandleSuspension processes a suspension of the machine, during which its monotonic
// clock stopped: the lease may have expired, and all deadlines are closer than that
// clock tells.
func (d *Dispatcher) HandleSuspension(suspendedFor time.Duration) {
	d.lease = yuccalease.Lease{}
	for j := range d.unsettled {
		j.Deadline = j.Deadline.Add(-suspendedFor)
		j.expireAt = j.expireAt.Add(-suspendedFor)
		if j.takeover != nil && !j.takeover.claimedAt.IsZero() {
			j.takeover.claimedAt = j.takeover.claimedAt.Add(-suspendedFor)
		}
	}
}
