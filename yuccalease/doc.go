// Package yuccalease keeps the lease of a process and what control spreads with
// it: sections, members and fences.
//
// A side starts tasks, and an entry owns jobs, only under a lease. The lease
// counts from the moment at which the process sent its request, on its own
// monotonic clock, so control's reckoning of it always ends later. Control
// waits for [Duration] and the share [ClockDrift] of it before it counts a lease
// as lost.
//
// # Usage
//
//	client := yuccalease.New(yuccalease.Options{...})
//	supervisor.Add(client)
//	for event := range client.Events() { ... }
package yuccalease

import "time"

// Duration is how long a lease holds from the sending of its request.
const Duration = 3 * time.Second

// RenewInterval is the time between two renewals.
const RenewInterval = time.Second

// ClockDrift is the share by which the clocks of two processes may differ in
// rate: control waits this much longer than [Duration].
const ClockDrift = 0.05

// Grace is how long control waits before it counts a lease as lost.
const GracePeriod = Duration + Duration/20
