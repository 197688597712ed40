package yuccareplica

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Formation brings a replica with an empty disk into a group. It probes the
// replicas of the settings. When all of them answer and none belongs to a
// group, the first of them forms one; a group that exists admits the replica
// instead.
type Formation struct {
	self    *yuccawire.ReplicaAddress
	listed  []*yuccawire.ReplicaAddress
	replies map[string]*yuccawire.ProbeReply
}

// NewFormation returns the formation of a replica among those of the settings,
// whose ids are not known yet.
func NewFormation(self *yuccawire.ReplicaAddress, listed []*yuccawire.ReplicaAddress) *Formation {
	return &Formation{self: self, listed: listed, replies: make(map[string]*yuccawire.ProbeReply)}
}

// Answered takes in the answer to a probe.
func (f *Formation) RecordReply(reply *yuccawire.ProbeReply) {
	f.replies[reply.GetFrom().GetName()] = reply
}

// Answers is the number of replicas that have answered.
func (f *Formation) ReplyCount() int { return len(f.replies) }

// Decide returns the first configuration of a new group, or nil while there is
// none or another replica has to form it.
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

// DecideOpen returns the first configuration of a group whose replicas aren't
// listed: this replica and those that answered, wanted of them in all. Unless
// it may settle for fewer, it waits until so many have answered. It returns nil
// as soon as one of them belongs to a group.
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

// knownAs returns the listed replica with its id, or nil if it has not
// answered or belongs to a group.
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
