package yuccaworker

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// HandleRunsQuery tells an entry which of the jobs have no run of another entry here. Ended runs that may still start are
// not among these, but in the lists of held runs, which are sent before. It doesn't reply until the worker is taken over, as
// that may have runs of an earlier process.
func (w *Worker) HandleRunsQuery(now time.Time, from Owner, m *yuccawire.RunsQuery) {
	if !w.takenOver {
		return
	}
	w.expireOwners(now)
	w.updateHeld(now)
	present := make(map[string]bool)
	for _, r := range w.runs {
		present[jobOf(r.key)] = present[jobOf(r.key)] || r.owner.id != from
	}
	for _, r := range w.queue {
		present[jobOf(r.key)] = present[jobOf(r.key)] || r.owner.id != from
	}
	absent := slices.DeleteFunc(slices.Clone(m.GetJobs()), func(id string) bool { return present[id] })
	w.emit(Send{Owner: from, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_RunsReply{RunsReply: &yuccawire.RunsReply{Number: m.GetNumber(), Absent: absent}}}})
}

func jobOf(k Key) string {
	id, _, _ := strings.Cut(k.Task, ".")
	return id
}
