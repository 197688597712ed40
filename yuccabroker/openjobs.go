package yuccabroker

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// resendAfter is the least time between two requests for a job at two entries, less the transit
	// of an order.
	resendAfter = 1250 * time.Millisecond
	// openJobAge is the age at which the other entries are told of an open job. The runs of an entry
	// that ends before have ended with its lease when the caller submits the job elsewhere.
	openJobAge = 600 * time.Millisecond
	// unconfirmedAge is the age from which no task of a job is placed unless the linked entries have
	// confirmed that they know that it is open here.
	unconfirmedAge = time.Second
	// readerTimeout is how long an entry may be unlinked until it counts as gone.
	readerTimeout = 2 * time.Second
	// isolationTimeout is the same for an entry that is linked with few of the others, longer than callers wait.
	isolationTimeout = 15 * time.Second
	// closedInterval is the least time between two messages that only tell of closed jobs.
	closedInterval = 100 * time.Millisecond
)

// openJobs are the jobs of this entry that the other entries are told of, by id.
type openJobs struct {
	sequence    uint64
	listed      map[string]*job
	opened      []*job
	closed      []*job
	publishedAt time.Time
	// readers are the entries that have to know of these jobs, by name: the linked ones, without those of an
	// earlier version, which send no such lists, and those that were linked lately.
	readers map[string]*reader
	// confirmed is the last sequence that all of them have confirmed.
	confirmed uint64
	// linkedWithMostSince is since when this entry has been linked with most of them, zero if it is not.
	linkedWithMostSince time.Time
}

// reader is another entry, with the last sequence that it has confirmed.
type reader struct {
	sequence uint64
	// lostAt is when its link was found lost, zero while it is linked.
	lostAt time.Time
	// behindSince is since when it has not confirmed the last sequence, zero if it has. forwardedAt is when
	// it was last told over other entries.
	behindSince, forwardedAt time.Time
	// answeredAt is when it last confirmed anything.
	answeredAt time.Time
}

func newOpenJobs() *openJobs {
	return &openJobs{listed: make(map[string]*job), readers: make(map[string]*reader)}
}

// list tells the other entries of a job, again if what they know of it has changed.
func (o *openJobs) list(j *job) {
	o.listed[j.ID] = j
	j.openSequence = o.sequence + 1
	if !slices.Contains(o.opened, j) {
		o.opened = append(o.opened, j)
	}
}

// isConfirmed reports whether each other entry that may receive the job knows that the job is open here.
func (o *openJobs) isConfirmed(j *job) bool {
	return j.openSequence > 0 && j.openSequence <= o.confirmed
}

// areReadersLinked reports whether the link to no other entry is lost.
func (o *openJobs) areReadersLinked() bool {
	for _, r := range o.readers {
		if !r.lostAt.IsZero() {
			return false
		}
	}
	return true
}

func (o *openJobs) updateConfirmed() {
	o.confirmed = o.sequence
	for _, r := range o.readers {
		o.confirmed = min(o.confirmed, r.sequence)
	}
}

// updateOpenJobs tells the other entries of jobs that have been open for some time, and of those whose
// tasks are started no more. Jobs that others may have received, too, wait for them.
func (b *Broker) updateOpenJobs(now time.Time) {
	for _, j := range b.jobList {
		if !j.ended && j.openSequence == 0 && now.Sub(j.receivedAt) >= openJobAge && !b.isOpenElsewhere(j.ID) {
			b.open.list(j)
		}
	}
	b.closeJobs()
	b.open.updateReaders(now, b.peers)
	b.forwardOpenJobs(now)
	b.publishOpenJobs(now)
	b.open.updateConfirmed()
	for _, j := range b.jobList {
		if !j.ended && now.Sub(j.receivedAt) >= unconfirmedAge && !b.open.isConfirmed(j) {
			b.updateContested(now, j)
		}
	}
	b.updateAllContested(now)
}

// updateReaders notes which entries are linked. Those whose link was lost may receive a job that is open here, so
// that they count until this entry has been linked with most of the others, and heard nothing of them, for
// readerTimeout: one that is cut off does not go on without them before its jobs have ended.
func (o *openJobs) updateReaders(now time.Time, linked []string) {
	n := 0
	for name, r := range o.readers {
		switch {
		case slices.Contains(linked, name):
			r.lostAt = time.Time{}
			n++
		case r.lostAt.IsZero():
			r.lostAt = now
		}
	}
	switch {
	case 2*n < len(o.readers):
		o.linkedWithMostSince = time.Time{}
	case o.linkedWithMostSince.IsZero():
		o.linkedWithMostSince = now
	}
	timeout := readerTimeout
	if o.linkedWithMostSince.IsZero() || now.Sub(o.linkedWithMostSince) < readerTimeout {
		timeout = isolationTimeout
	}
	maps.DeleteFunc(o.readers, func(_ string, r *reader) bool {
		return !r.lostAt.IsZero() && now.Sub(later(r.lostAt, r.answeredAt)) >= timeout
	})
}

