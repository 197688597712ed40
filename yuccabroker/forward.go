package yuccabroker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// forwardAfter is how long an entry may take to confirm a message before that goes over others, too.
	forwardAfter = 200 * time.Millisecond
	// forwardInterval is the time between two tries.
	forwardInterval = 500 * time.Millisecond
	// maxForwarders is how many linked entries are asked to pass a message on.
	maxForwarders = 3
)

// forwardOpenJobs tells the readers that don't confirm what they were told, or whose links are lost, over other
// entries, as the links to them may be cut.
func (b *Broker) forwardOpenJobs(now time.Time) {
	for name, r := range b.open.readers {
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
}

// forward sends a message over linked entries.
func (b *Broker) forward(m *yuccawire.Forward) {
	m.From, m.Incarnation = b.options.Name, b.options.Incarnation
	to := slices.DeleteFunc(slices.Clone(b.peers), func(name string) bool { return name == m.GetTo() })
	if len(to) > 0 {
		b.publishForward(m, to[:min(len(to), maxForwarders)])
	}
}

func (b *Broker) publishForward(m *yuccawire.Forward, to []string) {
	b.emit(Publish{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_Forward{Forward: m}}, To: to})
}

// HandleForward processes a message that an entry has passed on, or passes it on itself. If the process that it is
// for has ended, the sender is told so.
func (b *Broker) HandleForward(now time.Time, m *yuccawire.Forward) {
	switch {
	case m.GetTo() == b.options.Name && m.GetGone():
		b.HandleEntryGone(now, m.GetFrom(), m.GetIncarnation())
	case m.GetTo() == b.options.Name && m.GetOpenJobs() != nil:
		b.HandleOpenJobs(now, m.GetFrom(), m.GetIncarnation(), m.GetOpenJobs())
	case m.GetTo() == b.options.Name && b.incarnations[m.GetFrom()] == m.GetIncarnation():
		b.HandleOpenJobsSeen(now, m.GetFrom(), m.GetOpenJobsSeen())
	case slices.Contains(b.peers, m.GetTo()):
		b.publishForward(m, []string{m.GetTo()})
	case b.gone[m.GetTo()] != 0:
		b.publishForward(&yuccawire.Forward{To: m.GetFrom(), From: m.GetTo(), Incarnation: b.gone[m.GetTo()], Gone: true}, []string{m.GetFrom()})
	}
}
