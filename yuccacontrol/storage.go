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
type batch struct {
	frame   *yuccawire.DiskFrame
	replace bool
	after   []*yuccawire.Replica
	mark    yuccareplica.SyncMark
}

// synced reports batches that are on disk.
type synced struct {
	batches []batch
	err     error
}

// writer syncs one group of batches at a time.
type writer struct {
	storage Storage
	groups  chan []batch
	done    chan synced
}

func newWriter(storage Storage) *writer {
	return &writer{storage: storage, groups: make(chan []batch, 1), done: make(chan synced, 1)}
}

func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case group := <-w.groups:
			w.done <- synced{batches: group, err: w.sync(group)}
		}
	}
}

// sync writes the group as one frame, but a replacement on its own.
func (w *writer) sync(group []batch) error {
	if group[0].replace {
		return w.storage.Replace(group[0].frame)
	}
	merged := &yuccawire.DiskFrame{}
	for _, b := range group {
		merged.Entries = append(merged.Entries, b.frame.GetEntries()...)
		if h := b.frame.GetHardState(); h != nil {
			merged.HardState = h
		}
	}
	return w.storage.Write(merged)
}

// writeQueue holds the batches that wait while the writer syncs others.
type writeQueue struct {
	waiting []batch
	writing bool
}

func (q *writeQueue) add(b batch) { q.waiting = append(q.waiting, b) }

// next returns the group to sync now, or nil. A replacement stands ungrouped.
func (q *writeQueue) next() []batch {
	if q.writing || len(q.waiting) == 0 {
		return nil
	}
	n := 1
	for !q.waiting[0].replace && n < len(q.waiting) && !q.waiting[n].replace {
		n++
	}
	group := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	q.writing = true
	return group
}
