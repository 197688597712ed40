package yuccareplica

import (
	"math/rand/v2"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Options configures a Core.
type Options struct {
	// ID is the id of this replica's data folder.
	ID uint64
	// Random is the source of election timeout jitter.
	Random *rand.Rand
	// Voters is the number of voters to maintain. Further replicas stay
	// learners and replace voters that are lost. Zero makes every replica a
	// voter.
	Voters int
	// MaxInflightBytes limits the entries that are sent to a replica and not
	// confirmed, unless a single one is larger. Zero means the default of 4 MB.
	MaxInflightBytes int
}

// Stored is the persistent state read from disk at startup.
type Stored struct {
	HardState *yuccawire.HardState
	// Snapshot is the latest snapshot. Its replicas are set once the group
	// has been formed.
	Snapshot *yuccawire.InstallSnapshot
	Entries  []*yuccawire.Entry
}

// Core is the consensus state of one replica. It is not safe for concurrent
// use.
type Core struct {
	options Options
	role    role
	term    uint64
	vote    uint64
	leader  uint64
	log     memoryLog
	commit  uint64
	applied uint64
	// savedCommit is the commit index in the last hard state handed out for
	// writing. commitSavedAt is the time of the last write by saveCommit.
	savedCommit   uint64
	commitSavedAt time.Time
	// synced is the last log index that is on disk.
	synced   uint64
	replicas *yuccawire.Replicas
	// replicasIndex is the index of the entry or snapshot that set replicas.
	replicasIndex uint64

	electionDeadline time.Time
	// lastLeaderContact is the time of the last message from the leader, or of
	// the start. No votes are granted for MinElectionTimeout after it.
	lastLeaderContact time.Time
	votesReceived     map[uint64]bool
	// incoming is the snapshot of which parts have arrived.
	incoming *incomingSnapshot

	// The fields of this group are used by the leader only.
	progress map[uint64]*progress
	// round numbers the heartbeats. roundSentAt holds the send times of the
	// latest maxTrackedRounds.
	round         uint64
	roundSentAt   map[uint64]time.Time
	nextHeartbeat time.Time
	// termStartIndex is the index of the first entry of the leader's term.
	termStartIndex uint64
	leaderSince    time.Time

	ready Ready
}

// progress is the leader's view of one replica's log. ackedSendTime is the send
// time of the latest heartbeat that the replica has acknowledged.
type progress struct {
	matchIndex     uint64
	nextIndex      uint64
	flow           flow
	ackedSendTime  time.Time
	snapshotSentAt time.Time
	// snapshotRound is the round in which the snapshot was sent.
	snapshotRound uint64
	// transfer is the snapshot that is sent in parts, if there is one.
	transfer *transfer
}

// Ready holds the pending work of a Core. The caller processes the fields in
// order.
type Ready struct {
	// Snapshot replaces the state and the whole log.
	Snapshot *yuccawire.InstallSnapshot
	// HardState must be synced before AfterSync is sent.
	HardState *yuccawire.HardState
	// Entries must be synced before AfterSync is sent. The first one truncates
	// the log at its index.
	Entries []*yuccawire.Entry
	// Immediate holds messages that may be sent right away.
	Immediate []*yuccawire.Replica
	// AfterSync holds messages to send once all of the above is synced.
	AfterSync []*yuccawire.Replica
	// Committed holds the entries to apply, in order.
	Committed []*yuccawire.Entry

	term uint64
}

// IsEmpty reports whether there is no pending work.
func (r Ready) IsEmpty() bool {
	return !r.MustSync() && len(r.Immediate) == 0 && len(r.AfterSync) == 0 && len(r.Committed) == 0
}

// MustSync reports whether there is anything to write to disk.
func (r Ready) MustSync() bool {
	return r.Snapshot != nil || r.HardState != nil || len(r.Entries) > 0
}

// SyncMark identifies the last log index that a Ready writes to disk, and the
// term in which the Ready was created.
type SyncMark struct {
	index uint64
	term  uint64
}

// SyncMark returns the mark to pass to [Core.Synced] once the Ready is synced.
func (r Ready) SyncMark() SyncMark {
	if len(r.Entries) == 0 {
		return SyncMark{index: r.Snapshot.GetIndex(), term: r.term}
	}
	return SyncMark{index: r.Entries[len(r.Entries)-1].GetIndex(), term: r.term}
}

// New returns a core that starts as a follower with the stored state.
func New(options Options, stored Stored, now time.Time) *Core {
	if options.MaxInflightBytes == 0 {
		options.MaxInflightBytes = defaultMaxInflightBytes
	}
	c := &Core{
		options:           options,
		term:              stored.HardState.GetTerm(),
		vote:              stored.HardState.GetVote(),
		log:               newMemoryLog(stored.Snapshot, stored.Entries),
		commit:            stored.Snapshot.GetIndex(),
		applied:           stored.Snapshot.GetIndex(),
		lastLeaderContact: now,
	}
	c.commit = max(c.commit, min(stored.HardState.GetCommit(), c.log.lastIndex()))
	c.savedCommit = c.commit
	c.synced = c.log.lastIndex()
	c.term = max(c.term, c.log.lastTerm())
	c.updateReplicas()
	c.resetElectionDeadline(now)
	return c
}

// InitialSnapshot returns the snapshot from which a new group with these
// replicas starts.
func InitialSnapshot(replicas *yuccawire.Replicas) *yuccawire.InstallSnapshot {
	return &yuccawire.InstallSnapshot{Index: initialIndex, IndexTerm: 1, Replicas: replicas}
}

// Ready returns the pending work and clears it.
func (c *Core) Ready(now time.Time) Ready {
	if c.role == leader {
		c.broadcastEntries(now)
	}
	c.collectCommitted()
	r := c.ready
	r.term = c.term
	c.ready = Ready{}
	return r
}

func (c *Core) collectCommitted() {
	for c.applied < c.commit {
		e := c.log.entry(c.applied + 1)
		if e == nil {
			return
		}
		c.ready.Committed = append(c.ready.Committed, e)
		c.applied++
	}
}

// Synced records that everything up to the mark is on disk. Marks from an
// earlier term are ignored.
func (c *Core) Synced(now time.Time, mark SyncMark) {
	if mark.term != c.term || mark.index == 0 {
		return
	}
	c.synced = max(c.synced, mark.index)
	if c.role != leader {
		return
	}
	if p := c.progress[c.options.ID]; p != nil {
		p.matchIndex = max(p.matchIndex, mark.index)
	}
	c.advanceCommit(now)
}

// Compact replaces the log up to the index with a snapshot that holds the given
// state, and returns it. It returns nil if the index is not applied yet or is
// already covered by a snapshot.
func (c *Core) Compact(index uint64, state []byte) *yuccawire.InstallSnapshot {
	term, ok := c.log.termAt(index)
	if !ok || index > c.applied || index <= c.log.snapshot.GetIndex() {
		return nil
	}
	snapshot := &yuccawire.InstallSnapshot{
		Index: index, IndexTerm: term, State: state, Replicas: c.replicasAt(index),
	}
	c.log.compact(snapshot)
	return snapshot
}

// replicasAt returns the configuration in effect at the index.
func (c *Core) replicasAt(index uint64) *yuccawire.Replicas {
	for i := index; i >= c.log.firstIndex(); i-- {
		if r := c.log.entry(i).GetReplicas(); r != nil {
			return r
		}
	}
	return c.log.snapshot.GetReplicas()
}

func (c *Core) updateReplicas() {
	c.replicas, c.replicasIndex = c.log.latestReplicas()
}

// IsLeader reports whether this replica considers itself the leader. Another
// replica may lead a later term; see [Core.LeaseValid].
func (c *Core) IsLeader() bool { return c.role == leader }

// Leader returns the id of the leader, or zero if it is unknown.
func (c *Core) Leader() uint64 { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Commit returns the index of the last committed entry.
func (c *Core) Commit() uint64 { return c.commit }

// LogEntries returns the number of entries after the last snapshot.
func (c *Core) LogEntries() int { return len(c.log.entries) }

// LogBytes returns the total size of the commands after the last snapshot.
func (c *Core) LogBytes() int { return c.log.commandBytes }

// SnapshotIndex returns the index of the last entry in the last snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.GetIndex() }

// Replicas returns the configuration in effect. It must not be modified.
func (c *Core) Replicas() *yuccawire.Replicas { return c.replicas }

// Address returns the address of the replica with the id, or nil if the
// configuration does not contain it.
func (c *Core) Address(id uint64) *yuccawire.ReplicaAddress {
	for _, replicas := range [][]*yuccawire.ReplicaAddress{c.replicas.GetVoters(), c.replicas.GetLearners()} {
		for _, r := range replicas {
			if r.GetId() == id {
				return r
			}
		}
	}
	return nil
}

func (c *Core) isVoter(id uint64) bool {
	for _, r := range c.replicas.GetVoters() {
		if r.GetId() == id {
			return true
		}
	}
	return false
}

func (c *Core) quorum() int { return len(c.replicas.GetVoters())/2 + 1 }

func (c *Core) saveHardState() {
	c.ready.HardState = c.HardState()
	c.savedCommit = c.commit
}

// saveCommit writes the hard state if the commit index has advanced, at most
// once per commitSaveInterval. After a restart, the replica applies entries up
// to the saved index without waiting for a leader.
func (c *Core) saveCommit(now time.Time) {
	if c.commit > c.savedCommit && now.Sub(c.commitSavedAt) > commitSaveInterval {
		c.commitSavedAt = now
		c.saveHardState()
	}
}

func (c *Core) newMessage(to uint64) *yuccawire.Replica {
	return &yuccawire.Replica{From: c.options.ID, To: to, Term: c.term}
}

// HardState returns the current hard state, which a new log on disk must begin
// with.
func (c *Core) HardState() *yuccawire.HardState {
	return &yuccawire.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
}

// Entries returns the entries after the last snapshot. They must not be
// modified.
func (c *Core) Entries() []*yuccawire.Entry {
	return c.log.entries[:len(c.log.entries):len(c.log.entries)]
}
