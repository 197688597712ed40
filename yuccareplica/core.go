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

// Options holds what a core needs.
type Options struct {
	// ID is the id of this replica's data folder.
	ID uint64
	// Random draws the election timeouts.
	Random *rand.Rand
	// Voters is the number of voters that the group keeps; other replicas stay
	// learners and take the place of a voter that is lost. Zero lets every
	// replica vote.
	Voters int
}

// Stored is what the disk holds at the start.
type Stored struct {
	HardState *yuccawire.HardState
	// Snapshot is the last one; its replicas are set once a group was formed.
	Snapshot *yuccawire.InstallSnapshot
	Entries  []*yuccawire.Entry
}

// Core is one replica's share of the group's decisions. It is not safe for
// concurrent use.
type Core struct {
	options Options
	role    role
	term    uint64
	vote    uint64
	leader  uint64
	log     memoryLog
	commit  uint64
	applied uint64
	// savedCommit is the commit that the disk was given last, at savedAt.
	savedCommit   uint64
	commitSavedAt time.Time
	synced        uint64
	replicas      *yuccawire.Replicas
	// replicasIndex is the index of the entry that set replicas.
	replicasIndex uint64

	electionDeadline time.Time
	// leaderSeen is when the leader last gave word; no votes are given for
	// MinElectionTimeout after it.
	lastLeaderContact time.Time
	votesReceived     map[uint64]bool

	progress       map[uint64]*progress
	round          uint64
	roundSentAt    map[uint64]time.Time
	nextHeartbeat  time.Time
	termStartIndex uint64
	leaderSince    time.Time

	ready Ready
}

// progress is what a leader knows of one replica.
type progress struct {
	matchIndex     uint64
	nextIndex      uint64
	inflight       int
	ackedSendTime  time.Time
	snapshotSentAt time.Time
}

// Ready is what the owner of a core has to carry out, in the order of the
// fields.
type Ready struct {
	// Snapshot replaces the state and the log.
	Snapshot *yuccawire.InstallSnapshot
	// HardState must be synced before AfterSync is sent.
	HardState *yuccawire.HardState
	// Entries must be synced before AfterSync is sent. The first one replaces
	// what stands at its index and after it.
	Entries []*yuccawire.Entry
	// Immediate messages may leave at once.
	Immediate []*yuccawire.Replica
	// AfterSync messages leave when all of the above is synced.
	AfterSync []*yuccawire.Replica
	// Committed entries are applied in order.
	Committed []*yuccawire.Entry

	term uint64
}

// Empty tells that there is nothing to do.
func (r Ready) IsEmpty() bool {
	return !r.MustSync() && len(r.Immediate) == 0 && len(r.AfterSync) == 0 && len(r.Committed) == 0
}

// MustSync tells that something goes to disk.
func (r Ready) MustSync() bool {
	return r.Snapshot != nil || r.HardState != nil || len(r.Entries) > 0
}

// Mark names the end of what one Ready brought to disk.
type SyncMark struct {
	index uint64
	term  uint64
}

// SyncMark returns the mark to report once the Ready is synced.
func (r Ready) SyncMark() SyncMark {
	if len(r.Entries) == 0 {
		return SyncMark{index: r.Snapshot.GetIndex(), term: r.term}
	}
	return SyncMark{index: r.Entries[len(r.Entries)-1].GetIndex(), term: r.term}
}

// New returns the core of a formed replica, as a follower.
func New(options Options, stored Stored, now time.Time) *Core {
	c := &Core{
		options:           options,
		term:              stored.HardState.GetTerm(),
		vote:              stored.HardState.GetVote(),
		log:               memoryLog{snapshot: stored.Snapshot, entries: stored.Entries},
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

// FirstSnapshot is the start of a new group with these replicas.
func InitialSnapshot(replicas *yuccawire.Replicas) *yuccawire.InstallSnapshot {
	return &yuccawire.InstallSnapshot{Index: initialIndex, IndexTerm: 1, Replicas: replicas}
}

// Ready returns what has to be carried out and forgets it.
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

// Synced reports that the disk holds everything up to the mark.
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

// Compact drops the entries that the snapshot of the state holds.
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

// replicasAt returns the configuration that holds at the index.
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

// IsLeader tells whether this replica leads, as far as it knows.
func (c *Core) IsLeader() bool { return c.role == leader }

// Leader returns the id of the leader as far as it is known, or zero.
func (c *Core) Leader() uint64 { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Commit returns the index of the last committed entry.
func (c *Core) Commit() uint64 { return c.commit }

// LogEntries returns the number of entries after the last snapshot.
func (c *Core) LogEntries() int { return len(c.log.entries) }

// Replicas returns the configuration in use. It must not be changed.
func (c *Core) Replicas() *yuccawire.Replicas { return c.replicas }

// Address returns the replica with that id, or nil.
func (c *Core) Address(id uint64) *yuccawire.ReplicaAddress {
	for _, list := range [][]*yuccawire.ReplicaAddress{c.replicas.GetVoters(), c.replicas.GetLearners()} {
		for _, r := range list {
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

// saveCommit lets the disk know, some time after the fact, what was committed.
func (c *Core) saveCommit(now time.Time) {
	if c.commit > c.savedCommit && now.Sub(c.commitSavedAt) > commitSaveInterval {
		c.commitSavedAt = now
		c.saveHardState()
	}
}

func (c *Core) newMessage(to uint64) *yuccawire.Replica {
	return &yuccawire.Replica{From: c.options.ID, To: to, Term: c.term}
}

// HardState returns what a new log on disk must begin with.
func (c *Core) HardState() *yuccawire.HardState {
	return &yuccawire.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
}

// Entries returns the entries after the last snapshot. They must not be
// changed.
func (c *Core) Entries() []*yuccawire.Entry {
	return c.log.entries[:len(c.log.entries):len(c.log.entries)]
}
