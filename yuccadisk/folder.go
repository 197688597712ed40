package yuccadisk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	identityFile = "identity"
	logPrefix    = "log-"
	tempSuffix   = ".part"
	filePerm     = 0o600
	folderPerm   = 0o700
)

// ErrCorrupt is returned by Open if the synced part of the log is damaged.
var ErrCorrupt = merry.Sentinel("the log is damaged before its end; " +
	"move the data folder away and start this control with an empty one, so that it joins again as a new replica")

// ErrFailed is returned by Write and Replace after an earlier write or sync failed.
var ErrFailed = merry.Sentinel("the data folder has failed; restart the control")

// File is an open file of a data folder, usually an *os.File.
type File interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// OpenFile opens a file to write it, or a folder to sync it, as [os.OpenFile] does.
type OpenFile func(path string, flag int, perm os.FileMode) (File, error)

// Folder is an open data folder. Its methods must not be called concurrently.
type Folder struct {
	path           string
	id             uint64
	generation     uint64
	file           File
	size           int64 // length of the synced part of file
	stored         yuccareplica.Stored
	failed         bool
	truncatedBytes int
	openFile       OpenFile
}

// Open reads the data folder at path, or creates it with a random id. It returns
// ErrCorrupt if synced data was lost.
func Open(path string) (*Folder, error) { return OpenWith(path, openOSFile) }

func openOSFile(path string, flag int, perm os.FileMode) (File, error) {
	return os.OpenFile(path, flag, perm)
}

// OpenWith is Open with a replacement for [os.OpenFile].
func OpenWith(path string, openFile OpenFile) (*Folder, error) {
	if err := os.MkdirAll(path, folderPerm); err != nil {
		return nil, merry.Prepend(err, "creating the data folder")
	}
	f := &Folder{path: path, openFile: openFile}
	if err := f.loadIdentity(); err != nil {
		return nil, err
	}
	// A process that died early may have renamed files without syncing the folder.
	if err := f.syncNames(); err != nil {
		return nil, merry.Prepend(err, "syncing the data folder")
	}
	if err := f.openLog(); err != nil {
		return nil, err
	}
	return f, nil
}

// ID returns the random id that the folder was given when it was created. It is
// never zero.
func (f *Folder) ID() uint64 { return f.id }

// Stored returns the contents of the folder at the time it was opened.
func (f *Folder) Stored() yuccareplica.Stored { return f.stored }

// TruncatedBytes returns the length of the torn frame that Open removed from the
// end of the log, or zero.
func (f *Folder) TruncatedBytes() int { return f.truncatedBytes }

func (f *Folder) loadIdentity() error {
	path := filepath.Join(f.path, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		f.id = rand.Uint64() | 1
		return f.writeFileAtomically(identityFile, []byte(strconv.FormatUint(f.id, 16)+"\n"))
	}
	if err != nil {
		return merry.Prepend(err, "reading the identity of the data folder")
	}
	f.id, err = strconv.ParseUint(strings.TrimSpace(string(data)), 16, 64)
	if err != nil || f.id == 0 {
		return merry.Errorf("%s: invalid folder id %q, expected a nonzero hexadecimal number", path, data)
	}
	return nil
}

// openLog reads the newest log and removes older logs that an interrupted Replace
// left behind.
func (f *Folder) openLog() error {
	generations, err := f.generations()
	if err != nil {
		return err
	}
	if len(generations) == 0 {
		return nil
	}
	f.generation = generations[len(generations)-1]
	for _, old := range generations[:len(generations)-1] {
		if err := os.Remove(f.logPath(old)); err != nil {
			return merry.Prepend(err, "removing old log")
		}
	}
	return f.readLog()
}

// generations returns the numbers of the log files in ascending order. It removes
// temporary files left by an interrupted Replace.
func (f *Folder) generations() ([]uint64, error) {
	files, err := os.ReadDir(f.path)
	if err != nil {
		return nil, merry.Prepend(err, "listing the data folder")
	}
	var generations []uint64
	for _, file := range files {
		name, ok := strings.CutPrefix(file.Name(), logPrefix)
		if !ok {
			continue
		}
		if strings.HasSuffix(name, tempSuffix) {
			_ = os.Remove(filepath.Join(f.path, file.Name()))
			continue
		}
		n, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			return nil, merry.Errorf("%s: invalid log file name", filepath.Join(f.path, file.Name()))
		}
		generations = append(generations, n)
	}
	return sortGenerations(generations), nil
}

func (f *Folder) logPath(generation uint64) string {
	return filepath.Join(f.path, logName(generation))
}

func logName(generation uint64) string {
	return fmt.Sprintf("%s%012d", logPrefix, generation)
}

func (f *Folder) readLog() error {
	path := f.logPath(f.generation)
	data, err := os.ReadFile(path)
	if err != nil {
		return merry.Prepend(err, "reading the log")
	}
	validBytes := 0
	for validBytes < len(data) {
		frame, size := decodeFrame(data[validBytes:])
		if frame == nil {
			break
		}
		Replay(&f.stored, frame)
		validBytes += size
	}
	if validBytes == 0 || containsValidFrame(data[min(validBytes+1, len(data)):]) {
		return merry.Prependf(ErrCorrupt, "%s: invalid frame at byte %d", path, validBytes)
	}
	f.truncatedBytes = len(data) - validBytes
	return f.openForAppend(path, int64(validBytes))
}

func (f *Folder) openForAppend(path string, size int64) error {
	file, err := f.openFile(path, os.O_WRONLY, filePerm)
	if err != nil {
		return merry.Prepend(err, "opening the log")
	}
	if err := prepareForAppend(file, size); err != nil {
		_ = file.Close()
		return err
	}
	f.file, f.size = file, size
	return nil
}

func prepareForAppend(file File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return merry.Prepend(err, "truncating the torn frame of the log")
	}
	if _, err := file.Seek(size, 0); err != nil {
		return merry.Prepend(err, "seeking to the end of the log")
	}
	return merry.Prepend(file.Sync(), "syncing the log")
}

// Replay updates stored with the contents of one frame. A snapshot discards all
// earlier entries, and an entry discards those from its index on.
func Replay(stored *yuccareplica.Stored, frame *yuccawire.DiskFrame) {
	if s := frame.GetSnapshot(); s != nil {
		stored.Snapshot = s
		stored.Entries = nil
	}
	if h := frame.GetHardState(); h != nil {
		stored.HardState = h
	}
	for _, e := range frame.GetEntries() {
		retained := e.GetIndex() - stored.Snapshot.GetIndex() - 1
		stored.Entries = append(stored.Entries[:min(retained, uint64(len(stored.Entries)))], e)
	}
}
