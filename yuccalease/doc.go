// Package yuccalease maintains the lease of a process on the control group, and
// receives the sections, members and fences that control distributes with it.
//
// A side starts tasks, and an entry owns jobs, only while its lease is valid.
// The process measures the lease from the time at which it sent the request, on
// its own monotonic clock, and control measures it from the receipt. Control
// therefore expires the lease later than the process does. To allow for clocks
// that run at different rates, it also extends [Duration] by the fraction
// [ClockDrift].
//
// # Usage
//
//	client := yuccalease.New(yuccalease.Options{...})
//	supervisor.Add(client)
//	for update := range client.Updates() { ... }
package yuccalease

import "time"

// Duration is how long a lease is valid after its request was sent.
const Duration = 3 * time.Second

// RenewInterval is the maximum time between renewals of a lease.
const RenewInterval = time.Second

// ClockDrift is the fraction by which the clock rates of two processes may differ.
const ClockDrift = 0.05

// GracePeriod is how long control waits after a renewal before it treats the
// lease as lost. It is [Duration] extended by [ClockDrift].
const GracePeriod = Duration + Duration/20
