package yuccalease

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var (
	errNoReply   = merry.Sentinel("control did not reply in time")
	errNotLeader = merry.Sentinel("control is not the leader")
	errReplaced  = merry.Sentinel("lease is held by a newer process with the same name")
	errNoControl = merry.Sentinel("no address of a control is known")
	errFenced    = merry.Sentinel("incarnation is fenced and can never hold a lease again")
)

const inboxCapacity = 256

// session is a connection to one control. sentAt holds the send times of the
// renewals without a reply, by sequence.
type session struct {
	client      *Client
	self        *yuccawire.Node
	link        yuccawire.Link
	address     string
	inbox       chan *yuccawire.Envelope
	sentAt      map[uint64]sentRenewal
	lastReply   time.Time
	lastRenewal time.Time
	connected   bool
}

// sentRenewal is when a renewal was sent, and how many suspensions of the machine were
// before it.
type sentRenewal struct {
	at          time.Time
	suspensions int
}

// newSession returns a session for the current incarnation of the process. The
// first session of an incarnation requests all members.
func newSession(c *Client, link yuccawire.Link) *session {
	self := c.currentNode()
	if self != c.sessionNode {
		c.sessionNode = self
		c.membersEpoch, c.membersVersion = 0, 0
	}
	return &session{
		client:    c,
		self:      self,
		link:      link,
		inbox:     make(chan *yuccawire.Envelope, inboxCapacity),
		sentAt:    make(map[uint64]sentRenewal),
		lastReply: time.Now(),
	}
}

// run passes messages from the link to the inbox until the link closes.
func (s *session) run() {
	defer close(s.inbox)
	for {
		m, err := s.link.Receive()
		if err != nil {
			return
		}
		s.inbox <- m
	}
}

// closeAndDrain closes the link and empties the inbox, so that a blocked run
// can return.
func (s *session) closeAndDrain() {
	_ = s.link.Close()
	for range s.inbox {
	}
}

func (s *session) serve(ctx context.Context) error {
	go s.run()
	defer s.closeAndDrain()
	if err := s.renew(); err != nil {
		return err
	}
	timer := time.NewTimer(s.renewInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			if time.Since(s.lastReply) > replyTimeout {
				return errNoReply
			}
			if err := s.renew(); err != nil {
				return err
			}
			timer.Reset(s.renewInterval())
		case <-s.client.renewNow:
			if err := s.renewThrottled(ctx); err != nil {
				return err
			}
		case m := <-s.client.outbox:
			if err := s.link.Send(m); err != nil {
				return err
			}
		case m, open := <-s.inbox:
			if !open {
				return yuccawire.ErrLinkClosed
			}
			if err := s.handleMessage(ctx, m); err != nil {
				return err
			}
		}
	}
}

// renewInterval returns RenewInterval less up to a tenth of jitter, which
// spreads the renewals of many processes.
func (s *session) renewInterval() time.Duration {
	jitter := s.client.options.Random.Int64N(int64(RenewInterval / 10))
	return RenewInterval - time.Duration(jitter)
}

// renewThrottled renews now, or after a delay if the last renewal is more recent
// than minRenewInterval.
func (s *session) renewThrottled(ctx context.Context) error {
	if wait := minRenewInterval - time.Since(s.lastRenewal); wait > 0 {
		s.client.sleepWithJitter(ctx, wait)
	}
	return s.renew()
}

func (s *session) renew() error {
	c := s.client
	c.mu.Lock()
	targets, leaving := c.targets, c.leaving
	c.mu.Unlock()
	c.sequence++
	now := time.Now()
	s.sentAt[c.sequence] = sentRenewal{at: now, suspensions: c.options.Suspensions.Check().Count}
	s.lastRenewal = now
	renew := &yuccawire.Renew{
		Sequence:       c.sequence,
		Node:           s.self,
		Targets:        targets,
		Sections:       c.view.Versions(c.options.Sections),
		MembersEpoch:   c.membersEpoch,
		MembersVersion: c.membersVersion,
		FencesVersion:  c.fencesVersion,
		Leaving:        leaving,
	}
	if c.options.Pending != nil {
		renew.Pending = c.options.Pending()
	}
	return s.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Renew{Renew: renew}})
}

func (s *session) handleMessage(ctx context.Context, m *yuccawire.Envelope) error {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Renewed:
		return s.handleRenewed(ctx, body.Renewed)
	case *yuccawire.Envelope_ClaimReplies:
		return s.sendUpdate(ctx, Update{Claims: body.ClaimReplies.GetReplies()})
	case *yuccawire.Envelope_ProposalReply:
		return s.sendUpdate(ctx, Update{Proposal: body.ProposalReply})
	case *yuccawire.Envelope_Goodbye:
		return errNotLeader
	}
	return nil
}

