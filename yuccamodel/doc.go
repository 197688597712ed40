// Package yuccamodel contains tests that run the decision code of entries and
// sides against simulated workers, links and callers, in one goroutine with
// simulated time. It has no code outside its tests.
//
// # Usage
//
//	go test ./yuccamodel -run TestFaults -seeds 200 -first-seed 1000
//	go test ./yuccamodel -run TestEverySingleFault -v
//	go test ./yuccamodel -run TestPairsOfFaults -first-faults 1000 -first-seed 1000 -v
package yuccamodel
