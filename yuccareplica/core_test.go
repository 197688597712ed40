package yuccareplica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var startTime = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

func replicas(ids ...uint64) *yuccawire.Replicas {
	r := &yuccawire.Replicas{}
	for _, id := range ids {
		r.Voters = append(r.Voters, &yuccawire.ReplicaAddress{Name: string('a' + rune(id)), Id: id})
	}
	return r
}

func newCore(id uint64, voterIDs ...uint64) *yuccareplica.Core {
	stored := yuccareplica.Stored{Snapshot: yuccareplica.InitialSnapshot(replicas(voterIDs...))}
	return yuccareplica.New(yuccareplica.Options{ID: id, Random: rand.New(rand.NewPCG(id, 1))}, stored, startTime)
}

// group connects cores with instant message delivery and instant disk syncs.
// Messages from and to isolated replicas are dropped, snapshots if losesSnapshots
// is set, and those for which isLost returns true.
type group struct {
	cores          map[uint64]*yuccareplica.Core
	isolated       map[uint64]bool
	losesSnapshots bool
	isLost         func(m *yuccawire.Replica) bool
	// onSnapshot is called for a core that has received a snapshot.
	onSnapshot func(id uint64, s *yuccawire.InstallSnapshot)
	now        time.Time
}

func newGroup(ids ...uint64) *group {
	g := &group{cores: make(map[uint64]*yuccareplica.Core), isolated: make(map[uint64]bool), now: startTime}
	for _, id := range ids {
		g.cores[id] = newCore(id, ids...)
	}
	return g
}

// deliverAll syncs and delivers messages until no core has pending work.
func (g *group) deliverAll() {
	for active := true; active; {
		active = false
		for id, c := range g.cores {
			ready := c.Ready(g.now)
			if ready.IsEmpty() {
				continue
			}
			active = true
			if ready.Snapshot != nil && g.onSnapshot != nil {
				g.onSnapshot(id, ready.Snapshot)
			}
			if ready.MustSync() {
				c.Synced(g.now, ready.SyncMark())
			}
			for _, m := range append(ready.Immediate, ready.AfterSync...) {
				if m.GetInstallSnapshot() != nil && g.losesSnapshots || g.isLost != nil && g.isLost(m) {
					continue
				}
				if other := g.cores[m.GetTo()]; other != nil && !g.isolated[id] && !g.isolated[m.GetTo()] {
					other.Step(g.now, m)
				}
			}
		}
	}
}

func (g *group) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(25 * time.Millisecond)
		for _, c := range g.cores {
			c.Tick(g.now)
		}
		g.deliverAll()
	}
}

func (g *group) leader() *yuccareplica.Core {
	for id, c := range g.cores {
		if c.IsLeader() && !g.isolated[id] {
			return c
		}
	}
	return nil
}

func TestLeaderIsElectedAndCommits(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.advance(3 * time.Second)
	leader := g.leader()
	if leader == nil || !leader.LeaseValid(g.now) || !leader.HasAppliedOwnTerm() {
		t.Fatal("no leader with an applied entry of its term after 3 s")
	}
	index, _, ok := leader.Propose(g.now, []byte("x"))
	g.deliverAll()
	if !ok || leader.Commit() < index {
		t.Errorf("commit = %d, want at least %d", leader.Commit(), index)
	}
}

// A follower in contact with its leader grants no vote. Otherwise a replica that
// campaigns without a pre-vote could win an election while the leader's lease
// is still valid.
func TestNoVoteDuringLeaderContact(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.advance(3 * time.Second)
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
				t.Errorf("replica %d granted a vote while in contact with the leader", id)
			}
		}
	}
	if leader.Term() != g.leader().Term() {
		t.Error("vote request changed the term")
	}
}

// A replica that was isolated rejoins without forcing an election: thanks to the
// pre-vote, its term did not grow meanwhile.
func TestPreVoteKeepsTheTerm(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.advance(3 * time.Second)
	term := g.leader().Term()
	for id, c := range g.cores {
		if c != g.leader() {
			g.isolated[id] = true
			break
		}
	}
	g.advance(20 * time.Second)
	g.isolated = make(map[uint64]bool)
	g.advance(5 * time.Second)
	if g.leader() == nil || g.leader().Term() != term {
		t.Errorf("leader lost or term changed from %d", term)
	}
}

