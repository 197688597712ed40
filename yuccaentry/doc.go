// Package yuccaentry runs an entry: it accepts jobs and single requests of callers
// over HTTP, schedules them with a [yuccadispatch.Dispatcher], and exchanges the
// dispatcher's messages with control, the sides and other entries.
//
// # Usage
//
//	entry := yuccaentry.New(yuccaentry.Options{...})
//	supervisor.Add(entry)
//	supervisor.Add(entry.Lease())
//	http.Serve(listener, entry.Handler())
//	answer, err := entry.Submit(ctx, submission) // called by the handler
//	entry.Drain(ctx)
package yuccaentry
