package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const watchTimeout = 2 * time.Second

// watch is a query for the state of a job that another entry may own.
type watch struct {
	cancel       bool
	queriedOwner string
	expiresAt    time.Time
}

// Watch queries the state of a job and, if cancel is set, cancels it. The result
// is a [WatchResult] action.
func (d *Dispatcher) Watch(now time.Time, key Key, cancel bool) {
	if j := d.jobs[key]; j != nil && j.state != joined {
		if cancel {
			d.cancelJob(now, j)
		}
		d.finishWatch(key, true, j.settledOutcome())
		return
	}
	w := d.watches[key]
	if w == nil {
		w = &watch{}
		d.watches[key] = w
	}
	w.cancel = w.cancel || cancel
	w.queriedOwner = ""
	w.expiresAt = now.Add(watchTimeout)
	d.pendingClaims = append(d.pendingClaims, &yuccawire.Claim{
		Job: key.Wire(), Owner: d.options.Self.GetName(), Incarnation: d.options.Self.GetIncarnation(), Lookup: true,
	})
}

func (d *Dispatcher) finishWatch(key Key, known bool, outcome *yuccawire.Outcome) {
	delete(d.watches, key)
	d.emit(WatchResult{Key: key, Known: known, Outcome: outcome})
}

// abandonWatch answers a query whose job may be at an entry that gives no answer.
func (d *Dispatcher) abandonWatch(key Key) {
	delete(d.watches, key)
	d.emit(WatchResult{Key: key, Undetermined: true})
}

// handleWatchReply forwards the query to the owner of the job.
func (d *Dispatcher) handleWatchReply(reply *yuccawire.ClaimReply) {
	key := KeyOf(reply.GetJob())
	w := d.watches[key]
	if w == nil || w.queriedOwner != "" {
		return
	}
	e := d.entries[reply.GetOwner()]
	switch {
	case reply.GetResult() != yuccawire.ClaimResult_CLAIM_HELD || e == nil && reply.GetFinished():
		d.finishWatch(key, false, nil)
		return
	case e == nil || !e.linked:
		d.abandonWatch(key)
		return
	}
	w.queriedOwner = reply.GetOwner()
	join := &yuccawire.Join{Job: key.Wire(), Watch: true, Cancel: w.cancel}
	d.send(w.queriedOwner, &yuccawire.Envelope{Body: &yuccawire.Envelope_Join{Join: join}})
}

func (d *Dispatcher) answerWatch(now time.Time, name string, m *yuccawire.Join, j *job) {
	reply := &yuccawire.Joined{Job: m.GetJob(), Watch: true, Known: j != nil}
	if j != nil {
		if m.GetCancel() {
			d.cancelJob(now, j)
		}
		reply.Outcome = j.settledOutcome()
	}
	d.sendJoined(name, reply)
}

func (d *Dispatcher) expireWatches(now time.Time) {
	for key, w := range d.watches {
		if !now.Before(w.expiresAt) {
			d.abandonWatch(key)
		}
	}
}

// settledOutcome returns the outcome if the job is settled, or nil.
func (j *job) settledOutcome() *yuccawire.Outcome {
	if j.state != settled {
		return nil
	}
	return j.outcome
}
