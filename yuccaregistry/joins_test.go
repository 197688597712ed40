package yuccaregistry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccaregistry"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const term = 7

// group is a registry with its time.
type group struct {
	t        *testing.T
	registry *yuccaregistry.Registry
	now      time.Time
}

func newGroup(t *testing.T, firstLeader bool) *group {
	now := time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)
	return &group{t: t, registry: yuccaregistry.New(term, now, firstLeader), now: now}
}

func (g *group) renewSide(incarnation uint64, services ...string) {
	renew := &yuccawire.Renew{Node: &yuccawire.Node{Name: "side", Role: yuccawire.Role_ROLE_SIDE, Incarnation: incarnation}}
	for _, service := range services {
		renew.Targets = append(renew.Targets, &yuccawire.Target{Service: service, Slots: 1})
	}
	g.registry.Renew(g.now, renew)
}

func (g *group) renewEntry(name string, epoch, version uint64) {
	node := &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Incarnation: 1}
	g.registry.Renew(g.now, &yuccawire.Renew{Node: node, MembersEpoch: epoch, MembersVersion: version})
}

// checkJoining checks which services of the side are joining after a confirmation.
func (g *group) checkJoining(when, want string) {
	g.t.Helper()
	g.registry.ConfirmJoins(g.now)
	for _, m := range g.registry.Delta(g.now, 0, 0).GetChanged() {
		if m.GetNode().GetName() == "side" {
			if got := strings.Join(m.GetJoining(), " "); got != want {
				g.t.Errorf("%s: %q are joining, want %q", when, got, want)
			}
			return
		}
	}
	g.t.Errorf("%s: the side is not a member", when)
}

func TestServiceJoinsOnceAllEntriesKnowIt(t *testing.T) {
	g := newGroup(t, true)
	g.renewEntry("a", 0, 0)
	g.renewEntry("b", 0, 0)
	g.renewSide(1, "regulation")
	announced := g.registry.Version()
	g.renewEntry("a", term, announced)
	g.renewEntry("b", term, announced-1)
	g.checkJoining("b lacks it", "regulation")
	g.renewEntry("b", term-1, announced)
	g.checkJoining("b has the members of another leader", "regulation")
	g.renewEntry("b", term, announced)
	g.checkJoining("both know it", "")
	if g.registry.Delta(g.now, term, announced) == nil {
		t.Error("the entries are not told that it has joined")
	}
	g.renewSide(1, "regulation", "tolls")
	g.checkJoining("a service was added", "tolls")
	g.renewSide(2, "regulation", "tolls")
	g.checkJoining("restarted", "regulation tolls")
	g.renewEntry("a", term, g.registry.Version())
	g.renewEntry("b", term, g.registry.Version())
	g.checkJoining("both know the new one", "")
	g.renewSide(2, "tolls")
	g.renewSide(2, "regulation", "tolls")
	g.checkJoining("withdrawn and announced again", "regulation")
}

func TestServiceJoinsOnceUnawareEntryHasLostItsLease(t *testing.T) {
	g := newGroup(t, true)
	g.renewEntry("a", 0, 0)
	g.now = g.now.Add(time.Second)
	g.renewSide(1, "regulation")
	g.checkJoining("a holds its lease", "regulation")
	g.now = g.now.Add(yuccalease.GracePeriod - time.Second)
	g.registry.Expire(g.now)
	g.checkJoining("a is gone", "")
}

func TestNothingJoinsWhileEntriesOfFormerLeaderMayHoldLeases(t *testing.T) {
	g := newGroup(t, false)
	g.renewSide(1, "regulation")
	g.now = g.now.Add(yuccalease.GracePeriod - 1)
	g.registry.ConfirmJoins(g.now)
	g.renewEntry("a", term-1, 90)
	g.renewSide(1, "regulation")
	g.now = g.now.Add(1)
	g.checkJoining("a has just renewed", "regulation")
	g.renewEntry("a", term, g.registry.Version())
	g.checkJoining("a knows it", "")
}
