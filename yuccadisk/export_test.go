package yuccadisk

import "os"

// FailOpening makes the folder unable to open files of its log.
func (f *Folder) FailOpening() {
	f.openFile = func(string, int, os.FileMode) (*os.File, error) { return nil, os.ErrPermission }
}
