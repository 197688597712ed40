package yuccacontrol

import (
	"context"

	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Storage persists the log of a replica. ID identifies the replica and Stored
// returns the contents at the time it was opened. Write appends a frame; Replace
// discards the log and starts a new one with a frame that holds a snapshot. Both
// return when the frame is synced.
type Storage interface {
	ID() uint64
	Stored() yuccareplica.Stored
	Write(frame *yuccawire.DiskFrame) error
	Replace(frame *yuccawire.DiskFrame) error
}

// writeBatch is the part of a Ready to write to disk, and the messages to send once
// it is synced.
type writeBatch struct {
	frame     *yuccawire.DiskFrame
	replace   bool
	afterSync []*yuccawire.Replica
	syncMark  yuccareplica.SyncMark
}

// syncResult reports the outcome of writing batches to disk.
type syncResult struct {
	batches []writeBatch
	err     error
}

// writer writes batches to the storage in its own goroutine, so that a sync doesn't
// block the event loop. At most one write is in flight.
type writer struct {
	storage Storage
	queue   chan []writeBatch
	results chan syncResult
}

func newWriter(storage Storage) *writer {
	return &writer{storage: storage, queue: make(chan []writeBatch, 1), results: make(chan syncResult, 1)}
}

func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batches := <-w.queue:
			w.results <- syncResult{batches: batches, err: w.sync(batches)}
		}
	}
}

// sync merges the batches into one frame and writes it. A batch that replaces the
// log comes alone.
func (w *writer) sync(batches []writeBatch) error {
	if batches[0].replace {
		return w.storage.Replace(batches[0].frame)
	}
	merged := &yuccawire.DiskFrame{}
	for _, b := range batches {
		merged.Entries = append(merged.Entries, b.frame.GetEntries()...)
		if hardState := b.frame.GetHardState(); hardState != nil {
			merged.HardState = hardState
		}
	}
	return w.storage.Write(merged)
}

// writeQueue holds the batches that are queued while a write is in flight.
type writeQueue struct {
	pending []writeBatch
	writing bool
}

func (q *writeQueue) add(b writeBatch) { q.pending = append(q.pending, b) }

// next returns the batches to sync together, or nil if there are none or a write is
// in flight. A batch that replaces the log is returned alone.
func (q *writeQueue) next() []writeBatch {
	if q.writing || len(q.pending) == 0 {
		return nil
	}
	n := 1
	for !q.pending[0].replace && n < len(q.pending) && !q.pending[n].replace {
		n++
	}
	batches := q.pending[:n:n]
	q.pending = q.pending[n:]
	q.writing = true
	return batches
}
