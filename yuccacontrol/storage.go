package yuccacontrol

import (
	"context"

	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Storage keeps the replica's share of the log. Write and Replace return when
// the frame is synced.
type Storage interface {
	ID() uint64
	Stored() yuccareplica.Stored
	Write(frame *yuccawire.DiskFrame) error
	Replace(frame *yuccawire.DiskFrame) error
}

// batch is what one Ready brings to disk.
type writeBatch struct {
	frame     *yuccawire.DiskFrame
	replace   bool
	afterSync []*yuccawire.Replica
	syncMark  yuccareplica.SyncMark
}

// synced reports batches that are on disk.
type syncResult struct {
	batches []writeBatch
	err     error
}

// writer syncs one group of batches at a time.
type writer struct {
	storage Storage
	queue   chan []writeBatch
	done    chan syncResult
}

func newWriter(storage Storage) *writer {
	return &writer{storage: storage, queue: make(chan []writeBatch, 1), done: make(chan syncResult, 1)}
}

func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batches := <-w.queue:
			w.done <- syncResult{batches: batches, err: w.sync(batches)}
		}
	}
}

// sync writes the group as one frame, but a replacement on its own.
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

// writeQueue holds the batches that wait while the writer syncs others.
type writeQueue struct {
	pending []writeBatch
	writing bool
}

func (q *writeQueue) add(b writeBatch) { q.pending = append(q.pending, b) }

// next returns the group to sync now, or nil. A replacement stands ungrouped.
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
