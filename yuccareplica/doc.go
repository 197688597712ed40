// Package yuccareplica is the decision core of the replicated log: elections
// with pre-vote, quorum appends, snapshots, a leader lease, and membership
// changes one replica at a time.
//
// The core does no I/O and reads no clock. Its owner feeds it messages, ticks
// and the progress of its disk, and then carries out what [Core.Ready] returns:
// entries and the hard state go to disk, some messages leave at once, others
// only after the sync, and committed entries are applied.
//
// A replica is known by the id of its data folder. One that lost its disk comes
// back with another id, is no voter, and becomes one only by a membership
// change after it has caught up.
//
// # Usage
//
//	core := yuccareplica.New(options, stored, now)
//	core.Step(now, message)
//	core.Tick(now)
//	ready := core.Ready(now)
//	// write ready.HardState and ready.Entries, sync, then:
//	core.Synced(now, ready.SyncMark())
package yuccareplica

import "time"

// Timing of elections. The leader's lease is shorter than the time for which
// followers refuse to vote, by more than the clocks may drift.
const (
	// HeartbeatInterval is the time between two appends to an idle follower.
	HeartbeatInterval = 100 * time.Millisecond
	// MinElectionTimeout is how long a follower hearsLeader a silent leader.
	MinElectionTimeout = 500 * time.Millisecond
	// MaxElectionTimeout is the latest start of an election.
	MaxElectionTimeout = 850 * time.Millisecond
	// LeaderLease is how long a leader acts on the last word of a quorum.
	LeaderLease = 400 * time.Millisecond
)

const (
	maxAppendBytes        = 1 << 20
	maxAppendEntries      = 1024
	maxInflightAppends    = 32
	snapshotRetryInterval = 5 * time.Second
	defaultLearnerTimeout = 10 * time.Second
	// commitSaveInterval spaces the syncs that only bring the commit to disk.
	commitSaveInterval = 200 * time.Millisecond
	// voterTimeout is how long a voter may be silent before a learner takes its
	// place; longer than an election and a restart.
	voterTimeout = 2500 * time.Millisecond
)
