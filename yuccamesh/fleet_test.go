package yuccamesh_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// fleet is a deployment of entries and sides, spread evenly over data centres.
type fleet struct {
	fabric  *yuccamemnet.Fabric
	entries []*fleetMember
	sides   []*fleetMember
	seeds   []string
}

// fleetMember is a process of a fleet. It releases surplus links at once, like a
// side without runs.
type fleetMember struct {
	testMember
	name       string
	dataCentre string
	metrics    *yuccametric.Set
	stop       context.CancelFunc
}

func (m *fleetMember) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.mesh.Events():
			if surplus, ok := e.(yuccamesh.LinkSurplus); ok {
				m.mesh.Release(surplus.Peer)
			}
			m.record(e)
		}
	}
}

func (f *fleet) start(ctx context.Context, name string, role yuccawire.Role, dataCentre string, incarnation uint64) *fleetMember {
	ctx, stop := context.WithCancel(ctx)
	seeds := f.seeds
	metrics := yuccametric.New(name)
	m := &fleetMember{name: name, dataCentre: dataCentre, metrics: metrics, stop: stop}
	m.up = make(map[string]*yuccamesh.Peer)
	m.mesh = yuccamesh.New(yuccamesh.Options{
		Network: f.fabric.Host(name), Listen: role == yuccawire.Role_ROLE_ENTRY, Seeds: func() []string { return seeds },
		Self:    &yuccawire.Node{Name: name, Role: role, Address: name + ":1", DataCentre: dataCentre, Incarnation: incarnation},
		Metrics: metrics, Logger: slog.New(slog.DiscardHandler),
	})
	s := &meshRunner{mesh: m.mesh}
	go s.run(ctx)
	go m.run(ctx)
	return m
}

func newFleet(ctx context.Context, dataCentres, entries, sides int) *fleet {
	f := &fleet{fabric: yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1}), seeds: []string{"e0:1", "e1:1", "e2:1"}}
	for i := range entries {
		f.entries = append(f.entries, f.start(ctx, fmt.Sprint("e", i), yuccawire.Role_ROLE_ENTRY, fmt.Sprint("dc", i%dataCentres), 1))
	}
	for i := range sides {
		f.sides = append(f.sides, f.start(ctx, fmt.Sprint("s", i), yuccawire.Role_ROLE_SIDE, fmt.Sprint("dc", i%dataCentres), 1))
	}
	return f
}

// countBlind returns the number of entries that don't know all the given entries,
// besides themselves.
func countBlind(entries []*fleetMember, want int) int {
	blind := 0
	for _, e := range entries {
		if len(e.mesh.Nodes()) < want {
			blind++
		}
	}
	return blind
}

var largeFleet = flag.Bool("large-fleet", false, "run TestFleetForms with 300 processes instead of 120")

// Processes that start at the same time with three seeds find each other, with a
// bounded number of links each, and say little once they have. An entry that starts
// later is found by all, and gets sides.
func TestFleetForms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		entries, sides := 36, 84
		if *largeFleet {
			entries, sides = 60, 240
		}
		f := newFleet(ctx, 6, entries, sides)
		time.Sleep(2 * time.Second)
		if n := countBlind(f.entries, entries-1); n > 0 {
			t.Errorf("%d entries don't know all others after two seconds", n)
		}
		time.Sleep(8 * time.Second)
		for _, m := range append(f.entries, f.sides...) {
			up, _ := m.counts()
			if limit := 17 + 2*12*sides/entries; up > limit {
				t.Errorf("%s has %d links, want at most %d", m.name, up, limit)
			}
		}
		for _, s := range f.sides {
			if up, _ := s.counts(); up < 12 || up > 14 {
				t.Errorf("%s has %d links, want 12 to 14", s.name, up)
			}
		}
		before := f.fabric.MessageCount()
		time.Sleep(10 * time.Second)
		if rate := float64(f.fabric.MessageCount()-before) / 10 / float64(entries+sides); rate > 35 {
			t.Errorf("an idle process sends %.1f messages a second, want at most 35", rate)
		}
		late := f.start(ctx, "late", yuccawire.Role_ROLE_ENTRY, "dc0", 1)
		time.Sleep(3 * time.Second)
		if n := countBlind(f.entries, entries); n > 0 {
			t.Errorf("%d entries don't know the one that started last", n)
		}
		linked := 0
		for _, s := range f.sides {
			if late.isLinked(s.name) {
				linked++
			}
		}
		if linked < 10 {
			t.Errorf("the entry that started last has %d sides, want at least 10", linked)
		}
		cancel()
		synctest.Wait()
	})
}

