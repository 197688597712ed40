package yuccacontrol

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	probeInterval   = 300 * time.Millisecond
	balanceInterval = 200 * time.Millisecond
	// leaderlessTimeout is how long a replica has no leader before it probes the
	// discovered replicas, in case the group has removed it.
	leaderlessTimeout = 2 * time.Second
)

func (c *Control) handleReplicaMessage(now time.Time, from *conn, m *yuccawire.Replica) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Replica_Probe:
		c.answerProbe(now, from, body.Probe)
	case *yuccawire.Replica_ProbeReply:
		c.handleProbeReply(body.ProbeReply)
	case *yuccawire.Replica_Form:
		c.formGroup(nil)
	default:
		if c.core != nil {
			c.replyLinks[m.GetFrom()] = from
			c.core.Step(now, m)
		}
	}
}

// updatePeers starts a peer for each known replica and each replica of the group,
// and stops the peers of all others.
func (c *Control) updatePeers(ctx context.Context) {
	wanted := make(map[string]bool)
	for _, r := range c.knownReplicas() {
		wanted[r.GetAddress()] = true
	}
	if c.core != nil {
		for _, r := range c.core.Replicas().GetVoters() {
			wanted[r.GetAddress()] = true
		}
		for _, r := range c.core.Replicas().GetLearners() {
			wanted[r.GetAddress()] = true
		}
	}
	delete(wanted, c.self.GetAddress())
	for address := range wanted {
		if c.peers[address] == nil {
			c.startPeer(ctx, address)
		}
	}
	for address, p := range c.peers {
		if !wanted[address] {
			p.cancel()
			delete(c.peers, address)
		}
	}
}

// knownReplicas returns the discovered replicas if Discover is set, and the
// configured ones otherwise.
func (c *Control) knownReplicas() []*yuccawire.ReplicaAddress {
	if c.options.Discover == nil {
		return c.options.ConfiguredReplicas
	}
	return c.options.Discover()
}

func (c *Control) startPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	p := &peer{control: c, address: address, outbox: make(chan *yuccawire.Envelope, peerOutboxCapacity), cancel: cancel}
	c.peers[address] = p
	go p.run(ctx)
}

// sendReplicaMessages queues each message for the peer of its recipient. If there
// is none, because this replica has no configuration yet, it replies on the link
// of the recipient's last message.
func (c *Control) sendReplicaMessages(messages []*yuccawire.Replica) {
	for _, m := range messages {
		if p := c.peers[c.core.Address(m.GetTo()).GetAddress()]; p != nil {
			p.send(m)
		} else if from := c.replyLinks[m.GetTo()]; from != nil {
			_ = from.link.Send(replicaEnvelope(m))
		}
	}
}

// probe asks the peers whether they belong to a group, at most once per
// probeInterval.
func (c *Control) probe(now time.Time) {
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = now.Add(probeInterval)
	for _, p := range c.peers {
		probe := &yuccawire.Probe{From: c.self}
		p.send(&yuccawire.Replica{Body: &yuccawire.Replica_Probe{Probe: probe}})
	}
	c.tryFormGroup()
}

// tryFormGroup forms a new group if the probe replies received so far allow it.
func (c *Control) tryFormGroup() {
	if c.formation == nil {
		return
	}
	if initial := c.initialReplicas(); initial != nil {
		c.formGroup(initial)
	}
}

// initialReplicas returns the configuration of a new group, or nil if this replica
// can't form one now.
func (c *Control) initialReplicas() *yuccawire.Replicas {
	if c.options.Discover == nil {
		return c.formation.DecideListed()
	}
	if c.options.CanFormGroup == nil {
		return nil
	}
	allowed, undersized := c.options.CanFormGroup()
	if !allowed {
		return nil
	}
	return c.formation.DecideUnlisted(max(c.options.Voters, 1), undersized && c.formation.ReplyCount() >= len(c.knownReplicas()))
}

