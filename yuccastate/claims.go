package yuccastate

import (
	"bytes"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// claimMargin is how long claims are kept beyond their retention: controls may
	// differ by 10 s, and runs are stopped at their deadline.
	claimMargin = 15 * time.Second
	// limitsDelay is how long an entry may admit jobs under limits that were changed.
	limitsDelay = time.Minute
)

func (s *State) applyClaims(batch *yuccawire.ClaimBatch) []*yuccawire.ClaimReply {
	s.clockUnixMs = max(s.clockUnixMs, batch.GetAtUnixMs())
	replies := make([]*yuccawire.ClaimReply, len(batch.GetClaims()))
	for i, claim := range batch.GetClaims() {
		replies[i] = s.applyClaim(claim)
		replies[i].Nonce = claim.GetNonce()
	}
	return replies
}

// applyClaim returns the reply to a claim. It names the owner of the job, or the former
// owner if this claim takes the job over.
func (s *State) applyClaim(c *yuccawire.Claim) *yuccawire.ClaimReply {
	id := jobID{team: c.GetJob().GetTeam(), id: c.GetJob().GetId()}
	record := s.jobs[id]
	if record == nil {
		return s.firstClaim(id, c)
	}
	if !bytes.Equal(record.GetDigest(), c.GetDigest()) {
		return s.newReply(record, yuccawire.ClaimResult_CLAIM_CONFLICT)
	}
	if record.GetOwner() == c.GetOwner() && record.GetIncarnation() == c.GetIncarnation() {
		return s.claimByOwner(record, c)
	}
	if c.GetTakeOver() && s.canTakeOver(record, c) {
		if record.GetFinished() && !record.GetComplete() {
			return s.newReply(record, yuccawire.ClaimResult_CLAIM_EXPIRED)
		}
		reply := s.newReply(record, yuccawire.ClaimResult_CLAIM_TAKEN)
		record.Owner = c.GetOwner()
		record.Incarnation = c.GetIncarnation()
		record.Nonce = c.GetNonce()
		record.Taken = true
		return reply
	}
	return s.newReply(record, yuccawire.ClaimResult_CLAIM_HELD)
}

func (s *State) firstClaim(id jobID, c *yuccawire.Claim) *yuccawire.ClaimReply {
	record := &yuccawire.JobRecord{
		Job: c.GetJob(), Digest: c.GetDigest(), Owner: c.GetOwner(), Incarnation: c.GetIncarnation(), Nonce: c.GetNonce(),
	}
	if c.GetFinished() {
		return s.newReply(record, yuccawire.ClaimResult_CLAIM_EXPIRED)
	}
	if s.IsFenced(c.GetOwner(), c.GetIncarnation()) {
		return s.newReply(record, yuccawire.ClaimResult_CLAIM_REFUSED)
	}
	record.AtUnixMs = s.clockUnixMs
	s.jobs[id] = record
	s.jobsByAge = append(s.jobsByAge, record)
	return s.newReply(record, yuccawire.ClaimResult_CLAIM_GRANTED)
}

// claimByOwner handles a claim by the current owner of the job. A different
// nonce means a later submission of a job whose outcome the owner has already
// dropped.
func (s *State) claimByOwner(record *yuccawire.JobRecord, c *yuccawire.Claim) *yuccawire.ClaimReply {
	if record.GetNonce() != c.GetNonce() {
		return s.newReply(record, yuccawire.ClaimResult_CLAIM_EXPIRED)
	}
	if s.IsFenced(c.GetOwner(), c.GetIncarnation()) {
		return s.newReply(record, yuccawire.ClaimResult_CLAIM_REFUSED)
	}
	if !c.GetFinished() && record.GetTaken() {
		return s.newReply(record, yuccawire.ClaimResult_CLAIM_TAKEN)
	}
	if c.GetFinished() && !record.GetFinished() {
		record.Finished = true
		record.Complete = c.GetComplete()
	}
	return s.newReply(record, yuccawire.ClaimResult_CLAIM_GRANTED)
}

