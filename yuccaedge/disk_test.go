package yuccaedge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadisk"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
)

const (
	// maxLogEntries is small, so that logs are replaced while a disk is full.
	maxLogEntries = 20
	maxLogBytes   = 256 << 10
	syncDelay     = 9 * time.Millisecond
	// fewBytes is enough for a vote, but not for a change.
	fewBytes = 64
	// ackTimeout is how long an operator waits for the acknowledgement of a change.
	ackTimeout = 4 * time.Second
)

// disk holds a data folder. While it is full, a write of more than room bytes stores
// a part of them, and a sync fails if failsSync is set. With a capacity, it is also full
// while its files have more bytes than that.
type disk struct {
	path      string
	full      atomic.Bool
	room      int
	failsSync bool
	capacity  atomic.Int64
	// slowdown is how many times as long as usual a sync takes, zero for once.
	slowdown time.Duration

	mu sync.Mutex
	// synced holds the size of each file at its last sync, by path.
	synced map[string]int64
	// hasNoPower makes writes and syncs fail.
	hasNoPower bool
}

// losePower takes from each file what was written since its last sync.
func (d *disk) losePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasNoPower = true
	for path, size := range d.synced {
		if info, err := os.Stat(path); err == nil && info.Size() > size {
			_ = os.Truncate(path, size)
		}
	}
}

func (d *disk) restorePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasNoPower = false
}

func (d *disk) isPowered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.hasNoPower
}

func (d *disk) setSynced(path string, size int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.synced == nil {
		d.synced = make(map[string]int64)
	}
	d.synced[path] = size
}

func (d *disk) isFull() bool {
	if d.capacity.Load() == 0 {
		return d.full.Load()
	}
	used := int64(0)
	files, _ := filepath.Glob(filepath.Join(d.path, "*"))
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			used += info.Size()
		}
	}
	return used > d.capacity.Load()
}

func (d *disk) open() (*yuccadisk.Folder, error) {
	return yuccadisk.OpenWith(d.path, func(path string, flag int, perm os.FileMode) (yuccadisk.File, error) {
		file, err := os.OpenFile(path, flag, perm)
		return &diskFile{File: file, disk: d}, err
	})
}

type diskFile struct {
	*os.File
	disk *disk
}

func (f *diskFile) Write(data []byte) (int, error) {
	if !f.disk.isPowered() {
		return 0, syscall.EIO
	}
	if !f.disk.isFull() || len(data) <= f.disk.room {
		return f.File.Write(data)
	}
	n, _ := f.File.Write(data[:len(data)/2])
	return n, syscall.ENOSPC
}

// Sync takes the time of a sync, or fails for lack of room.
func (f *diskFile) Sync() error {
	time.Sleep(syncDelay * max(f.disk.slowdown, 1))
	if f.disk.isFull() && f.disk.failsSync {
		return syscall.ENOSPC
	}
	if !f.disk.isPowered() {
		return syscall.EIO
	}
	if info, err := f.Stat(); err == nil && !info.IsDir() {
		f.disk.setSynced(strings.TrimSuffix(f.Name(), ".part"), info.Size())
	}
	return nil
}

// operator drains a data centre of its own and takes it back in turn, through one
// entry. Each change is sent until it is acknowledged.
type operator struct {
	group      *group
	entry      int
	dataCentre string
	// sent and acked say whether the data centre is drained by the last change.
	sent, acked bool
	slowest     time.Duration
}

func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		o.sent = !o.acked
		for o.sent != o.acked && ctx.Err() == nil {
			if _, err := o.group.setDrained(o.entry, o.dataCentre, o.sent); err == nil {
				o.acked = o.sent
			} else {
				time.Sleep(100 * time.Millisecond)
			}
		}
		o.slowest = max(o.slowest, time.Since(started))
		time.Sleep(200 * time.Millisecond)
	}
}

// Disks are full for a few seconds, one after the other. Changes are acknowledged at
// each entry all the while, and none of the acknowledged ones is lost.
func TestDisksFullInTurn(t *testing.T) {
	for _, c := range []struct {
		controls, voters int
		seed             uint64
	}{{3, 3, 1}, {3, 3, 2}, {4, 3, 3}, {5, 5, 4}} {
		t.Run(fmt.Sprintf("%d controls, seed %d", c.controls, c.seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fillDisksInTurn(t, c.controls, c.voters, c.seed) })
		})
	}
}

func fillDisksInTurn(t *testing.T, controls, voters int, seed uint64) {
	g := newGroupOfControls(t, controls+1, controls, voters, seed)
	random := rand.New(rand.NewPCG(seed, 9))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var running sync.WaitGroup
	var operators []*operator
	for i := range g.edges {
		o := &operator{group: g, entry: i, dataCentre: fmt.Sprintf("dc-%d", i)}
		operators = append(operators, o)
		running.Go(func() { o.run(ctx) })
	}
	for _, i := range random.Perm(controls) {
		g.disks[i].failsSync, g.disks[i].room = random.IntN(2) == 0, random.IntN(2)*fewBytes
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		g.disks[i].full.Store(true)
		time.Sleep(time.Duration(2000+random.IntN(4000)) * time.Millisecond)
		g.disks[i].full.Store(false)
	}
	time.Sleep(ackTimeout)
	cancel()
	running.Wait()
	time.Sleep(ackTimeout)
	for _, o := range operators {
		if o.slowest > ackTimeout {
			t.Errorf("entry %d: a change took %v, want at most %v", o.entry, o.slowest, ackTimeout)
		}
		for i, edge := range g.edges {
			if drained := g.isDrained(edge, o.dataCentre); o.sent == o.acked && drained != o.acked {
				t.Errorf("entry %d: data centre of entry %d drained = %v, acknowledged %v", i, o.entry, drained, o.acked)
			}
		}
	}
}

// Documents that fill the disk long before the log has its maximum of entries must not
// stop the control for good.
func TestLargeDocumentsDoNotFillDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroupOfControls(t, 1, 1, 1, 1)
		g.disks[0].capacity.Store(4 * maxLogBytes)
		for version := uint64(1); version <= 4*maxLogEntries; version++ {
			ctx, cancel := context.WithTimeout(t.Context(), ackTimeout)
			_, err := g.edges[0].ReplaceDocument(ctx, version, make([]byte, maxLogBytes/2))
			cancel()
			if err != nil {
				t.Fatalf("version %d: %v", version, err)
			}
		}
	})
}

func (g *group) isDrained(edge *yuccaedge.Edge, dataCentre string) bool {
	view := yuccadocument.NewView()
	for _, section := range edge.Sections() {
		next, err := view.With(section)
		if err != nil {
			g.t.Fatal(err)
		}
		view = next
	}
	return view.IsDrained(dataCentre)
}
