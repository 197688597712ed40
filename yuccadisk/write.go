package yuccadisk

import (
	"errors"
	"os"
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Write appends the frame to the log and returns when it is synced. After an error
// all further writes fail with ErrFailed, since the contents of the disk are
// unknown. The first frame of a new folder must hold a snapshot.
func (f *Folder) Write(frame *yuccawire.DiskFrame) error {
	if f.failed {
		return ErrFailed
	}
	if f.file == nil {
		return f.Replace(frame)
	}
	data, err := encodeFrame(frame)
	if err != nil {
		return f.fail(err, "encoding frame")
	}
	if _, err := f.file.Write(data); err != nil {
		return f.failWrite(err, "writing the log")
	}
	if err := f.file.Sync(); err != nil {
		return f.failWrite(err, "syncing the log")
	}
	f.size += int64(len(data))
	return nil
}

// failWrite also cuts the log off after its synced part. The kernel may keep the rest
// readable although it is not on the disk.
func (f *Folder) failWrite(err error, action string) error {
	return f.fail(errors.Join(err, f.file.Truncate(f.size)), action)
}

// Replace starts a new log with the frame, which must hold a snapshot, and removes
// the old log. It returns when the frame is synced.
func (f *Folder) Replace(frame *yuccawire.DiskFrame) error {
	if f.failed {
		return ErrFailed
	}
	data, err := encodeFrame(frame)
	if err != nil {
		return f.fail(err, "encoding snapshot")
	}
	if err := f.writeFileAtomically(logName(f.generation+1), data); err != nil {
		return f.fail(err, "writing new log")
	}
	old := f.generation
	f.generation++
	if f.file != nil {
		_ = f.file.Close()
		_ = os.Remove(f.logPath(old))
	}
	if err := f.openForAppend(f.logPath(f.generation), int64(len(data))); err != nil {
		return f.fail(err, "opening the new log")
	}
	return nil
}

func (f *Folder) fail(err error, action string) error {
	f.failed = true
	return merry.Prepend(err, action)
}

// writeFileAtomically creates or replaces the named file in the folder. It writes
// and syncs a temporary file, renames it and syncs the folder, so that a crash
// leaves either the complete file or none.
func (f *Folder) writeFileAtomically(name string, data []byte) error {
	path := filepath.Join(f.path, name)
	if err := f.writeAndSync(path+tempSuffix, data); err != nil {
		return err
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return err
	}
	return f.syncNames()
}

func (f *Folder) writeAndSync(path string, data []byte) error {
	file, err := f.openFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

// syncNames syncs the folder, so that created, renamed and removed files keep their
// names.
func (f *Folder) syncNames() error {
	folder, err := f.openFile(f.path, os.O_RDONLY, 0)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Close closes the log file, if it was opened.
func (f *Folder) Close() error {
	if f.file == nil {
		return nil
	}
	return f.file.Close()
}

func sortGenerations(generations []uint64) []uint64 {
	slices.Sort(generations)
	return generations
}
