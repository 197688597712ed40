// Package yuccadisk stores the replicated log of a control in a data folder.
//
// The file identity holds the id of the folder. The file log-N holds a snapshot
// and the entries after it, as one checksummed frame per sync. A damaged frame at
// the end of the log is taken for a write that a crash interrupted, and truncated.
// A damaged frame followed by a valid one means that synced data was lost; Open
// then fails with [ErrCorrupt], whose text says how to recover.
//
// # Usage
//
//	folder, err := yuccadisk.Open("data")
//	stored := folder.Stored()
//	err = folder.Write(frame) // returns when the frame is synced
//	err = folder.Replace(frame) // starts log-N+1 with a snapshot
//	err = folder.Close()
package yuccadisk
