// Package yuccamodel plays the decisions of entries and sides against a model of
// workers, links and callers, in one goroutine and on a clock of its own. It has
// no code outside its tests.
//
// # Usage
//
//	go test ./yuccamodel -run TestFaults -seeds 200 -first-seed 1000
package yuccamodel
