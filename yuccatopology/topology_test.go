package yuccatopology_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccatopology"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var startTime = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

// fleet is a deployment of entries and sides, spread evenly over data centres.
type fleet struct {
	entries []*yuccawire.Node
	sides   []*yuccawire.Node
	// byAddress holds the entries by address.
	byAddress map[string]*yuccawire.Node
}

func newFleet(dataCentres, entries, sides int) *fleet {
	f := &fleet{byAddress: make(map[string]*yuccawire.Node)}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		node := &yuccawire.Node{Name: name, Role: yuccawire.Role_ROLE_ENTRY, Address: name + ":1", DataCentre: fmt.Sprint("dc", i%dataCentres)}
		f.entries = append(f.entries, node)
		f.byAddress[node.GetAddress()] = node
	}
	for i := range sides {
		f.sides = append(f.sides, &yuccawire.Node{Name: fmt.Sprintf("side-%d", i), Role: yuccawire.Role_ROLE_SIDE, DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	return f
}

func (f *fleet) topology(self *yuccawire.Node) *yuccatopology.Topology {
	t := yuccatopology.New(self)
	t.SetMembers(f.entries, []string{"entry-0:1"})
	return t
}

// targetsOf returns the entries that the process links to.
func (f *fleet) targetsOf(t *yuccatopology.Topology, now time.Time) []*yuccawire.Node {
	var nodes []*yuccawire.Node
	for _, address := range t.Targets(now) {
		nodes = append(nodes, f.byAddress[address])
	}
	return nodes
}

// In a deployment of up to sixteen entries, each process is linked to all.
func TestFullMesh(t *testing.T) {
	f := newFleet(4, 16, 60)
	if n := len(f.topology(f.sides[3]).Targets(startTime)); n != 16 {
		t.Errorf("a side has %d links, want 16", n)
	}
	if n := len(f.topology(f.entries[3]).Targets(startTime)); n != 15 {
		t.Errorf("an entry has %d links, want 15", n)
	}
}

// The links of a process don't grow with the deployment, each worker is reachable
// from several entries of its data centre and from every other data centre, and
// all entries get a similar number of sides.
func TestLinksAreBounded(t *testing.T) {
	for _, size := range []struct{ dataCentres, entries, sides int }{{3, 18, 72}, {6, 40, 160}, {4, 60, 240}, {5, 220, 1100}} {
		f := newFleet(size.dataCentres, size.entries, size.sides)
		sidesPerEntry := make(map[string]int)
		for _, s := range f.sides {
			nodes := f.targetsOf(f.topology(s), startTime)
			if len(nodes) < 8 || len(nodes) > 14 {
				t.Errorf("%+v: %s has %d links, want 8 to 14", size, s.GetName(), len(nodes))
			}
			perDataCentre := make(map[string]int)
			for _, n := range nodes {
				sidesPerEntry[n.GetName()]++
				perDataCentre[n.GetDataCentre()]++
			}
			if len(perDataCentre) != size.dataCentres || perDataCentre[s.GetDataCentre()] < 4 {
				t.Errorf("%+v: links of %s by data centre are %v, want all data centres and four of its own", size, s.GetName(), perDataCentre)
			}
		}
		mean := 0.0
		for _, n := range sidesPerEntry {
			mean += float64(n) / float64(size.entries)
		}
		for _, e := range f.entries {
			if n := float64(sidesPerEntry[e.GetName()]); n < 0.6*mean || n > 1.5*mean {
				t.Errorf("%+v: %s has %v sides, the mean is %.1f", size, e.GetName(), n, mean)
			}
		}
	}
}

// The links among entries connect all of them, also without any one data centre.
func TestEntriesAreConnected(t *testing.T) {
	for _, size := range []struct{ dataCentres, entries int }{{3, 18}, {6, 40}, {5, 220}} {
		f := newFleet(size.dataCentres, size.entries, 0)
		neighbours := make(map[string][]string)
		for _, e := range f.entries {
			nodes := f.targetsOf(f.topology(e), startTime)
			if len(nodes) > 8 {
				t.Errorf("%+v: %s dials %d entries, want at most 8", size, e.GetName(), len(nodes))
			}
			for _, n := range nodes {
				neighbours[e.GetName()] = append(neighbours[e.GetName()], n.GetName())
				neighbours[n.GetName()] = append(neighbours[n.GetName()], e.GetName())
			}
		}
		for lost := range size.dataCentres + 1 {
			remaining := slices.DeleteFunc(slices.Clone(f.entries), func(n *yuccawire.Node) bool { return n.GetDataCentre() == fmt.Sprint("dc", lost) })
			if reached := countReachable(neighbours, remaining); reached != len(remaining) {
				t.Errorf("%+v without dc%d: %d of %d entries are connected", size, lost, reached, len(remaining))
			}
		}
	}
}

func countReachable(neighbours map[string][]string, nodes []*yuccawire.Node) int {
	allowed := make(map[string]bool)
	for _, n := range nodes {
		allowed[n.GetName()] = true
	}
	reached := map[string]bool{nodes[0].GetName(): true}
	pending := []string{nodes[0].GetName()}
	for len(pending) > 0 {
		name := pending[0]
		pending = pending[1:]
		for _, n := range neighbours[name] {
			if allowed[n] && !reached[n] {
				reached[n] = true
				pending = append(pending, n)
			}
		}
	}
	return len(reached)
}

// An entry that can't be reached is replaced, and is still tried. Once it is back,
// the substitute is surplus after a while.
func TestUnreachableEntryIsReplaced(t *testing.T) {
	f := newFleet(6, 40, 6)
	side := f.topology(f.sides[0])
	before := f.targetsOf(side, startTime)
	lost := before[len(before)-1]
	for _, n := range before {
		if n != lost {
			side.HandleLinkUp(startTime, n, true)
		}
	}
	side.HandleDialFailed(startTime, lost.GetAddress())
	if got := f.targetsOf(side, startTime.Add(time.Second)); !slices.Equal(got, before) {
		t.Error("the entry is replaced after a second, which is less than a restart may take")
	}
	now := startTime.Add(2 * time.Second)
	after := f.targetsOf(side, now)
	if len(after) != len(before)+1 || !slices.Contains(after, lost) {
		t.Fatalf("%d targets two seconds after the entry was lost, want one more than %d", len(after), len(before))
	}
	var substitute *yuccawire.Node
	for _, n := range after {
		if !slices.Contains(before, n) {
			substitute = n
		}
	}
	if substitute.GetDataCentre() != lost.GetDataCentre() {
		t.Errorf("the substitute is in %s, want %s", substitute.GetDataCentre(), lost.GetDataCentre())
	}
	side.HandleLinkUp(now, substitute, true)
	side.HandleLinkUp(now, lost, true)
	dialled := side.Targets(now)
	dialled = append(dialled, substitute.GetAddress())
	if got := side.Surplus(now, dialled); len(got) != 0 {
		t.Errorf("%v is surplus at once", got)
	}
	if got := side.Surplus(now.Add(6*time.Second), dialled); !slices.Equal(got, []string{substitute.GetAddress()}) {
		t.Errorf("surplus is %v, want the substitute %s", got, substitute.GetAddress())
	}
}

// If a whole data centre is lost, its entries are tried, and the other links stay.
func TestLostDataCentreIsTried(t *testing.T) {
	f := newFleet(6, 40, 6)
	side := f.topology(f.sides[0])
	before := side.Targets(startTime)
	for _, e := range f.entries {
		if e.GetDataCentre() == "dc3" {
			side.HandleDialFailed(startTime, e.GetAddress())
		}
	}
	after := side.Targets(startTime.Add(3 * time.Second))
	tried := 0
	for _, address := range after {
		if f.byAddress[address].GetDataCentre() == "dc3" {
			tried++
		}
	}
	if tried == 0 {
		t.Error("no entry of the lost data centre is tried")
	}
	for _, address := range before {
		if !slices.Contains(after, address) {
			t.Errorf("the link to %s is no longer wanted", address)
		}
	}
}

// Two entries that have dialled each other keep one of the links.
func TestMutualLinksAreReduced(t *testing.T) {
	f := newFleet(1, 2, 0)
	a, b := f.topology(f.entries[0]), f.topology(f.entries[1])
	for _, end := range []struct {
		topology *yuccatopology.Topology
		other    *yuccawire.Node
	}{{a, f.entries[1]}, {b, f.entries[0]}} {
		end.topology.HandleLinkUp(startTime, end.other, true)
		end.topology.HandleLinkUp(startTime, end.other, false)
	}
	if got := a.Targets(startTime); len(got) != 1 {
		t.Errorf("the first entry wants %v, want its link kept", got)
	}
	if got := b.Targets(startTime); len(got) != 0 {
		t.Errorf("the second entry wants %v, want none", got)
	}
}

// A seed that no known entry has is dialled, also in a large deployment.
func TestUnknownSeedIsDialled(t *testing.T) {
	f := newFleet(6, 40, 1)
	side := yuccatopology.New(f.sides[0])
	side.SetMembers(f.entries, []string{"new:1"})
	if !slices.Contains(side.Targets(startTime), "new:1") {
		t.Error("the seed is not dialled")
	}
}

// Processes that know nobody spread over the seeds, and go on to the next one if a
// seed fails. Once linked, they wait for news of the other seeds for a while.
func TestSeedsShareNewProcesses(t *testing.T) {
	f := newFleet(6, 40, 120)
	seeds := []string{"entry-0:1", "entry-1:1", "entry-2:1"}
	processes := make(map[string]int)
	for _, s := range f.sides {
		side := yuccatopology.New(s)
		side.SetMembers(nil, seeds)
		targets := side.Targets(startTime)
		if len(targets) != 1 {
			t.Fatalf("%s dials %v at first, want one seed", s.GetName(), targets)
		}
		processes[targets[0]]++
		side.HandleDialFailed(startTime, targets[0])
		next := side.Targets(startTime)
		if len(next) != 2 || !slices.Contains(next, targets[0]) {
			t.Errorf("%s dials %v after %v has failed, want another one, too", s.GetName(), next, targets)
		}
		linked := f.byAddress[next[0]]
		side.SetMembers([]*yuccawire.Node{linked}, seeds)
		side.HandleLinkUp(startTime, linked, true)
		if got := side.Targets(startTime.Add(500 * time.Millisecond)); len(got) != 1 {
			t.Errorf("%s dials %v soon after it is linked, want only that link", s.GetName(), got)
		}
		if got := side.Targets(startTime.Add(1500 * time.Millisecond)); len(got) < 2 {
			t.Errorf("%s dials %v later, want another seed, too", s.GetName(), got)
		}
	}
	for _, seed := range seeds {
		if processes[seed] < 25 || processes[seed] > 55 {
			t.Errorf("%d of 120 processes begin with %s, want 25 to 55", processes[seed], seed)
		}
	}
}

// Links to all entries are wanted only until the given time.
func TestWantAll(t *testing.T) {
	f := newFleet(6, 40, 0)
	e := f.topology(f.entries[5])
	few := len(e.Targets(startTime))
	e.WantAll(startTime.Add(time.Second))
	if got := len(e.Targets(startTime)); got != 39 {
		t.Errorf("%d targets, want all 39", got)
	}
	if got := len(e.Targets(startTime.Add(time.Second))); got != few {
		t.Errorf("%d targets afterwards, want %d", got, few)
	}
}

func TestWantedEntryIsATargetForItsTime(t *testing.T) {
	f := newFleet(4, 40, 4)
	topology := f.topology(f.sides[0])
	usual := topology.Targets(startTime)
	unlinked := slices.IndexFunc(f.entries, func(e *yuccawire.Node) bool { return !slices.Contains(usual, e.GetAddress()) })
	wanted := f.entries[unlinked]
	topology.Want(startTime, wanted.GetName(), 10*time.Second)
	topology.Want(startTime, wanted.GetName(), time.Second)
	if targets := topology.Targets(startTime.Add(9 * time.Second)); len(targets) != len(usual)+1 || !slices.Contains(targets, wanted.GetAddress()) {
		t.Errorf("targets are %v, want the usual ones and %s", targets, wanted.GetAddress())
	}
	if targets := topology.Targets(startTime.Add(10 * time.Second)); !slices.Equal(targets, usual) {
		t.Errorf("targets are %v after the time, want %v", targets, usual)
	}
}
