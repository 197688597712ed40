package yuccacontrol

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccaregistry"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Status is the state of one control and of the group as that control sees it.
// Settled and Members are set on the leader only. Settled is false while processes
// may hold a lease granted by a former leader and be missing from Members.
type Status struct {
	Name               string          `json:"name"`
	Formed             bool            `json:"formed"`
	IsLeader           bool            `json:"leads"`
	Leader             string          `json:"leader"`
	LeaderAddress      string          `json:"leader_address"`
	Term               uint64          `json:"term"`
	Commit             uint64          `json:"commit"`
	LogEntries         int             `json:"log_entries"`
	Replicas           []ReplicaStatus `json:"replicas"`
	Claims             int             `json:"claims"`
	Sections           []SectionStatus `json:"sections"`
	DrainedDataCentres []string        `json:"data_centres_out"`
	Settled            bool            `json:"settled"`
	Members            []MemberStatus  `json:"members"`
}

// ReplicaStatus describes a replica of the group. Connected is true for the
// reporting replica itself and for replicas to which it has a link.
type ReplicaStatus struct {
	ID        uint64 `json:"id"`
	Name      string `json:"name"`
	Address   string `json:"address"`
	Voter     bool   `json:"voter"`
	Connected bool   `json:"linked"`
}

// SectionStatus is the committed version of a section. Lagging names the processes
// that have not reported this version as applied; only the leader sets it.
type SectionStatus struct {
	Name    string   `json:"name"`
	Version uint64   `json:"version"`
	Lagging []string `json:"lagging"`
}

// MemberStatus describes a process that holds a lease.
type MemberStatus struct {
	Name        string         `json:"name"`
	Role        string         `json:"role"`
	DataCentre  string         `json:"data_centre"`
	Address     string         `json:"address"`
	Incarnation uint64         `json:"incarnation"`
	Leaving     bool           `json:"leaving"`
	Targets     []TargetStatus `json:"targets,omitempty"`
}

// TargetStatus describes a target that a side announced.
type TargetStatus struct {
	Service string `json:"service"`
	Slots   uint32 `json:"slots"`
	Leaving bool   `json:"leaving"`
}

// Status returns the state of this control. It works on every replica and can be
// stale on one that is not the leader.
func (c *Control) Status(ctx context.Context) (Status, error) {
	return yuccaquery.Do(ctx, c.postQuery, func(c *Control) Status { return c.status(time.Now()) })
}

func (c *Control) status(now time.Time) Status {
	s := Status{Name: c.self.GetName(), Formed: c.core != nil, IsLeader: c.isActiveLeader(now)}
	if c.core == nil {
		return s
	}
	s.Term, s.Commit, s.LogEntries = c.core.Term(), c.core.Commit(), c.core.LogEntries()
	if leader := c.core.Address(c.core.Leader()); leader != nil {
		s.Leader, s.LeaderAddress = leader.GetName(), leader.GetOperatorAddress()
	}
	s.Replicas = append(c.replicaStatuses(c.core.Replicas().GetVoters(), true),
		c.replicaStatuses(c.core.Replicas().GetLearners(), false)...)
	s.Claims = c.state.JobCount()
	s.DrainedDataCentres = c.state.DrainedDataCentres()
	if c.registry != nil {
		s.Settled = c.registry.IsComplete(now)
		s.Members = memberStatuses(c.registry.Members())
	}
	for _, name := range yuccadocument.AllSections {
		s.Sections = append(s.Sections, c.sectionStatus(name))
	}
	return s
}

func (c *Control) replicaStatuses(replicas []*yuccawire.ReplicaAddress, voter bool) []ReplicaStatus {
	var statuses []ReplicaStatus
	for _, r := range replicas {
		connected := r.GetId() == c.self.GetId()
		if p := c.peers[r.GetAddress()]; p != nil {
			connected = p.connected.Load()
		}
		statuses = append(statuses, ReplicaStatus{ID: r.GetId(), Name: r.GetName(), Address: r.GetAddress(), Voter: voter, Connected: connected})
	}
	return statuses
}

func (c *Control) sectionStatus(name string) SectionStatus {
	s := SectionStatus{Name: name, Version: c.state.Section(name).GetVersion()}
	if c.registry != nil {
		s.Lagging = c.registry.Lagging(name, s.Version)
	}
	return s
}

func memberStatuses(members []*yuccaregistry.Member) []MemberStatus {
	statuses := make([]MemberStatus, len(members))
	for i, m := range members {
		node := m.Node()
		statuses[i] = MemberStatus{
			Name: node.GetName(), Role: roleName(node.GetRole()), DataCentre: node.GetDataCentre(),
			Address: node.GetAddress(), Incarnation: node.GetIncarnation(), Leaving: m.Leaving(),
		}
		for _, t := range m.Targets() {
			statuses[i].Targets = append(statuses[i].Targets, TargetStatus{Service: t.GetService(), Slots: t.GetSlots(), Leaving: t.GetLeaving()})
		}
	}
	return statuses
}

