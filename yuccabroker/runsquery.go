package yuccabroker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// queryInterval is the time between two queries about a job at a side that hasn't confirmed that it has no run of it.
const queryInterval = 100 * time.Millisecond

// sideQuery is the first query about a job at a side, zero if there was none, and when the last one was sent.
type sideQuery struct {
	first           uint64
	firstAt, lastAt time.Time
}

// querySides asks the sides which of the waiting jobs have no run by a lost entry. They are asked once that one's
// orders have expired, so that none can arrive after the reply.
func (b *Broker) querySides(now time.Time) {
	if len(b.contested) == 0 || len(b.lostOwners) == 0 {
		return
	}
	queries := make(map[string]*yuccawire.RunsQuery)
	for _, j := range slices.SortedFunc(maps.Keys(b.contested), func(x, y *job) int { return cmp.Compare(x.ID, y.ID) }) {
		for _, key := range sortedOwners(b.lostOwners) {
			l := b.lostOwners[key]
			p := l.jobs[j.ID]
			if p == nil || now.Sub(l.lostAt) < ordersEndAfter {
				continue
			}
			p.until = later(p.until, j.Deadline)
			for _, name := range p.sides {
				b.querySide(now, name, j.ID, p, queries)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(queries)) {
		b.metrics.Add("runs_queries", 1)
		b.send(name, &yuccawire.Envelope{Body: &yuccawire.Envelope_RunsQuery{RunsQuery: queries[name]}})
	}
}

// querySide adds a job to the query for a side, unless that was asked lately.
func (b *Broker) querySide(now time.Time, name, id string, p *placement, queries map[string]*yuccawire.RunsQuery) {
	if s := b.sides[name]; s == nil || !s.linked {
		b.requestLink(now, name)
		return
	}
	asked := p.queries[name]
	if now.Sub(asked.lastAt) < queryInterval {
		return
	}
	if queries[name] == nil {
		b.lastQuery++
		queries[name] = &yuccawire.RunsQuery{Number: b.lastQuery}
	}
	queries[name].Jobs = append(queries[name].Jobs, id)
	if asked.first == 0 {
		asked.first, asked.firstAt = queries[name].GetNumber(), now
		b.options.Logger.Info("asking a side for runs of a lost entry", "job", id, "side", name)
	}
	asked.lastAt = now
	p.queries[name] = asked
}

// HandleRunsReply lets jobs go on that the last side has no run of.
func (b *Broker) HandleRunsReply(now time.Time, sideName string, m *yuccawire.RunsReply) {
	for _, id := range m.GetAbsent() {
		lastRun, isKnown := uint64(0), false
		for _, p := range b.lostPlacements(id) {
			asked := p.queries[sideName]
			if asked.first == 0 || m.GetNumber() < asked.first {
				continue
			}
			p.sides = slices.DeleteFunc(p.sides, func(name string) bool { return name == sideName })
			delete(p.queries, sideName)
			p.absentAt[sideName] = asked.firstAt
			lastRun, isKnown = max(lastRun, p.lastRun), true
		}
		if isKnown && !b.mayRunForLostEntry(id) {
			b.options.Logger.Info("no side has a run of a lost entry any more", "job", id, "last_side", sideName)
			b.handleClosed(now, id, lastRun)
		}
	}
}