// While a data centre is cut off, each side keeps links to the others, and its own.
// When the cut heals, even after the members on the other side are forgotten,
// everybody finds everybody again.
func TestFleetHealsAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 3, 18, 3)
		time.Sleep(10 * time.Second)
		var lost, others []string
		for _, m := range append(f.entries, f.sides...) {
			if m.dataCentre == "dc2" {
				lost = append(lost, m.name)
			} else {
				others = append(others, m.name)
			}
		}
		for _, name := range lost {
			f.fabric.Isolate(name, others...)
		}
		time.Sleep(10 * time.Second)
		for _, s := range f.sides {
			home := 0
			for _, e := range f.entries {
				if e.dataCentre == s.dataCentre && s.isLinked(e.name) {
					home++
				}
			}
			if up, _ := s.counts(); home < 6 || s.dataCentre != "dc2" && up < 9 {
				t.Errorf("%s in %s has %d links during the cut, %d of them at home", s.name, s.dataCentre, up, home)
			}
		}
		time.Sleep(3 * time.Minute)
		if n := countBlind(f.entries, 17); n != len(f.entries) {
			t.Errorf("%d entries still know all others after three minutes", len(f.entries)-n)
		}
		for _, name := range lost {
			f.fabric.Rejoin(name, others...)
		}
		time.Sleep(10 * time.Second)
		if n := countBlind(f.entries, 17); n > 0 {
			t.Errorf("%d entries don't know all others ten seconds after the cut", n)
		}
		for _, s := range f.sides {
			if up, _ := s.counts(); up < 12 {
				t.Errorf("%s has %d links ten seconds after the cut", s.name, up)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// An entry that crashes is replaced as a target within seconds. When it is back
// under another incarnation, the sides that prefer it return to it.
func TestFleetReplacesLostEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 6, 36, 48)
		time.Sleep(10 * time.Second)
		lost := f.entries[7]
		var before []*fleetMember
		for _, s := range f.sides {
			if s.isLinked(lost.name) {
				before = append(before, s)
			}
		}
		lost.stop()
		f.fabric.Crash(lost.name)
		time.Sleep(4 * time.Second)
		for _, s := range f.sides {
			if up, _ := s.counts(); up < 12 {
				t.Errorf("%s has %d links four seconds after %s was lost", s.name, up, lost.name)
			}
		}
		back := f.start(ctx, lost.name, yuccawire.Role_ROLE_ENTRY, lost.dataCentre, 2)
		time.Sleep(2 * time.Second)
		if up, _ := back.counts(); up < len(before) {
			t.Errorf("%s has %d links two seconds after its return, %d sides prefer it", back.name, up, len(before))
		}
		time.Sleep(10 * time.Second)
		for _, s := range f.sides {
			if up, _ := s.counts(); up > 13 {
				t.Errorf("%s still has %d links", s.name, up)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// If all seeds are replaced by others, processes that start later find the rest
// through the new ones.
func TestFleetWithOtherSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 3, 20, 20)
		time.Sleep(5 * time.Second)
		for _, e := range f.entries[:3] {
			e.stop()
			f.fabric.Crash(e.name)
		}
		f.seeds = []string{"e10:1", "e11:1", "e12:1"}
		late := f.start(ctx, "late", yuccawire.Role_ROLE_SIDE, "dc1", 1)
		time.Sleep(3 * time.Second)
		if up, _ := late.counts(); up < 10 {
			t.Errorf("the side that started last has %d links", up)
		}
		cancel()
		synctest.Wait()
	})
}

func TestLinkToAnEntryIsOpenedAndKeptForItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 4, 20, 1)
		time.Sleep(10 * time.Second)
		side := f.sides[0]
		i := slices.IndexFunc(f.entries, func(e *fleetMember) bool { return !side.isLinked(e.name) })
		side.mesh.LinkTo(f.entries[i].name, 5*time.Second)
		for _, c := range []struct {
			after time.Duration
			want  bool
		}{{200 * time.Millisecond, true}, {9 * time.Second, true}, {3 * time.Second, false}} {
			time.Sleep(c.after)
			if got := side.isLinked(f.entries[i].name); got != c.want {
				t.Errorf("linked with %s: %v, want %v", f.entries[i].name, got, c.want)
			}
		}
		cancel()
		synctest.Wait()
	})
}