// The lease of an isolated leader expires before another replica is elected.
func TestLeaseExpiresBeforeNextLeader(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(1+seed, 101+seed, 201+seed)
		g.advance(3 * time.Second)
		old := g.leader()
		for id, c := range g.cores {
			g.isolated[id] = c == old
		}
		for range 200 {
			g.advance(25 * time.Millisecond)
			if g.leader() != nil && old.LeaseValid(g.now) {
				t.Fatalf("seed %d: old lease still valid with a new leader", seed)
			}
		}
		if g.leader() == nil {
			t.Fatalf("seed %d: no new leader", seed)
		}
	}
}

// Uncommitted entries of an isolated leader are replaced by the entries that
// the other replicas have committed.
func TestUncommittedEntriesAreReplaced(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.advance(3 * time.Second)
	old := g.leader()
	for id, c := range g.cores {
		g.isolated[id] = c == old
	}
	for range 5 {
		old.Propose(g.now, []byte("uncommitted"))
	}
	g.advance(4 * time.Second)
	g.leader().Propose(g.now, []byte("committed"))
	g.isolated = make(map[uint64]bool)
	g.advance(2 * time.Second)
	for id, c := range g.cores {
		for _, e := range c.Entries() {
			if string(e.GetCommand()) == "uncommitted" {
				t.Errorf("replica %d still has an uncommitted entry of the old leader", id)
			}
		}
		if c.Commit() != g.leader().Commit() {
			t.Errorf("replica %d: commit = %d, want the leader's %d", id, c.Commit(), g.leader().Commit())
		}
	}
}

// A follower that needs compacted entries catches up from a snapshot.
func TestLaggingFollowerReceivesSnapshot(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.advance(3 * time.Second)
	leader := g.leader()
	var lagging uint64
	for id, c := range g.cores {
		if c != leader {
			lagging = id
		}
	}
	g.isolated[lagging] = true
	for range 50 {
		leader.Propose(g.now, []byte("x"))
		g.advance(25 * time.Millisecond)
	}
	if leader.Compact(leader.Commit(), []byte("state")) == nil {
		t.Fatal("Compact returned no snapshot")
	}
	g.isolated = make(map[uint64]bool)
	g.advance(2 * time.Second)
	if c := g.cores[lagging]; c.Commit() != leader.Commit() {
		t.Errorf("lagging follower: commit = %d, want the leader's %d", c.Commit(), leader.Commit())
	}
}

// A follower that lost the snapshot, as when its disk was full, gets it again at once. Up
// to then its acknowledgements keep the leader in office.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.advance(3 * time.Second)
	leader := g.leader()
	var followers []uint64
	for id, c := range g.cores {
		if c != leader {
			followers = append(followers, id)
		}
	}
	g.isolated[followers[0]] = true
	g.advance(25 * time.Millisecond)
	leader.Propose(g.now, []byte("x"))
	g.advance(time.Second)
	if leader.Compact(leader.Commit(), []byte("state")) == nil {
		t.Fatal("Compact returned no snapshot")
	}
	g.losesSnapshots = true
	g.isolated = map[uint64]bool{followers[1]: true}
	g.advance(2 * time.Second)
	if !leader.IsLeader() {
		t.Error("the leader has stepped down although a follower is in touch")
	}
	index, _, _ := leader.Propose(g.now, []byte("y"))
	g.losesSnapshots = false
	g.advance(2 * yuccareplica.HeartbeatInterval)
	if !leader.IsLeader() || leader.Commit() < index {
		t.Errorf("commit = %d two heartbeats later, want %d", leader.Commit(), index)
	}
}

