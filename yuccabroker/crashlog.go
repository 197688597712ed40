package yuccabroker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// crashRetention is how long a crash is known, maxKnownCrashes limits the number
	// of known ones.
	crashRetention  = time.Minute
	maxKnownCrashes = 1000
	// sameMoment is how far apart crashes of the same cause are seen.
	sameMoment = 30 * time.Millisecond
)

// crashLog holds the recent crashes of workers, and what ran on them.
type crashLog struct {
	known map[crashKey]*crash
	// inOrder holds the crashes in the order in which they became known.
	inOrder []*crash
	// byTask holds the crashes under each task.
	byTask map[string][]crashedRun
}

// crashKey identifies an incarnation of a worker, which crashes once at most.
type crashKey struct {
	side, worker string
	startedAtMS  int64
}

type crash struct {
	key crashKey
	at  time.Time
	// message is the crash as it was reported.
	message *yuccawire.Crash
	// isExplained is set if the crash was put down to a confined queue.
	isExplained bool
	// isSimultaneous is set if another worker crashed at the same moment.
	isSimultaneous bool
}

// crashedRun is a run under which a worker crashed after ran.
type crashedRun struct {
	crash *crash
	ran   time.Duration
	// isExplained is set if the crash is put down to another queue.
	isExplained bool
	// isUnconfirmed is set if the start may not have been executed.
	isUnconfirmed bool
}

func newCrashLog() *crashLog {
	return &crashLog{known: make(map[crashKey]*crash), byTask: make(map[string][]crashedRun)}
}

// add records a crash. isExplained is set if it is put down to a confined queue, and
// isConfined tells these from the others. It returns false if the crash is known, or too
// old. One that is proven replaces the suspicion.
func (l *crashLog) add(now time.Time, m *yuccawire.Crash, isExplained bool, isConfined func(queue string) bool) bool {
	key := crashKey{side: m.GetSide(), worker: m.GetWorker(), startedAtMS: m.GetStartedUnixMs()}
	at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	if now.Sub(at) > crashRetention {
		return false
	}
	if known := l.known[key]; known != nil {
		if m.GetUnproven() || !known.message.GetUnproven() {
			return false
		}
		l.inOrder = slices.DeleteFunc(l.inOrder, func(c *crash) bool { return c == known })
		l.forget(known)
	}
	if len(l.inOrder) >= maxKnownCrashes {
		l.evictFirst()
	}
	c := &crash{key: key, at: at, message: m, isExplained: isExplained}
	l.known[key] = c
	for _, other := range l.inOrder {
		if other.key.side != c.key.side && other.at.Sub(c.at).Abs() <= sameMoment {
			other.isSimultaneous, c.isSimultaneous = true, true
		}
	}
	l.inOrder = append(l.inOrder, c)
	for _, r := range m.GetRuns() {
		l.byTask[r.GetTask()] = append(l.byTask[r.GetTask()], crashedRun{
			crash: c, ran: runTime(r), isExplained: isExplained && !isConfined(r.GetQueue()), isUnconfirmed: r.GetUnconfirmed(),
		})
	}
	return true
}

// evict removes the crashes older than crashRetention.
func (l *crashLog) evict(now time.Time) {
	for len(l.inOrder) > 0 && now.Sub(l.inOrder[0].at) > crashRetention {
		l.evictFirst()
	}
}

func (l *crashLog) evictFirst() {
	c := l.inOrder[0]
	l.inOrder = l.inOrder[1:]
	l.forget(c)
}

// provenUnder returns the crashes under a task that count.
func (l *crashLog) provenUnder(task string) []crashedRun {
	var proven []crashedRun
	for _, r := range l.byTask[task] {
		if !r.crash.message.GetUnproven() {
			proven = append(proven, r)
		}
	}
	return proven
}

func (l *crashLog) forget(c *crash) {
	delete(l.known, c.key)
	for _, r := range c.message.GetRuns() {
		runs := slices.DeleteFunc(l.byTask[r.GetTask()], func(r crashedRun) bool { return r.crash == c })
		if len(runs) == 0 {
			delete(l.byTask, r.GetTask())
			continue
		}
		l.byTask[r.GetTask()] = runs
	}
}

// report returns all known crashes.
func (l *crashLog) report(now time.Time) *yuccawire.CrashReport {
	report := &yuccawire.CrashReport{}
	for _, c := range l.inOrder {
		report.Crashes = append(report.Crashes, &yuccawire.Crash{
			Side: c.key.side, Worker: c.key.worker, StartedUnixMs: c.key.startedAtMS,
			AgeMs: uint64(now.Sub(c.at).Milliseconds()), Runs: c.message.GetRuns(), Service: c.message.GetService(),
			Unproven: c.message.GetUnproven(),
		})
	}
	return report
}