func (b *Broker) publishOpenJobs(now time.Time) {
	o := b.open
	if len(o.opened) == 0 && (len(o.closed) == 0 || now.Sub(o.publishedAt) < closedInterval) {
		return
	}
	o.sequence++
	m := &yuccawire.OpenJobs{Sequence: o.sequence}
	for _, j := range o.opened {
		if o.listed[j.ID] == j {
			j.isTold = true
			m.Opened = append(m.Opened, j.toOpenJob(now))
		}
	}
	for _, j := range o.closed {
		m.Closed = append(m.Closed, &yuccawire.ClosedJob{Job: j.ID, LastRun: j.lastRun})
	}
	o.opened, o.closed, o.publishedAt = nil, nil, now
	b.metrics.Add("open_jobs_told", int64(len(m.GetOpened())))
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobs{OpenJobs: m}}})
}

// closeJobs removes the ended jobs from the list whose runs have ended, or are told as held tasks.
func (b *Broker) closeJobs() {
	o := b.open
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		j := o.listed[id]
		next := b.jobs[id]
		switch {
		case !j.ended || !b.areRunsTold(j):
		case j.isFinal && len(b.endedNews.GetJobs())+len(b.endedNews.GetCompleted()) > 0 && !b.endedAt.After(j.endedAt):
			// The others would start it again before they hear of its outcome.
		case next != nil && !b.isOpenElsewhere(id):
			next.isTold = j.isTold
			o.list(next)
		default:
			delete(o.listed, id)
			if j.isTold {
				o.closed = append(o.closed, j)
			}
		}
	}
}

// areRunsTold reports whether the other entries have been told of each task of an ended job that may still
// run or start. One whose link is lost may hear of these tasks later than that the job is closed.
func (b *Broker) areRunsTold(j *job) bool {
	if j.runsInFlight == 0 && j.isFinal {
		return true
	}
	for _, st := range j.steps {
		for _, t := range st.tasks {
			mayRun := b.runs[runKey{task: t.name, run: t.run}] == t || len(t.pinnedTo) > 0 && !j.isFinal
			if _, isTold := b.held[t.name]; mayRun && !(isTold && b.open.areReadersLinked()) {
				return false
			}
		}
	}
	return true
}

// toOpenJob returns what the other entries are told of a job. The sides start no order of it after answerBy, but
// its runs may last longer.
func (j *job) toOpenJob(now time.Time) *yuccawire.OpenJob {
	until := j.answerBy
	if j.ended {
		until = j.Deadline.Add(outcomeRetention)
	}
	return &yuccawire.OpenJob{Job: j.ID, AgeMs: toMilliseconds(now.Sub(j.lastReceivedAt)), RemainingMs: toMilliseconds(until.Sub(now)), LastRun: j.lastRun}
}

// toMilliseconds rounds up, within what a message holds.
func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d+time.Millisecond-1, 0).Milliseconds(), math.MaxUint32))
}

// ListOpenJobs returns all open jobs that the other entries are told of, as the first message on a link.
func (b *Broker) ListOpenJobs(now time.Time) *yuccawire.OpenJobs {
	m := &yuccawire.OpenJobs{Sequence: b.open.sequence, Whole: true, RunningMs: max(toMilliseconds(now.Sub(b.startedAt)), 1)}
	for _, id := range slices.Sorted(maps.Keys(b.open.listed)) {
		b.open.listed[id].isTold = true
		m.Opened = append(m.Opened, b.open.listed[id].toOpenJob(now))
	}
	return m
}

// HandleOpenJobsSeen processes the confirmation of a linked entry.
func (b *Broker) HandleOpenJobsSeen(now time.Time, peer string, m *yuccawire.OpenJobsSeen) {
	before := b.open.confirmed
	if r := b.open.readers[peer]; r != nil {
		r.answeredAt = now
		// A higher number was sent by an earlier incarnation.
		if m.GetSequence() <= b.open.sequence {
			r.sequence = max(r.sequence, m.GetSequence())
		}
		b.open.updateConfirmed()
	}
	for _, id := range m.GetTaken() {
		if j := b.jobs[id]; j != nil && j.isTold {
			b.giveUp(now, j, peer)
		}
	}
	if m.GetWantsWhole() {
		b.sendOpenJobs(now, peer)
	}
	if b.open.confirmed > before {
		b.updateAllContested(now)
	}
}

// sendOpenJobs sends another entry all open jobs.
func (b *Broker) sendOpenJobs(now time.Time, entry string) {
	if !slices.Contains(b.peers, entry) {
		b.forward(&yuccawire.Forward{To: entry, OpenJobs: b.ListOpenJobs(now)})
		return
	}
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobs{OpenJobs: b.ListOpenJobs(now)}}, To: []string{entry}})
}

// giveUp ends a job that another entry has received later: its caller waits there.
func (b *Broker) giveUp(now time.Time, j *job, peer string) {
	b.metrics.Add("jobs_given_up", 1)
	b.options.Logger.Warn("job was submitted again at another entry, giving it up", "job", j.ID, "entry", peer,
		"age_ms", now.Sub(j.receivedAt).Milliseconds(), "runs", j.runsInFlight, "orders", j.runsSent)
	b.answer(now, j, Outcome{State: Abandoned, Reason: "it was submitted again at another entry"})
}
