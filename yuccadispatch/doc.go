// Package yuccadispatch is the decision core of an entry: it admits jobs,
// claims them, queues and places their tasks, collects results, and answers
// each job once.
//
// The package does no I/O and reads no clock. Its owner calls it from one
// goroutine with what happened, and carries out the actions that it returns.
//
// A job passes these steps, each in a file of its own: admit, claim, queue and
// place, collect, answer. Take-over joins after the claim.
//
// # Usage
//
//	dispatcher := yuccadispatch.New(yuccadispatch.Options{...})
//	admission := dispatcher.Submit(now, submission)
//	dispatcher.TaskFinished(now, "side-1", finished)
//	dispatcher.Tick(now)
//	for _, action := range dispatcher.Actions() { ... }
package yuccadispatch
