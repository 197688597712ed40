package yuccamodel_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	seeds     = flag.Int("seeds", 12, "number of seeds of the random tests")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the random tests")
)

const warmUp = time.Second

// A plain day: every job is answered in its objective.
func TestCalm(t *testing.T) {
	w := newWorld(t, 1, 9, 11)
	w.run(warmUp)
	w.offer(0.7, 8*time.Second)
	w.run(12 * time.Second)
	r := w.result()
	t.Logf("%+v", r)
	if r.worth < 0.985 || r.failed+r.refused > 0 {
		t.Errorf("a calm day is worth %.3f, with %d failed and %d refused", r.worth, r.failed, r.refused)
	}
}

// Bursts over the capacity: what can be done in time is, and no more is lost
// than there is too much of.
func TestBurst(t *testing.T) {
	w := newWorld(t, 2, 9, 11)
	w.run(warmUp)
	w.offer(0.9, 12*time.Second)
	w.run(3 * time.Second)
	w.offer(0.5, 4*time.Second)
	w.run(15 * time.Second)
	r := w.result()
	t.Logf("%+v", r)
	if r.worth < 0.75 {
		t.Errorf("worth %.3f, want 0.75 at least", r.worth)
	}
	if share := float64(r.failed+r.refused) / float64(r.jobs); share > 0.03 {
		t.Errorf("%.3f of the jobs are not served", share)
	}
	if r.kinds["trim"] < 0.9 {
		t.Errorf("the most urgent kind is worth %.3f, want 0.9", r.kinds["trim"])
	}
}

// Workers that stand still, fail everything, or are slow: the others take over.
func TestWorkersGoneWrong(t *testing.T) {
	for name, harm := range map[string]func(n *node){
		"stands still": func(n *node) { n.hangs = true },
		"fails":        func(n *node) { n.fails = true },
		"slow":         func(n *node) { n.slow = 6.5 },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3, 9, 11)
			w.run(warmUp)
			w.offer(0.7, 10*time.Second)
			w.run(2 * time.Second)
			harm(w.sides[4].node)
			w.run(6 * time.Second)
			n := w.sides[4].node
			n.hangs, n.fails, n.slow = false, false, 0
			w.run(6 * time.Second)
			r := w.result()
			t.Logf("%+v", r)
			if r.worth < 0.93 {
				t.Errorf("worth %.3f, want 0.93", r.worth)
			}
		})
	}
}

// mean plays a scenario with several seeds and returns the mean worth, that of
// the most urgent kind, and the share served.
func mean(t *testing.T, factor float64, begin, end func(w *world)) (worth, urgent, served float64) {
	const plays = 4
	for i := range plays {
		w := newWorld(t, uint64(100+i), 9, 11)
		w.run(warmUp)
		w.offer(factor, 10*time.Second)
		w.run(time.Second)
		begin(w)
		w.run(5 * time.Second)
		end(w)
		w.run(8 * time.Second)
		r := w.result()
		t.Logf("%+v", r)
		worth += r.worth / plays
		urgent += r.kinds["trim"] / plays
		served += float64(r.inTime+r.late) / float64(r.jobs) / plays
	}
	return worth, urgent, served
}

// Two workers turn four and eight times slower: what straggles there runs
// elsewhere, and new tasks go to the others.
func TestSlowWorkers(t *testing.T) {
	worth, _, served := mean(t, 0.8, func(w *world) {
		w.sides[4].node.slow, w.sides[5].node.slow = 8, 4
	}, func(w *world) {
		w.sides[4].node.slow, w.sides[5].node.slow = 0, 0
	})
	if worth < 0.95 {
		t.Errorf("worth %.3f, want 0.95", worth)
	}
	if served < 0.997 {
		t.Errorf("%.4f of the jobs are served, want 0.997", served)
	}
}

// One in sixteen calls to the workers gets no answer and is carried out seconds
// later: starts are tried again and ends are seen in time.
func TestLateOrders(t *testing.T) {
	late := func(share float64) func(w *world) {
		return func(w *world) {
			for _, s := range w.sides {
				s.node.lateOrders = share
			}
		}
	}
	_, urgent, served := mean(t, 0.7, late(1.0/16), late(0))
	if urgent < 0.93 {
		t.Errorf("the most urgent kind is worth %.3f, want 0.93", urgent)
	}
	if served < 0.999 {
		t.Errorf("%.4f of the jobs are served, want 0.999", served)
	}
}

