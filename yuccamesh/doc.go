// Package yuccamesh maintains links between the entries and sides of a
// deployment with peer discovery.
//
// Each process dials every entry that it knows: those at the seed addresses of
// its settings, and those in the rosters of its peers. A link that receives
// nothing for too long is closed and dialled again over a new connection, since
// an open connection may never deliver anything again.
//
// # Usage
//
//	mesh := yuccamesh.New(yuccamesh.Options{...})
//	supervisor.Add(mesh)
//	for event := range mesh.Events() { ... }
package yuccamesh

import "time"

const (
	// dialTimeout is far above a round trip between data centres, and well below
	// the second within which a side should be connected again.
	dialTimeout = 400 * time.Millisecond
	// minRedialDelay and maxRedialDelay limit the backoff before an address is
	// dialled again.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
	// rosterInterval is the time between two roster messages on a link. They also
	// serve as heartbeats.
	rosterInterval = 400 * time.Millisecond
	// fullRosterInterval is the time between two full rosters while no member
	// changes. It is well below the retention of members in a roster.
	fullRosterInterval = 4 * time.Second
	// silenceTimeout is the time without any message after which a link is closed:
	// three lost rosters.
	silenceTimeout     = 1300 * time.Millisecond
	eventQueueCapacity = 4096
)
