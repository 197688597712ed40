package yuccareplica

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Tick processes timeouts: heartbeats of a leader, elections of a voter. Call it
// every few tens of milliseconds.
func (c *Core) Tick(now time.Time) {
	c.saveCommit(now)
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionDeadline(now)
	if c.isVoter(c.options.ID) {
		c.campaign(now, true)
	}
}

func (c *Core) resetElectionDeadline(now time.Time) {
	spread := int64(MaxElectionTimeout - MinElectionTimeout)
	jitter := time.Duration(c.options.Random.Int64N(spread))
	c.electionDeadline = now.Add(MinElectionTimeout + jitter)
}

// campaign requests votes from the other voters. A pre-vote only asks whether
// they would grant a vote; it does not change the term.
func (c *Core) campaign(now time.Time, pre bool) {
	c.leader = 0
	c.votesReceived = map[uint64]bool{c.options.ID: true}
	if pre {
		c.role = preCandidate
	} else {
		c.role = candidate
		c.term++
		c.vote = c.options.ID
		c.saveHardState()
	}
	for _, r := range c.replicas.GetVoters() {
		if r.GetId() != c.options.ID {
			c.requestVote(r.GetId(), pre)
		}
	}
	c.countVotes(now)
}

func (c *Core) requestVote(to uint64, pre bool) {
	m := c.newMessage(to)
	vote := &yuccawire.Vote{Pre: pre, LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm()}
	m.Body = &yuccawire.Replica_Vote{Vote: vote}
	if pre {
		m.Term = c.term + 1
		c.ready.Immediate = append(c.ready.Immediate, m)
		return
	}
	c.ready.AfterSync = append(c.ready.AfterSync, m)
}

func (c *Core) countVotes(now time.Time) {
	granted := 0
	for id, vote := range c.votesReceived {
		if vote && c.isVoter(id) {
			granted++
		}
	}
	if granted < c.quorum() {
		return
	}
	switch c.role {
	case preCandidate:
		c.campaign(now, false)
	case candidate:
		c.becomeLeader(now)
	case follower, leader:
	}
}

// hasLeaderContact reports whether a leader may still be active, in which case
// the replica must not vote: its own lease is valid, or it received a message
// from a leader, or was started, within MinElectionTimeout.
func (c *Core) hasLeaderContact(now time.Time) bool {
	if c.role == leader {
		return c.LeaseValid(now)
	}
	return now.Sub(c.lastLeaderContact) < MinElectionTimeout
}

func (c *Core) handleVote(now time.Time, m *yuccawire.Replica) {
	vote := m.GetVote()
	if c.hasLeaderContact(now) {
		return
	}
	if vote.GetPre() {
		granted := m.GetTerm() > c.term && c.isUpToDate(vote)
		c.ready.Immediate = append(c.ready.Immediate, c.newVoteReply(m, granted))
		return
	}
	if m.GetTerm() > c.term {
		c.becomeFollower(now, m.GetTerm(), 0)
	}
	granted := m.GetTerm() == c.term && (c.vote == 0 || c.vote == m.GetFrom()) && c.isUpToDate(vote)
	if granted {
		c.vote = m.GetFrom()
		c.saveHardState()
		c.resetElectionDeadline(now)
	}
	c.ready.AfterSync = append(c.ready.AfterSync, c.newVoteReply(m, granted))
}

func (c *Core) isUpToDate(vote *yuccawire.Vote) bool {
	if vote.GetLastTerm() != c.log.lastTerm() {
		return vote.GetLastTerm() > c.log.lastTerm()
	}
	return vote.GetLastIndex() >= c.log.lastIndex()
}

func (c *Core) newVoteReply(m *yuccawire.Replica, granted bool) *yuccawire.Replica {
	pre := m.GetVote().GetPre()
	reply := c.newMessage(m.GetFrom())
	if pre && granted {
		reply.Term = m.GetTerm()
	}
	reply.Body = &yuccawire.Replica_VoteReply{VoteReply: &yuccawire.VoteReply{Pre: pre, Granted: granted}}
	return reply
}

func (c *Core) handleVoteReply(now time.Time, m *yuccawire.Replica) {
	reply := m.GetVoteReply()
	switch {
	case reply.GetPre() && c.role == preCandidate && reply.GetGranted() && m.GetTerm() == c.term+1:
	case !reply.GetPre() && c.role == candidate && m.GetTerm() == c.term:
	case m.GetTerm() > c.term && !reply.GetGranted():
		c.becomeFollower(now, m.GetTerm(), 0)
		return
	default:
		return
	}
	c.votesReceived[m.GetFrom()] = reply.GetGranted()
	c.countVotes(now)
}

// becomeFollower turns the replica into a follower. A newer term is adopted and
// clears the vote. Pass zero as leaderID if the leader is unknown.
func (c *Core) becomeFollower(now time.Time, term, leaderID uint64) {
	if term > c.term {
		c.term = term
		c.vote = 0
		c.saveHardState()
	}
	c.role = follower
	c.leader = leaderID
	c.progress = nil
	c.resetElectionDeadline(now)
}

// Step processes a message from another replica. Messages addressed to another
// id are ignored.
func (c *Core) Step(now time.Time, m *yuccawire.Replica) {
	if m.GetTo() != c.options.ID {
		return
	}
	switch m.GetBody().(type) {
	case *yuccawire.Replica_Vote:
		c.handleVote(now, m)
	case *yuccawire.Replica_VoteReply:
		c.handleVoteReply(now, m)
	case *yuccawire.Replica_Append:
		c.handleAppend(now, m)
	case *yuccawire.Replica_AppendReply:
		c.handleAppendReply(now, m)
	case *yuccawire.Replica_InstallSnapshot:
		c.handleSnapshot(now, m)
	case *yuccawire.Replica_SnapshotPart:
		c.handlePart(now, m)
	case *yuccawire.Replica_SnapshotPartReply:
		c.handlePartReply(now, m)
	}
}
