package yuccacontrol

import (
	"errors"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// handleProposal proposes a change that an entry passes on for an operator, and
// replies with its result. Only processes with a session may propose.
func (c *Control) handleProposal(now time.Time, from *conn, p *yuccawire.Proposal) {
	if from.session == nil || !c.isActiveLeader(now) {
		from.sendProposalReply(&yuccawire.ProposalReply{Number: p.GetNumber(), Status: yuccawire.ProposalStatus_PROPOSAL_STATUS_NOT_LEADER})
		return
	}
	switch p.GetCommand().GetBody().(type) {
	case *yuccawire.Command_ReplaceDocument, *yuccawire.Command_SetDataCentre:
	default:
		c.metrics.Add("proposals_invalid", 1)
		c.options.Logger.Warn("proposal is not a change of an operator, ignored", "from", from.node.GetName(), "number", p.GetNumber())
		return
	}
	c.metrics.Add("proposals", 1)
	reply := func(result yuccastate.Result, err error) {
		from.sendProposalReply(proposalReply(p.GetNumber(), result.Change, err))
	}
	if !c.proposeCommand(now, p.GetCommand(), reply) {
		reply(yuccastate.Result{}, ErrNotLeader)
	}
}

func proposalReply(number uint64, result *yuccastate.ChangeResult, err error) *yuccawire.ProposalReply {
	reply := &yuccawire.ProposalReply{Number: number}
	switch {
	case errors.Is(err, ErrNotLeader):
		reply.Status = yuccawire.ProposalStatus_PROPOSAL_STATUS_NOT_LEADER
	case err != nil:
		reply.Status = yuccawire.ProposalStatus_PROPOSAL_STATUS_UNKNOWN
	default:
		reply.Status = yuccawire.ProposalStatus_PROPOSAL_STATUS_DECIDED
		reply.Outcome, reply.Section, reply.Version = uint32(result.Outcome), result.Section, result.Version
		if result.Findings != nil {
			reply.Findings = result.Findings.Error()
		}
	}
	return reply
}

func (c *conn) sendProposalReply(r *yuccawire.ProposalReply) {
	_ = c.link.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_ProposalReply{ProposalReply: r}})
}
