// Package yuccacontrol runs a control, a replica of the cluster state. The leader
// grants leases, tracks the members of the cluster and distributes the
// configuration.
//
// A single goroutine owns the state and runs the event loop. Other goroutines
// write to the disk, connect to the other replicas and read accepted links; they
// exchange messages with the loop over channels.
//
// # Usage
//
//	control, err := yuccacontrol.New(yuccacontrol.Options{...})
//	supervisor.Add(control)
//	result, err := control.Apply(ctx, command) // an operator's change
//	status, err := control.Status(ctx)
package yuccacontrol
