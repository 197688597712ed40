// Package yuccagate implements admission control at the side of a target. It
// decides whether an attempt at a task may start, and records the outcome of each
// attempt.
//
// An attempt starts at most once. A refused attempt was not run and stays
// refused, even if the same start arrives again later. The package does no I/O.
// The embedding process calls it from a single goroutine and acts on the returned
// decisions.
//
// # Usage
//
//	gate := yuccagate.New(yuccagate.Options{Incarnation: 7, DataCentre: "cusco"})
//	gate.SetLease(lease)
//	decision := gate.Start(now, deadline, start)
//	if decision.Admitted() {
//		// run the task, then:
//		gate.Finish(start.GetKey(), finished)
//	}
package yuccagate
