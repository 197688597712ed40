// Package yuccasystemtest contains tests that run complete systems over an in-memory
// network under testing/synctest, inject faults and check the recorded histories
// against the guarantees of yuccahistory.
//
// # Usage
//
//	go test ./yuccasystemtest
//	go test ./yuccasystemtest -run TestFaults -seeds 1000 -first-seed 1
package yuccasystemtest
