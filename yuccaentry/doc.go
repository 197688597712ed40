// Package yuccaentry runs an entry host: it takes callers' jobs and single
// requests over HTTP, has the dispatcher decide on them, and moves messages
// between it, control, the sides and the other entries.
//
// # Usage
//
//	entry := yuccaentry.New(yuccaentry.Options{...})
//	supervisor.Add(entry)
//	supervisor.Add(entry.Lease())
//	http.Serve(listener, entry.Handler())
//	answer := entry.Submit(ctx, submission) // what the handler does
//	entry.Drain(ctx)
package yuccaentry
