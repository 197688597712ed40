package yuccaworker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// minHeldTime is how long a run is held at least, as stated in each list: an owner that stops
	// lets its orders expire before their callers have gone.
	minHeldTime = 10 * time.Second
	// heldRefresh is the interval of lists without a change, heldInterval that of lists from which runs
	// are gone. Runs that are new are sent at once, without the others.
	heldRefresh  = 3 * time.Second
	heldInterval = time.Second
	// minHeldInterval is the least time between two lists, also if a run has ended that could not be ended,
	// or an owner may not have received the last one. Callers come again after 1.3 s.
	minHeldInterval = 250 * time.Millisecond
	// heldSeenTimeout is how long an owner may take to say that it has received a list. After that,
	// the others are told that it may not have.
	heldSeenTimeout = 400 * time.Millisecond
	// maxEndedRuns limits the ended runs that are listed.
	maxEndedRuns = 1000
)

// heldRuns are the runs that entries other than their owners are told of, as they can't be
// ended, or a start of them had no answer: the worker may still execute it once they have ended.
type heldRuns struct {
	sequence uint64
	listed   []Key
	listedAt time.Time
	ended    []endedRun
	// unstoppable is how many of the listed runs can't be ended.
	unstoppable int
	// reached are the names of the owners that the last list has named as those that it reaches.
	reached []string
}

// endedRun is a run that was lost or has ended and may still start, until nobody waits for it.
type endedRun struct {
	key   Key
	until time.Time
}

// holdEnded holds an ended run that may still start.
func (w *Worker) holdEnded(now time.Time, r *run) {
	w.held.ended = append(w.held.ended, endedRun{key: r.key, until: r.heldUntil(now)})
	if len(w.held.ended) > maxEndedRuns {
		w.metrics.Add("held_runs_dropped", 1)
		w.options.Logger.Error("too many ended runs that may start, one is held no longer", "task", w.held.ended[0].key.Task, "run", w.held.ended[0].key.Run)
		w.held.ended = w.held.ended[1:]
	}
}

func (r *run) heldUntil(now time.Time) time.Time { return latest(r.expiresAt, now.Add(minHeldTime)) }

// cannotEnd reports whether the run may go on although its owner's lease has expired, or its
// hold has.
func (w *Worker) cannotEnd(now time.Time, r *run) bool {
	isStopLate := !r.stopSentAt.IsZero() && r.stopAckedAt.IsZero() && now.Sub(r.stopRequestedAt) >= maxStopTime
	return w.isSilent || isStopLate && !now.Before(r.owner.leaseUntil)
}

// updateHeld tells all owners of the held runs, after a change. One that can't be ended stays among
// them until it has ended.
func (w *Worker) updateHeld(now time.Time) {
	w.held.ended = slices.DeleteFunc(w.held.ended, func(e endedRun) bool { return !now.Before(e.until) })
	var listed []Key
	unstoppable := 0
	for _, r := range w.runs {
		r.isHeld = r.isHeld || w.cannotEnd(now, r)
		if r.isHeld {
			unstoppable++
		}
		if r.isHeld || r.tries > 1 {
			listed = append(listed, r.key)
		}
	}
	for _, e := range w.held.ended {
		listed = append(listed, e.key)
	}
	slices.SortFunc(listed, compareKeys)
	w.sendHeldChanges(now, listed, unstoppable)
}

func compareKeys(a, b Key) int { return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run)) }

// sendHeldChanges sends the linked owners the list of held runs, or only those that are new, if that is due.
func (w *Worker) sendHeldChanges(now time.Time, listed []Key, unstoppable int) {
	isKnown := func(k Key) bool { _, found := slices.BinarySearchFunc(w.held.listed, k, compareKeys); return found }
	added := slices.DeleteFunc(slices.Clone(listed), isKnown)
	reached := w.reachedEntries(now)
	isUnreached := func(name string) bool { return !slices.Contains(reached, name) }
	isUrgent := unstoppable < w.held.unstoppable || len(listed) > 0 && slices.ContainsFunc(w.held.reached, isUnreached)
	isSame := !isUrgent && slices.Equal(listed, w.held.listed)
	since := now.Sub(w.held.listedAt)
	isDue := since >= heldInterval || since >= minHeldInterval && isUrgent
	if isSame && (len(listed) == 0 || since < heldRefresh) || !isDue && len(added) == 0 {
		return
	}
	if unstoppable != w.held.unstoppable {
		w.options.Logger.Warn("runs that can't be ended, telling all entries", "runs", unstoppable, "were", w.held.unstoppable, "listed", len(listed),
			"lost", len(w.held.ended), "silent", w.isSilent)
	}
	if !isSame {
		w.metrics.Add("held_lists_made", 1)
	}
	w.held.unstoppable, w.held.reached = unstoppable, reached
	w.held.sequence++
	if isDue {
		w.held.listed, w.held.listedAt = listed, now
	} else {
		w.held.listed = append(w.held.listed, added...)
		slices.SortFunc(w.held.listed, compareKeys)
	}
	whole, part := w.heldList(now, w.held.listed), w.heldList(now, added)
	part.Partial = true
	for _, o := range w.ownerList {
		switch {
		case !o.linked:
		case isDue || !o.confirmsHeld:
			w.sendHeldList(now, o, whole)
		default:
			w.sendHeldList(now, o, part)
		}
	}
}

// sendHeld sends an owner the last list of held runs, if there was one.
func (w *Worker) sendHeld(now time.Time, o *owner) {
	if w.held.sequence > 0 {
		w.sendHeldList(now, o, w.heldList(now, w.held.listed))
	}
}

// heldList returns the list of the held runs with the given keys.
func (w *Worker) heldList(now time.Time, keys []Key) *yuccawire.HeldTasks {
	list := &yuccawire.HeldTasks{Sequence: w.held.sequence, Reached: w.held.reached}
	for _, key := range keys {
		until := now.Add(minHeldTime)
		if r := w.runs[key]; r != nil {
			until = r.heldUntil(now)
		} else if i := slices.IndexFunc(w.held.ended, func(e endedRun) bool { return e.key == key }); i >= 0 {
			until = w.held.ended[i].until
		}
		list.Tasks = append(list.Tasks, &yuccawire.HeldTask{Task: key.Task, Run: key.Run, RemainingMs: uint32(min(max(until.Sub(now), 0).Milliseconds(), math.MaxUint32))})
	}
	return list
}

// sendHeldList sends an owner a list of held runs, which several may share.
func (w *Worker) sendHeldList(now time.Time, o *owner, list *yuccawire.HeldTasks) {
	if o.heldSeen >= o.heldSent {
		o.heldUnseenSince = now
	}
	o.heldSent = w.held.sequence
	w.emit(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}}})
}

// reachedEntries returns the names of the linked owners, without those that take too long to say that they have
// received the last lists.
func (w *Worker) reachedEntries(now time.Time) []string {
	var names []string
	for _, o := range w.ownerList {
		isLate := o.confirmsHeld && o.heldSeen < o.heldSent && now.Sub(o.heldUnseenSince) >= heldSeenTimeout
		if o.linked && !isLate {
			names = append(names, o.id.Name)
		}
	}
	return names
}

// HandleHeldSeen processes the news that an owner has received a list of held runs. The first on a link, of no
// list, only says that there will be more.
func (w *Worker) HandleHeldSeen(now time.Time, id Owner, m *yuccawire.HeldSeen) {
	o := w.owners[id]
	if o == nil {
		return
	}
	o.confirmsHeld = true
	if m.GetSequence() > o.heldSeen {
		o.heldSeen, o.heldUnseenSince = m.GetSequence(), now
	}
}