func TestOneMembershipChangeAtATime(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.advance(3 * time.Second)
	leader := g.leader()
	for id := range g.cores {
		g.isolated[id] = true // prevents commits
	}
	joining := &yuccawire.ReplicaAddress{Name: "new", Id: 50}
	if err := leader.Admit(g.now, joining); err != nil {
		t.Fatal(err)
	}
	if err := leader.Admit(g.now, &yuccawire.ReplicaAddress{Name: "other", Id: 51}); err == nil {
		t.Error("second change started before the first was committed")
	}
	if leader.BalanceVoters(g.now) {
		t.Error("learner promoted although it has not caught up")
	}
}

// A restarted replica applies the entries up to the commit index that it saved,
// without waiting for a leader. A saved commit beyond the end of the log must
// not apply missing entries.
func TestCommitIsSaved(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.advance(3 * time.Second)
	leader := g.leader()
	var saved *yuccawire.HardState
	if _, _, ok := leader.Propose(g.now, []byte("x")); !ok {
		t.Fatal("leader rejected a proposal")
	}
	g.deliverAll()
	g.now = g.now.Add(time.Second)
	leader.Tick(g.now)
	if ready := leader.Ready(g.now); ready.HardState != nil {
		saved = ready.HardState
	}
	if saved.GetCommit() != leader.Commit() {
		t.Fatalf("saved commit = %d, want %d", saved.GetCommit(), leader.Commit())
	}
	stored := yuccareplica.Stored{Snapshot: yuccareplica.InitialSnapshot(replicas(1, 2, 3)), Entries: leader.Entries(), HardState: saved}
	restarted := yuccareplica.New(yuccareplica.Options{ID: 9, Random: rand.New(rand.NewPCG(9, 1))}, stored, g.now)
	committed := restarted.Ready(g.now).Committed
	if n := len(committed); n == 0 || string(committed[n-1].GetCommand()) != "x" {
		t.Errorf("restarted replica applied %d entries, want the last one to be x", n)
	}
	stored.Entries = stored.Entries[:1]
	truncated := yuccareplica.New(yuccareplica.Options{ID: 9, Random: rand.New(rand.NewPCG(9, 1))}, stored, g.now)
	if n := len(truncated.Ready(g.now).Committed); n != 1 {
		t.Errorf("applied %d entries of a log that was truncated to one", n)
	}
}

// With three wanted voters, a fourth replica stays a learner until a voter is
// lost, then replaces it.
func TestLearnerReplacesLostVoter(t *testing.T) {
	g := newGroup()
	for _, id := range []uint64{1, 2, 3, 4} {
		stored := yuccareplica.Stored{Snapshot: yuccareplica.InitialSnapshot(replicas(1, 2, 3))}
		if id == 4 {
			stored = yuccareplica.Stored{Snapshot: &yuccawire.InstallSnapshot{}}
		}
		options := yuccareplica.Options{ID: id, Random: rand.New(rand.NewPCG(id, 1)), Voters: 3}
		g.cores[id] = yuccareplica.New(options, stored, startTime)
	}
	g.advance(3 * time.Second)
	leader := g.leader()
	if err := leader.Admit(g.now, &yuccawire.ReplicaAddress{Name: "e", Id: 4}); err != nil {
		t.Fatal(err)
	}
	g.advance(time.Second)
	if leader.BalanceVoters(g.now) {
		t.Fatal("learner promoted to a fourth voter while three voters are alive")
	}
	for id, c := range g.cores {
		if c != leader && id != 4 {
			g.isolated[id] = true
			break
		}
	}
	for range 40 {
		g.advance(200 * time.Millisecond)
		if leader := g.leader(); leader != nil {
			leader.BalanceVoters(g.now)
		}
	}
	voters, learners := g.leader().Replicas().GetVoters(), g.leader().Replicas().GetLearners()
	if len(voters) != 3 || len(learners) != 1 || g.isolated[voters[0].GetId()] || g.isolated[voters[1].GetId()] || g.isolated[voters[2].GetId()] || !g.isolated[learners[0].GetId()] {
		t.Errorf("voters %v, learners %v, want three voters and the lost one as the only learner", voters, learners)
	}
}

