package yuccareplica

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	maxTrackedRounds = 64
	// initialIndex is the index of the snapshot from which a group starts.
	initialIndex = 1
)

// becomeLeader starts the leadership of the current term with an empty entry,
// whose commit also commits the entries of earlier terms.
func (c *Core) becomeLeader(now time.Time) {
	c.role = leader
	c.leaderSince = now
	c.leader = c.options.ID
	c.progress = make(map[uint64]*progress)
	c.roundSentAt = make(map[uint64]time.Time)
	c.trackReplicas()
	c.termStartIndex = c.log.lastIndex() + 1
	c.appendEntry(now, &yuccawire.Entry{})
	c.nextHeartbeat = now
	c.tickLeader(now)
}

// StepDown gives up the leadership. Call it after the machine was suspended: the
// monotonic clock does not count that time, so the lease can appear valid after
// another replica has been elected.
func (c *Core) StepDown(now time.Time) {
	if c.role == leader {
		c.becomeFollower(now, c.term, 0)
	}
}

// trackReplicas adds and removes progress entries to match the configuration.
func (c *Core) trackReplicas() {
	for id := range c.progress {
		if c.Address(id) == nil {
			delete(c.progress, id)
		}
	}
	for _, replicas := range [][]*yuccawire.ReplicaAddress{c.replicas.GetVoters(), c.replicas.GetLearners()} {
		for _, r := range replicas {
			if c.progress[r.GetId()] == nil {
				c.progress[r.GetId()] = &progress{nextIndex: c.log.lastIndex() + 1, flow: newFlow(c.options.MaxInflightBytes)}
			}
		}
	}
	if self := c.progress[c.options.ID]; self != nil {
		self.matchIndex = max(self.matchIndex, c.synced)
	}
}

func (c *Core) tickLeader(now time.Time) {
	if now.Before(c.nextHeartbeat) {
		return
	}
	c.nextHeartbeat = now.Add(HeartbeatInterval)
	if !c.hasQuorumContact(now) || !c.isVoter(c.options.ID) {
		c.becomeFollower(now, c.term, 0)
		return
	}
	c.round++
	c.roundSentAt[c.round] = now
	delete(c.roundSentAt, c.round-maxTrackedRounds)
	for _, id := range c.peers() {
		c.sendAppend(now, id, true)
	}
}

