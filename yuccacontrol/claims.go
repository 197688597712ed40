package yuccacontrol

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// maxClockBehind is how far a leader's wall clock may be behind the latest that
// the group has seen.
const maxClockLag = time.Second

// pendingClaims are the claims of one message, which wait for the next
// proposal.
type pendingClaims struct {
	from  *conn
	batch *yuccawire.ClaimBatch
}

func (c *Control) queueClaims(from *conn, batch *yuccawire.ClaimBatch) {
	c.claims = append(c.claims, pendingClaims{from: from, batch: batch})
}

// answerLookups answers the questions of a batch and returns its claims.
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

// flushClaims proposes all claims that came since the last time as one entry.
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
		if err == nil {
			c.omitUntrustedAges(result.Claims)
			answerClaims(pending, result.Claims)
		}
	})
}

// omitUntrustedAges takes the ages out of the replies while this leader's wall clock
// is behind one that the group has seen.
func (c *Control) omitUntrustedAges(replies []*yuccawire.ClaimReply) {
	if c.state.Clock().Sub(time.Now()) < maxClockLag {
		return
	}
	c.metrics.Add("clock_behind", 1)
	for _, reply := range replies {
		reply.AgeMs = -1
	}
}

// answerClaims hands each link its share of the replies.
func answerClaims(pending []pendingClaims, replies []*yuccawire.ClaimReply) {
	for _, p := range pending {
		n := len(p.batch.GetClaims())
		if n > 0 {
			sendReplies(p.from, &yuccawire.ClaimReplies{Replies: replies[:n:n]})
		}
		replies = replies[n:]
	}
}

// fenceDeadOwners fences the owners of jobs that others ask to take over, if
// their lease is lost.
func (c *Control) fenceExpiredOwners(now time.Time, batch *yuccawire.ClaimBatch) {
	for _, claim := range batch.GetClaims() {
		if !claim.GetTakeOver() {
			continue
		}
		record := c.state.Job(claim.GetJob())
		if record == nil || c.state.IsFenced(record.GetOwner(), record.GetIncarnation()) {
			continue
		}
		if c.registry.Live(now, record.GetOwner(), record.GetIncarnation()) {
			continue
		}
		c.options.Logger.Info("fences an owner", "name", record.GetOwner(), "incarnation", record.GetIncarnation())
		fence := &yuccawire.FenceOwner{Owner: record.GetOwner(), Incarnation: record.GetIncarnation()}
		c.proposeCommand(now, &yuccawire.Command{Body: &yuccawire.Command_FenceOwner{FenceOwner: fence}}, nil)
	}
}
