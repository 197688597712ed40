package yuccaworker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// minHeldTime is how long a run that can't be ended is held at least, as stated in each
	// list: an owner that stops lets its orders expire before their callers have gone.
	// heldRefresh is the interval of lists without a change.
	minHeldTime = 10 * time.Second
	heldRefresh = 3 * time.Second
	// maxLostRuns limits the lost runs that are listed.
	maxLostRuns = 1000
)

// heldRuns are the runs that entries other than their owners were told of, as they can't be
// ended, or were lost and may still start.
type heldRuns struct {
	sequence uint64
	listed   []Key
	listedAt time.Time
	lost     []lostRun
}

// lostRun is a run that was lost and may still start, until nobody waits for it.
type lostRun struct {
	key   Key
	until time.Time
}

// holdLost holds a lost run that may still start.
func (w *Worker) holdLost(now time.Time, r *run) {
	w.held.lost = append(w.held.lost, lostRun{key: r.key, until: r.heldUntil(now)})
	if len(w.held.lost) > maxLostRuns {
		w.metrics.Add("held_runs_dropped", 1)
		w.options.Logger.Error("too many lost runs, one is held no longer", "task", w.held.lost[0].key.Task, "run", w.held.lost[0].key.Run)
		w.held.lost = w.held.lost[1:]
	}
}

func (r *run) heldUntil(now time.Time) time.Time { return latest(r.expiresAt, now.Add(minHeldTime)) }

// cannotEnd reports whether the run may go on although its owner's lease has expired, or its
// hold has.
func (w *Worker) cannotEnd(now time.Time, r *run) bool {
	isStopLate := !r.stopSentAt.IsZero() && r.stopAckedAt.IsZero() && now.Sub(r.stopRequestedAt) >= maxStopTime
	return w.isSilent || isStopLate && !now.Before(r.owner.leaseUntil)
}

// updateHeld tells all owners of the runs that can't be ended, after a change. A run stays among
// them until it has ended.
func (w *Worker) updateHeld(now time.Time) {
	w.held.lost = slices.DeleteFunc(w.held.lost, func(l lostRun) bool { return !now.Before(l.until) })
	var listed []Key
	for _, r := range w.runs {
		r.isHeld = r.isHeld || w.cannotEnd(now, r)
		if r.isHeld {
			listed = append(listed, r.key)
		}
	}
	for _, l := range w.held.lost {
		listed = append(listed, l.key)
	}
	slices.SortFunc(listed, func(a, b Key) int { return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run)) })
	isSame := slices.Equal(listed, w.held.listed)
	if isSame && (len(listed) == 0 || now.Sub(w.held.listedAt) < heldRefresh) {
		return
	}
	if !isSame {
		w.metrics.Add("held_lists_made", 1)
		w.options.Logger.Warn("runs that can't be ended, telling all entries", "runs", len(listed), "were", len(w.held.listed), "lost", len(w.held.lost), "silent", w.isSilent)
	}
	w.held.sequence++
	w.held.listed, w.held.listedAt = listed, now
	for _, o := range w.ownerList {
		if o.linked {
			w.sendHeld(now, o)
		}
	}
}

// sendHeld sends an owner the last list of held runs, if there was one.
func (w *Worker) sendHeld(now time.Time, o *owner) {
	if w.held.sequence == 0 {
		return
	}
	list := &yuccawire.HeldTasks{Sequence: w.held.sequence}
	for _, key := range w.held.listed {
		until := now.Add(minHeldTime)
		if r := w.runs[key]; r != nil {
			until = r.heldUntil(now)
		} else if i := slices.IndexFunc(w.held.lost, func(l lostRun) bool { return l.key == key }); i >= 0 {
			until = w.held.lost[i].until
		}
		list.Tasks = append(list.Tasks, &yuccawire.HeldTask{Task: key.Task, RemainingMs: uint32(min(max(until.Sub(now), 0).Milliseconds(), math.MaxUint32))})
	}
	w.emit(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}}})
}
