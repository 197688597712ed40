// Package yuccacontrol runs one control: a replica of the system's own state
// and, while it leads, the source of leases, members and configuration.
//
// One goroutine makes all decisions. Around it stand a writer for the disk, a
// peer for each other replica, and a reader for each link that was accepted.
//
// # Usage
//
//	control, err := yuccacontrol.New(yuccacontrol.Options{...})
//	supervisor.Add(control)
//	result, err := control.Apply(ctx, command) // an operator's change
//	status, err := control.Status(ctx)
package yuccacontrol
