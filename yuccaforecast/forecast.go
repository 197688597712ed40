// Package yuccaforecast computes when a task that fits nowhere now will fit on a worker,
// and which other tasks may be started there until then without delaying it.
//
// It does no I/O and reads no clock. The worker's side forecasts from the runs that it
// knows, an entry from the releases that the side reports.
//
// # Usage
//
//	forecast := yuccaforecast.New(free)
//	start, ok := forecast.Start(now, demand, releases)
//	forecast.Reserve(demand, start, releases)
//	if forecast.MayBackfill(now, other, until, start) { ... }
package yuccaforecast

import (
	"slices"
	"time"
)

const (
	// maxReleases is how many releases a side reports.
	maxReleases = 8
	// mergeGap is the time within which releases are reported as one. The times are
	// forecasts from estimates that are off by up to 40%.
	mergeGap = 5 * time.Millisecond
	// overdueDivisor is the divisor of the estimate after which an overdue run is
	// expected to end.
	overdueDivisor = 4
)

// Resources is an amount of each resource: processors in thousandths, memory in
// megabytes, and accelerators.
type Resources struct{ CPUMilli, MemoryMB, Accelerators int }

// Plus returns the sum of both amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPUMilli: r.CPUMilli + o.CPUMilli, MemoryMB: r.MemoryMB + o.MemoryMB, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference of both amounts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPUMilli: r.CPUMilli - o.CPUMilli, MemoryMB: r.MemoryMB - o.MemoryMB, Accelerators: r.Accelerators - o.Accelerators}
}

// FitsIn reports whether no resource exceeds that of the other amount.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Within returns the part of the amount that the other one covers, by resource.
func (r Resources) Within(o Resources) Resources {
	return Resources{CPUMilli: max(min(r.CPUMilli, o.CPUMilli), 0), MemoryMB: max(min(r.MemoryMB, o.MemoryMB), 0), Accelerators: max(min(r.Accelerators, o.Accelerators), 0)}
}

// Release is capacity that is expected to become free.
type Release struct {
	At     time.Time
	Amount Resources
}

// ExpectedEnd returns when a run is expected to end: after its estimate times the
// slowdown of its worker, or, if it is overdue, a quarter of its estimate from now.
func ExpectedEnd(now, startedAt time.Time, estimate time.Duration, slowdown float64) time.Time {
	end := startedAt.Add(time.Duration(float64(estimate) * slowdown))
	if !end.After(now) {
		return now.Add(estimate / overdueDivisor)
	}
	return end
}

// Forecast is the free capacity of one worker, and what a reservation leaves of it.
type Forecast struct {
	free Resources
	// spare is what is left at the start of the reserved task.
	spare Resources
}

// New returns the forecast of a worker with this free capacity, which is negative if
// more is used than there is.
func New(free Resources) Forecast { return Forecast{free: free, spare: free} }

// Start returns when the demand fits on the worker. It returns false if it still
// doesn't fit after all releases, which have to be sorted by time.
func (f Forecast) Start(now time.Time, demand Resources, releases []Release) (time.Time, bool) {
	free := f.free
	if demand.FitsIn(free) {
		return now, true
	}
	for _, r := range releases {
		free = free.Plus(r.Amount)
		if demand.FitsIn(free) {
			if r.At.Before(now) {
				return now, true
			}
			return r.At, true
		}
	}
	return time.Time{}, false
}

// Reserve keeps the demand for a task that is to start at the given time.
func (f *Forecast) Reserve(demand Resources, start time.Time, releases []Release) {
	f.spare = f.free.Minus(demand)
	for _, r := range releases {
		if r.At.After(start) {
			break
		}
		f.spare = f.spare.Plus(r.Amount)
	}
}

// MayBackfill reports whether a task that is expected to run until the given time may
// be started now, without a delay of the reserved task, which is to start at start.
func (f Forecast) MayBackfill(now time.Time, demand Resources, until, start time.Time) bool {
	if !demand.FitsIn(f.free) {
		return false
	}
	return now.Before(start) && !until.After(start) || demand.FitsIn(f.spare)
}

// Candidate is a worker that may be chosen for a reservation.
type Candidate[W any] struct {
	Worker W
	// Capacity is the whole worker, Free what is free of it.
	Capacity, Free Resources
	// Releases are sorted by time. They are empty if the worker reports none.
	Releases []Release
}

// Choose returns the worker where the demand is expected to fit first, and when, the
// first of them if there are several. If no worker's releases suffice, as workers with
// much free capacity report none, it returns the one with the largest free share of the
// processors, and the zero time. It returns false if no worker is large enough.
func Choose[W any](now time.Time, demand Resources, workers []Candidate[W]) (worker W, start time.Time, ok bool) {
	mostFree := 0.0
	for _, c := range workers {
		if !demand.FitsIn(c.Capacity) {
			continue
		}
		if at, known := New(c.Free).Start(now, demand, c.Releases); known {
			if start.IsZero() || at.Before(start) {
				worker, start, ok = c.Worker, at, true
			}
			continue
		}
		free := float64(c.Free.CPUMilli) / float64(max(c.Capacity.CPUMilli, 1))
		if start.IsZero() && (!ok || free > mostFree) {
			worker, mostFree, ok = c.Worker, free, true
		}
	}
	return worker, start, ok
}

// Merge sorts releases by time, and merges those that are close together, each at the
// latest of their times, until maxReleases are left. It splits at the longest gaps.
func Merge(releases []Release) []Release {
	if len(releases) == 0 {
		return nil
	}
	Sort(releases)
	gaps := make([]time.Duration, 0, len(releases))
	for i := 1; i < len(releases); i++ {
		gaps = append(gaps, releases[i].At.Sub(releases[i-1].At))
	}
	shortest := mergeGap
	if len(gaps) >= maxReleases {
		sorted := slices.Sorted(slices.Values(gaps))
		shortest = max(shortest, sorted[len(sorted)-maxReleases+1])
	}
	merged := releases[:1:1]
	for i, r := range releases[1:] {
		if gaps[i] >= shortest && len(merged) < maxReleases {
			merged = append(merged, r)
			continue
		}
		last := &merged[len(merged)-1]
		last.At, last.Amount = r.At, last.Amount.Plus(r.Amount)
	}
	return merged
}

// Sort sorts releases by time.
func Sort(releases []Release) {
	slices.SortStableFunc(releases, func(a, b Release) int { return a.At.Compare(b.At) })
}
