//go:build !race

package yuccamodel_test

// Of the single faults all are played.
const playedShare = 1
