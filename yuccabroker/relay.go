package yuccabroker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// SetPeers sets the names of the entries that this one is linked with.
func (b *Broker) SetPeers(names []string) { b.peers = slices.Clone(names) }

// withPeers adds this entry and those that it is linked with to the names.
func (b *Broker) withPeers(names []string) []string {
	all := slices.Concat(names, b.peers, []string{b.options.Name})
	slices.Sort(all)
	return slices.Compact(all)
}

// unreached returns the linked entries that are not among those named.
func (b *Broker) unreached(reached []string) []string {
	return slices.DeleteFunc(slices.Clone(b.peers), func(name string) bool { return slices.Contains(reached, name) })
}

// passOnHeld tells the linked entries that a list has not reached of the tasks that are new, and those that
// earlier ones were said to have reached of all. A sender that doesn't say whom it reaches is of a version
// that expects nothing to be passed on.
func (b *Broker) passOnHeld(now time.Time, l *heldList, m *yuccawire.HeldTasks, news map[string]heldTask) {
	before := l.reached
	if l.reached = m.GetReached(); len(l.reached) == 0 {
		return
	}
	unreached := b.unreached(l.reached)
	left := slices.DeleteFunc(slices.Clone(unreached), func(name string) bool { return !slices.Contains(before, name) })
	b.passOn(now, m, news, slices.DeleteFunc(unreached, func(name string) bool { return slices.Contains(left, name) }))
	b.passOn(now, m, l.tasks, left)
}

func (b *Broker) passOn(now time.Time, m *yuccawire.HeldTasks, tasks map[string]heldTask, to []string) {
	if len(tasks) == 0 || len(to) == 0 {
		return
	}
	list := &yuccawire.HeldTasks{
		Sender: m.GetSender(), Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(), Partial: true, Reached: b.withPeers(m.GetReached()),
	}
	addHeld(now, list, tasks)
	b.metrics.Add("held_tasks_passed_on", int64(len(tasks)))
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}}, To: to})
}