func TestFormationOfUnlistedReplicas(t *testing.T) {
	reply := func(name string, id uint64, formed bool) *yuccawire.ProbeReply {
		return &yuccawire.ProbeReply{From: &yuccawire.ReplicaAddress{Name: name, Id: id}, Formed: formed}
	}
	f := yuccareplica.NewFormation(&yuccawire.ReplicaAddress{Name: "a", Id: 1}, nil)
	f.RecordReply(reply("b", 2, false))
	if got := f.DecideUnlisted(3, false); got != nil {
		t.Errorf("group formed with %d of 3 voters", len(got.GetVoters()))
	}
	if got := f.DecideUnlisted(3, true); len(got.GetVoters()) != 1 {
		t.Errorf("smaller group has %d voters, want the odd number 1", len(got.GetVoters()))
	}
	f.RecordReply(reply("c", 3, false))
	f.RecordReply(reply("d", 4, false))
	if got := f.DecideUnlisted(3, false); len(got.GetVoters()) != 3 {
		t.Errorf("group has %d voters, want 3", len(got.GetVoters()))
	}
	f.RecordReply(reply("d", 4, true))
	if f.DecideUnlisted(3, true) != nil {
		t.Error("second group formed although one exists")
	}
}

// A leader that steps down loses its lease at once.
func TestStepDown(t *testing.T) {
	g := newGroup(1, 2, 3)
	g.advance(3 * time.Second)
	leader := g.leader()
	leader.StepDown(g.now)
	if leader.IsLeader() || leader.LeaseValid(g.now) {
		t.Error("still leader or lease still valid after StepDown")
	}
}

// ackedMatch returns the highest index that the messages acknowledge, apart from
// those that wait for a sync.
func ackedMatch(ready yuccareplica.Ready) uint64 {
	messages := ready.Immediate
	if !ready.MustSync() {
		messages = append(messages, ready.AfterSync...)
	}
	acked := uint64(0)
	for _, m := range messages {
		if reply := m.GetAppendReply(); reply.GetSuccess() {
			acked = max(acked, reply.GetMatch())
		}
	}
	return acked
}

// Entries that arrive again while their write is in progress are not on disk yet.
func TestRepeatedAppendIsNotAcknowledgedBeforeSync(t *testing.T) {
	follower := newCore(2, 1, 2, 3)
	m := &yuccawire.Replica{From: 1, To: 2, Term: 2, Body: &yuccawire.Replica_Append{Append: &yuccawire.Append{
		PreviousIndex: 1, PreviousTerm: 1, Entries: []*yuccawire.Entry{{Index: 2, Term: 2}},
	}}}
	follower.Step(startTime, m)
	writing := follower.Ready(startTime)
	follower.Step(startTime, m)
	if acked := ackedMatch(follower.Ready(startTime)); acked >= 2 {
		t.Errorf("index %d is acknowledged before its write has ended", acked)
	}
	follower.Synced(startTime, writing.SyncMark())
	follower.Step(startTime, m)
	if acked := ackedMatch(follower.Ready(startTime)); acked != 2 {
		t.Errorf("index %d is acknowledged after the sync, want 2", acked)
	}
}

// A snapshot that arrives again while its write is in progress is not on disk yet.
func TestRepeatedSnapshotIsNotAcknowledgedBeforeSync(t *testing.T) {
	follower := newCore(2, 1, 2, 3)
	m := &yuccawire.Replica{From: 1, To: 2, Term: 2, Body: &yuccawire.Replica_InstallSnapshot{InstallSnapshot: &yuccawire.InstallSnapshot{
		Index: 9, IndexTerm: 2, Replicas: replicas(1, 2, 3),
	}}}
	follower.Step(startTime, m)
	writing := follower.Ready(startTime)
	follower.Step(startTime, m)
	if acked := ackedMatch(follower.Ready(startTime)); acked >= 9 {
		t.Errorf("index %d is acknowledged before the snapshot is on disk", acked)
	}
	follower.Synced(startTime, writing.SyncMark())
	follower.Step(startTime, m)
	if acked := ackedMatch(follower.Ready(startTime)); acked != 9 {
		t.Errorf("index %d is acknowledged after the sync, want 9", acked)
	}
}
