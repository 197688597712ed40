package yuccabroker

import "time"

// cannotFinish reports whether the remaining tasks of a job can't end before answerBy,
// even if each takes the least time that its estimate allows.
func (j *job) cannotFinish(now time.Time) bool {
	remaining := j.answerBy.Sub(now)
	return remaining < j.leastTime && remaining < j.leastRemainingTime(now)
}

// leastRemainingTime returns the least time until the longest chain of steps that are not
// done has ended.
func (j *job) leastRemainingTime(now time.Time) time.Duration {
	longest := time.Duration(0)
	finishes := make([]time.Duration, len(j.steps))
	for i, st := range j.steps {
		for _, dependency := range st.After {
			finishes[i] = max(finishes[i], finishes[dependency])
		}
		finishes[i] += st.leastRemainingTime(now, j.shortestRun(st))
		longest = max(longest, finishes[i])
	}
	return longest
}

// leastRemainingTime returns the least time in which the tasks of the step that are not
// done end, once they can start. A run takes least and may have started when it was ordered. On a slow
// worker it takes longer, unless it is moved to another one.
func (st *step) leastRemainingTime(now time.Time, least time.Duration) time.Duration {
	if st.remaining == 0 {
		return 0
	}
	longest := time.Duration(0)
	for _, t := range st.tasks {
		switch t.state {
		case taskQueued, taskBlocked:
			return least
		case taskSent:
			onWorker := time.Duration(max(t.side.slowdown, 1)*float64(least)) - now.Sub(t.sentAt)
			longest = max(longest, min(onWorker, least))
		case taskDone:
		}
	}
	return longest
}
