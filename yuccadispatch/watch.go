package yuccadispatch

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const watchTimeout = 2 * time.Second

// watch is a question for the state of a job that another entry may own.
type watch struct {
	cancel bool
	asked  string
	until  time.Time
}

// Watch asks for the state of a job, and with cancel for its end. It is
// answered by a [Found] action.
func (d *Dispatcher) Watch(now time.Time, key Key, cancel bool) {
	if j := d.jobs[key]; j != nil && j.state != joined {
		if cancel {
			d.cancelJob(now, j)
		}
		d.found(key, true, j.settledOutcome())
		return
	}
	w := d.watches[key]
	if w == nil {
		w = &watch{}
		d.watches[key] = w
	}
	w.cancel = w.cancel || cancel
	w.asked = ""
	w.until = now.Add(watchTimeout)
	d.claims = append(d.claims, &yuccawire.Claim{
		Job: key.Wire(), Owner: d.options.Self.GetName(), Incarnation: d.options.Self.GetIncarnation(), Lookup: true,
	})
}

func (d *Dispatcher) found(key Key, known bool, outcome *yuccawire.Outcome) {
	delete(d.watches, key)
	d.do(Found{Key: key, Known: known, Outcome: outcome})
}

// watchAnswered passes the question on to the owner of the job.
func (d *Dispatcher) watchAnswered(reply *yuccawire.ClaimReply) {
	key := KeyOf(reply.GetJob())
	w := d.watches[key]
	if w == nil || w.asked != "" {
		return
	}
	e := d.entries[reply.GetOwner()]
	if reply.GetResult() != yuccawire.ClaimResult_CLAIM_HELD || e == nil || !e.linked {
		d.found(key, false, nil)
		return
	}
	w.asked = reply.GetOwner()
	join := &yuccawire.Join{Job: key.Wire(), Watch: true, Cancel: w.cancel}
	d.send(w.asked, &yuccawire.Envelope{Body: &yuccawire.Envelope_Join{Join: join}})
}

func (d *Dispatcher) answerWatch(now time.Time, name string, m *yuccawire.Join, j *job) {
	joined := &yuccawire.Joined{Job: m.GetJob(), Watch: true, Known: j != nil}
	if j != nil {
		if m.GetCancel() {
			d.cancelJob(now, j)
		}
		joined.Outcome = j.settledOutcome()
	}
	d.sendJoined(name, joined)
}

func (d *Dispatcher) tickWatches(now time.Time) {
	for key, w := range d.watches {
		if !now.Before(w.until) {
			d.found(key, false, nil)
		}
	}
}

// settledOutcome is the outcome that callers may be told, or nil.
func (j *job) settledOutcome() *yuccawire.Outcome {
	if j.state != settled {
		return nil
	}
	return j.outcome
}
