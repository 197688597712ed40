package yuccademand

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Amount is an amount of demand: the processors that tasks need, in thousandths, and the
// work of the waiting ones in core-seconds.
type Amount struct {
	WaitingMilli float64
	RunningMilli float64
	WaitingWork  float64
}

// add adds a part of an amount.
func (a *Amount) add(other Amount, weight float64) {
	a.WaitingMilli += weight * other.WaitingMilli
	a.RunningMilli += weight * other.RunningMilli
	a.WaitingWork += weight * other.WaitingWork
}

// Flow is the demand for a queue from the callers of a data centre.
type Flow struct {
	Service, Queue, DataCentre string
	// Total is the demand at all entries, weighted by the age of what is known of it.
	// Own is the part of this entry.
	Total, Own Amount
	// Oldest is how long the oldest waiting task has waited.
	Oldest time.Duration
}

// Row is the demand for one queue at this entry.
type Row struct {
	Service, Queue string
	Amount
	// Oldest is how long the oldest waiting task has waited.
	Oldest time.Duration
}

// compareByWork orders rows by work, the most first.
func compareByWork(a, b Row) int {
	return cmp.Or(
		cmp.Compare(b.WaitingWork, a.WaitingWork), cmp.Compare(b.WaitingMilli+b.RunningMilli, a.WaitingMilli+a.RunningMilli),
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.Queue, b.Queue),
	)
}

type flowKey struct{ service, queue, dataCentre string }

// flowSum sums rows by flow.
type flowSum struct {
	flows []Flow
	index map[flowKey]int
}

// flow returns the flow of a key. The pointer is valid until the next call.
func (s *flowSum) flow(key flowKey) *Flow {
	i, known := s.index[key]
	if !known {
		i = len(s.flows)
		s.index[key] = i
		s.flows = append(s.flows, Flow{Service: key.service, Queue: key.queue, DataCentre: key.dataCentre})
	}
	return &s.flows[i]
}

// Flows returns the demand by service, queue and data centre, sorted by these. Queues of
// this entry are listed separately, also those that its digest sums in one row. The sums
// of such queues of other entries are flows without a service and a queue.
func (t *Table) Flows(now time.Time) []Flow {
	sum := flowSum{index: make(map[flowKey]int)}
	for _, r := range t.own {
		f := sum.flow(flowKey{r.Service, r.Queue, t.options.DataCentre})
		f.Own.add(r.Amount, 1)
		f.Total.add(r.Amount, 1)
		f.Oldest = max(f.Oldest, r.Oldest)
	}
	for _, d := range t.others {
		weight := d.weight(now)
		if weight == 0 {
			continue
		}
		for _, r := range d.rows {
			f := sum.flow(flowKey{r.GetService(), r.GetQueue(), d.dataCentre})
			f.Total.add(amountOf(r), weight)
			f.Oldest = max(f.Oldest, time.Duration(r.GetOldestMs())*time.Millisecond)
		}
	}
	slices.SortFunc(sum.flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return sum.flows
}

func amountOf(r *yuccawire.DemandRow) Amount {
	return Amount{
		WaitingMilli: float64(r.GetWaitingCpuMilli()), RunningMilli: float64(r.GetRunningCpuMilli()),
		WaitingWork: float64(r.GetWaitingWorkMs()) / milli,
	}
}
