package yuccacontrol

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// maxClockLag is how far a leader's wall clock may lag behind the latest time
// that a committed command carried.
const maxClockLag = time.Second

// pendingClaims holds the claims of one message until the next proposal.
type pendingClaims struct {
	from  *conn
	batch *yuccawire.ClaimBatch
}

func (c *Control) queueClaims(from *conn, batch *yuccawire.ClaimBatch) {
	c.claims = append(c.claims, pendingClaims{from: from, batch: batch})
}

// answerLookups replies to the lookups of a batch from the current state and
// returns the claims that remain to be proposed.
func (c *Control) answerLookups(p pendingClaims) pendingClaims {
	claims := &yuccawire.ClaimBatch{}
	answer := &yuccawire.ClaimReplies{}
	for _, claim := range p.batch.GetClaims() {
		if claim.GetLookup() {
			answer.Replies = append(answer.Replies, c.state.Lookup(claim))
			continue
		}
		claims.Claims = append(claims.Claims, claim)
	}
	if len(answer.GetReplies()) > 0 {
		c.metrics.Add("lookups", int64(len(answer.GetReplies())))
		sendReplies(p.from, answer)
	}
	return pendingClaims{from: p.from, batch: claims}
}

func sendReplies(to *conn, replies *yuccawire.ClaimReplies) {
	_ = to.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_ClaimReplies{ClaimReplies: replies}})
}

// flushClaims proposes all queued claims as one log entry, so that they share
// one sync. Lookups are answered directly. A replica that is not the leader
// sends Goodbye instead.
func (c *Control) flushClaims(now time.Time) {
	if len(c.claims) == 0 {
		return
	}
	pending := c.claims
	c.claims = nil
	if !c.isActiveLeader(now) {
		for _, p := range pending {
			_ = p.from.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Goodbye{Goodbye: &yuccawire.Goodbye{}}})
		}
		return
	}
	merged := &yuccawire.ClaimBatch{AtUnixMs: now.UnixMilli()}
	for i, p := range pending {
		p = c.answerLookups(p)
		pending[i] = p
		c.fenceExpiredOwners(now, p.batch)
		merged.Claims = append(merged.Claims, p.batch.GetClaims()...)
	}
	if len(merged.GetClaims()) == 0 {
		return
	}
	c.metrics.Add("claims_proposed", int64(len(merged.GetClaims())))
	command := &yuccawire.Command{Body: &yuccawire.Command_Claims{Claims: merged}}
	c.proposeCommand(now, command, func(result yuccastate.Result, err error) {
		if err != nil || !c.pushMembersBeforeTakeOver(result.Claims) {
			return
		}
		c.omitUntrustedAges(result.Claims)
		answerClaims(pending, result.Claims)
	})
}

// omitUntrustedAges sets the ages in the replies to -1 while this leader's wall
// clock lags behind the clock of the state by maxClockLag or more.
func (c *Control) omitUntrustedAges(replies []*yuccawire.ClaimReply) {
	if c.state.Clock().Sub(time.Now()) < maxClockLag {
		return
	}
	c.metrics.Add("clock_behind", 1)
	for _, reply := range replies {
		reply.AgeMs = -1
	}
}

// pushMembersBeforeTakeOver sends the entries the members that they lack if a job is taken
// over. A side that renews its lease later gets the fence of the former owner with it. It
// returns false if this replica can't tell the members.
func (c *Control) pushMembersBeforeTakeOver(replies []*yuccawire.ClaimReply) bool {
	isTaken := func(r *yuccawire.ClaimReply) bool { return r.GetResult() == yuccawire.ClaimResult_CLAIM_TAKEN }
	if !slices.ContainsFunc(replies, isTaken) {
		return true
	}
	now := time.Now()
	if !c.isActiveLeader(now) {
		return false
	}
	c.pushMembers(now)
	return true
}

// answerClaims sends each link the replies to its own claims. The replies are in
// the order of the merged batch.
func answerClaims(pending []pendingClaims, replies []*yuccawire.ClaimReply) {
	for _, p := range pending {
		n := len(p.batch.GetClaims())
		if n > 0 {
			sendReplies(p.from, &yuccawire.ClaimReplies{Replies: replies[:n:n]})
		}
		replies = replies[n:]
	}
}

// fenceExpiredOwners proposes a fence for the owner of each job that the batch
// wants to take over, unless the owner is fenced already or may still hold a
// lease. It proposes none until the members are complete, as the next owner has to ask
// all sides.
func (c *Control) fenceExpiredOwners(now time.Time, batch *yuccawire.ClaimBatch) {
	if !c.registry.IsComplete(now) {
		return
	}
	for _, claim := range batch.GetClaims() {
		if !claim.GetTakeOver() {
			continue
		}
		record := c.state.Job(claim.GetJob())
		if record == nil || c.state.IsFenced(record.GetOwner(), record.GetIncarnation()) {
			continue
		}
		if c.registry.MayHoldLease(now, record.GetOwner(), record.GetIncarnation()) {
			continue
		}
		c.options.Logger.Info("fencing job owner without a lease", "name", record.GetOwner(), "incarnation", record.GetIncarnation())
		fence := &yuccawire.FenceOwner{Owner: record.GetOwner(), Incarnation: record.GetIncarnation()}
		c.proposeCommand(now, &yuccawire.Command{Body: &yuccawire.Command_FenceOwner{FenceOwner: fence}}, nil)
	}
}
