// Package yuccaside implements the side process, which runs on each target host
// and executes the attempts that entries dispatch to the targets of that host.
//
// Targets announce themselves over loopback HTTP and renew the announcement.
// Entries connect to the side and send starts, which a [yuccagate.Gate] admits or
// refuses. The side forwards admitted attempts to the target and retains each
// result until the entry that owns the job releases it.
//
// # Usage
//
//	side := yuccaside.New(yuccaside.Options{...})
//	supervisor.Add(side)
//	supervisor.Add(side.Lease())
//	err := side.Announce(ctx, yuccaside.Announcement{...})
//	interrupted := side.Drain(ctx) // before the process exits
package yuccaside