// A killed entry costs no more than the jobs that it had in hand.
func TestKilledEntry(t *testing.T) {
	w := newWorld(t, 4, 9, 11)
	w.run(warmUp)
	w.offer(0.7, 8*time.Second)
	w.run(2 * time.Second)
	w.killEntry(w.entries[3], false, 600*time.Millisecond)
	w.run(10 * time.Second)
	r := w.result()
	t.Logf("%+v", r)
	if r.worth < 0.95 {
		t.Errorf("worth %.3f, want 0.95", r.worth)
	}
}

// foundSeeds are seeds that have shown a fault.
var foundSeeds = []uint64{1139, 1160, 1207, 1210, 163, 3114}

// TestFaults lets entries, sides, workers and links fail at random. Whatever
// happens, no task runs twice at the same time, no worker is over its capacity,
// and a refusal that says not run is true: the model checks each start.
func TestFaults(t *testing.T) {
	all := append([]uint64{}, foundSeeds...)
	for i := range *seeds {
		all = append(all, *firstSeed+uint64(i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 4, 5)
			w.run(warmUp)
			w.offer(0.35, 10*time.Second)
			for range 14 {
				w.after(time.Duration(w.draw.IntN(9000))*time.Millisecond, w.fault)
			}
			w.run(18 * time.Second)
			if w.starts == 0 {
				t.Error("nothing has run")
			}
		})
	}
}

// fault lets one thing go wrong for a while.
func (w *world) fault() {
	e := w.entries[w.draw.IntN(len(w.entries))]
	s := w.sides[w.draw.IntN(len(w.sides))]
	d := time.Duration(100+w.draw.IntN(4000)) * time.Millisecond
	kind := w.draw.IntN(12)
	w.note("fault %d %s %s for %v", kind, e.name, s.name, d)
	switch kind {
	case 0:
		w.killEntry(e, false, d)
	case 1:
		w.killEntry(e, true, d)
	case 2:
		w.freezeEntry(e, d)
	case 3:
		w.killSide(s, d/4)
	case 4:
		w.freezeSide(s, d)
	case 5:
		for _, s := range w.sides {
			w.cutLink(e, s, d)
		}
	case 6:
		for _, e := range w.entries {
			w.cutLink(e, s, d)
		}
	case 7:
		if !s.node.down {
			s.node.crash()
			w.after(d, s.node.rise)
		}
	case 8:
		s.node.hangs = true
		w.after(d, func() { s.node.hangs = false })
	case 9:
		s.node.lateOrders = 0.06
		w.after(d, func() { s.node.lateOrders = 0 })
	case 10:
		s.node.lostAnswer = 0.2
		w.after(d, func() { s.node.lostAnswer = 0 })
	case 11:
		for _, j := range w.jobs {
			if !j.ended && w.draw.IntN(2) == 0 {
				j.leave()
			}
		}
	}
}

// A quarter of the workers is gone for good, and more is asked for than the rest
// can do: what is served stays whole, and little of it is thrown away.
func TestOverload(t *testing.T) {
	w := newWorld(t, 5, 9, 11)
	w.run(warmUp)
	w.offer(overloadFactor, 16*time.Second)
	w.run(time.Second)
	w.sides[1].node.crash()
	w.sides[2].node.crash()
	w.run(19 * time.Second)
	r := w.result()
	served := 1 - float64(r.failed+r.refused)/float64(r.jobs)
	t.Logf("%+v served %.3f", r, served)
	if r.kinds["trim"] < 0.75 {
		t.Errorf("the most urgent kind is worth %.3f, want 0.75", r.kinds["trim"])
	}
	if served < 0.93 {
		t.Errorf("%.3f of the jobs are served, want 0.93", served)
	}
}

// overloadFactor times the plain rate is what TestOverload offers.
const overloadFactor = 1.3
