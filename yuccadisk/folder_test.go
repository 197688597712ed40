package yuccadisk_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccadisk"
	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func newEntry(index, term uint64, command string) *yuccawire.Entry {
	return &yuccawire.Entry{Index: index, Term: term, Command: []byte(command)}
}

func openFolder(t *testing.T, path string) *yuccadisk.Folder {
	t.Helper()
	f, err := yuccadisk.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

func writeFrames(t *testing.T, f *yuccadisk.Folder, frames ...*yuccawire.DiskFrame) {
	t.Helper()
	for _, frame := range frames {
		if err := f.Write(frame); err != nil {
			t.Fatal(err)
		}
	}
}

// writeThreeFrames writes a snapshot and two entries, one frame each.
func writeThreeFrames(t *testing.T, path string) {
	t.Helper()
	f := openFolder(t, path)
	writeFrames(t, f,
		&yuccawire.DiskFrame{Snapshot: &yuccawire.InstallSnapshot{Index: 1, IndexTerm: 1}, HardState: &yuccawire.HardState{Term: 1}},
		&yuccawire.DiskFrame{Entries: []*yuccawire.Entry{newEntry(2, 2, "a")}, HardState: &yuccawire.HardState{Term: 2, Vote: 9}},
		&yuccawire.DiskFrame{Entries: []*yuccawire.Entry{newEntry(3, 2, "b")}},
	)
	_ = f.Close()
}

func logFile(t *testing.T, path string) string {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(path, "log-*"))
	if err != nil || len(logs) != 1 {
		t.Fatalf("log files are %v, error %v, want one file", logs, err)
	}
	return logs[0]
}

func commands(s yuccareplica.Stored) string {
	joined := ""
	for _, e := range s.Entries {
		joined += string(e.GetCommand())
	}
	return joined
}

func TestReopenReadsWrittenFrames(t *testing.T) {
	path := t.TempDir()
	writeThreeFrames(t, path)
	f := openFolder(t, path)
	stored := f.Stored()
	if commands(stored) != "ab" || stored.HardState.GetVote() != 9 || stored.Snapshot.GetIndex() != 1 {
		t.Errorf("stored is %+v, want entries a and b, vote 9 and snapshot index 1", stored)
	}
	writeFrames(t, f, &yuccawire.DiskFrame{Entries: []*yuccawire.Entry{newEntry(3, 3, "c")}})
	id := f.ID()
	_ = f.Close()
	reopened := openFolder(t, path)
	if commands(reopened.Stored()) != "ac" || reopened.ID() != id {
		t.Errorf("stored entries are %q after overwriting the last, want \"ac\"", commands(reopened.Stored()))
	}
}

func TestReplaceStartsLogWithSnapshot(t *testing.T) {
	path := t.TempDir()
	writeThreeFrames(t, path)
	f := openFolder(t, path)
	frame := &yuccawire.DiskFrame{
		Snapshot:  &yuccawire.InstallSnapshot{Index: 2, IndexTerm: 2, State: []byte("state")},
		HardState: &yuccawire.HardState{Term: 2},
		Entries:   []*yuccawire.Entry{newEntry(3, 2, "b")},
	}
	if err := f.Replace(frame); err != nil {
		t.Fatal(err)
	}
	writeFrames(t, f, &yuccawire.DiskFrame{Entries: []*yuccawire.Entry{newEntry(4, 2, "c")}})
	_ = f.Close()
	stored := openFolder(t, path).Stored()
	if commands(stored) != "bc" || string(stored.Snapshot.GetState()) != "state" {
		t.Errorf("stored entries are %q with state %q, want \"bc\" with state \"state\"", commands(stored), stored.Snapshot.GetState())
	}
	logFile(t, path)
}