// formGroup makes this replica part of a group with the initial configuration. If
// that is nil, it joins an existing group with an empty log, which the leader
// fills.
func (c *Control) formGroup(initial *yuccawire.Replicas) {
	if c.formation == nil {
		return
	}
	snapshot := &yuccawire.InstallSnapshot{}
	if initial != nil {
		snapshot = yuccareplica.InitialSnapshot(initial)
	}
	frame := &yuccawire.DiskFrame{Snapshot: snapshot, HardState: &yuccawire.HardState{Term: snapshot.GetIndexTerm()}}
	if err := c.options.Storage.Write(frame); err != nil {
		c.diskErr = err
		return
	}
	stored := yuccareplica.Stored{Snapshot: snapshot, HardState: frame.GetHardState()}
	if err := c.startCore(stored); err != nil {
		c.diskErr = err
		return
	}
	c.options.Logger.Info("joined control group", "first", initial != nil)
}

// answerProbe reports to a replica without a group whether one exists. The leader
// starts to admit the replica, and a replica that is part of the group already is
// told to join.
func (c *Control) answerProbe(now time.Time, from *conn, probe *yuccawire.Probe) {
	joining := probe.GetFrom()
	reply := &yuccawire.ProbeReply{From: c.self, Formed: c.core != nil}
	_ = from.link.Send(replicaEnvelope(&yuccawire.Replica{Body: &yuccawire.Replica_ProbeReply{ProbeReply: reply}}))
	if c.core == nil {
		return
	}
	if c.core.Address(joining.GetId()) != nil {
		_ = from.link.Send(replicaEnvelope(&yuccawire.Replica{Body: &yuccawire.Replica_Form{Form: &yuccawire.Form{}}}))
		return
	}
	if c.isActiveLeader(now) && c.canJoin(joining) {
		if err := c.core.Admit(now, joining); err == nil {
			c.options.Logger.Info("admitting replica", "name", joining.GetName())
		}
	}
}

func replicaEnvelope(m *yuccawire.Replica) *yuccawire.Envelope {
	return &yuccawire.Envelope{Body: &yuccawire.Envelope_Replica{Replica: m}}
}

// canJoin reports whether a configured replica or a voter of the group has the
// name and address of the joining replica. With discovery, any replica can join.
func (c *Control) canJoin(joining *yuccawire.ReplicaAddress) bool {
	if c.options.Discover != nil {
		return true
	}
	for _, replicas := range [][]*yuccawire.ReplicaAddress{c.options.ConfiguredReplicas, c.core.Replicas().GetVoters()} {
		for _, r := range replicas {
			if r.GetName() == joining.GetName() && r.GetAddress() == joining.GetAddress() {
				return true
			}
		}
	}
	return false
}

func (c *Control) handleProbeReply(reply *yuccawire.ProbeReply) {
	if c.formation != nil {
		c.formation.RecordReply(reply)
		c.tryFormGroup()
	}
}

// balanceVoters lets the leader promote a learner that has caught up or demote a
// voter, at most one per balanceInterval.
func (c *Control) balanceVoters(now time.Time) {
	if now.Before(c.nextBalance) || !c.isActiveLeader(now) {
		return
	}
	c.nextBalance = now.Add(balanceInterval)
	if c.core.BalanceVoters(now) {
		c.options.Logger.Info("changing the voters of the group")
	}
}

// removeReplica starts the removal of the replica with this name. It returns
// yuccareplica.ErrUnknownReplica if there is none.
func (c *Control) removeReplica(now time.Time, name string) error {
	for _, replicas := range [][]*yuccawire.ReplicaAddress{c.core.Replicas().GetVoters(), c.core.Replicas().GetLearners()} {
		for _, r := range replicas {
			if r.GetName() == name {
				return c.core.Remove(now, r.GetId())
			}
		}
	}
	return yuccareplica.ErrUnknownReplica
}