// peers returns the ids of the other replicas, in order.
func (c *Core) peers() []uint64 {
	ids := make([]uint64, 0, len(c.progress))
	for id := range c.progress {
		if id != c.options.ID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// hasQuorumContact reports whether a quorum has acknowledged a heartbeat within
// MaxElectionTimeout. A new leader is granted that long at the start.
func (c *Core) hasQuorumContact(now time.Time) bool {
	if len(c.roundSentAt) < int(MaxElectionTimeout/HeartbeatInterval) {
		return true
	}
	return now.Sub(c.quorumAckedSendTime(now)) < MaxElectionTimeout
}

// quorumAckedSendTime returns the send time of the latest heartbeat that a
// quorum has acknowledged, or the zero time if there is none.
func (c *Core) quorumAckedSendTime(now time.Time) time.Time {
	var sendTimes []time.Time
	for _, r := range c.replicas.GetVoters() {
		if r.GetId() == c.options.ID {
			sendTimes = append(sendTimes, now)
			continue
		}
		if p := c.progress[r.GetId()]; p != nil {
			sendTimes = append(sendTimes, p.ackedSendTime)
		}
	}
	slices.SortFunc(sendTimes, func(a, b time.Time) int { return b.Compare(a) })
	if len(sendTimes) < c.quorum() {
		return time.Time{}
	}
	return sendTimes[c.quorum()-1]
}

// LeaseValid reports whether this replica leads and no other replica can have
// been elected, so that it may answer reads and grant leases.
func (c *Core) LeaseValid(now time.Time) bool {
	return c.role == leader && now.Sub(c.quorumAckedSendTime(now)) < LeaderLease
}

// HasAppliedOwnTerm reports whether this replica leads and has applied an entry
// of its own term. Its state then includes all entries committed in earlier
// terms.
func (c *Core) HasAppliedOwnTerm() bool {
	return c.role == leader && c.applied >= c.termStartIndex
}

// IsFirstLeader reports whether this replica is the first leader of a new
// group.
func (c *Core) IsFirstLeader() bool {
	return c.role == leader && c.termStartIndex == initialIndex+1
}

// Propose appends a command and returns its index and term. It returns false if
// this replica is not the leader. Proposals are batched until the next call of
// [Core.Ready].
func (c *Core) Propose(now time.Time, command []byte) (index, term uint64, ok bool) {
	if c.role != leader {
		return 0, 0, false
	}
	e := c.appendEntry(now, &yuccawire.Entry{Command: command})
	return e.GetIndex(), e.GetTerm(), true
}

func (c *Core) appendEntry(now time.Time, e *yuccawire.Entry) *yuccawire.Entry {
	e.Index = c.log.lastIndex() + 1
	e.Term = c.term
	c.log.add(e)
	c.ready.Entries = append(c.ready.Entries, e)
	if e.GetReplicas() != nil {
		c.updateReplicas()
		c.trackReplicas()
		c.advanceCommit(now)
	}
	return e
}

func (c *Core) broadcastEntries(now time.Time) {
	for _, id := range c.peers() {
		c.sendAppend(now, id, false)
	}
}

// sendAppend sends the entries that the replica is missing, or a snapshot if
// these have been compacted. A heartbeat is sent even if there are no entries. After a
// snapshot, it refers to that, so that a replica which lost it rejects the heartbeat.
func (c *Core) sendAppend(now time.Time, id uint64, heartbeat bool) {
	p := c.progress[id]
	previous := p.nextIndex - 1
	if p.nextIndex < c.log.firstIndex() {
		if c.sendSnapshot(now, id, p) {
			return
		}
		previous = c.log.snapshot.GetIndex()
	}
	entries, size := c.nextBatch(p)
	if len(entries) == 0 && !heartbeat {
		return
	}
	previousTerm, _ := c.log.termAt(previous)
	m := c.newMessage(id)
	m.Body = &yuccawire.Replica_Append{Append: &yuccawire.Append{
		PreviousIndex: previous,
		PreviousTerm:  previousTerm,
		Commit:        c.commit,
		Entries:       entries,
		Round:         c.round,
	}}
	c.ready.Immediate = append(c.ready.Immediate, m)
	if len(entries) > 0 {
		p.flow.add(sentAppend{first: p.nextIndex, last: entries[len(entries)-1].GetIndex(), bytes: size, at: now})
		p.nextIndex += uint64(len(entries))
	}
}

// nextBatch returns the next entries for a replica and their size, none while too much is unconfirmed.
func (c *Core) nextBatch(p *progress) ([]*yuccawire.Entry, int) {
	room := p.flow.room()
	if room == 0 {
		return nil, 0
	}
	entries := c.log.batchFrom(p.nextIndex, min(room, maxAppendBytes))
	size := sumCommandBytes(entries)
	if size > room && !p.flow.isEmpty() {
		return nil, 0
	}
	return entries, size
}

// Lag is what a replica lacks of the log.
type Lag struct {
	ID uint64
	// Confirmed is the index of the last entry that the replica has, Entries how many follow in the log.
	Confirmed uint64
	Entries   int
	// Bytes is the size of the commands of these entries, as far as the log has them, SnapshotBytes what the replica lacks of
	// the snapshot before.
	Bytes, SnapshotBytes int
	// InContact is set if the replica acknowledges heartbeats.
	InContact bool
}

// Lags returns what each other replica has not confirmed, in order of their ids. It is empty unless this replica leads.
func (c *Core) Lags(now time.Time) []Lag {
	if c.role != leader {
		return nil
	}
	var lags []Lag
	for _, id := range c.peers() {
		p := c.progress[id]
		missing := c.log.entriesFrom(p.matchIndex + 1)
		lags = append(lags, Lag{
			ID: id, Confirmed: p.matchIndex, Entries: int(c.log.lastIndex() - min(p.matchIndex, c.log.lastIndex())),
			Bytes: sumCommandBytes(missing), SnapshotBytes: c.missingSnapshotBytes(p), InContact: now.Sub(p.ackedSendTime) < voterTimeout,
		})
	}
	return lags
}

// acknowledge records that a replica has replied to a message of the round. It returns nil if that isn't a reply to this leader
// in its term.
func (c *Core) acknowledge(now time.Time, m *yuccawire.Replica, round uint64) *progress {
	if m.GetTerm() > c.term {
		c.becomeFollower(now, m.GetTerm(), 0)
		return nil
	}
	p := c.progress[m.GetFrom()]
	if c.role != leader || m.GetTerm() < c.term || p == nil {
		return nil
	}
	if sent, ok := c.roundSentAt[round]; ok && sent.After(p.ackedSendTime) {
		p.ackedSendTime = sent
	}
	return p
}

func (c *Core) handleAppendReply(now time.Time, m *yuccawire.Replica) {
	reply := m.GetAppendReply()
	p := c.acknowledge(now, m, reply.GetRound())
	if p == nil {
		return
	}
	if !reply.GetSuccess() {
		next := max(min(reply.GetHint()+1, c.log.lastIndex()+1), p.matchIndex+1)
		if p.flow.isRepeated(now, next) {
			return
		}
		p.nextIndex = next
		p.flow.lose(now)
		if reply.GetRound() > p.snapshotRound {
			p.snapshotSentAt = time.Time{}
		}
		if p.transfer != nil {
			p.transfer.restart(now, reply.GetRound())
		}
		c.sendAppend(now, m.GetFrom(), false)
		return
	}
	if reply.GetMatch() > p.matchIndex {
		p.matchIndex = reply.GetMatch()
	}
	p.flow.confirm(now, p.matchIndex)
	if p.transfer != nil && p.matchIndex >= p.transfer.snapshot.GetIndex() {
		p.transfer = nil
	}
	if p.matchIndex >= c.log.snapshot.GetIndex() {
		p.snapshotSentAt = time.Time{}
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	c.advanceCommit(now)
	c.sendAppend(now, m.GetFrom(), false)
}

// advanceCommit commits up to the last index that a quorum of voters has
// synced, provided that the entry there is of the current term.
func (c *Core) advanceCommit(now time.Time) {
	var matchIndexes []uint64
	for _, r := range c.replicas.GetVoters() {
		if p := c.progress[r.GetId()]; p != nil {
			matchIndexes = append(matchIndexes, p.matchIndex)
		}
	}
	if len(matchIndexes) < c.quorum() {
		return
	}
	slices.Sort(matchIndexes)
	index := matchIndexes[len(matchIndexes)-c.quorum()]
	term, ok := c.log.termAt(index)
	if index <= c.commit || !ok || term != c.term {
		return
	}
	c.commit = index
	c.broadcastCommit(now)
}

// broadcastCommit sends the new commit index to all followers immediately
// instead of with the next heartbeat.
func (c *Core) broadcastCommit(now time.Time) {
	for _, id := range c.peers() {
		c.sendAppend(now, id, true)
	}
}
