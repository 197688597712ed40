package yuccareplica

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	maxTrackedRounds = 64
	// firstIndex is the index of the snapshot that forms a group.
	initialIndex = 1
)

// lead takes up the leadership of the current term.
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

// StepDown gives the leadership up, as after a time in which the clock did not
// count.
func (c *Core) StepDown(now time.Time) {
	if c.role == leader {
		c.becomeFollower(now, c.term, 0)
	}
}

// trackReplicas keeps a progress for each replica of the configuration.
func (c *Core) trackReplicas() {
	for id := range c.progress {
		if c.Address(id) == nil {
			delete(c.progress, id)
		}
	}
	for _, list := range [][]*yuccawire.ReplicaAddress{c.replicas.GetVoters(), c.replicas.GetLearners()} {
		for _, r := range list {
			if c.progress[r.GetId()] == nil {
				c.progress[r.GetId()] = &progress{nextIndex: c.log.lastIndex() + 1}
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
		c.progress[id].inflight = 0
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

// heardQuorum tells whether a quorum answered lately. A new leader is given
// the time of one election.
func (c *Core) hasQuorumContact(now time.Time) bool {
	if len(c.roundSentAt) < int(MaxElectionTimeout/HeartbeatInterval) {
		return true
	}
	return now.Sub(c.quorumAckedSendTime(now)) < MaxElectionTimeout
}

// quorumSent is the latest sending time whose message a quorum has answered.
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

// LeaseValid tells whether no other replica can lead yet, so that this leader
// may answer reads and grant leases.
func (c *Core) LeaseValid(now time.Time) bool {
	return c.role == leader && now.Sub(c.quorumAckedSendTime(now)) < LeaderLease
}

// Settled tells whether the leader has applied an entry of its own term, so
// that its state holds all that was ever committed.
func (c *Core) HasAppliedOwnTerm() bool {
	return c.role == leader && c.applied >= c.termStartIndex
}

// FirstLeader tells whether this is the first leader that the group ever had.
func (c *Core) IsFirstLeader() bool {
	return c.role == leader && c.termStartIndex == initialIndex+1
}

// Propose appends a command and returns its index and term. It returns false
// where this replica doesn't lead. The next Ready sends all that was proposed
// since the last one.
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

// sendAppend sends what the replica lacks. A heartbeat leaves also when it
// lacks nothing.
func (c *Core) sendAppend(now time.Time, id uint64, heartbeat bool) {
	p := c.progress[id]
	if p.nextIndex < c.log.firstIndex() {
		c.sendSnapshot(now, id, p)
		return
	}
	var entries []*yuccawire.Entry
	if p.inflight < maxInflightAppends {
		entries = c.log.batchFrom(p.nextIndex)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	previousTerm, _ := c.log.termAt(p.nextIndex - 1)
	m := c.newMessage(id)
	m.Body = &yuccawire.Replica_Append{Append: &yuccawire.Append{
		PreviousIndex: p.nextIndex - 1,
		PreviousTerm:  previousTerm,
		Commit:        c.commit,
		Entries:       entries,
		Round:         c.round,
	}}
	c.ready.Immediate = append(c.ready.Immediate, m)
	if len(entries) > 0 {
		p.nextIndex += uint64(len(entries))
		p.inflight++
	}
}

func (c *Core) sendSnapshot(now time.Time, id uint64, p *progress) {
	if now.Sub(p.snapshotSentAt) < snapshotRetryInterval {
		return
	}
	p.snapshotSentAt = now
	s := c.log.snapshot
	m := c.newMessage(id)
	m.Body = &yuccawire.Replica_InstallSnapshot{InstallSnapshot: &yuccawire.InstallSnapshot{
		Index: s.GetIndex(), IndexTerm: s.GetIndexTerm(), State: s.GetState(), Replicas: s.GetReplicas(), Round: c.round,
	}}
	c.ready.Immediate = append(c.ready.Immediate, m)
}

func (c *Core) handleAppendReply(now time.Time, m *yuccawire.Replica) {
	if m.GetTerm() > c.term {
		c.becomeFollower(now, m.GetTerm(), 0)
		return
	}
	p := c.progress[m.GetFrom()]
	if c.role != leader || m.GetTerm() < c.term || p == nil {
		return
	}
	reply := m.GetAppendReply()
	if sent, ok := c.roundSentAt[reply.GetRound()]; ok && sent.After(p.ackedSendTime) {
		p.ackedSendTime = sent
	}
	p.inflight = max(p.inflight-1, 0)
	if !reply.GetSuccess() {
		p.nextIndex = max(min(reply.GetHint()+1, c.log.lastIndex()+1), p.matchIndex+1)
		p.inflight = 0
		c.sendAppend(now, m.GetFrom(), false)
		return
	}
	if reply.GetMatch() > p.matchIndex {
		p.matchIndex = reply.GetMatch()
		p.snapshotSentAt = time.Time{}
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	c.advanceCommit(now)
	c.sendAppend(now, m.GetFrom(), false)
}

// advanceCommit commits what a quorum of voters has synced, up to an entry of
// the current term.
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

// broadcastCommit tells the followers of the new commit without delay.
func (c *Core) broadcastCommit(now time.Time) {
	for _, id := range c.peers() {
		c.sendAppend(now, id, true)
	}
}
