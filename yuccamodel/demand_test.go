package yuccamodel_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccatopology"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// entryPair identifies the link between two entries by their indices, the lower first.
type entryPair [2]int

func pairOf(a, b *modelEntry) entryPair {
	return entryPair{min(a.index, b.index), max(a.index, b.index)}
}

// chooseEntryPeers links the entries as their topology chooses, for the exchange of
// demand and of held tasks. Crash reports reach all entries at once, see publish.
func (w *world) chooseEntryPeers() {
	nodes := w.entryNodes()
	for i, e := range w.entries {
		topology := yuccatopology.New(nodes[i])
		topology.SetMembers(nodes, nil)
		targets := topology.Targets(w.now)
		for _, peer := range w.entries {
			if slices.Contains(targets, peer.name) && w.entryLinks[pairOf(e, peer)] == nil {
				w.entryLinks[pairOf(e, peer)] = &link{}
				e.peers = append(e.peers, peer)
				peer.peers = append(peer.peers, e)
			}
		}
	}
}

// entryNodes returns the nodes of the entries, whose addresses are their names.
func (w *world) entryNodes() []*yuccawire.Node {
	var nodes []*yuccawire.Node
	for _, e := range w.entries {
		nodes = append(nodes, &yuccawire.Node{Name: e.name, Role: yuccawire.Role_ROLE_ENTRY, Address: e.name, DataCentre: e.dataCentre})
	}
	return nodes
}

// connectEntries opens the link between two entries after a delay. It retries until both
// run and the link is not partitioned.
func (w *world) connectEntries(a, b *modelEntry) {
	l := w.entryLinks[pairOf(a, b)]
	l.epoch++
	l.isUp = false
	l.delayed = nil
	epoch := l.epoch
	w.after(reconnectDelay, func() {
		switch {
		case l.epoch != epoch:
		case a.isDown || b.isDown || a.isFrozen || b.isFrozen || l.isPartitioned:
			w.connectEntries(a, b)
		default:
			l.isUp = true
			a.updatePeers()
			b.updatePeers()
			a.broker.Demand().ForgetPeer(b.name)
			b.broker.Demand().ForgetPeer(a.name)
			a.sendHeldLists(b)
			b.sendHeldLists(a)
			a.sendOpenJobs(b)
			b.sendOpenJobs(a)
		}
	})
}

// updatePeers tells the broker which entries are linked.
func (e *modelEntry) updatePeers() {
	var names []string
	dataCentres := make(map[string]string)
	for _, peer := range e.peers {
		if e.world.entryLinks[pairOf(e, peer)].isUp {
			names = append(names, peer.name)
			dataCentres[peer.name] = peer.dataCentre
		}
	}
	e.broker.SetDataCentres(dataCentres)
	e.broker.SetPeers(names)
}

// sendHeldLists sends a peer the known lists of held tasks, as its link has come up.
func (e *modelEntry) sendHeldLists(to *modelEntry) {
	e.confirmHeld(to, 0)
	e.sendLists(to, e.broker.HeldLists(e.now()))
}

// sendOpenJobs sends a peer the open jobs, as its link has come up.
func (e *modelEntry) sendOpenJobs(to *modelEntry) {
	e.broker.HandleEntryUp(e.now(), to.name, to.incarnation)
	if lost := e.broker.LostPlacements(e.now()); len(lost.GetOwners()) > 0 {
		e.world.sendToPeer(e, to, &yuccawire.Envelope{Body: &yuccawire.Envelope_LostPlacements{LostPlacements: lost}})
	}
	m := e.world.alter(&yuccawire.Envelope{Body: &yuccawire.Envelope_OpenJobs{OpenJobs: e.broker.ListOpenJobs(e.now())}})
	if m != nil {
		e.world.sendToPeer(e, to, m)
	}
}

// sendToPeer sends a message over the link of two entries.
func (w *world) sendToPeer(from, to *modelEntry, m *yuccawire.Envelope) {
	incarnation, sender := to.incarnation, from.incarnation
	w.transmit(w.entryLinks[pairOf(from, to)], func() {
		if to.incarnation == incarnation {
			to.handle(func() { to.handleFrom(from, sender, m) })
		}
	})
}

func (e *modelEntry) sendLists(to *modelEntry, lists []*yuccawire.HeldTasks) {
	w, incarnation := e.world, to.incarnation
	for _, list := range lists {
		m := w.alter(&yuccawire.Envelope{Body: &yuccawire.Envelope_HeldTasks{HeldTasks: list}})
		if m == nil {
			continue
		}
		w.transmit(w.entryLinks[pairOf(e, to)], func() {
			if to.incarnation == incarnation {
				to.handle(func() { to.handlePublished(e, m) })
			}
		})
	}
}

// connectPeers opens the links of an entry to its peers. What was on the earlier links is
// lost.
func (e *modelEntry) connectPeers() {
	for _, peer := range e.peers {
		e.world.connectEntries(e, peer)
	}
}

