package yuccareplica

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Errors of membership changes that can't start.
var (
	ErrNotLeader          = merry.Sentinel("this replica is not the leader")
	ErrMembershipChanging = merry.Sentinel("another membership change is under way")
	ErrLastVoter          = merry.Sentinel("the last voter can't be removed")
	ErrUnknownReplica     = merry.Sentinel("no such replica")
)

// Admit starts adding a replica to the group as a learner; [Core.BalanceVoters]
// can make it a voter later. A voter with the same name and another id has lost
// its disk and is removed first, in which case the caller must call Admit again.
// A learner with the same name is replaced. Admit does nothing if the replica is
// already a member.
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

// BalanceVoters starts the next change towards the wanted number of voters, and
// reports whether it did. It promotes a learner that has caught up if a voter is
// missing or lost, and demotes a voter if there are too many. Without a wanted
// number it promotes every learner that has caught up, one per call.
func (c *Core) BalanceVoters(now time.Time) bool {
	if c.checkChangeAllowed() != nil {
		return false
	}
	if c.options.Voters > 0 {
		return c.maintainVoterCount(now)
	}
	return c.promoteLearner(now)
}

// maintainVoterCount starts a change if the group has too few or too many voters,
// or has lost one, and reports whether it did. A lost voter is replaced in two
// changes: a learner is promoted first, then the lost voter is demoted to a learner.
func (c *Core) maintainVoterCount(now time.Time) bool {
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

// lostVoter returns a voter that has not acknowledged a heartbeat for
// voterTimeout, or nil.
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

// surplusVoter returns the voter to demote: the last one in the configuration
// other than the leader.
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

// isCaughtUp reports whether the learner has all committed entries and has
// acknowledged a heartbeat within learnerTimeout.
func (c *Core) isCaughtUp(now time.Time, id uint64) bool {
	p := c.progress[id]
	return p != nil && p.matchIndex >= c.commit && now.Sub(p.ackedSendTime) < c.learnerTimeout()
}

// learnerTimeout returns how recently a learner must have acknowledged to be
// promoted. It is shorter if learners replace lost voters.
func (c *Core) learnerTimeout() time.Duration {
	if c.options.Voters > 0 {
		return voterTimeout / 2
	}
	return defaultLearnerTimeout
}

// Remove starts removing a replica from the group. It fails with ErrNotLeader,
// ErrMembershipChanging, ErrUnknownReplica or ErrLastVoter.
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

// checkChangeAllowed permits one membership change at a time, and only after an
// entry of the leader's own term is committed.
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

func cloneReplicas(replicas []*yuccawire.ReplicaAddress) []*yuccawire.ReplicaAddress {
	return append([]*yuccawire.ReplicaAddress(nil), replicas...)
}

func withoutReplica(replicas []*yuccawire.ReplicaAddress, id uint64) []*yuccawire.ReplicaAddress {
	var remaining []*yuccawire.ReplicaAddress
	for _, r := range replicas {
		if r.GetId() != id {
			remaining = append(remaining, r)
		}
	}
	return remaining
}
