// Package yuccamesh maintains links between the entries and sides of a
// deployment with peer discovery.
//
// Each process dials the entries that a [yuccatopology.Topology] chooses among
// those that it knows: those at the seed addresses of its settings, and those in
// the rosters of its peers. A link on which nothing is received for too long is
// closed and dialled again over a new connection, since an open connection may
// never deliver anything again.
//
// Processes tell each other of changed members as soon as they learn of them, and
// fetch the full roster of one peer at intervals. A heartbeat is sent only on links
// that are otherwise idle; its interval grows with the number of links of the
// process.
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
	// tickInterval is the time between two checks for links that need a heartbeat,
	// are silent or are no longer wanted, and for changed members to broadcast.
	tickInterval = 100 * time.Millisecond
	// A process leaves a link idle for heartbeatPerLink times the number of its
	// links or of the entries that it knows, within minHeartbeatInterval and
	// maxHeartbeatInterval. It thus sends at most 40 heartbeats a second on up to 40
	// links.
	heartbeatPerLink     = 25 * time.Millisecond
	minHeartbeatInterval = 400 * time.Millisecond
	maxHeartbeatInterval = time.Second
	// A link is closed after silenceFactor times the interval of the peer's
	// heartbeats, and silenceSlack, without any message.
	silenceFactor = 2.5
	silenceSlack  = 300 * time.Millisecond
	// entrySyncInterval and sideSyncInterval are the times between two requests for
	// the full roster of a peer. They are well below the retention of members.
	entrySyncInterval = 10 * time.Second
	sideSyncInterval  = 20 * time.Second
	// sectionRequestTimeout is how long a process waits for a section that it has
	// requested before it requests it from another entry.
	sectionRequestTimeout = 200 * time.Millisecond
	eventQueueCapacity    = 4096
)
