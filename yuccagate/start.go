package yuccagate

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Decision is the outcome of [Gate.Start]: admitted, refused, or a duplicate of a
// start that was admitted before.
type Decision struct {
	refusal   yuccawire.Refusal
	duplicate bool
	result    *yuccawire.Finished
}

// Admitted reports whether the attempt must be run now.
func (d Decision) Admitted() bool {
	return !d.duplicate && d.refusal == yuccawire.Refusal_REFUSAL_UNSPECIFIED
}

// Refusal returns the reason why the attempt was not run and will never be run,
// or REFUSAL_UNSPECIFIED.
func (d Decision) Refusal() yuccawire.Refusal { return d.refusal }

// Duplicate reports whether the attempt was started before.
func (d Decision) Duplicate() bool { return d.duplicate }

// Result returns the result of a duplicate attempt that has finished, nil
// otherwise.
func (d Decision) Result() *yuccawire.Finished { return d.result }

// Start decides whether an attempt is admitted. The decision is recorded for the
// retention time after the deadline.
func (g *Gate) Start(now, deadline time.Time, s *yuccawire.Start) Decision {
	key := s.GetKey()
	r := g.ensureRecord(key.GetJob(), deadline.Add(g.options.Retention))
	if earlier := r.find(key); earlier != nil {
		return duplicateDecision(earlier)
	}
	a := &attempt{
		key:     key,
		service: s.GetService(),
		owner:   owner{name: s.GetOwner(), incarnation: s.GetOwnerIncarnation()},
		refusal: g.refusalFor(now, deadline, s, r),
	}
	r.add(a)
	if a.wasStarted() {
		a.running = true
		g.targets[a.service].inUse++
	}
	return Decision{refusal: a.refusal}
}

func duplicateDecision(a *attempt) Decision {
	if !a.wasStarted() {
		return Decision{refusal: a.refusal}
	}
	return Decision{duplicate: true, result: a.result}
}

// refusalFor returns the first reason to refuse the start, or
// REFUSAL_UNSPECIFIED.
func (g *Gate) refusalFor(now, deadline time.Time, s *yuccawire.Start, r *jobRecord) yuccawire.Refusal {
	switch {
	case s.GetSideIncarnation() != g.options.Incarnation:
		return yuccawire.Refusal_REFUSAL_OTHER_INCARNATION
	case !g.lease.Valid(now):
		return yuccawire.Refusal_REFUSAL_NO_LEASE
	case g.view.IsDrained(g.options.DataCentre):
		return yuccawire.Refusal_REFUSAL_DATA_CENTRE_OUT
	case s.GetDataCentresVersion() > g.view.Version(yuccadocument.SectionDrainedDataCentres):
		return yuccawire.Refusal_REFUSAL_STALE_CONFIGURATION
	case g.IsFenced(s.GetOwner(), s.GetOwnerIncarnation()):
		return yuccawire.Refusal_REFUSAL_FENCED
	case r.cancelled:
		return yuccawire.Refusal_REFUSAL_CANCELLED
	case !now.Before(deadline):
		return yuccawire.Refusal_REFUSAL_PAST_DEADLINE
	case r.anyStarted(s.GetKey().GetTask()) && !s.GetRepeatable():
		return yuccawire.Refusal_REFUSAL_SEEN_BEFORE
	}
	return g.targetRefusal(s.GetService())
}

func (g *Gate) targetRefusal(name string) yuccawire.Refusal {
	t := g.targets[name]
	switch {
	case t == nil || t.removed:
		return yuccawire.Refusal_REFUSAL_NO_TARGET
	case g.leaving || t.leaving:
		return yuccawire.Refusal_REFUSAL_LEAVING
	case t.inUse >= t.slots:
		return yuccawire.Refusal_REFUSAL_NO_SLOT
	}
	return yuccawire.Refusal_REFUSAL_UNSPECIFIED
}
