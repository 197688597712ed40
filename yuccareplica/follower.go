package yuccareplica

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// acceptLeader follows the sender of a leader's message. It rejects the message
// and returns false if the term is stale.
func (c *Core) acceptLeader(now time.Time, m *yuccawire.Replica) bool {
	if m.GetTerm() < c.term {
		c.ready.Immediate = append(c.ready.Immediate, c.newAppendReply(m, &yuccawire.AppendReply{}))
		return false
	}
	c.becomeFollower(now, m.GetTerm(), m.GetFrom())
	c.lastLeaderContact = now
	return true
}

func (c *Core) newAppendReply(m *yuccawire.Replica, reply *yuccawire.AppendReply) *yuccawire.Replica {
	message := c.newMessage(m.GetFrom())
	message.Body = &yuccawire.Replica_AppendReply{AppendReply: reply}
	return message
}

func (c *Core) handleAppend(now time.Time, m *yuccawire.Replica) {
	if !c.acceptLeader(now, m) {
		return
	}
	a := m.GetAppend()
	if reply, ok := c.checkPrevious(a); !ok {
		c.ready.Immediate = append(c.ready.Immediate, c.newAppendReply(m, reply))
		return
	}
	c.incoming = nil
	match := a.GetPreviousIndex() + uint64(len(a.GetEntries()))
	c.storeEntries(a.GetEntries())
	c.commit = max(c.commit, min(a.GetCommit(), match))
	if len(a.GetEntries()) == 0 && c.ready.HardState == nil || !c.ready.MustSync() {
		c.acknowledgeSynced(m, match, a.GetRound())
		return
	}
	reply := c.newAppendReply(m, &yuccawire.AppendReply{Success: true, Match: match, Round: a.GetRound()})
	c.ready.AfterSync = append(c.ready.AfterSync, reply)
}

// acknowledgeSynced replies at once to a message that needs no write. Its entries may
// belong to an earlier write that is still in progress, which has its own reply.
func (c *Core) acknowledgeSynced(m *yuccawire.Replica, match, round uint64) {
	reply := &yuccawire.AppendReply{Success: true, Match: min(match, c.synced), Round: round}
	c.ready.Immediate = append(c.ready.Immediate, c.newAppendReply(m, reply))
}

// checkPrevious compares the term of the entry before the new ones. On a
// mismatch it returns a rejection, whose hint is the last index at which the
// logs may agree.
func (c *Core) checkPrevious(a *yuccawire.Append) (*yuccawire.AppendReply, bool) {
	if a.GetPreviousIndex() < c.log.snapshot.GetIndex() {
		return &yuccawire.AppendReply{Hint: c.log.snapshot.GetIndex(), Round: a.GetRound()}, false
	}
	term, ok := c.log.termAt(a.GetPreviousIndex())
	if ok && term == a.GetPreviousTerm() {
		return nil, true
	}
	hint := min(a.GetPreviousIndex()-1, c.log.lastIndex())
	for hint > c.commit {
		if t, ok := c.log.termAt(hint); ok && t <= a.GetPreviousTerm() {
			break
		}
		hint--
	}
	return &yuccawire.AppendReply{Hint: hint, Round: a.GetRound()}, false
}

// storeEntries appends the entries that are missing from the log, and replaces
// the rest of the log from the first entry with a different term.
func (c *Core) storeEntries(entries []*yuccawire.Entry) {
	for i, e := range entries {
		term, ok := c.log.termAt(e.GetIndex())
		if ok && term == e.GetTerm() {
			continue
		}
		for _, newEntry := range entries[i:] {
			c.log.truncateAndAppend(newEntry)
		}
		c.queueForSync(entries[i:])
		c.updateReplicas()
		return
	}
}

// queueForSync adds entries to the pending disk writes and drops pending
// entries that they replace.
func (c *Core) queueForSync(entries []*yuccawire.Entry) {
	first := entries[0].GetIndex()
	pending := c.ready.Entries
	for len(pending) > 0 && pending[len(pending)-1].GetIndex() >= first {
		pending = pending[:len(pending)-1]
	}
	c.synced = min(c.synced, first-1)
	c.ready.Entries = append(pending[:len(pending):len(pending)], entries...)
}
