//go:build !race

package yuccamodel_test

// Of the single faults all are played, of those of TestPlantedFaultsAreReported one in plantedShare.
const (
	playedShare = 1
)
