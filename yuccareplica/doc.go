// Package yuccareplica implements a Raft-like consensus state machine:
// elections with pre-vote, quorum appends, snapshots, a leader lease, and
// membership changes one replica at a time.
//
// The core performs no I/O and reads no clock. The caller passes in messages,
// ticks and disk syncs, then processes the [Ready] that [Core.Ready] returns:
// it writes the hard state and entries to disk, sends some messages immediately
// and others only after the sync, and applies committed entries.
//
// A replica is identified by the id of its data folder. A replica that lost its
// disk rejoins under a new id as a learner, and becomes a voter again through a
// membership change once it has caught up.
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

// Election timing. LeaderLease is shorter than MinElectionTimeout, during which
// followers refuse to vote, by more than the maximum clock drift.
const (
	// HeartbeatInterval is the time between appends to an idle follower.
	HeartbeatInterval = 100 * time.Millisecond
	// MinElectionTimeout is how long a follower stays with a leader that has
	// stopped sending, and refuses to vote for another one.
	MinElectionTimeout = 500 * time.Millisecond
	// MaxElectionTimeout is the upper bound of the randomized election
	// timeout.
	MaxElectionTimeout = 850 * time.Millisecond
	// LeaderLease is how long a leader may act after sending a heartbeat
	// that a quorum has acknowledged.
	LeaderLease = 400 * time.Millisecond
)

// MinInflightBytes is the least that [Options.MaxInflightBytes] may be.
const MinInflightBytes = 256 << 10

const (
	// maxAppendBytes is also the most that is sent of a snapshot at once.
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 1024
	// maxInflightAppends and the bytes of a flow limit what is sent to a replica
	// and not confirmed.
	maxInflightAppends      = 32
	defaultMaxInflightBytes = 4 << 20
	// maxConfirmTime is well below MinElectionTimeout, as heartbeats wait behind
	// the entries.
	maxConfirmTime        = 200 * time.Millisecond
	snapshotRetryInterval = 5 * time.Second
	defaultLearnerTimeout = 10 * time.Second
	// commitSaveInterval is the minimum time between writes of the hard state
	// that only update the commit index.
	commitSaveInterval = 200 * time.Millisecond
	// voterTimeout is how long a voter may go without acknowledging before a
	// learner replaces it. It exceeds the time of an election plus a restart.
	voterTimeout = 2500 * time.Millisecond
)
