package yuccamodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// connection is one of the successive connections of a link. If losesInFlight is set, what was
// on its way when it broke is lost.
type connection struct {
	number                  int
	isBroken, losesInFlight bool
	entry, side             connectionEnd
}

// connectionEnd is what one end has noticed of a connection. Messages that arrive before it is up wait.
type connectionEnd struct {
	isUp, isDown bool
	waiting      []func()
}

func (c *connection) entryEnd() *connectionEnd { return &c.entry }
func (c *connection) sideEnd() *connectionEnd  { return &c.side }

func (c *connection) arrive(to *connectionEnd, deliver func()) {
	switch {
	case c.isBroken && c.losesInFlight:
	case !to.isUp:
		to.waiting = append(to.waiting, deliver)
	default:
		deliver()
	}
}

// transmitOn sends a message on a connection to the other end, where it waits if that direction is cut.
func (w *world) transmitOn(l *link, c *connection, to func(c *connection) *connectionEnd, isCut bool, deliver func()) {
	if c == nil || c.isBroken {
		return
	}
	w.messages++
	arrive := func() { c.arrive(to(c), deliver) }
	if l.isPartitioned || isCut {
		l.delayed = append(l.delayed, arrive)
		return
	}
	w.after(oneWay, arrive)
}

// noticed performs an action of one end, after a delay that is mostly short.
func (w *world) noticed(action func()) {
	if w.noticeSpread == 0 {
		action()
		return
	}
	share := w.random.Float64()
	w.after(time.Duration(share*share*share*float64(w.noticeSpread)), action)
}

// come performs the handlers of a connection that comes up: up, those that wait, and down if it was closed meanwhile.
func (n *connectionEnd) come(up, down func()) {
	up()
	n.isUp = true
	for _, deliver := range n.waiting {
		deliver()
	}
	n.waiting = nil
	if n.isDown {
		down()
	}
}

// open opens the next connection of a link. Each end replaces the one that it has.
func (w *world) open(e *modelEntry, s *modelSide) {
	l := w.link(e, s)
	l.opened++
	c := &connection{number: l.opened}
	l.isUp, l.newest = true, c
	id, side := yuccaworker.Owner{Name: e.name, Incarnation: e.incarnation}, yuccabroker.Side{Name: s.name, Incarnation: s.incarnation, DataCentre: s.dataCentre}
	w.noticed(func() {
		if e.incarnation != id.Incarnation {
			return
		}
		e.handle(func() {
			if c.number < l.lastAtEntry {
				w.breakConnection(e, s, c)
				return
			}
			l.lastAtEntry = c.number
			c.entry.come(func() {
				if l.atEntry != nil {
					w.breakConnection(e, s, l.atEntry)
					e.broker.HandleLinkDown(e.now(), s.name)
				}
				l.atEntry = c
				e.broker.HandleLinkUp(e.now(), side)
			}, func() { w.downAtEntry(e, s, c) })
		})
	})
	w.noticed(func() {
		if s.incarnation != side.Incarnation {
			return
		}
		s.handle(func() {
			c.side.come(func() {
				if l.atSide != nil {
					w.breakConnection(e, s, l.atSide)
				}
				l.atSide = c
				s.core.HandleLinkUp(s.now(), id)
				s.performActions()
			}, func() { w.downAtSide(e, s, c, id) })
		})
	})
}

// breakConnection ends a connection. The side opens the next one once it has noticed.
func (w *world) breakConnection(e *modelEntry, s *modelSide, c *connection) {
	if c.isBroken {
		return
	}
	c.isBroken = true
	c.losesInFlight = w.noticeSpread == 0 || w.random.IntN(2) == 0
	id, incarnation := yuccaworker.Owner{Name: e.name, Incarnation: e.incarnation}, s.incarnation
	w.noticed(func() {
		if e.incarnation == id.Incarnation {
			e.handle(func() { w.downAtEntry(e, s, c) })
		}
	})
	w.noticed(func() {
		if s.incarnation == incarnation {
			s.handle(func() { w.downAtSide(e, s, c, id) })
		}
	})
	if l := w.link(e, s); l.newest == c {
		l.isUp = false
		if w.noticeSpread == 0 {
			w.connect(e, s)
		}
	}
}

func (w *world) downAtEntry(e *modelEntry, s *modelSide, c *connection) {
	l := w.link(e, s)
	c.entry.isDown = true
	if l.atEntry == c && c.entry.isUp {
		l.atEntry = nil
		e.broker.HandleLinkDown(e.now(), s.name)
	}
}

func (w *world) downAtSide(e *modelEntry, s *modelSide, c *connection, id yuccaworker.Owner) {
	l := w.link(e, s)
	c.side.isDown = true
	if !c.side.isUp {
		return
	}
	if l.atSide == c {
		l.atSide = nil
		s.core.HandleLinkDown(s.now(), id)
	}
	if l.newest == c && w.noticeSpread > 0 {
		w.connect(e, s)
	}
}

// drop ends a link without a notice to either end.
func (l *link) drop() {
	l.isUp = false
	if l.newest != nil {
		l.newest.isBroken, l.newest.losesInFlight = true, true
	}
	l.atEntry = nil
}

// closeSilentLink closes the link of a frozen process at the other end.
func (w *world) closeSilentLink(e *modelEntry, s *modelSide) {
	c := w.link(e, s).newest
	if w.noticeSpread == 0 || c == nil {
		return
	}
	w.after(linkTimeout, func() {
		if e.isFrozen || s.isFrozen {
			w.breakConnection(e, s, c)
		}
	})
}

// withMissedTick adds the tick that a process missed while it was frozen before or after the deferred events.
func (w *world) withMissedTick(deferred []func(), tick func()) []func() {
	switch {
	case w.noticeSpread == 0:
		return deferred
	case w.random.IntN(2) == 0:
		return append([]func(){tick}, deferred...)
	}
	return append(deferred, tick)
}

// restartSomeSide replaces the process of a random side by another one, soon enough for links of both to cross.
func (w *world) restartSomeSide() {
	s, downtime := w.sides[w.random.IntN(len(w.sides))], 20*time.Millisecond+w.randomDuration(200*time.Millisecond)
	w.logf("fault %s restarts in %v", s.name, downtime)
	w.killSide(s, downtime)
}

// TestFaultsWithCrossingLinks is TestFaults with links whose ends notice changes at different times, so that
// links cross, and with processes that handle what has waited before the tick that they missed. Nothing hangs
// afterwards.
func TestFaultsWithCrossingLinks(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *firstSeed + 9700 + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFleet(t, seed, 1, 4, 5)
			w.noticeSpread = 800 * time.Millisecond
			w.patience = 6 * time.Second
			w.start()
			w.playFaults(0.3, 16, w.injectFault, w.restartSomeSide)
			w.checkInUse()
		})
	}
}