func roleName(role yuccawire.Role) string {
	switch role {
	case yuccawire.Role_ROLE_CONTROL:
		return "control"
	case yuccawire.Role_ROLE_ENTRY:
		return "entry"
	case yuccawire.Role_ROLE_SIDE:
		return "side"
	case yuccawire.Role_ROLE_UNSPECIFIED:
	}
	return "unknown"
}

// DataCentreStatus reports whether a data centre is drained and whether a side in
// it can still start tasks.
type DataCentreStatus struct {
	Name    string `json:"name"`
	Drained bool   `json:"out"`
	Version uint64 `json:"version"`
	// PendingSides names the sides that still hold a lease and have not
	// acknowledged this version.
	PendingSides []string `json:"waiting"`
	// Settled is false while sides may hold a lease granted by a former leader.
	Settled bool `json:"settled"`
	// Stopped is true if the data centre is drained and no side in it can start
	// a task.
	Stopped bool `json:"stopped"`
}

// DataCentres returns the data centres of the document. It returns ErrNotLeader on
// a replica that is not the leader.
func (c *Control) DataCentres(ctx context.Context) ([]DataCentreStatus, error) {
	return queryLeader(ctx, c, (*Control).dataCentres)
}

func (c *Control) dataCentres(now time.Time) []DataCentreStatus {
	version := c.state.Section(yuccadocument.SectionDrainedDataCentres).GetVersion()
	lagging := c.registry.Lagging(yuccadocument.SectionDrainedDataCentres, version)
	var statuses []DataCentreStatus
	for _, name := range c.state.DataCentres() {
		s := DataCentreStatus{Name: name, Drained: c.state.IsDrained(name), Version: version, Settled: c.registry.IsComplete(now)}
		for _, m := range c.registry.Members() {
			if m.Node().GetRole() == yuccawire.Role_ROLE_SIDE && m.Node().GetDataCentre() == name && slices.Contains(lagging, m.Node().GetName()) {
				s.PendingSides = append(s.PendingSides, m.Node().GetName())
			}
		}
		s.Stopped = s.Drained && s.Settled && len(s.PendingSides) == 0
		statuses = append(statuses, s)
	}
	return statuses
}

// leaderReply is the result of a query, valid only if isLeader is true.
type leaderReply[T any] struct {
	value    T
	isLeader bool
}

// queryLeader runs the query in the event loop if this replica is the active
// leader, and returns ErrNotLeader otherwise.
func queryLeader[T any](ctx context.Context, c *Control, query func(c *Control, now time.Time) T) (T, error) {
	reply, err := yuccaquery.Do(ctx, c.postQuery, func(c *Control) leaderReply[T] {
		now := time.Now()
		if !c.isActiveLeader(now) {
			return leaderReply[T]{}
		}
		return leaderReply[T]{value: query(c, now), isLeader: true}
	})
	if err == nil && !reply.isLeader {
		err = ErrNotLeader
	}
	return reply.value, err
}

// Section returns the committed section, or nil if it was never applied. It
// returns ErrNotLeader on a replica that is not the leader.
func (c *Control) Section(ctx context.Context, name string) (*yuccawire.Section, error) {
	return queryLeader(ctx, c, func(c *Control, _ time.Time) *yuccawire.Section { return c.state.Section(name) })
}

// History returns up to limit committed changes of the section, newest first. It
// returns ErrNotLeader on a replica that is not the leader.
func (c *Control) History(ctx context.Context, section string, limit int) ([]*yuccawire.Change, error) {
	return queryLeader(ctx, c, func(c *Control, _ time.Time) []*yuccawire.Change { return c.state.History(section, limit) })
}

// Job returns a copy of the claim of a job, or nil if there is none. It returns
// ErrNotLeader on a replica that is not the leader.
func (c *Control) Job(ctx context.Context, key *yuccawire.JobKey) (*yuccawire.JobRecord, error) {
	return queryLeader(ctx, c, func(c *Control, _ time.Time) *yuccawire.JobRecord {
		if record := c.state.Job(key); record != nil {
			return proto.CloneOf(record)
		}
		return nil
	})
}

// RemoveReplica starts the removal of a replica from the group. It returns
// ErrNotLeader on a replica that is not the leader, and the errors of
// yuccareplica if the membership can't change now.
func (c *Control) RemoveReplica(ctx context.Context, name string) error {
	removeErr, err := queryLeader(ctx, c, func(c *Control, now time.Time) error { return c.removeReplica(now, name) })
	if err != nil {
		return err
	}
	return removeErr
}
