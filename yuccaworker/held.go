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
	// maxEndedRuns limits the ended runs that are listed, and those that are kept of an owner.
	maxEndedRuns = 1000
)

// heldRuns are the runs that entries other than their owners were told of, as they can't be
// ended, or have ended and may still start.
type heldRuns struct {
	sequence uint64
	listed   []Key
	listedAt time.Time
	ended    []endedRun
}

// endedRun is a run that was lost or has ended and may still start, until nobody waits for it.
type endedRun struct {
	key   Key
	until time.Time
}

// holdEnded holds an ended run that may still start. The task of one that has succeeded is not
// placed again while its owner is there.
func (w *Worker) holdEnded(now time.Time, r *run, outcome yuccawire.RunEnd) {
	e := endedRun{key: r.key, until: r.heldUntil(now)}
	if outcome != yuccawire.RunEnd_RUN_END_DONE {
		w.held.ended = w.limitEnded(append(w.held.ended, e))
		return
	}
	r.owner.succeeded = w.limitEnded(append(withoutExpired(now, r.owner.succeeded), e))
}

// holdSucceeded holds the runs of an owner that have succeeded and may still start, as that may be
// gone and its callers come again.
func (w *Worker) holdSucceeded(o *owner) {
	w.held.ended = w.limitEnded(append(w.held.ended, o.succeeded...))
	o.succeeded = nil
}

func (w *Worker) limitEnded(runs []endedRun) []endedRun {
	dropped := max(len(runs)-maxEndedRuns, 0)
	if dropped > 0 {
		w.metrics.Add("held_runs_dropped", int64(dropped))
		w.options.Logger.Error("too many ended runs that may start, some are held no longer", "runs", dropped, "first", runs[0].key.Task, "run", runs[0].key.Run)
	}
	return runs[dropped:]
}

func withoutExpired(now time.Time, runs []endedRun) []endedRun {
	return slices.DeleteFunc(runs, func(e endedRun) bool { return !now.Before(e.until) })
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
	w.held.ended = withoutExpired(now, w.held.ended)
	var listed []Key
	for _, r := range w.runs {
		r.isHeld = r.isHeld || w.cannotEnd(now, r)
		if r.isHeld {
			listed = append(listed, r.key)
		}
	}
	for _, e := range w.held.ended {
		listed = append(listed, e.key)
	}
	slices.SortFunc(listed, func(a, b Key) int { return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run)) })
	isSame := slices.Equal(listed, w.held.listed)
	if isSame && (len(listed) == 0 || now.Sub(w.held.listedAt) < heldRefresh) {
		return
	}
	if !isSame {
		w.metrics.Add("held_lists_made", 1)
		w.options.Logger.Warn("runs that can't be ended, telling all entries", "runs", len(listed), "were", len(w.held.listed), "lost", len(w.held.ended), "silent", w.isSilent)
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
		} else if i := slices.IndexFunc(w.held.ended, func(e endedRun) bool { return e.key == key }); i >= 0 {
			until = w.held.ended[i].until
		}
		list.Tasks = append(list.Tasks, &yuccawire.HeldTask{Task: key.Task, Run: key.Run, RemainingMs: uint32(min(max(until.Sub(now), 0).Milliseconds(), math.MaxUint32))})
	}
	w.emit(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}}})
}
