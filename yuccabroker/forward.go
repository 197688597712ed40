package yuccabroker

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// forwardAfter is how long an entry may take to confirm a message before that goes over others, too.
	forwardAfter = 200 * time.Millisecond
	// forwardInterval is the time between two tries.
	forwardInterval = 500 * time.Millisecond
	// maxForwarders is how many linked entries are asked to pass a message on, others each time, and
	// maxForwardingSides how many linked sides: an entry may reach no other one.
	maxForwarders      = 3
	maxForwardingSides = 2
	// maxSideForwards limits the messages to other entries that go over sides in forwardInterval. An entry that
	// is slow loses links, and more messages would make it, and the others, slower.
	maxSideForwards = 8
)

// forwardOpenJobs tells the readers that don't confirm what they were told, or whose links are lost, over other
// entries, as the links to them may be cut.
func (b *Broker) forwardOpenJobs(now time.Time) {
	if now.Sub(b.sideForwardsFrom) >= forwardInterval {
		b.sideForwardsFrom, b.sideForwards = now, 0
	}
	for _, name := range slices.Sorted(maps.Keys(b.open.readers)) {
		r := b.open.readers[name]
		switch {
		case r.sequence >= b.open.sequence:
			r.behindSince = time.Time{}
		case r.behindSince.IsZero():
			r.behindSince = now
		}
		isBehind := !r.behindSince.IsZero() && now.Sub(r.behindSince) >= forwardAfter
		if (isBehind || !r.lostAt.IsZero()) && now.Sub(r.forwardedAt) >= forwardInterval {
			r.forwardedAt = now
			b.metrics.Add("open_jobs_forwarded", 1)
			b.forward(&yuccawire.Forward{To: name, OpenJobs: b.ListOpenJobs(now)})
		}
	}
	b.requestAwaited(now)
}

// requestAwaited requests the lists that are awaited of entries that aren't linked, over other ones.
func (b *Broker) requestAwaited(now time.Time) {
	if len(b.awaited) == 0 || now.Sub(b.awaitedRequestedAt) < forwardAfter {
		return
	}
	b.awaitedRequestedAt = now
	for _, name := range slices.Sorted(maps.Keys(b.awaited)) {
		if !slices.Contains(b.peers, name) {
			b.forward(&yuccawire.Forward{To: name, OpenJobsSeen: &yuccawire.OpenJobsSeen{WantsWhole: true}})
		}
	}
}

// forward sends a message over linked entries, and over linked sides unless the entry is linked and just slow.
func (b *Broker) forward(m *yuccawire.Forward) {
	m.From, m.Incarnation = b.options.Name, b.options.Incarnation
	entries := slices.DeleteFunc(slices.Clone(b.peers), func(name string) bool { return name == m.GetTo() })
	b.forwards++
	if to := nextOf(entries, b.forwards, maxForwarders); len(to) > 0 {
		b.publishForward(m, to)
	}
	if slices.Contains(b.peers, m.GetTo()) || b.sideForwards >= maxSideForwards {
		return
	}
	b.sideForwards++
	var sides []string
	for _, s := range b.sideList {
		if s.linked {
			sides = append(sides, s.name)
		}
	}
	for _, name := range nextOf(sides, b.forwards, maxForwardingSides) {
		b.send(name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Forward{Forward: m}})
	}
}

// nextOf returns up to limit of the names, others for each turn.
func nextOf(names []string, turn, limit int) []string {
	n := len(names)
	if n == 0 {
		return nil
	}
	first := turn * limit % n
	return slices.Concat(names[first:], names[:first])[:min(n, limit)]
}

func (b *Broker) publishForward(m *yuccawire.Forward, to []string) {
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_Forward{Forward: m}}, To: to})
}

// HandleForward processes a message that an entry has passed on, or passes it on itself. If the process that it is
// for has ended, the sender is told so.
func (b *Broker) HandleForward(now time.Time, m *yuccawire.Forward) {
	if m.GetTo() == b.options.Name && !m.GetGone() {
		b.HandleEntryUp(now, m.GetFrom(), m.GetIncarnation())
		b.addUnlinkedReader(m.GetFrom(), m.GetIncarnation())
	}
	switch {
	case m.GetTo() == b.options.Name && m.GetGone():
		b.HandleEntryGone(now, m.GetFrom(), m.GetIncarnation())
	case m.GetTo() == b.options.Name && m.GetOpenJobs() != nil:
		b.handleOpenJobs(now, m.GetFrom(), m.GetIncarnation(), m.GetOpenJobs(), true)
	case m.GetTo() == b.options.Name && b.incarnations[m.GetFrom()] == m.GetIncarnation():
		b.HandleOpenJobsSeen(now, m.GetFrom(), m.GetOpenJobsSeen())
	case slices.Contains(b.peers, m.GetTo()):
		b.publishForward(m, []string{m.GetTo()})
	case b.gone[m.GetTo()] != 0:
		b.publishForward(&yuccawire.Forward{To: m.GetFrom(), From: m.GetTo(), Incarnation: b.gone[m.GetTo()], Gone: true}, []string{m.GetFrom()})
	}
}

// addUnlinkedReader has an entry that was heard over another one confirm open jobs. No list has to come from it first, as on a
// new link: its message may have waited here, and jobs may have come to it since it has started.
func (b *Broker) addUnlinkedReader(name string, incarnation uint64) {
	if b.incarnations[name] != incarnation || b.open.readers[name] != nil || slices.Contains(b.peers, name) {
		return
	}
	b.open.readers[name] = &reader{}
	b.open.updateConfirmed()
}