// A crash during a write can leave any prefix of the last frame. Open must read
// the frames before it and truncate the rest, and later writes must be readable.
func TestOpenTruncatesTornFrame(t *testing.T) {
	undamaged := t.TempDir()
	writeThreeFrames(t, undamaged)
	data, err := os.ReadFile(logFile(t, undamaged))
	if err != nil {
		t.Fatal(err)
	}
	last := &yuccawire.DiskFrame{Entries: []*yuccawire.Entry{newEntry(3, 2, "b")}}
	frameBytes := 16 + proto.Size(last)
	for cut := 1; cut < frameBytes; cut++ {
		path := t.TempDir()
		writeThreeFrames(t, path)
		if err := os.Truncate(logFile(t, path), int64(len(data)-cut)); err != nil {
			t.Fatal(err)
		}
		f := openFolder(t, path)
		if commands(f.Stored()) != "a" || f.TruncatedBytes() != frameBytes-cut {
			t.Fatalf("%d bytes cut: stored entries are %q, truncated %d bytes", cut, commands(f.Stored()), f.TruncatedBytes())
		}
		writeFrames(t, f, &yuccawire.DiskFrame{Entries: []*yuccawire.Entry{newEntry(3, 3, "c")}})
		_ = f.Close()
		if got := commands(openFolder(t, path).Stored()); got != "ac" {
			t.Fatalf("%d bytes cut and an entry written: stored entries are %q, want \"ac\"", cut, got)
		}
	}
}

