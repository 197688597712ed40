package yuccaedge

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// ErrNoLeader means that nothing was proposed, as this entry is not connected to a
// leading control.
var ErrNoLeader = merry.Sentinel("no leading control is known")

// proposalRequest is a change that the leader at another entry has to commit.
// number receives the number of the proposal, or zero if there is no leader; reply
// receives the leader's reply.
type proposalRequest struct {
	command *yuccawire.Command
	number  chan uint64
	reply   chan *yuccawire.ProposalReply
}

// proposalExpired reports that nobody waits for the reply to a proposal any more.
type proposalExpired struct{ number uint64 }

// startProposal passes a change on to the leader, over the session of the lease.
func (e *Edge) startProposal(p proposalRequest) {
	if e.options.Lease.Leader() == "" {
		p.number <- 0
		return
	}
	e.lastID++
	message := &yuccawire.Proposal{Number: e.lastID, Command: p.command}
	if !e.options.Lease.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Proposal{Proposal: message}}) {
		p.number <- 0
		return
	}
	e.proposals[e.lastID] = p
	p.number <- e.lastID
}

func (e *Edge) finishProposal(reply *yuccawire.ProposalReply) {
	if p, ok := e.proposals[reply.GetNumber()]; ok {
		delete(e.proposals, reply.GetNumber())
		p.reply <- reply
	}
}

// ReplaceDocument commits a whole document if its version is the highest. The
// document must be valid. A version that control has confirmed to be in force, or
// an older one, needs no control. The errors are ErrNoLeader, and
// yuccacontrol.ErrUnknownOutcome if the document may still be committed.
func (e *Edge) ReplaceDocument(ctx context.Context, version uint64, document []byte) (*yuccastate.ChangeResult, error) {
	const section = yuccadocument.SectionWholeDocument
	if c := e.config.Load(); !c.confirmedAt.IsZero() && version <= c.view.Version(section) {
		return &yuccastate.ChangeResult{Outcome: yuccastate.Repeated, Section: section, Version: c.view.Version(section)}, nil
	}
	replace := &yuccawire.ReplaceDocument{Version: version, Body: document}
	return e.apply(ctx, &yuccawire.Command{Body: &yuccawire.Command_ReplaceDocument{ReplaceDocument: replace}})
}

// SetDrained commits that a data centre is drained or in service. The data centre
// must be a known one. The errors are those of ReplaceDocument.
//
// The change names the version that it is based on, so that a proposal which a
// partition delays can't undo a later change. If another change was faster, it is
// proposed again while the operator waits. The deadline of the context counts by itself:
// after a standstill its end may not have been noticed yet.
func (e *Edge) SetDrained(ctx context.Context, dataCentre string, drained bool) (*yuccastate.ChangeResult, error) {
	base := e.config.Load().view.Version(yuccadocument.SectionDrainedDataCentres)
	for {
		change := &yuccawire.SetDataCentre{
			DataCentre: dataCentre, Out: drained, Known: true, AtUnixMs: time.Now().UnixMilli(), BaseVersion: proto.Uint64(base),
		}
		result, err := e.apply(ctx, &yuccawire.Command{Body: &yuccawire.Command_SetDataCentre{SetDataCentre: change}})
		if err != nil || result.Outcome != yuccastate.Conflict {
			return result, err
		}
		if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && !time.Now().Before(deadline) {
			return nil, context.DeadlineExceeded
		}
		base = result.Version
	}
}

// apply commits a command at the control of this process if that leads, otherwise
// at the leader.
func (e *Edge) apply(ctx context.Context, command *yuccawire.Command) (*yuccastate.ChangeResult, error) {
	if e.options.Replica != nil {
		result, err := e.options.Replica.Apply(ctx, command)
		if !errors.Is(err, yuccacontrol.ErrNotLeader) {
			return result, err
		}
	}
	return e.propose(ctx, command)
}

// propose passes a command on to the leader and waits for the result.
func (e *Edge) propose(ctx context.Context, command *yuccawire.Command) (*yuccastate.ChangeResult, error) {
	p := proposalRequest{command: command, number: make(chan uint64, 1), reply: make(chan *yuccawire.ProposalReply, 1)}
	if yuccaquery.Post(ctx, e.lifetime, e.events, event(p)) != nil {
		return nil, ErrNoLeader
	}
	number, err := yuccaquery.Await(context.Background(), e.lifetime, p.number)
	if err != nil || number == 0 {
		return nil, ErrNoLeader
	}
	e.metrics.Add("changes_passed_on", 1)
	reply, err := yuccaquery.Await(ctx, e.lifetime, p.reply)
	if err != nil {
		_ = yuccaquery.Post(context.Background(), e.lifetime, e.events, event(proposalExpired{number: number}))
		return nil, yuccacontrol.ErrUnknownOutcome
	}
	return decodeProposalReply(reply)
}

func decodeProposalReply(reply *yuccawire.ProposalReply) (*yuccastate.ChangeResult, error) {
	switch reply.GetStatus() {
	case yuccawire.ProposalStatus_PROPOSAL_STATUS_DECIDED:
		result := &yuccastate.ChangeResult{Outcome: yuccastate.Outcome(reply.GetOutcome()), Section: reply.GetSection(), Version: reply.GetVersion()}
		if reply.GetFindings() != "" {
			result.Findings = merry.New(reply.GetFindings())
		}
		return result, nil
	case yuccawire.ProposalStatus_PROPOSAL_STATUS_NOT_LEADER:
		return nil, ErrNoLeader
	default:
		return nil, yuccacontrol.ErrUnknownOutcome
	}
}
