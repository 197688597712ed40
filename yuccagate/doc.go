// Package yuccagate decides, at the side of a target, whether an attempt at a
// task may start, and remembers what became of each attempt.
//
// An attempt starts at most once. What the gate refuses was not run and stays
// refused, also when the same start arrives again late. The package does no
// I/O: its owner calls it from one goroutine and acts on what it returns.
//
// # Usage
//
//	gate := yuccagate.New(yuccagate.Options{Incarnation: 7, DataCentre: "cusco"})
//	gate.SetLease(lease)
//	verdict := gate.Start(now, deadline, start)
//	if verdict.Admitted() {
//		// run the task, then:
//		gate.Finish(start.GetKey(), finished)
//	}
package yuccagate