// partitionEntries delays the messages between two entries. The link is closed if that
// takes longer than linkTimeout.
func (w *world) partitionEntries(a, b *modelEntry, d time.Duration) {
	l := w.entryLinks[pairOf(a, b)]
	if l == nil {
		return
	}
	l.isPartitioned = true
	epoch := l.epoch
	w.after(linkTimeout, func() {
		if l.isPartitioned && l.epoch == epoch {
			w.connectEntries(a, b)
			a.updatePeers()
			b.updatePeers()
		}
	})
	w.after(d, func() {
		l.isPartitioned = false
		delayed := l.delayed
		l.delayed = nil
		for _, deliver := range delayed {
			deliver()
		}
	})
}

// exchangeDemand sends the peers what they do not know, when that is due.
func (e *modelEntry) exchangeDemand() {
	w, table := e.world, e.broker.Demand()
	if !e.broker.ExchangesDemand() || !table.Due(e.now()) {
		return
	}
	for _, peer := range e.peers {
		l := w.entryLinks[pairOf(e, peer)]
		if !l.isUp {
			continue
		}
		report := table.ReportFor(e.now(), peer.name)
		if report == nil {
			continue
		}
		w.demandReports++
		incarnation := peer.incarnation
		w.transmit(l, func() {
			if peer.incarnation == incarnation {
				peer.handle(func() {
					peer.broker.HandleDemand(peer.now(), report)
					peer.broker.Demand().MarkKnown(peer.now(), e.name, report)
				})
			}
		})
	}
}

// waitingMilli returns the waiting processors that an entry knows of, at all entries and
// at itself.
func (e *modelEntry) waitingMilli() (total, own float64) {
	for _, f := range e.broker.Demand().Flows(e.now()) {
		total += f.Total.WaitingMilli
		own += f.Own.WaitingMilli
	}
	return total, own
}

// The callers of one data centre overload its entries. All entries know of most of what
// waits there, also those that it reaches over several hops, and the entries that are cut
// off know of it no more after two seconds, until they are back.
func TestDemandIsKnown(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 1, largeDataCentres, largeEntries, 24)
	w.start()
	w.run(warmUp)
	crowded := w.entriesOf["dc1"]
	w.pickEntry = func() *modelEntry { return crowded[w.random.IntN(len(crowded))] }
	w.offerLoad(8, 12*time.Second)
	cut := w.entriesOf["dc2"]
	// The demand changes within the age of a digest, so that the mean over time is compared.
	measure := func(d time.Duration) (connected, isolated float64) {
		const samples = 20
		waiting := 0.0
		for range samples {
			w.run(d / samples)
			for _, e := range crowded {
				_, own := e.waitingMilli()
				waiting += own
			}
			for _, e := range w.entries {
				total, _ := e.waitingMilli()
				switch {
				case slices.Contains(cut, e):
					isolated += total / float64(len(cut))
				default:
					connected += total / float64(len(w.entries)-len(cut))
				}
			}
		}
		return connected / waiting, isolated / waiting
	}
	check := func(when string, got, least, most float64) {
		t.Helper()
		t.Logf("%s: entries know of %.3f of the waiting work", when, got)
		if got < least || got > most {
			t.Errorf("%s: entries know of %.3f of the waiting work, want %.2f to %.2f", when, got, least, most)
		}
	}
	w.run(2 * time.Second)
	connected, isolated := measure(time.Second)
	check("connected", connected, 0.9, 1.1)
	check("before the partition", isolated, 0.9, 1.1)
	for _, e := range cut {
		for _, peer := range w.entries {
			if e != peer {
				w.partitionEntries(e, peer, 4*time.Second)
			}
		}
	}
	w.run(2100 * time.Millisecond)
	connected, isolated = measure(time.Second)
	check("connected, during the partition", connected, 0.9, 1.1)
	check("cut off", isolated, 0, 0)
	w.run(2 * time.Second)
	_, isolated = measure(time.Second)
	check("after the partition", isolated, 0.9, 1.1)
}

// While nothing waits, each entry sends each peer a report a second at most. After the
// last job, nothing is sent.
func TestDemandMessagesWithoutContention(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 9, 22)
	w.run(warmUp)
	w.offerLoad(0.3, 4*time.Second)
	w.run(time.Second)
	before := w.demandReports
	w.run(2 * time.Second)
	perLink := float64(w.demandReports-before) / 2 / (9 * 8)
	t.Logf("%.2f reports a second over each link, in each direction", perLink)
	if perLink > 1.1 {
		t.Errorf("%.2f reports a second over each link, want at most 1", perLink)
	}
	w.run(8 * time.Second)
	before = w.demandReports
	w.run(5 * time.Second)
	if w.demandReports != before {
		t.Errorf("%d reports of idle entries, want none", w.demandReports-before)
	}
}
