// Package yuccadispatch implements the scheduler of an entry. It admits jobs,
// claims them at control, queues their tasks, places them on sides, collects the
// results and answers each job once.
//
// The package does no I/O and reads no clock. The caller passes in events and
// the current time from a single goroutine, and executes the actions returned
// by [Dispatcher.Actions].
//
// The stages of a job are in separate files: admit.go, claim.go, place.go,
// collect.go and answer.go. A job taken over from a failed owner also passes
// through takeover.go after the claim.
//
// # Usage
//
//	dispatcher := yuccadispatch.New(yuccadispatch.Options{...})
//	admission := dispatcher.Submit(now, submission)
//	dispatcher.HandleFinished(now, "side-1", finished)
//	dispatcher.Tick(now)
//	for _, action := range dispatcher.Actions() { ... }
package yuccadispatch
