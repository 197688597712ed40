package yuccacontrol_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// linkBytes is what a link between controls takes unsent, catchUpTime how long a replica
	// that lost its disk may take until it counts again.
	linkBytes   = 16 << 20
	catchUpTime = 4 * time.Second
)

// newLimitedDeployment returns a deployment whose links have that rate in bytes a second, with a group of the names.
func newLimitedDeployment(ctx context.Context, t *testing.T, rate int, names ...string) *deployment {
	d := newDeployment(t)
	d.fabric = yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1, BytesPerSecond: rate, MaxPendingBytes: linkBytes})
	others := slices.Concat(names, []string{"e"})
	for i, name := range names {
		d.start(ctx, name, i == 0, others...)
	}
	time.Sleep(4 * time.Second)
	return d
}

// change applies documents of the size, until all have the number given.
func (d *deployment) change(ctx context.Context, changes, size int) {
	leader, status := d.leader(ctx)
	version := status.Commit * 1000
	for range changes {
		version++
		replace := &yuccawire.ReplaceDocument{Version: version, Body: bytes.Repeat([]byte("x"), size)}
		result, err := d.controls[leader].Apply(ctx, &yuccawire.Command{Body: &yuccawire.Command_ReplaceDocument{ReplaceDocument: replace}})
		if err != nil || result.Outcome != yuccastate.Accepted {
			d.t.Fatalf("version %d: %+v, %v", version, result, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// changeSection applies versions of a section of about the size, which the history keeps.
func (d *deployment) changeSection(ctx context.Context, changes, size int) {
	leader, _ := d.leader(ctx)
	body := slices.Concat([]byte("{} //"), bytes.Repeat([]byte("x"), size), []byte("\n"))
	for version := range changes {
		section := &yuccawire.ApplySection{Section: yuccadocument.SectionLimits, BaseVersion: uint64(version), RequestId: fmt.Sprint(version), Body: body}
		result, err := d.controls[leader].Apply(ctx, &yuccawire.Command{Body: &yuccawire.Command_ApplySection{ApplySection: section}})
		if err != nil || result.Outcome != yuccastate.Accepted {
			d.t.Fatalf("version %d: %+v, %v", version, result, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// follower returns the name of a voter that does not lead.
func (d *deployment) follower(ctx context.Context) string {
	leader, status := d.leader(ctx)
	for _, r := range status.Replicas {
		if r.Voter && r.Name != leader {
			return r.Name
		}
	}
	return ""
}

// holdsAll reports whether the replica with the name belongs to the group, as a voter if there are three, and has
// committed what the leader has.
func (d *deployment) holdsAll(ctx context.Context, name string) bool {
	_, status := d.leader(ctx)
	own, err := d.controls[name].Status(ctx)
	isMember := false
	for _, r := range status.Replicas {
		isMember = isMember || r.Name == name && (r.Voter || len(status.Replicas) > 3) && r.ID == d.storages[name].id
	}
	return err == nil && isMember && own.Commit >= status.Commit
}

// A log of about the size that a link takes unsent, and more, up to the size at which it is compacted.
func TestReplicaThatLostItsDiskNeverGetsALongLog(t *testing.T) {
	const mb = 1 << 20
	for _, tc := range []struct {
		name          string
		changes, size int
		rate          int
		isOther       bool
		others        []string
	}{
		{"disk lost", 93, 258 << 10, 40 * mb, false, nil},
		{"disk lost in a group of five", 93, 258 << 10, 40 * mb, false, []string{"d", "f"}},
		{"replaced by another machine", 93, 258 << 10, 40 * mb, true, nil},
		{"few large changes", 7, 8 * mb, 40 * mb, false, nil},
		{"many small changes", 2000, 12 << 10, 40 * mb, false, nil},
		{"slower link", 70, 258 << 10, 8 * mb, false, nil},
		{"link that takes half a minute for the log", 93, 258 << 10, 800 << 10, false, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				names := append([]string{"a", "b", "c"}, tc.others...)
				d := newLimitedDeployment(ctx, t, tc.rate, names...)
				d.change(ctx, tc.changes, tc.size)
				lost := d.follower(ctx)
				d.cancels[lost]()
				d.fabric.Crash(lost)
				delete(d.controls, lost)
				synctest.Wait()
				time.Sleep(time.Second)
				name := lost
				if tc.isOther {
					name = "e"
				}
				d.storages[name] = &memoryStorage{id: 200}
				d.start(ctx, name, false, slices.Concat(names, []string{"e"})...)
				time.Sleep(catchUpTime)
				if !d.holdsAll(ctx, name) {
					own, _ := d.controls[name].Status(ctx)
					_, status := d.leader(ctx)
					t.Errorf("%s has committed %d of %d after %v, replicas %+v", name, own.Commit, status.Commit, catchUpTime, status.Replicas)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// The state is larger than a link takes, and than a message may be. Its log was replaced with a snapshot.
func TestReplicaThatLostItsDiskNeverGetsALargeState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		names := []string{"a", "b", "c"}
		d := newLimitedDeployment(ctx, t, 40<<20, names...)
		d.changeSection(ctx, 80, 900<<10)
		lost := d.follower(ctx)
		d.cancels[lost]()
		d.fabric.Crash(lost)
		delete(d.controls, lost)
		synctest.Wait()
		time.Sleep(time.Second)
		d.storages[lost] = &memoryStorage{id: 200}
		d.start(ctx, lost, false, names...)
		time.Sleep(catchUpTime)
		if size := len(d.storages[lost].stored.Snapshot.GetState()); size < 50<<20 || !d.holdsAll(ctx, lost) {
			t.Errorf("a snapshot of %d bytes has arrived after %v", size, catchUpTime)
		}
		cancel()
		synctest.Wait()
	})
}

// The state is about as large as the log, as its history has the same bodies. The leader does nothing else meanwhile.
func TestLeaderEncodesItsStateAgainAndAgainForALaggingReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		names := []string{"a", "b", "c"}
		d := newLimitedDeployment(ctx, t, 8<<20, names...)
		d.changeSection(ctx, 30, 900<<10)
		lost := d.follower(ctx)
		d.cancels[lost]()
		d.fabric.Crash(lost)
		delete(d.controls, lost)
		synctest.Wait()
		d.storages[lost] = &memoryStorage{id: 200}
		d.start(ctx, lost, false, names...)
		time.Sleep(2 * catchUpTime)
		leader, _ := d.leader(ctx)
		if encoded := d.metrics[leader].Value("states_encoded"); encoded > 1 || !d.holdsAll(ctx, lost) {
			t.Errorf("the state was encoded %d times", encoded)
		}
		cancel()
		synctest.Wait()
	})
}

// No settings may let entries in flight close the link that they are sent on.
func TestControlStartsWithLinksThatAReplicaCannotCatchUpOver(t *testing.T) {
	for maxLinkBytes, isAllowed := range map[int]bool{1: false, 1<<20 - 1: false, 1 << 20: true, 0: true} {
		_, err := yuccacontrol.New(yuccacontrol.Options{Storage: &memoryStorage{id: 1}, Self: addressOf("a"), MaxLinkBytes: maxLinkBytes, Metrics: yuccametric.New("a")})
		if (err == nil) != isAllowed {
			t.Errorf("links of %d bytes: %v", maxLinkBytes, err)
		}
	}
}

func TestNobodyIsToldOfAReplicaThatDoesNotCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newLimitedDeployment(ctx, t, 40<<20, "a", "b", "c")
		leader, _ := d.leader(ctx)
		gauge := func(name string) int64 { return d.metrics[leader].Value(name) }
		stopped := d.follower(ctx)
		d.cancels[stopped]()
		d.fabric.Crash(stopped)
		delete(d.controls, stopped)
		d.change(ctx, 60, 10<<10)
		if gauge("replicas_lagging") != 0 {
			t.Error("a replica is reported 3 s after it was lost")
		}
		time.Sleep(2 * time.Second)
		if gauge("replicas_lagging") != 1 || gauge("replica_missing_entries") < 60 || gauge("replica_missing_bytes") < 600<<10 {
			t.Errorf("%d replicas lag, by %d entries and %d bytes", gauge("replicas_lagging"), gauge("replica_missing_entries"), gauge("replica_missing_bytes"))
		}
		d.start(ctx, stopped, false, "a", "b", "c")
		time.Sleep(2 * time.Second)
		d.change(ctx, 100, 10<<10)
		if gauge("replicas_lagging") != 0 || !d.holdsAll(ctx, stopped) {
			t.Errorf("%d replicas lag after the restart, while changes go on", gauge("replicas_lagging"))
		}
		cancel()
		synctest.Wait()
	})
}
