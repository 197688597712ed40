// Package yuccaside runs the process that stands beside one target host.
//
// Targets announce themselves to it over loopback HTTP and renew. Entries open
// links to it and send starts, which the gate admits or refuses; admitted ones
// are passed to the target, and their results are kept until their owner has
// them.
//
// # Usage
//
//	side := yuccaside.New(yuccaside.Options{...})
//	supervisor.Add(side)
//	err := side.Announce(ctx, yuccaside.Announcement{...})
//	side.Drain(ctx) // before the process ends
package yuccaside
