package yuccareplica_test

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// isLarge reports whether a message would hold up the heartbeats behind it, or not fit a link.
func isLarge(m *yuccawire.Replica) bool { return proto.Size(m) > 1<<20+1<<10 }

// snapshotNeeded returns a group with a follower that lacks a snapshot of the state, and its id.
func snapshotNeeded(t *testing.T, state []byte) (*group, uint64) {
	g := newGroup(1, 2, 3)
	g.isLost = isLarge
	g.advance(3 * time.Second)
	lagging := follower(g, g.leader())
	g.isolated[lagging] = true
	for range 20 {
		g.leader().Propose(g.now, []byte("x"))
	}
	g.advance(200 * time.Millisecond)
	compact(t, g.leader(), 10, state)
	return g, lagging
}

// compact has a core replace its log up to the index with a snapshot of the state.
func compact(t *testing.T, c *yuccareplica.Core, index uint64, state []byte) {
	t.Helper()
	if c.Compact(index, state) == nil {
		t.Fatalf("no snapshot at index %d, commit %d", index, c.Commit())
	}
}

// restart replaces a core by one that has only what is on its disk, here nothing but the first snapshot.
func (g *group) restart(id uint64) {
	stored := yuccareplica.Stored{Snapshot: yuccareplica.InitialSnapshot(replicas(1, 2, 3)), HardState: g.cores[id].HardState()}
	stored.HardState.Commit = 0
	g.cores[id] = yuccareplica.New(yuccareplica.Options{ID: id, Random: rand.New(rand.NewPCG(id, 2))}, stored, g.now)
}

// A snapshot is larger than a message may be, while parts are lost, the replica restarts, or the leader changes or makes
// another snapshot.
func TestLargeSnapshotNeverArrives(t *testing.T) {
	state := make([]byte, 40<<20)
	for i := range state {
		state[i] = byte(i >> 16)
	}
	for name, disturb := range map[string]func(t *testing.T, g *group, lagging uint64, part int) (isLost bool){
		"undisturbed":    func(*testing.T, *group, uint64, int) bool { return false },
		"parts are lost": func(_ *testing.T, _ *group, _ uint64, part int) bool { return part%7 == 3 },
		"link is lost":   func(_ *testing.T, _ *group, _ uint64, part int) bool { return part >= 10 && part < 20 },
		"replica restarts": func(_ *testing.T, g *group, lagging uint64, part int) bool {
			if part == 20 {
				g.restart(lagging)
			}
			return part == 20
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, lagging := snapshotNeeded(t, state)
			g.isolated = make(map[uint64]bool)
			parts := 0
			g.isLost = func(m *yuccawire.Replica) bool {
				if isLarge(m) {
					return true
				}
				if m.GetTo() != lagging || proto.Size(m) < 100<<10 {
					return false
				}
				parts++
				return disturb(t, g, lagging, parts)
			}
			var received []byte
			g.onSnapshot = func(_ uint64, s *yuccawire.InstallSnapshot) { received = s.GetState() }
			g.advance(2 * time.Second)
			if !bytes.Equal(received, state) {
				t.Errorf("%d bytes of the state arrived in %d parts, want %d", len(received), parts, len(state))
			}
			if c := g.cores[lagging]; c.Commit() != g.leader().Commit() {
				t.Errorf("commit = %d, want the leader's %d", c.Commit(), g.leader().Commit())
			}
		})
	}
}

// The leader makes snapshots faster than one arrives.
func TestReplicaNeverGetsAWholeSnapshot(t *testing.T) {
	const size, lastIndex = 20 << 20, 20
	g, lagging := snapshotNeeded(t, make([]byte, size))
	g.isolated = make(map[uint64]bool)
	parts, index := 0, uint64(10)
	g.isLost = func(m *yuccawire.Replica) bool {
		if m.GetSnapshotPart() != nil {
			parts++
			if parts%10 == 0 && index < lastIndex {
				index++
				compact(t, g.leader(), index, make([]byte, size))
			}
		}
		return isLarge(m)
	}
	installedAfter := 0
	g.onSnapshot = func(uint64, *yuccawire.InstallSnapshot) { installedAfter = cmp.Or(installedAfter, parts) }
	g.advance(time.Second)
	if installedAfter == 0 || installedAfter > 50 || g.cores[lagging].Commit() != g.leader().Commit() {
		t.Errorf("the first snapshot was whole after %d parts, commit %d of %d", installedAfter, g.cores[lagging].Commit(), g.leader().Commit())
	}
}

// Both have a snapshot of the same index, with other bytes.
func TestPartsOfTwoLeadersMakeOneSnapshot(t *testing.T) {
	const size = 20 << 20
	g, lagging := snapshotNeeded(t, bytes.Repeat([]byte("a"), size))
	first := g.leader().Leader()
	second := g.cores[6-lagging-first]
	compact(t, second, 10, bytes.Repeat([]byte("b"), size))
	parts := 0
	g.isLost = func(m *yuccawire.Replica) bool {
		if m.GetSnapshotPart() != nil {
			parts++
		}
		return isLarge(m) || parts > 8
	}
	var state []byte
	g.onSnapshot = func(_ uint64, s *yuccawire.InstallSnapshot) { state = s.GetState() }
	g.isolated = make(map[uint64]bool)
	g.advance(25 * time.Millisecond)
	if parts < 8 || state != nil {
		t.Fatalf("%d parts were sent, want 8 or more of a snapshot that is not whole", parts)
	}
	g.isLost = isLarge
	g.isolated = map[uint64]bool{first: true}
	g.advance(3 * time.Second)
	if len(state) != size || bytes.Contains(state, []byte("a")) || g.cores[lagging].Commit() != second.Commit() {
		t.Errorf("%d bytes, %d of the first leader, commit %d of %d", len(state), bytes.Count(state, []byte("a")), g.cores[lagging].Commit(), second.Commit())
	}
}

func TestLeaderDoesNotTellThatASnapshotIsMissing(t *testing.T) {
	const size = 20 << 20
	g, lagging := snapshotNeeded(t, make([]byte, size))
	missing := func() int {
		for _, l := range g.leader().Lags(g.now) {
			if l.ID == lagging {
				return l.SnapshotBytes
			}
		}
		return -1
	}
	if missing() != size {
		t.Errorf("%d bytes of the snapshot are said to be missing, want %d", missing(), size)
	}
	parts := 0
	g.isLost = func(m *yuccawire.Replica) bool {
		if m.GetSnapshotPart() != nil {
			parts++
		}
		return parts > 10
	}
	g.isolated = make(map[uint64]bool)
	g.advance(25 * time.Millisecond)
	if missing() <= 0 || missing() >= size {
		t.Errorf("%d bytes are said to be missing when some parts have arrived, want some of %d", missing(), size)
	}
	g.isLost = isLarge
	g.advance(time.Second)
	if missing() != 0 {
		t.Errorf("%d bytes are said to be missing at the end", missing())
	}
}
