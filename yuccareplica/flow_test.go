package yuccareplica_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// leaderOfThree returns a leader whose followers' messages the test plays, with a log of entries of the size.
func leaderOfThree(maxInflight, entries, size int) (*group, *yuccareplica.Core) {
	g := newGroup(1, 2, 3)
	for id := range g.cores {
		options := yuccareplica.Options{ID: id, Random: rand.New(rand.NewPCG(id, 1)), MaxInflightBytes: maxInflight}
		g.cores[id] = yuccareplica.New(options, yuccareplica.Stored{Snapshot: yuccareplica.InitialSnapshot(replicas(1, 2, 3))}, startTime)
	}
	g.advance(3 * time.Second)
	leader := g.leader()
	for id, c := range g.cores {
		g.isolated[id] = c != leader
	}
	for range entries {
		leader.Propose(g.now, bytes.Repeat([]byte("x"), size))
	}
	return g, leader
}

// sentTo returns the size of the entries that the leader sends to a replica now, and syncs its own.
func (g *group) sentTo(leader *yuccareplica.Core, id uint64) int {
	sum := 0
	for ready := leader.Ready(g.now); !ready.IsEmpty(); ready = leader.Ready(g.now) {
		leader.Synced(g.now, ready.SyncMark())
		for _, m := range append(ready.Immediate, ready.AfterSync...) {
			for _, e := range m.GetAppend().GetEntries() {
				if m.GetTo() == id {
					sum += len(e.GetCommand())
				}
			}
		}
	}
	return sum
}

func follower(g *group, leader *yuccareplica.Core) uint64 {
	for id, c := range g.cores {
		if c != leader {
			return id
		}
	}
	return 0
}

// Heartbeats don't make room for more of what the replica has not confirmed.
func TestUnconfirmedEntriesFillTheLink(t *testing.T) {
	const maxInflight, size = 1 << 20, 100 << 10
	g, leader := leaderOfThree(maxInflight, 100, size)
	id := follower(g, leader)
	sent := 0
	for range 5 {
		sent += g.sentTo(leader, id)
		g.now = g.now.Add(100 * time.Millisecond)
		leader.Tick(g.now)
	}
	if sent == 0 || sent > maxInflight {
		t.Errorf("%d bytes sent unconfirmed, want up to %d", sent, maxInflight)
	}
}

func TestEntryThatIsLargerThanTheLimitIsNeverSent(t *testing.T) {
	const size = 3 << 20
	g, leader := leaderOfThree(1<<20, 2, size)
	if sent := g.sentTo(leader, follower(g, leader)); sent != size {
		t.Errorf("%d bytes sent, want one entry of %d", sent, size)
	}
}

// Each heartbeat behind a lost append is rejected, too.
func TestLostEntriesAreSentAgainForEachRejection(t *testing.T) {
	const maxInflight, size = 1 << 20, 100 << 10
	g, leader := leaderOfThree(maxInflight, 100, size)
	id := follower(g, leader)
	hint := leader.Commit()
	g.sentTo(leader, id)
	sent := 0
	for range 10 {
		leader.Step(g.now, &yuccawire.Replica{From: id, To: leader.Leader(), Term: leader.Term(), Body: &yuccawire.Replica_AppendReply{AppendReply: &yuccawire.AppendReply{Hint: hint}}})
		sent += g.sentTo(leader, id)
	}
	if sent == 0 || sent > yuccareplica.MinInflightBytes {
		t.Errorf("%d bytes sent again, want up to %d", sent, yuccareplica.MinInflightBytes)
	}
}