func (s *session) handleRenewed(ctx context.Context, r *yuccawire.Renewed) error {
	c := s.client
	if r.GetNotLeader() {
		c.leaderHint = r.GetLeaderAddress()
		return errNotLeader
	}
	if r.GetFenced() || r.GetReplaced() {
		return s.loseLease(ctx, r)
	}
	s.lastReply = time.Now()
	s.client.leaderAddress.Store(&s.address)
	s.applySections(r.GetSections())
	s.checkSuspension()
	requestedAt := s.extendLease(r)
	update := Update{Members: s.applyMembers(r.GetMembers()), Fences: r.GetFences(), Connected: !s.connected}
	if r.GetPendingKnown() {
		update.Pending, update.PendingAt = r.GetPending(), requestedAt
	}
	c.fencesVersion = max(c.fencesVersion, r.GetFencesVersion())
	s.connected = true
	if len(r.GetSections()) > 0 || hasJoining(update.Members) {
		s.requestRenewal()
	}
	return s.sendUpdate(ctx, update)
}

// loseLease drops the lease of an incarnation that was fenced or replaced. It
// always returns an error, which ends the session.
func (s *session) loseLease(ctx context.Context, r *yuccawire.Renewed) error {
	s.client.lease = Lease{}
	if err := s.sendUpdate(ctx, Update{Fenced: r.GetFenced()}); err != nil {
		return err
	}
	if r.GetReplaced() {
		s.client.options.Logger.Error("lease is held by a newer process with the same name", "incarnation", s.self.GetIncarnation())
		return errReplaced
	}
	return errFenced
}

func hasJoining(delta *yuccawire.MembersDelta) bool {
	return slices.ContainsFunc(delta.GetChanged(), func(m *yuccawire.Member) bool { return len(m.GetJoining()) > 0 })
}

// requestRenewal triggers a renewal. It is used after applying sections or members
// that are joining, so that control learns the new versions without waiting for the
// next interval.
func (s *session) requestRenewal() {
	select {
	case s.client.renewNow <- struct{}{}:
	default:
	}
}

// checkSuspension drops the lease if the machine was suspended: the clock that it is
// measured on stood still meanwhile.
func (s *session) checkSuspension() {
	c := s.client
	if count := c.options.Suspensions.Check().Count; count != c.suspensions {
		c.suspensions = count
		c.lease = Lease{}
		s.requestRenewal()
	}
}

// extendLease extends the lease as granted by the reply to a renewal, and returns when that
// was sent. Replies with sequence zero are unsolicited pushes and do not extend it. It returns
// zero for these, and for renewals from before a suspension.
func (s *session) extendLease(r *yuccawire.Renewed) time.Time {
	requested, ok := s.sentAt[r.GetSequence()]
	if !ok {
		return time.Time{}
	}
	for sequence := range s.sentAt {
		if sequence <= r.GetSequence() {
			delete(s.sentAt, sequence)
		}
	}
	if requested.suspensions != s.client.suspensions {
		return time.Time{}
	}
	duration := time.Duration(r.GetLeaseMs()) * time.Millisecond
	s.client.lease = s.client.lease.Extend(requested.at, min(duration, Duration))
	return requested.at
}

func (s *session) applySections(sections []*yuccawire.Section) {
	c := s.client
	for _, section := range sections {
		next, err := c.view.With(section)
		if err != nil {
			c.options.Logger.Error("invalid section, keeping the previous version", "section", section.GetName(), "error", err)
			c.undecodable[section.GetName()] = max(c.undecodable[section.GetName()], section.GetVersion())
			continue
		}
		c.view = next
	}
}

// isIncomplete reports whether the view lacks a section that can't be decoded. A later version
// of the section can replace it.
func (c *Client) isIncomplete() bool {
	for name, version := range c.undecodable {
		if version > c.view.Version(name) {
			return true
		}
	}
	return false
}

// applyMembers returns a copy of the delta if it is newer than the members of
// the process and applies to them, and otherwise nil.
func (s *session) applyMembers(delta *yuccawire.MembersDelta) *yuccawire.MembersDelta {
	c := s.client
	if delta == nil {
		return nil
	}
	stale := delta.GetEpoch() < c.membersEpoch ||
		delta.GetEpoch() == c.membersEpoch && delta.GetVersion() <= c.membersVersion
	if stale || (!delta.GetFull() && delta.GetEpoch() != c.membersEpoch) {
		return nil
	}
	c.membersEpoch = delta.GetEpoch()
	c.membersVersion = delta.GetVersion()
	return proto.CloneOf(delta)
}

func (s *session) sendUpdate(ctx context.Context, update Update) error {
	s.checkSuspension()
	update.Incarnation = s.self.GetIncarnation()
	update.Suspensions = s.client.suspensions
	update.Lease = s.client.lease
	update.View = s.client.view
	update.Incomplete = s.client.isIncomplete()
	select {
	case s.client.updates <- update:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
