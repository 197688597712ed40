package yuccareplica

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// transfer is a snapshot that a replica gets in parts. It goes on if the leader makes another snapshot, as the replica
// would never have a whole one otherwise.
type transfer struct {
	snapshot *yuccawire.InstallSnapshot
	// next is the offset of the next part.
	next int
	// flow has offsets in place of indexes.
	flow flow
	// round is the one in which the last part was sent.
	round uint64
}

// incomingSnapshot is what has arrived of a snapshot from a leader.
type incomingSnapshot struct {
	leader, term, index uint64
	state               []byte
}

// sendSnapshot returns false if the snapshot was sent and may still arrive, or entries may.
func (c *Core) sendSnapshot(now time.Time, id uint64, p *progress) bool {
	if p.transfer == nil && p.flow.isEmpty() && len(c.log.snapshot.GetState()) > maxAppendBytes {
		c.startTransfer(p)
	}
	if p.transfer != nil {
		return c.sendParts(now, id, p.transfer)
	}
	if now.Sub(p.snapshotSentAt) < snapshotRetryInterval || !p.flow.isEmpty() {
		return false
	}
	p.snapshotSentAt, p.snapshotRound = now, c.round
	s := c.log.snapshot
	m := c.newMessage(id)
	m.Body = &yuccawire.Replica_InstallSnapshot{InstallSnapshot: &yuccawire.InstallSnapshot{
		Index: s.GetIndex(), IndexTerm: s.GetIndexTerm(), State: s.GetState(), Replicas: s.GetReplicas(), Round: c.round,
	}}
	c.ready.Immediate = append(c.ready.Immediate, m)
	return true
}

// missingSnapshotBytes returns how much of a snapshot a replica lacks.
func (c *Core) missingSnapshotBytes(p *progress) int {
	if p.matchIndex >= c.log.snapshot.GetIndex() {
		return 0
	}
	if t := p.transfer; t != nil {
		return len(t.snapshot.GetState()) - t.next + t.flow.bytes
	}
	return len(c.log.snapshot.GetState())
}

// startTransfer begins to send the snapshot in parts.
func (c *Core) startTransfer(p *progress) {
	p.transfer = &transfer{snapshot: c.log.snapshot, flow: newFlow(c.options.MaxInflightBytes)}
}

// sendParts sends the next parts of a snapshot to a replica, and returns false if there is no room for any.
func (c *Core) sendParts(now time.Time, id uint64, t *transfer) bool {
	s := t.snapshot
	first := t.next
	for {
		size := min(t.flow.room(), maxAppendBytes, len(s.GetState())-t.next)
		if size == 0 {
			return t.next > first
		}
		m := c.newMessage(id)
		m.Body = &yuccawire.Replica_SnapshotPart{SnapshotPart: &yuccawire.SnapshotPart{
			Index: s.GetIndex(), IndexTerm: s.GetIndexTerm(), Replicas: s.GetReplicas(), TotalBytes: uint64(len(s.GetState())),
			Offset: uint64(t.next), State: s.GetState()[t.next : t.next+size], Round: c.round,
		}}
		c.ready.Immediate = append(c.ready.Immediate, m)
		t.flow.add(sentAppend{first: uint64(t.next), last: uint64(t.next + size), bytes: size, at: now})
		t.next += size
		t.round = c.round
	}
}

// handlePartReply sends further parts.
func (c *Core) handlePartReply(now time.Time, m *yuccawire.Replica) {
	p := c.acknowledge(now, m, m.GetSnapshotPartReply().GetRound())
	if p == nil || p.transfer == nil || p.transfer.snapshot.GetIndex() != m.GetSnapshotPartReply().GetIndex() {
		return
	}
	t, reply := p.transfer, m.GetSnapshotPartReply()
	received := min(reply.GetReceivedBytes(), uint64(len(t.snapshot.GetState())))
	t.flow.confirm(now, received)
	t.next = max(t.next, int(received))
	c.sendAppend(now, m.GetFrom(), false)
}

// restart begins again as a replica rejects a heartbeat of the round, unless a part was sent later: what was sent before is
// lost. The replica tells with the first part how much it has.
func (t *transfer) restart(now time.Time, round uint64) {
	if round > t.round {
		t.next = 0
		t.flow.lose(now)
	}
}

// handlePart adds a part to the snapshot that it belongs to. Those of another leader are never mixed with it.
func (c *Core) handlePart(now time.Time, m *yuccawire.Replica) {
	if !c.acceptLeader(now, m) {
		return
	}
	part := m.GetSnapshotPart()
	snapshot := &yuccawire.InstallSnapshot{Index: part.GetIndex(), IndexTerm: part.GetIndexTerm(), Replicas: part.GetReplicas(), Round: part.GetRound()}
	if part.GetIndex() <= c.commit {
		c.install(m, snapshot)
		return
	}
	in := c.incoming
	if in == nil || in.leader != m.GetFrom() || in.term != m.GetTerm() || in.index != part.GetIndex() {
		in = &incomingSnapshot{leader: m.GetFrom(), term: m.GetTerm(), index: part.GetIndex()}
		c.incoming = in
	}
	received := uint64(len(in.state))
	if end := part.GetOffset() + uint64(len(part.GetState())); part.GetOffset() <= received && end > received {
		in.state = append(in.state, part.GetState()[received-part.GetOffset():]...)
		received = end
	}
	reply := c.newMessage(m.GetFrom())
	reply.Body = &yuccawire.Replica_SnapshotPartReply{SnapshotPartReply: &yuccawire.SnapshotPartReply{
		Index: part.GetIndex(), ReceivedBytes: received, Round: part.GetRound(),
	}}
	c.ready.Immediate = append(c.ready.Immediate, reply)
	if received == part.GetTotalBytes() {
		snapshot.State = in.state
		c.install(m, snapshot)
	}
}

func (c *Core) handleSnapshot(now time.Time, m *yuccawire.Replica) {
	if c.acceptLeader(now, m) {
		c.install(m, m.GetInstallSnapshot())
	}
}

// install replaces the log with the snapshot if that is newer.
func (c *Core) install(m *yuccawire.Replica, s *yuccawire.InstallSnapshot) {
	if s.GetIndex() > c.commit {
		c.log = newMemoryLog(s, nil)
		c.commit = s.GetIndex()
		c.applied = s.GetIndex()
		c.synced = min(c.synced, s.GetIndex()-1)
		c.incoming = nil
		c.ready.Snapshot = s
		c.ready.Entries = nil
		c.ready.Committed = nil
		c.updateReplicas()
	}
	if !c.ready.MustSync() {
		c.acknowledgeSynced(m, s.GetIndex(), s.GetRound())
		return
	}
	reply := &yuccawire.AppendReply{Success: true, Match: s.GetIndex(), Round: s.GetRound()}
	c.ready.AfterSync = append(c.ready.AfterSync, c.newAppendReply(m, reply))
}
