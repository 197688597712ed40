//go:build race

package yuccamodel_test

// With the race detector, plays take ten times as long: one in playedShare of the single faults is played.
const playedShare = 53
