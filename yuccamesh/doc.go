// Package yuccamesh keeps links between the entries and sides of a deployment
// that finds its members by itself.
//
// Each process dials every entry that it knows: those at the few addresses of
// its settings, and those that its peers name. A link that stays silent is
// closed and dialled again over a new connection, since an open connection may
// go silent for good.
//
// # Usage
//
//	mesh := yuccamesh.New(yuccamesh.Options{...})
//	supervisor.Add(mesh)
//	for event := range mesh.Events() { ... }
package yuccamesh

import "time"

const (
	// dialTimeout is far above a round trip between data centres, and short
	// against the second within which a side should be back.
	dialTimeout = 400 * time.Millisecond
	// minRedial and maxRedial bound the wait after a link has ended.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
	// rosterInterval is the time between two rosters on a link; it also keeps an
	// idle link from being taken for silent.
	rosterInterval = 400 * time.Millisecond
	// fullInterval is the time between two whole rosters on a link where nothing
	// changes; short against the time for which a roster remembers.
	fullRosterInterval = 4 * time.Second
	// silenceTimeout is three lost rosters.
	silenceTimeout     = 1300 * time.Millisecond
	eventQueueCapacity = 4096
)
