package yuccareplica

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Errors of a membership change that can't begin.
var (
	ErrNotLeader          = merry.Sentinel("this replica does not lead")
	ErrMembershipChanging = merry.Sentinel("another membership change is under way")
	ErrLastVoter          = merry.Sentinel("the last voter can't be removed")
	ErrUnknownReplica     = merry.Sentinel("no such replica")
)

// Admit begins to make room for a replica that asks to join. A replica of the
// same name with another id has lost its disk and is removed first. The joining
// one starts as a learner and is promoted by [Core.Promote].
func (c *Core) Admit(now time.Time, joining *yuccawire.ReplicaAddress) error {
	if c.Address(joining.GetId()) != nil {
		return nil
	}
	if err := c.checkChangeAllowed(); err != nil {
		return err
	}
	for _, old := range c.replicas.GetVoters() {
		if old.GetName() == joining.GetName() {
			return c.Remove(now, old.GetId())
		}
	}
	next := &yuccawire.Replicas{Voters: c.replicas.GetVoters()}
	for _, learner := range c.replicas.GetLearners() {
		if learner.GetName() != joining.GetName() {
			next.Learners = append(next.Learners, learner)
		}
	}
	next.Learners = append(next.Learners, joining)
	c.proposeReplicas(now, next)
	return nil
}

// Promote makes a voter of a learner that has caught up, if there is one and
// the group wants one more voter.
func (c *Core) Promote(now time.Time) bool {
	if c.checkChangeAllowed() != nil {
		return false
	}
	if c.options.Voters > 0 {
		return c.balanceVoters(now)
	}
	return c.promoteLearner(now)
}

// balance keeps the wanted number of voters. A voter that is lost is replaced:
// first a learner becomes a voter, then the lost one becomes a learner.
func (c *Core) balanceVoters(now time.Time) bool {
	voters := len(c.replicas.GetVoters())
	lost := c.lostVoter(now)
	switch {
	case voters < c.options.Voters, voters == c.options.Voters && lost != nil:
		return c.promoteLearner(now)
	case voters <= c.options.Voters:
		return false
	case lost == nil:
		lost = c.surplusVoter()
	}
	next := &yuccawire.Replicas{Voters: withoutReplica(c.replicas.GetVoters(), lost.GetId())}
	next.Learners = append(cloneReplicas(c.replicas.GetLearners()), lost)
	c.proposeReplicas(now, next)
	return true
}

// lostVoter returns a voter that has not answered for voterTimeout, or nil.
func (c *Core) lostVoter(now time.Time) *yuccawire.ReplicaAddress {
	for _, r := range c.replicas.GetVoters() {
		p := c.progress[r.GetId()]
		if r.GetId() == c.options.ID || p == nil {
			continue
		}
		if now.Sub(p.ackedSendTime) > voterTimeout && now.Sub(c.leaderSince) > voterTimeout {
			return r
		}
	}
	return nil
}

// spareVoter returns the last voter other than the leader.
func (c *Core) surplusVoter() *yuccawire.ReplicaAddress {
	var surplus *yuccawire.ReplicaAddress
	for _, r := range c.replicas.GetVoters() {
		if r.GetId() != c.options.ID {
			surplus = r
		}
	}
	return surplus
}

func (c *Core) promoteLearner(now time.Time) bool {
	for _, learner := range c.replicas.GetLearners() {
		if !c.isCaughtUp(now, learner.GetId()) {
			continue
		}
		next := &yuccawire.Replicas{Voters: append(cloneReplicas(c.replicas.GetVoters()), learner)}
		next.Learners = withoutReplica(c.replicas.GetLearners(), learner.GetId())
		c.proposeReplicas(now, next)
		return true
	}
	return false
}

// caughtUp tells whether the learner holds all that is committed and answered
// lately.
func (c *Core) isCaughtUp(now time.Time, id uint64) bool {
	p := c.progress[id]
	return p != nil && p.matchIndex >= c.commit && now.Sub(p.ackedSendTime) < c.learnerTimeout()
}

// learnerTimeout is how lately a learner must have answered. It is short where
// it replaces a lost voter.
func (c *Core) learnerTimeout() time.Duration {
	if c.options.Voters > 0 {
		return voterTimeout / 2
	}
	return defaultLearnerTimeout
}

// Remove takes a replica out of the group.
func (c *Core) Remove(now time.Time, id uint64) error {
	if err := c.checkChangeAllowed(); err != nil {
		return err
	}
	if c.Address(id) == nil {
		return ErrUnknownReplica
	}
	next := &yuccawire.Replicas{
		Voters:   withoutReplica(c.replicas.GetVoters(), id),
		Learners: withoutReplica(c.replicas.GetLearners(), id),
	}
	if len(next.GetVoters()) == 0 {
		return ErrLastVoter
	}
	c.proposeReplicas(now, next)
	return nil
}

// mayChange allows one change at a time, and only after an entry of the
// leader's own term is committed.
func (c *Core) checkChangeAllowed() error {
	if c.role != leader {
		return ErrNotLeader
	}
	if c.commit < c.replicasIndex || c.commit < c.termStartIndex {
		return ErrMembershipChanging
	}
	return nil
}

func (c *Core) proposeReplicas(now time.Time, next *yuccawire.Replicas) {
	c.appendEntry(now, &yuccawire.Entry{Replicas: next})
}

func cloneReplicas(list []*yuccawire.ReplicaAddress) []*yuccawire.ReplicaAddress {
	return append([]*yuccawire.ReplicaAddress(nil), list...)
}

func withoutReplica(list []*yuccawire.ReplicaAddress, id uint64) []*yuccawire.ReplicaAddress {
	var remaining []*yuccawire.ReplicaAddress
	for _, r := range list {
		if r.GetId() != id {
			remaining = append(remaining, r)
		}
	}
	return remaining
}
