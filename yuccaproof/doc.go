// Package yuccaproof holds the tests that run whole systems in memory, under
// testing/synctest and with faults, and check their histories.
//
// # Usage
//
//	go test ./yuccaproof
//	go test ./yuccaproof -run TestFaults -seeds 1000 -first-seed 1
package yuccaproof
