package yuccaworker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// lostJobs returns the jobs of lost entries that an owner was told of since the last call.
func lostJobs(h *harness, to yuccaworker.Owner) []string {
	var jobs []string
	for _, a := range h.core.Actions() {
		s, isSend := a.(yuccaworker.Send)
		for _, lost := range s.Message.GetLostPlacements().GetOwners() {
			for _, p := range lost.GetPlacements() {
				if isSend && s.Owner == to {
					jobs = append(jobs, p.GetJob()+" at "+p.GetSides()[0])
				}
			}
		}
	}
	return jobs
}

// All entries may be lost at once, so that only sides know where their jobs may have runs.
func TestSideKeepsTheJobsOfALostEntryToItself(t *testing.T) {
	restarted := yuccaworker.Owner{Name: entry.Name, Incarnation: entry.Incarnation + 1}
	for name, lose := range map[string]func(h *harness){
		"killed":    func(h *harness) { h.core.HandleLinkDown(h.now, entry) },
		"restarted": func(h *harness) { h.core.HandleLinkUp(h.now, restarted) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.core.HandleLinkUp(h.now, entry)
			h.core.HandleLinkUp(h.now, otherEntry)
			placed := []*yuccawire.Placement{{Job: "a", Sides: []string{"s2"}, RemainingMs: 15000}, {Job: "closed", Sides: []string{"s2"}, RemainingMs: 15000}, {Job: "over", Sides: []string{"s2"}, RemainingMs: 100}}
			h.core.HandlePlacements(h.now, entry, &yuccawire.Placements{Placed: placed})
			h.core.HandlePlacements(h.now, entry, &yuccawire.Placements{Closed: []string{"closed"}})
			h.now = h.now.Add(2 * time.Second)
			h.core.Tick(h.now)
			if jobs := lostJobs(h, otherEntry); len(jobs) > 0 {
				t.Fatalf("told %v while the entry is linked", jobs)
			}
			lose(h)
			if jobs := lostJobs(h, otherEntry); !slices.Equal(jobs, []string{"a at s2"}) {
				t.Errorf("told %v, want a", jobs)
			}
			later := yuccaworker.Owner{Name: "later", Incarnation: 1}
			h.core.HandleLinkUp(h.now, later)
			if jobs := lostJobs(h, later); !slices.Equal(jobs, []string{"a at s2"}) {
				t.Errorf("told %v on a new link, want a", jobs)
			}
		})
	}
}

// The entry is linked again, and tells its jobs on the new link.
func TestLinkedEntryCountsAsLost(t *testing.T) {
	h := newHarness(t)
	h.core.HandleLinkUp(h.now, entry)
	h.core.HandlePlacements(h.now, entry, &yuccawire.Placements{Placed: []*yuccawire.Placement{{Job: "a", Sides: []string{"s2"}, RemainingMs: 15000}}})
	h.core.HandleLinkDown(h.now, entry)
	h.core.HandleLinkUp(h.now, entry)
	h.core.Actions()
	h.core.HandleLinkUp(h.now, otherEntry)
	if jobs := lostJobs(h, otherEntry); len(jobs) > 0 {
		t.Errorf("told %v of a linked entry", jobs)
	}
}