// canTakeOver reports whether the old owner is fenced and the new one is not.
func (s *State) canTakeOver(record *yuccawire.JobRecord, c *yuccawire.Claim) bool {
	return s.IsFenced(record.GetOwner(), record.GetIncarnation()) && !s.IsFenced(c.GetOwner(), c.GetIncarnation())
}

func (s *State) newReply(record *yuccawire.JobRecord, result yuccawire.ClaimResult) *yuccawire.ClaimReply {
	return &yuccawire.ClaimReply{
		Job:         record.GetJob(),
		Result:      result,
		Owner:       record.GetOwner(),
		Incarnation: record.GetIncarnation(),
		Finished:    record.GetFinished(),
		Complete:    record.GetComplete(),
		AgeMs:       s.clockUnixMs - record.GetAtUnixMs(),
	}
}

// Lookup returns the recorded claim of a job without changing the state. A claim
// without a digest matches a job with any tasks.
func (s *State) Lookup(c *yuccawire.Claim) *yuccawire.ClaimReply {
	reply := s.lookupReply(c)
	reply.Nonce = c.GetNonce()
	return reply
}

func (s *State) lookupReply(c *yuccawire.Claim) *yuccawire.ClaimReply {
	record := s.Job(c.GetJob())
	switch {
	case record == nil:
		return &yuccawire.ClaimReply{Job: c.GetJob(), Result: yuccawire.ClaimResult_CLAIM_ABSENT}
	case len(c.GetDigest()) > 0 && !bytes.Equal(record.GetDigest(), c.GetDigest()):
		return s.newReply(record, yuccawire.ClaimResult_CLAIM_CONFLICT)
	case record.GetOwner() == c.GetOwner() && record.GetIncarnation() == c.GetIncarnation():
		return s.newReply(record, yuccawire.ClaimResult_CLAIM_EXPIRED)
	}
	return s.newReply(record, yuccawire.ClaimResult_CLAIM_HELD)
}

// ClaimRetention returns how long claims are to be kept: longer than the jobs run that
// were admitted under the present limits, and under those of the last minutes.
func (s *State) ClaimRetention(now time.Time) time.Duration {
	recent := s.longestRetention(now.Add(-yuccadocument.MaxDeadline - limitsDelay))
	return max(s.document.Limits.ClaimRetention(), min(recent, yuccadocument.MaxDeadline)) + claimMargin
}

// longestRetention returns the longest retention of claims that was in force since
// the given time. Limits whose change is no longer in the history count as the default.
func (s *State) longestRetention(since time.Time) time.Duration {
	longest := s.document.Limits.ClaimRetention()
	replaced := false
	for _, change := range slices.Backward(s.changes) {
		if change.GetSection() != yuccadocument.SectionLimits {
			continue
		}
		if replaced {
			section := &yuccawire.Section{Name: change.GetSection(), Version: change.GetVersion(), Body: change.GetBody()}
			longest = max(longest, mustAddSection(yuccadocument.NewView(), section).Document().Limits.ClaimRetention())
		}
		if change.GetAtUnixMs() < since.UnixMilli() {
			return longest
		}
		replaced = true
	}
	if replaced {
		longest = max(longest, yuccadocument.Limits{}.ClaimRetention())
	}
	return longest
}

// expireJobs drops the claims that are older than their retention, and returns
// how many it dropped. It stops at the first claim that is young enough, since
// jobsByAge is sorted by time.
func (s *State) expireJobs(e *yuccawire.ExpireJobs) int {
	s.clockUnixMs = max(s.clockUnixMs, e.GetNowUnixMs())
	oldest := s.clockUnixMs - e.GetKeptMs()
	expired := 0
	for _, record := range s.jobsByAge {
		if record.GetAtUnixMs() >= oldest {
			break
		}
		delete(s.jobs, jobID{team: record.GetJob().GetTeam(), id: record.GetJob().GetId()})
		expired++
	}
	s.jobsByAge = append([]*yuccawire.JobRecord(nil), s.jobsByAge[expired:]...)
	return expired
}

// Job returns the claim of the job, or nil. It must not be modified.
func (s *State) Job(key *yuccawire.JobKey) *yuccawire.JobRecord {
	return s.jobs[jobID{team: key.GetTeam(), id: key.GetId()}]
}
