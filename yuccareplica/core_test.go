package yuccareplica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var began = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

func replicas(ids ...uint64) *yuccawire.Replicas {
	r := &yuccawire.Replicas{}
	for _, id := range ids {
		r.Voters = append(r.Voters, &yuccawire.ReplicaAddress{Name: string('a' + rune(id)), Id: id})
	}
	return r
}

func newCore(id uint64, voters ...uint64) *yuccareplica.Core {
	stored := yuccareplica.Stored{Snapshot: yuccareplica.FirstSnapshot(replicas(voters...))}
	return yuccareplica.New(yuccareplica.Options{ID: id, Random: rand.New(rand.NewPCG(id, 1))}, stored, began)
}

// group passes messages between cores at once, and syncs at once.
type group struct {
	cores map[uint64]*yuccareplica.Core
	cut   map[uint64]bool
	now   time.Time
}

func newGroup(ids ...uint64) *group {
	g := &group{cores: make(map[uint64]*yuccareplica.Core), cut: make(map[uint64]bool), now: began}
	for _, id := range ids {
		g.cores[id] = newCore(id, ids...)
	}
	return g
}

// settle carries out everything until nothing is left.
func (g *group) settle() {
	for busy := true; busy; {
		busy = false
		for id, c := range g.cores {
			ready := c.Ready(g.now)
			if ready.Empty() {
				continue
			}
			busy = true
			if ready.MustSync() {
				c.Synced(g.now, ready.SyncMark())
			}
			for _, m := range append(ready.Immediate, ready.AfterSync...) {
				if other := g.cores[m.GetTo()]; other != nil && !g.cut[id] && !g.cut[m.GetTo()] {
					other.Step(g.now, m)
				}
			}
		}
	}
}

func (g *group) pass(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(25 * time.Millisecond)
		for _, c := range g.cores {
			c.Tick(g.now)
		}
		g.settle()
	}
}

func (g *group) leader() *yuccareplica.Core {
	for id, c := range g.cores {
		if c.IsLeader() && !g.cut[id] {
			return c
		}
	}
	return nil
}

func TestOneLeaderIsElectedAndCommits(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.pass(3 * time.Second)
	leader := g.leader()
	if leader == nil || !leader.LeaseValid(g.now) || !leader.Settled() {
		t.Fatal("no settled leader after 3 s")
	}
	index, _, ok := leader.Propose(g.now, []byte("x"))
	g.settle()
	if !ok || leader.Commit() < index {
		t.Errorf("commit is %d, expected %d", leader.Commit(), index)
	}
}

// While a follower hears its leader it gives no vote, so a leader's lease holds
// even against a replica that campaigns without a pre-vote.
func TestNoVoteWhileTheLeaderIsHeard(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.pass(3 * time.Second)
	leader := g.leader()
	for id, c := range g.cores {
		if c == leader {
			continue
		}
		vote := &yuccawire.Replica{From: 99, To: id, Term: leader.Term() + 5, Body: &yuccawire.Replica_Vote{
			Vote: &yuccawire.Vote{LastIndex: 1000, LastTerm: leader.Term() + 4},
		}}
		c.Step(g.now, vote)
		for _, m := range c.Ready(g.now).AfterSync {
			if m.GetVoteReply().GetGranted() {
				t.Errorf("replica %d voted while it hears the leader", id)
			}
		}
	}
	if leader.Term() != g.leader().Term() {
		t.Error("the vote changed the term")
	}
}

// A replica that was cut off comes back without disturbing the leader.
func TestPreVoteKeepsTheTerm(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.pass(3 * time.Second)
	term := g.leader().Term()
	for id, c := range g.cores {
		if c != g.leader() {
			g.cut[id] = true
			break
		}
	}
	g.pass(20 * time.Second)
	g.cut = make(map[uint64]bool)
	g.pass(5 * time.Second)
	if g.leader() == nil || g.leader().Term() != term {
		t.Errorf("the term moved from %d", term)
	}
}

// A cut-off leader's lease ends before another replica can lead.
func TestLeaseEndsBeforeTheNextLeader(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(1+seed, 101+seed, 201+seed)
		g.pass(3 * time.Second)
		old := g.leader()
		for id, c := range g.cores {
			g.cut[id] = c == old
		}
		for range 200 {
			g.pass(25 * time.Millisecond)
			if g.leader() != nil && old.LeaseValid(g.now) {
				t.Fatalf("seed %d: the old lease holds beside a new leader", seed)
			}
		}
		if g.leader() == nil {
			t.Fatalf("seed %d: no new leader", seed)
		}
	}
}

// What a cut-off leader appended is replaced by what the others committed.
func TestUncommittedEntriesAreReplaced(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.pass(3 * time.Second)
	old := g.leader()
	for id, c := range g.cores {
		g.cut[id] = c == old
	}
	for range 5 {
		old.Propose(g.now, []byte("lost"))
	}
	g.pass(4 * time.Second)
	g.leader().Propose(g.now, []byte("kept"))
	g.cut = make(map[uint64]bool)
	g.pass(2 * time.Second)
	for id, c := range g.cores {
		for _, e := range c.Entries() {
			if string(e.GetCommand()) == "lost" {
				t.Errorf("replica %d still has an entry that was never committed", id)
			}
		}
		if c.Commit() != g.leader().Commit() {
			t.Errorf("replica %d has commit %d, the leader %d", id, c.Commit(), g.leader().Commit())
		}
	}
}

// A follower that lags behind the leader's snapshot gets it whole.
func TestLaggingFollowerGetsASnapshot(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.pass(3 * time.Second)
	leader := g.leader()
	var lagging uint64
	for id, c := range g.cores {
		if c != leader {
			lagging = id
		}
	}
	g.cut[lagging] = true
	for range 50 {
		leader.Propose(g.now, []byte("x"))
		g.pass(25 * time.Millisecond)
	}
	if leader.Compact(leader.Commit(), []byte("state")) == nil {
		t.Fatal("no snapshot was made")
	}
	g.cut = make(map[uint64]bool)
	g.pass(2 * time.Second)
	if c := g.cores[lagging]; c.Commit() != leader.Commit() {
		t.Errorf("the follower has commit %d, the leader %d", c.Commit(), leader.Commit())
	}
}

func TestOneMembershipChangeAtATime(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.pass(3 * time.Second)
	leader := g.leader()
	for id := range g.cores {
		g.cut[id] = true // nothing commits
	}
	joining := &yuccawire.ReplicaAddress{Name: "new", Id: 50}
	if err := leader.Admit(g.now, joining); err != nil {
		t.Fatal(err)
	}
	if err := leader.Admit(g.now, &yuccawire.ReplicaAddress{Name: "other", Id: 51}); err == nil {
		t.Error("a second change began before the first was committed")
	}
	if leader.Promote(g.now) {
		t.Error("a learner that has caught up with nothing was promoted")
	}
}
