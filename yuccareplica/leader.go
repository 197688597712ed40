package yuccareplica

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	keptRounds = 64
	// firstIndex is the index of the snapshot that forms a group.
	firstIndex = 1
)

// lead takes up the leadership of the current term.
func (c *Core) lead(now time.Time) {
	c.role = leader
	c.ledSince = now
	c.leader = c.options.ID
	c.progress = make(map[uint64]*progress)
	c.rounds = make(map[uint64]time.Time)
	c.trackReplicas()
	c.firstOwn = c.log.last() + 1
	c.append(now, &yuccawire.Entry{})
	c.heartbeatAt = now
	c.tickLeader(now)
}

// StepDown gives the leadership up, as after a time in which the clock did not
// count.
func (c *Core) StepDown(now time.Time) {
	if c.role == leader {
		c.follow(now, c.term, 0)
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
				c.progress[r.GetId()] = &progress{next: c.log.last() + 1}
			}
		}
	}
	if own := c.progress[c.options.ID]; own != nil {
		own.match = max(own.match, c.synced)
	}
}

func (c *Core) tickLeader(now time.Time) {
	if now.Before(c.heartbeatAt) {
		return
	}
	c.heartbeatAt = now.Add(HeartbeatInterval)
	if !c.heardQuorum(now) || !c.isVoter(c.options.ID) {
		c.follow(now, c.term, 0)
		return
	}
	c.round++
	c.rounds[c.round] = now
	delete(c.rounds, c.round-keptRounds)
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
func (c *Core) heardQuorum(now time.Time) bool {
	if len(c.rounds) < int(MaxElectionTimeout/HeartbeatInterval) {
		return true
	}
	return now.Sub(c.quorumSent(now)) < MaxElectionTimeout
}

// quorumSent is the latest sending time whose message a quorum has answered.
func (c *Core) quorumSent(now time.Time) time.Time {
	var sent []time.Time
	for _, r := range c.replicas.GetVoters() {
		if r.GetId() == c.options.ID {
			sent = append(sent, now)
			continue
		}
		if p := c.progress[r.GetId()]; p != nil {
			sent = append(sent, p.ackedSent)
		}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	if len(sent) < c.quorum() {
		return time.Time{}
	}
	return sent[c.quorum()-1]
}

// LeaseValid tells whether no other replica can lead yet, so that this leader
// may answer reads and grant leases.
func (c *Core) LeaseValid(now time.Time) bool {
	return c.role == leader && now.Sub(c.quorumSent(now)) < LeaderLease
}

// Settled tells whether the leader has applied an entry of its own term, so
// that its state holds all that was ever committed.
func (c *Core) Settled() bool {
	return c.role == leader && c.applied >= c.firstOwn
}

// FirstLeader tells whether this is the first leader that the group ever had.
func (c *Core) FirstLeader() bool {
	return c.role == leader && c.firstOwn == firstIndex+1
}

// Propose appends a command and returns its index and term. It returns false
// where this replica doesn't lead. The next Ready sends all that was proposed
// since the last one.
func (c *Core) Propose(now time.Time, command []byte) (index, term uint64, ok bool) {
	if c.role != leader {
		return 0, 0, false
	}
	e := c.append(now, &yuccawire.Entry{Command: command})
	return e.GetIndex(), e.GetTerm(), true
}

func (c *Core) append(now time.Time, e *yuccawire.Entry) *yuccawire.Entry {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.log.add(e)
	c.ready.Entries = append(c.ready.Entries, e)
	if e.GetReplicas() != nil {
		c.adoptReplicas()
		c.trackReplicas()
		c.advanceCommit(now)
	}
	return e
}

func (c *Core) broadcast(now time.Time) {
	for _, id := range c.peers() {
		c.sendAppend(now, id, false)
	}
}

// sendAppend sends what the replica lacks. A heartbeat leaves also when it
// lacks nothing.
func (c *Core) sendAppend(now time.Time, id uint64, heartbeat bool) {
	p := c.progress[id]
	if p.next < c.log.first() {
		c.sendSnapshot(now, id, p)
		return
	}
	var entries []*yuccawire.Entry
	if p.inflight < maxInflight {
		entries = c.log.slice(p.next)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	previousTerm, _ := c.log.term(p.next - 1)
	m := c.message(id)
	m.Body = &yuccawire.Replica_Append{Append: &yuccawire.Append{
		PreviousIndex: p.next - 1,
		PreviousTerm:  previousTerm,
		Commit:        c.commit,
		Entries:       entries,
		Round:         c.round,
	}}
	c.ready.Immediate = append(c.ready.Immediate, m)
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight++
	}
}

func (c *Core) sendSnapshot(now time.Time, id uint64, p *progress) {
	if now.Sub(p.snapshot) < snapshotTimeout {
		return
	}
	p.snapshot = now
	s := c.log.snapshot
	m := c.message(id)
	m.Body = &yuccawire.Replica_InstallSnapshot{InstallSnapshot: &yuccawire.InstallSnapshot{
		Index: s.GetIndex(), IndexTerm: s.GetIndexTerm(), State: s.GetState(), Replicas: s.GetReplicas(), Round: c.round,
	}}
	c.ready.Immediate = append(c.ready.Immediate, m)
}

func (c *Core) stepAppendReply(now time.Time, m *yuccawire.Replica) {
	if m.GetTerm() > c.term {
		c.follow(now, m.GetTerm(), 0)
		return
	}
	p := c.progress[m.GetFrom()]
	if c.role != leader || m.GetTerm() < c.term || p == nil {
		return
	}
	reply := m.GetAppendReply()
	if sent, known := c.rounds[reply.GetRound()]; known && sent.After(p.ackedSent) {
		p.ackedSent = sent
	}
	p.inflight = max(p.inflight-1, 0)
	if !reply.GetSuccess() {
		p.next = max(min(reply.GetHint()+1, c.log.last()+1), p.match+1)
		p.inflight = 0
		c.sendAppend(now, m.GetFrom(), false)
		return
	}
	if reply.GetMatch() > p.match {
		p.match = reply.GetMatch()
		p.snapshot = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit(now)
	c.sendAppend(now, m.GetFrom(), false)
}

// advanceCommit commits what a quorum of voters has synced, up to an entry of
// the current term.
func (c *Core) advanceCommit(now time.Time) {
	var matches []uint64
	for _, r := range c.replicas.GetVoters() {
		if p := c.progress[r.GetId()]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < c.quorum() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorum()]
	term, known := c.log.term(index)
	if index <= c.commit || !known || term != c.term {
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
