package yuccaworker_test

import (
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// Only the entry that the message is for gets it, while it is linked.
func TestSidePassesAMessageOnToTheLinkedEntryThatItIsFor(t *testing.T) {
	h := newHarness(t)
	third := yuccaworker.Owner{Name: "third", Incarnation: 1}
	h.core.HandleLinkUp(h.now, third)
	h.core.Actions()
	m := &yuccawire.Forward{To: third.Name, From: entry.Name, Incarnation: entry.Incarnation, OpenJobs: &yuccawire.OpenJobs{Sequence: 3, Whole: true}}
	passedOn := func() []yuccaworker.Owner {
		var to []yuccaworker.Owner
		h.core.HandleForward(m)
		for _, a := range h.core.Actions() {
			if s, isSend := a.(yuccaworker.Send); isSend && s.Message.GetForward() == m {
				to = append(to, s.Owner)
			}
		}
		return to
	}
	if to := passedOn(); len(to) != 1 || to[0] != third {
		t.Errorf("passed on to %v, want %v", to, third)
	}
	h.core.HandleLinkDown(h.now, third)
	if to := passedOn(); len(to) > 0 {
		t.Errorf("passed on to %v, whose link is down", to)
	}
}
