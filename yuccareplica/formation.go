package yuccareplica

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Formation decides whether a replica with an empty disk forms a new group,
// from the replies to its probes. With replicas listed in the settings, the
// first one forms the group once all others have replied and none belongs to a
// group. If a group exists, it admits the replica instead.
type Formation struct {
	self    *yuccawire.ReplicaAddress
	listed  []*yuccawire.ReplicaAddress
	replies map[string]*yuccawire.ProbeReply
}

// NewFormation returns the formation state of a replica. The listed replicas
// come from the settings and have no ids yet.
func NewFormation(self *yuccawire.ReplicaAddress, listed []*yuccawire.ReplicaAddress) *Formation {
	return &Formation{self: self, listed: listed, replies: make(map[string]*yuccawire.ProbeReply)}
}

// RecordReply stores a probe reply. It replaces an earlier reply of the same
// replica.
func (f *Formation) RecordReply(reply *yuccawire.ProbeReply) {
	f.replies[reply.GetFrom().GetName()] = reply
}

// ReplyCount returns the number of replicas that have replied.
func (f *Formation) ReplyCount() int { return len(f.replies) }

// DecideListed returns the initial configuration of a group of the listed
// replicas. It returns nil if another replica has to form the group, replies
// are missing, or a group exists.
func (f *Formation) DecideListed() *yuccawire.Replicas {
	if len(f.listed) == 0 || f.listed[0].GetName() != f.self.GetName() {
		return nil
	}
	replicas := &yuccawire.Replicas{}
	for _, r := range f.listed {
		voter := f.initialVoter(r)
		if voter == nil {
			return nil
		}
		replicas.Voters = append(replicas.Voters, voter)
	}
	return replicas
}

// DecideUnlisted returns the initial configuration of a group whose replicas
// are not listed in the settings: this replica and others that have replied, up
// to the given size and rounded down to an odd number. It returns nil if one of
// them belongs to a group, or if there are fewer than size and allowFewer is
// not set.
func (f *Formation) DecideUnlisted(size int, allowFewer bool) *yuccawire.Replicas {
	voters := []*yuccawire.ReplicaAddress{f.self}
	for _, name := range slices.Sorted(maps.Keys(f.replies)) {
		if f.replies[name].GetFormed() {
			return nil
		}
		voters = append(voters, f.replies[name].GetFrom())
	}
	if len(voters) < size && !allowFewer {
		return nil
	}
	n := min(size, len(voters))
	return &yuccawire.Replicas{Voters: voters[:n-(n+1)%2]}
}

// initialVoter returns a copy of the listed replica with its id filled in, or
// nil if it has not replied or belongs to a group.
func (f *Formation) initialVoter(r *yuccawire.ReplicaAddress) *yuccawire.ReplicaAddress {
	if r.GetName() == f.self.GetName() {
		return f.self
	}
	reply := f.replies[r.GetName()]
	if reply == nil || reply.GetFormed() {
		return nil
	}
	voter := proto.CloneOf(r)
	voter.Id = reply.GetFrom().GetId()
	return voter
}
