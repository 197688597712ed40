package yuccalease_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccasuspend"
)

// The machine is suspended while the renewal or its reply is on the way, or before the
// update is read.
func TestLeaseEndsWithASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var total atomic.Int64
		monitor := yuccasuspend.NewMonitorOf(func() time.Duration { return time.Duration(total.Load()) })
		control := newFakeControl(t.Context(), t, monitor)
		suspend := func(d time.Duration) func() { return func() { total.Add(int64(d)) } }
		if u := control.renew(suspend(0)); !u.Lease.Valid(time.Now()) || u.Suspensions != 0 {
			t.Errorf("got %+v, want a lease", u)
		}
		if u := control.renew(suspend(5 * time.Second)); u.Lease.Valid(time.Now()) || u.Suspensions != 1 {
			t.Errorf("suspended before the reply: got %+v, want no lease", u)
		}
		if u := control.renew(suspend(0)); !u.Lease.Valid(time.Now()) || u.Suspensions != 1 {
			t.Errorf("renewed since: got %+v, want a lease", u)
		}
	})
}
