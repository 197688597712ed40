package yuccacontrol

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// session is the link of a process that renews its lease, with the versions of
// the sections, members and fences that it has or was sent.
type session struct {
	conn           *conn
	sections       []*yuccawire.SectionVersion
	membersEpoch   uint64
	membersVersion uint64
	fencesVersion  uint64
}

func (s *session) wantsMembers() bool {
	return s.conn.node.GetRole() == yuccawire.Role_ROLE_ENTRY
}

func (s *session) send(r *yuccawire.Renewed) { s.conn.sendRenewed(r) }

func (c *conn) sendRenewed(r *yuccawire.Renewed) {
	_ = c.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Renewed{Renewed: r}})
}

func (s *session) sendGoodbye() {
	_ = s.conn.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Goodbye{Goodbye: &yuccawire.Goodbye{}}})
}

func (c *Control) dropSession(s *session) {
	if s != nil {
		delete(c.sessions, s)
		s.conn.session = nil
	}
}

// renew grants or extends a lease. The reply includes the sections, members and
// fences that are newer than those of the process.
func (c *Control) renew(now time.Time, from *conn, r *yuccawire.Renew) {
	if !c.isActiveLeader(now) {
		c.refuseRenewal(from, r)
		return
	}
	node := r.GetNode()
	if c.state.IsFenced(node.GetName(), node.GetIncarnation()) {
		c.metrics.Add("renewals_fenced", 1)
		from.sendRenewed(&yuccawire.Renewed{Sequence: r.GetSequence(), Fenced: true})
		return
	}
	if !c.registry.Renew(now, r) {
		c.metrics.Add("renewals_replaced", 1)
		from.sendRenewed(&yuccawire.Renewed{Sequence: r.GetSequence(), Replaced: true})
		return
	}
	if from.session == nil {
		from.session = &session{conn: from}
		c.sessions[from.session] = struct{}{}
	}
	s := from.session
	s.sections = r.GetSections()
	s.membersEpoch, s.membersVersion = r.GetMembersEpoch(), r.GetMembersVersion()
	s.fencesVersion = r.GetFencesVersion()
	renewed := c.pendingUpdates(now, s)
	renewed.Sequence = r.GetSequence()
	renewed.LeaseMs = uint32(yuccalease.Duration.Milliseconds())
	if node.GetRole() == yuccawire.Role_ROLE_ENTRY && c.registry.IsComplete(now) {
		renewed.Pending, renewed.PendingKnown = c.registry.PendingAtOthers(node.GetName()), true
	}
	c.metrics.Add("renewals", 1)
	s.send(renewed)
}

// refuseRenewal replies that this replica is not the leader, with the leader's
// address if it has one.
func (c *Control) refuseRenewal(from *conn, r *yuccawire.Renew) {
	refusal := &yuccawire.Renewed{Sequence: r.GetSequence(), NotLeader: true}
	if c.core != nil && c.core.Leader() != c.self.GetId() {
		refusal.LeaderAddress = c.core.Address(c.core.Leader()).GetAddress()
	}
	c.metrics.Add("renewals_refused", 1)
	from.sendRenewed(refusal)
}

// pendingUpdates returns the sections, fences and members that are newer than
// those of the session, and records them as sent.
func (c *Control) pendingUpdates(now time.Time, s *session) *yuccawire.Renewed {
	renewed := &yuccawire.Renewed{Sections: c.state.NewerSections(s.sections)}
	renewed.Fences, renewed.FencesVersion = c.state.FencesSince(s.fencesVersion)
	s.fencesVersion = renewed.GetFencesVersion()
	s.markSectionsSent(renewed.GetSections())
	if s.wantsMembers() {
		renewed.Members = c.registry.Delta(now, s.membersEpoch, s.membersVersion)
	}
	if delta := renewed.GetMembers(); delta != nil {
		s.membersEpoch, s.membersVersion = delta.GetEpoch(), delta.GetVersion()
	}
	return renewed
}

func (s *session) markSectionsSent(sent []*yuccawire.Section) {
	for _, section := range sent {
		for i, v := range s.sections {
			if v.GetName() == section.GetName() {
				s.sections[i] = &yuccawire.SectionVersion{Name: section.GetName(), Version: section.GetVersion()}
			}
		}
	}
}

