package yuccagate

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Decision is the gate's answer to a start.
type Decision struct {
	refusal   yuccawire.Refusal
	duplicate bool
	result    *yuccawire.Finished
}

// Admitted tells that the attempt must be run now.
func (v Decision) Admitted() bool {
	return !v.duplicate && v.refusal == yuccawire.Refusal_REFUSAL_UNSPECIFIED
}

// Refusal is the reason why the attempt was not run and never will be, or
// REFUSAL_UNSPECIFIED.
func (v Decision) Refusal() yuccawire.Refusal { return v.refusal }

// Duplicate tells that the attempt was started before.
func (v Decision) Duplicate() bool { return v.duplicate }

// Result is the answer of an attempt that was started before and has finished.
func (v Decision) Result() *yuccawire.Finished { return v.result }

// Start decides on one attempt, and records the decision until the deadline
// has passed and the retention after it.
func (g *Gate) Start(now, deadline time.Time, s *yuccawire.Start) Decision {
	key := s.GetKey()
	r := g.record(key.GetJob(), deadline.Add(g.options.Retention))
	if earlier := r.find(key); earlier != nil {
		return repeated(earlier)
	}
	a := &attempt{
		key:     key,
		service: s.GetService(),
		owner:   owner{name: s.GetOwner(), incarnation: s.GetOwnerIncarnation()},
		refusal: g.check(now, deadline, s, r),
	}
	r.add(a)
	if a.ran() {
		a.running = true
		g.services[a.service].busy++
	}
	return Decision{refusal: a.refusal}
}

func repeated(a *attempt) Decision {
	if !a.ran() {
		return Decision{refusal: a.refusal}
	}
	return Decision{duplicate: true, result: a.result}
}

// check returns the first reason to refuse the start.
func (g *Gate) check(now, deadline time.Time, s *yuccawire.Start, r *jobRecord) yuccawire.Refusal {
	switch {
	case s.GetSideIncarnation() != g.options.Incarnation:
		return yuccawire.Refusal_REFUSAL_OTHER_INCARNATION
	case !g.lease.Valid(now):
		return yuccawire.Refusal_REFUSAL_NO_LEASE
	case g.view.IsOut(g.options.DataCentre):
		return yuccawire.Refusal_REFUSAL_DATA_CENTRE_OUT
	case s.GetDataCentresVersion() > g.view.Version(yuccadocument.SectionDataCentresOut):
		return yuccawire.Refusal_REFUSAL_STALE_CONFIGURATION
	case s.GetOwnerIncarnation() <= g.fences[s.GetOwner()]:
		return yuccawire.Refusal_REFUSAL_FENCED
	case r.cancelled:
		return yuccawire.Refusal_REFUSAL_CANCELLED
	case !now.Before(deadline):
		return yuccawire.Refusal_REFUSAL_PAST_DEADLINE
	case r.anyRan(s.GetKey().GetTask()) && !s.GetRepeatable():
		return yuccawire.Refusal_REFUSAL_SEEN_BEFORE
	}
	return g.checkTarget(s.GetService())
}

func (g *Gate) checkTarget(name string) yuccawire.Refusal {
	target := g.services[name]
	switch {
	case target == nil || target.gone:
		return yuccawire.Refusal_REFUSAL_NO_TARGET
	case g.leaving || target.leaving:
		return yuccawire.Refusal_REFUSAL_LEAVING
	case target.busy >= target.slots:
		return yuccawire.Refusal_REFUSAL_NO_SLOT
	}
	return yuccawire.Refusal_REFUSAL_UNSPECIFIED
}