// A damaged byte before the last frame means that synced data was lost. Open must
// fail instead of truncating the log there.
func TestOpenRefusesDamagedFrame(t *testing.T) {
	undamaged := t.TempDir()
	writeThreeFrames(t, undamaged)
	data, err := os.ReadFile(logFile(t, undamaged))
	if err != nil {
		t.Fatal(err)
	}
	lastFrameOffset := len(data) - 16 - proto.Size(&yuccawire.DiskFrame{Entries: []*yuccawire.Entry{newEntry(3, 2, "b")}})
	for offset := range lastFrameOffset {
		path := t.TempDir()
		writeThreeFrames(t, path)
		damaged := append([]byte(nil), data...)
		damaged[offset] ^= 0x40
		if err := os.WriteFile(logFile(t, path), damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := yuccadisk.Open(path); !errors.Is(err, yuccadisk.ErrCorrupt) {
			t.Fatalf("byte %d damaged: got error %v, want ErrCorrupt", offset, err)
		}
	}
}

func TestInterruptedReplaceKeepsOldLog(t *testing.T) {
	path := t.TempDir()
	writeThreeFrames(t, path)
	if err := os.WriteFile(filepath.Join(path, "log-000000000002.part"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := commands(openFolder(t, path).Stored()); got != "ab" {
		t.Errorf("stored entries are %q, want \"ab\"", got)
	}
}

// FuzzOpen opens damaged logs. Open may fail, but it must not panic or return
// entries that were never written.
func FuzzOpen(f *testing.F) {
	f.Add(0, byte(1), 0)
	f.Add(20, byte(0xff), 3)
	f.Add(60, byte(0x10), 40)
	f.Fuzz(func(t *testing.T, offset int, mask byte, cut int) {
		path := t.TempDir()
		writeThreeFrames(t, path)
		data, err := os.ReadFile(logFile(t, path))
		if err != nil {
			t.Fatal(err)
		}
		if offset >= 0 && offset < len(data) {
			data[offset] ^= mask
		}
		if cut > 0 && cut < len(data) {
			data = data[:len(data)-cut]
		}
		if err := os.WriteFile(logFile(t, path), data, 0o600); err != nil {
			t.Fatal(err)
		}
		folder, err := yuccadisk.Open(path)
		if err != nil {
			return
		}
		defer folder.Close()
		if got := commands(folder.Stored()); got != "" && got != "a" && got != "ab" {
			t.Errorf("read entries %q, want a prefix of \"ab\"", got)
		}
	})
}

// A folder whose log can't be opened after a replacement takes no more writes: they
// would go to the removed file.
func TestFailedReplaceMarksFolder(t *testing.T) {
	f, err := yuccadisk.OpenWith(t.TempDir(), func(path string, flag int, perm os.FileMode) (yuccadisk.File, error) {
		if flag == os.O_WRONLY {
			return nil, os.ErrPermission
		}
		return os.OpenFile(path, flag, perm)
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Replace(&yuccawire.DiskFrame{Snapshot: &yuccawire.InstallSnapshot{Index: 2, IndexTerm: 2}}); err == nil {
		t.Fatal("the replacement succeeded")
	}
	if err := f.Write(&yuccawire.DiskFrame{Entries: []*yuccawire.Entry{newEntry(3, 2, "b")}}); !errors.Is(err, yuccadisk.ErrFailed) {
		t.Errorf("a write after a failed replacement returned %v, want %v", err, yuccadisk.ErrFailed)
	}
}

// faultyFile is a file whose syncs fail while err is set. It counts in open while it
// is not closed.
type faultyFile struct {
	*os.File
	err  *error
	open *int
}

func (f faultyFile) Sync() error {
	if *f.err != nil {
		return *f.err
	}
	return f.File.Sync()
}

func (f faultyFile) Close() error {
	*f.open--
	return f.File.Close()
}

// faultyDisk opens faulty files. It calls onFolderSync before each sync of a folder.
type faultyDisk struct {
	err          error
	open         int
	onFolderSync func()
}

func (d *faultyDisk) openFile(path string, flag int, perm os.FileMode) (yuccadisk.File, error) {
	file, err := os.OpenFile(path, flag, perm)
	if err != nil {
		return nil, err
	}
	if info, err := file.Stat(); err == nil && info.IsDir() {
		if d.onFolderSync != nil {
			d.onFolderSync()
		}
		return file, nil
	}
	d.open++
	return faultyFile{File: file, err: &d.err, open: &d.open}, nil
}

// After a failed sync, the kernel can still return what it has dropped from the disk.
func TestFrameOfFailedSyncIsNotReadAgain(t *testing.T) {
	path := t.TempDir()
	writeThreeFrames(t, path)
	disk := &faultyDisk{}
	f, err := yuccadisk.OpenWith(path, disk.openFile)
	if err != nil {
		t.Fatal(err)
	}
	disk.err = errors.New("no space left on device")
	if err := f.Write(&yuccawire.DiskFrame{Entries: []*yuccawire.Entry{newEntry(4, 2, "c")}}); !errors.Is(err, disk.err) {
		t.Fatalf("the write returned %v, want %v", err, disk.err)
	}
	_ = f.Close()
	if got := commands(openFolder(t, path).Stored()); got != "ab" {
		t.Errorf("stored entries are %q, want those that were synced, \"ab\"", got)
	}
}

// A log that took the place of another must not lose its name again in a loss of power.
func TestOpenSyncsNamesBeforeOldLogIsRemoved(t *testing.T) {
	path := t.TempDir()
	writeThreeFrames(t, path)
	newest, err := os.ReadFile(logFile(t, path))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(path, "log-000000000002"), newest, 0o600); err != nil {
		t.Fatal(err)
	}
	synced := false
	disk := &faultyDisk{onFolderSync: func() {
		logs, _ := filepath.Glob(filepath.Join(path, "log-*"))
		synced = synced || len(logs) == 2
	}}
	f, err := yuccadisk.OpenWith(path, disk.openFile)
	if err != nil {
		t.Fatal(err)
	}
	_ = f.Close()
	if !synced {
		t.Error("the folder was not synced before its old log was removed")
	}
}

// A control opens a folder that can't be synced every second.
func TestFailedOpenClosesLog(t *testing.T) {
	path := t.TempDir()
	writeThreeFrames(t, path)
	disk := &faultyDisk{err: errors.New("no space left on device")}
	if _, err := yuccadisk.OpenWith(path, disk.openFile); !errors.Is(err, disk.err) {
		t.Fatalf("got error %v, want %v", err, disk.err)
	}
	if disk.open != 0 {
		t.Errorf("%d files are still open", disk.open)
	}
}
