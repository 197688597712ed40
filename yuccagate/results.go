package yuccagate

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Finish records the result of a running attempt and frees its slot. It returns
// false if the attempt is not running.
func (g *Gate) Finish(result *yuccawire.Finished) bool {
	r := g.jobs[jobIDOf(result.GetKey().GetJob())]
	if r == nil {
		return false
	}
	a := r.find(result.GetKey())
	if a == nil || !a.running {
		return false
	}
	a.running = false
	if t := g.targets[a.service]; t != nil {
		t.inUse--
	}
	g.retainResult(a, result)
	return true
}

// Cancel refuses all further starts of the job and returns its running attempts.
func (g *Gate) Cancel(now time.Time, job *yuccawire.JobKey) []*yuccawire.TaskKey {
	r := g.ensureRecord(job, now.Add(g.options.Retention))
	r.cancelled = true
	return r.runningKeys()
}

func (r *jobRecord) runningKeys() []*yuccawire.TaskKey {
	var running []*yuccawire.TaskKey
	for _, attempts := range r.tasks {
		for _, a := range attempts {
			if a.running {
				running = append(running, a.key)
			}
		}
	}
	return running
}

// QueryResult is the state of an attempt. Result is set if it has finished,
// Refused if it was refused, and neither while it is running.
type QueryResult struct {
	Result  *yuccawire.Finished
	Refused *yuccawire.Refused
}

// Query returns the state of an attempt, for an owner that reconnected. If the
// start of the attempt was never received, it is recorded as refused, so that a
// delayed start is not admitted later.
func (g *Gate) Query(now time.Time, key *yuccawire.TaskKey) QueryResult {
	r := g.ensureRecord(key.GetJob(), now.Add(g.options.Retention))
	a := r.find(key)
	if a == nil {
		a = &attempt{key: key, refusal: yuccawire.Refusal_REFUSAL_NEVER_ARRIVED}
		r.add(a)
	}
	if !a.wasStarted() {
		return QueryResult{Refused: &yuccawire.Refused{Key: key, Reason: a.refusal}}
	}
	return QueryResult{Result: a.result}
}

// Gather returns the running attempts of a job and the results of the finished
// ones.
func (g *Gate) Gather(job *yuccawire.JobKey) *yuccawire.Gathered {
	gathered := &yuccawire.Gathered{Job: job}
	r := g.jobs[jobIDOf(job)]
	if r == nil {
		return gathered
	}
	gathered.Running = r.runningKeys()
	for _, attempts := range r.tasks {
		for _, a := range attempts {
			if a.result != nil {
				gathered.Finished = append(gathered.Finished, a.result)
			}
		}
	}
	return gathered
}

// Forget drops the retained results of the job. The attempts stay recorded.
func (g *Gate) Forget(job *yuccawire.JobKey) {
	r := g.jobs[jobIDOf(job)]
	if r == nil {
		return
	}
	for _, attempts := range r.tasks {
		for _, a := range attempts {
			g.dropResult(a)
		}
	}
}

// Sweep removes records whose retention has expired and that have no running
// attempts. It should be called every few seconds.
func (g *Gate) Sweep(now time.Time) {
	for id, r := range g.jobs {
		if now.Before(r.retainUntil) || r.hasRunning() {
			continue
		}
		g.Forget(r.key)
		delete(g.jobs, id)
	}
	retained := g.retained[:0]
	for _, a := range g.retained {
		if a.result != nil && len(a.result.GetBody()) > 0 {
			retained = append(retained, a)
		}
	}
	clear(g.retained[len(retained):])
	g.retained = retained
}
