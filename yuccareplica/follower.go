package yuccareplica

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// acceptLeader accepts a message of a leader, or refuses it if its term is old.
func (c *Core) acceptLeader(now time.Time, m *yuccawire.Replica) bool {
	if m.GetTerm() < c.term {
		c.ready.Immediate = append(c.ready.Immediate, c.appendReply(m, &yuccawire.AppendReply{}))
		return false
	}
	c.follow(now, m.GetTerm(), m.GetFrom())
	c.leaderSeen = now
	return true
}

func (c *Core) appendReply(m *yuccawire.Replica, reply *yuccawire.AppendReply) *yuccawire.Replica {
	answer := c.message(m.GetFrom())
	answer.Body = &yuccawire.Replica_AppendReply{AppendReply: reply}
	return answer
}

func (c *Core) stepAppend(now time.Time, m *yuccawire.Replica) {
	if !c.acceptLeader(now, m) {
		return
	}
	a := m.GetAppend()
	if reply, ok := c.checkPrevious(a); !ok {
		c.ready.Immediate = append(c.ready.Immediate, c.appendReply(m, reply))
		return
	}
	match := a.GetPreviousIndex() + uint64(len(a.GetEntries()))
	c.store(a.GetEntries())
	c.commit = max(c.commit, min(a.GetCommit(), match))
	if len(a.GetEntries()) == 0 && c.ready.HardState == nil {
		reply := &yuccawire.AppendReply{Success: true, Match: min(match, c.synced), Round: a.GetRound()}
		c.ready.Immediate = append(c.ready.Immediate, c.appendReply(m, reply))
		return
	}
	reply := c.appendReply(m, &yuccawire.AppendReply{Success: true, Match: match, Round: a.GetRound()})
	c.ready.AfterSync = append(c.ready.AfterSync, reply)
}

// checkPrevious compares the entry before the new ones. Where it differs, the
// reply hints at where the logs may agree.
func (c *Core) checkPrevious(a *yuccawire.Append) (*yuccawire.AppendReply, bool) {
	if a.GetPreviousIndex() < c.log.snapshot.GetIndex() {
		return &yuccawire.AppendReply{Hint: c.log.snapshot.GetIndex(), Round: a.GetRound()}, false
	}
	term, known := c.log.term(a.GetPreviousIndex())
	if known && term == a.GetPreviousTerm() {
		return nil, true
	}
	hint := min(a.GetPreviousIndex()-1, c.log.last())
	for hint > c.commit {
		if t, ok := c.log.term(hint); ok && t <= a.GetPreviousTerm() {
			break
		}
		hint--
	}
	return &yuccawire.AppendReply{Hint: hint, Round: a.GetRound()}, false
}

// store appends the entries that the log lacks or has with another term.
func (c *Core) store(entries []*yuccawire.Entry) {
	for i, e := range entries {
		term, known := c.log.term(e.GetIndex())
		if known && term == e.GetTerm() {
			continue
		}
		for _, fresh := range entries[i:] {
			c.log.put(fresh)
		}
		c.enqueue(entries[i:])
		c.adoptReplicas()
		return
	}
}

// enqueue adds entries to what the disk has to take, in place of those that
// they replace.
func (c *Core) enqueue(entries []*yuccawire.Entry) {
	first := entries[0].GetIndex()
	pending := c.ready.Entries
	for len(pending) > 0 && pending[len(pending)-1].GetIndex() >= first {
		pending = pending[:len(pending)-1]
	}
	c.synced = min(c.synced, first-1)
	c.ready.Entries = append(pending[:len(pending):len(pending)], entries...)
}

func (c *Core) stepSnapshot(now time.Time, m *yuccawire.Replica) {
	if !c.acceptLeader(now, m) {
		return
	}
	s := m.GetInstallSnapshot()
	if s.GetIndex() > c.commit {
		c.log = memoryLog{snapshot: s}
		c.commit = s.GetIndex()
		c.applied = s.GetIndex()
		c.ready.Snapshot = s
		c.ready.Entries = nil
		c.ready.Committed = nil
		c.adoptReplicas()
	}
	reply := &yuccawire.AppendReply{Success: true, Match: s.GetIndex(), Round: s.GetRound()}
	c.ready.AfterSync = append(c.ready.AfterSync, c.appendReply(m, reply))
}
