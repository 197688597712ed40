// Package yuccadisk keeps a control's share of the replicated log in one data
// folder of plain files.
//
// The file identity holds the id of the folder. The file log-N holds a snapshot
// and what came after it, as one checksummed frame for each sync. A torn last
// frame is cut off. A damaged frame with a sound one after it means that synced
// data was lost: opening refuses, and says what to do.
//
// # Usage
//
//	folder, err := yuccadisk.Open("data")
//	stored := folder.Stored()
//	err = folder.Write(frame) // returns when the frame is synced
//	err = folder.Replace(frame) // starts log-N+1 with a snapshot
//	err = folder.Close()
package yuccadisk