// pushUpdates sends new sections and fences to the sessions immediately, instead of
// with their next renewal. Where processes pass on sections among themselves, only
// SectionPushes sessions are sent new ones.
func (c *Control) pushUpdates(now time.Time) {
	if !c.isActiveLeader(now) {
		return
	}
	pushed := 0
	for _, s := range c.sessionsToPush() {
		renewed := &yuccawire.Renewed{}
		if c.options.SectionPushes == 0 || pushed < c.options.SectionPushes {
			renewed.Sections = c.state.NewerSections(s.sections)
		}
		renewed.Fences, renewed.FencesVersion = c.state.FencesSince(s.fencesVersion)
		if len(renewed.GetSections()) == 0 && len(renewed.GetFences()) == 0 {
			continue
		}
		if len(renewed.GetSections()) > 0 {
			pushed++
		}
		s.fencesVersion = renewed.GetFencesVersion()
		s.markSectionsSent(renewed.GetSections())
		c.metrics.Add("pushes", 1)
		s.send(renewed)
	}
}

// sessionsToPush returns the sessions in an order that is different for each change,
// so that no process always gets sections later than others.
func (c *Control) sessionsToPush() []*session {
	sessions := slices.Collect(maps.Keys(c.sessions))
	c.options.Random.Shuffle(len(sessions), func(i, j int) { sessions[i], sessions[j] = sessions[j], sessions[i] })
	return sessions
}

// pushMembers sends changes of the membership to the entries, once the registry
// is complete.
func (c *Control) pushMembers(now time.Time) {
	if !c.isActiveLeader(now) {
		return
	}
	c.registry.ConfirmJoins(now)
	if c.pushedVersion == c.registry.Version() || !c.registry.IsComplete(now) {
		return
	}
	c.pushedVersion = c.registry.Version()
	for s := range c.sessions {
		if !s.wantsMembers() {
			continue
		}
		delta := c.registry.Delta(now, s.membersEpoch, s.membersVersion)
		if delta == nil {
			continue
		}
		s.membersEpoch, s.membersVersion = delta.GetEpoch(), delta.GetVersion()
		s.send(&yuccawire.Renewed{Members: delta, FencesVersion: s.fencesVersion})
	}
}

func (c *Control) expireMembers(now time.Time) {
	if !c.isActiveLeader(now) {
		return
	}
	for _, m := range c.registry.Expire(now) {
		c.metrics.Add("leases_lost", 1)
		c.options.Logger.Info("lease expired", "name", m.Node().GetName(), "data_centre", m.Node().GetDataCentre())
	}
	c.metrics.Gauge("members", int64(len(c.registry.Members())))
}

func (c *Control) expireClaims(now time.Time) {
	if now.Before(c.nextExpiry) || !c.isActiveLeader(now) {
		return
	}
	c.nextExpiry = now.Add(expireInterval)
	c.metrics.Gauge("claims", int64(c.state.JobCount()))
	if c.state.JobCount() == 0 {
		return
	}
	expire := &yuccawire.ExpireJobs{NowUnixMs: now.UnixMilli(), KeptMs: c.state.ClaimRetention(now).Milliseconds()}
	c.proposeCommand(now, &yuccawire.Command{Body: &yuccawire.Command_ExpireJobs{ExpireJobs: expire}}, nil)
}

// proposeCommand appends the command to the log and calls done, unless it is nil,
// with its result, or with ErrNotUTF8. It returns false and does not call done if this
// replica can't propose.
func (c *Control) proposeCommand(now time.Time, command *yuccawire.Command, done func(yuccastate.Result, error)) bool {
	data, err := proto.Marshal(command)
	if err != nil {
		if done != nil {
			done(yuccastate.Result{}, ErrNotUTF8)
		}
		return true
	}
	index, term, ok := c.core.Propose(now, data)
	if ok && done != nil {
		c.waiters[index] = waiter{term: term, done: done}
	}
	return ok
}

func (c *Control) propose(now time.Time, request changeRequest) {
	if !c.isActiveLeader(now) {
		request.replies <- changeReply{err: ErrNotLeader}
		return
	}
	reply := func(result yuccastate.Result, err error) {
		request.replies <- changeReply{result: result.Change, err: err}
	}
	if !c.proposeCommand(now, request.command, reply) {
		request.replies <- changeReply{err: ErrNotLeader}
	}
}
