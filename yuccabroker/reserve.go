package yuccabroker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaforecast"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// reserveAfter is how long a task must have fitted at no worker before capacity is
	// reserved for it.
	reserveAfter = 30 * time.Millisecond
	// unplacedGap is the time without an attempt to place a task after which it counts
	// as one that has not waited yet. Queued tasks are tried every 20 ms.
	unplacedGap = 100 * time.Millisecond
	// reservationDivisor limits the reservations of an entry to the workers that it sees
	// divided by this.
	reservationDivisor = 10
	// largeShare is the share of a worker's processors or memory above which a task is
	// large. With the 18% that may wait at a side, tasks of 3 of 16 processors were
	// reserved under overload, which cost the most urgent kind 0.05 of its score.
	largeShare = 0.25
	// maxSkippedLarge is how many large tasks that fit nowhere may be skipped in one
	// placement, as all workers are compared for each of them.
	maxSkippedLarge = 8
)

// reservation is an order that was sent to be queued beyond the limit of a side.
type reservation struct {
	task *task
	run  uint64
	side *side
	// number is that of the orders it was sent with.
	number uint64
	madeAt time.Time
	// start is the forecast start, zero if the side reported no releases.
	start time.Time
}

// ReservationStatus describes a reservation of this entry.
type ReservationStatus struct {
	Job, Task, Queue, Side           string
	Run                              uint64
	CPUMilli, MemoryMB, Accelerators int
	// Age is how long the reservation has been held, Forecast how long it was expected
	// to be. Forecast is negative if it is unknown.
	Age, Forecast time.Duration
}

func (r resources) amount() yuccaforecast.Resources {
	return yuccaforecast.Resources{CPUMilli: r.cpuMilli, MemoryMB: r.memoryMB, Accelerators: r.accelerators}
}

func toResources(r yuccaforecast.Resources) resources {
	return resources{cpuMilli: r.CPUMilli, memoryMB: r.MemoryMB, accelerators: r.Accelerators}
}

// handleForecast records the reservation and the expected releases that a side reports.
func (s *side) handleForecast(now time.Time, m *yuccawire.WorkerState) {
	s.reserved, s.ordersSeen = m.GetReserved(), m.GetOrdersSeen()
	s.releases = s.releases[:0]
	for _, r := range m.GetReleases() {
		s.releases = append(s.releases, yuccaforecast.Release{
			At:     now.Add(time.Duration(r.GetInMs()) * time.Millisecond),
			Amount: yuccaforecast.Resources{CPUMilli: int(r.GetCpuMilli()), MemoryMB: int(r.GetMemoryMb()), Accelerators: int(r.GetAccelerators())},
		})
	}
}

// isLarge reports whether a task needs so much of the worker that the gaps which others
// leave seldom suffice. Smaller ones may wait in the queue of the side.
func (s *side) isLarge(t *task) bool {
	return !demand(t.step.Step).fitsIn(resources{cpuMilli: int(largeShare * float64(s.capacity.cpuMilli)), memoryMB: int(largeShare * float64(s.capacity.memoryMB))})
}

// reserve reserves capacity for a queued task that doesn't fit now. fitting is the side
// that was chosen for it, or nil. It returns the side to which an order is to be sent, or
// nil and whether the tasks behind it may be placed: smaller tasks fill what a large one
// can't use, while those of the same size would find no worker either.
func (b *Broker) reserve(now time.Time, t *task, fitting *side, skipped int) (*side, bool) {
	if !b.options.Scheduling.Reservations || fitting != nil && !fitting.mustReserve(t) {
		return fitting, false
	}
	if fitting != nil && b.mayReserve() && !fitting.reserved && !b.holdsReservationAt(fitting) {
		t.unplacedSince = now
		start, _ := yuccaforecast.New(fitting.available(t.tier).amount()).Start(now, demand(t.step.Step).amount(), fitting.releases)
		b.addReservation(now, t, fitting, start)
		return fitting, true
	}
	if t.unplacedSince.IsZero() || now.Sub(t.unplacedAt) > unplacedGap {
		t.unplacedSince = now
	}
	t.unplacedAt = now
	if now.Sub(t.unplacedSince) >= reserveAfter && b.mayReserve() {
		if s, start := b.chooseReserved(now, t); s != nil {
			b.addReservation(now, t, s, start)
			return s, true
		}
	}
	return nil, skipped < maxSkippedLarge && slices.ContainsFunc(b.sideList, func(s *side) bool {
		return s.isLarge(t) && b.isEligible(now, t, s)
	})
}

// mustReserve reports whether a task that the side accepts is large and would be queued
// there. Without a reservation it would wait until the worker is free by chance: the side
// accepts smaller tasks as long as they fit beside the part of it that is not free.
func (s *side) mustReserve(t *task) bool {
	return s.isLarge(t) && !demand(t.step.Step).fitsIn(s.available(t.tier))
}

// mayReserve reports whether this entry may hold another reservation.
func (b *Broker) mayReserve() bool {
	return len(b.reservations) < max(b.ReadySides()/reservationDivisor, 1)
}

// chooseReserved returns the side where the task is expected to fit first, and when; the
// time is zero if that is unknown. The side where its last run was refused is taken only
// if there is no other.
func (b *Broker) chooseReserved(now time.Time, t *task) (*side, time.Time) {
	var candidates, avoided []yuccaforecast.Candidate[*side]
	for _, s := range b.sideList {
		if s.reserved || !s.isLarge(t) || !b.isEligible(now, t, s) || b.holdsReservationAt(s) {
			continue
		}
		c := yuccaforecast.Candidate[*side]{Worker: s, Capacity: s.capacity.amount(), Free: s.available(t.tier).amount(), Releases: s.releases}
		if s == t.avoid {
			avoided = append(avoided, c)
			continue
		}
		candidates = append(candidates, c)
	}
	if len(candidates) > 1 {
		// Entries with the same reports would otherwise all choose the same side.
		first := b.options.Random.IntN(len(candidates))
		candidates = append(candidates[first:], candidates[:first]...)
	}
	size := demand(t.step.Step).amount()
	s, start, ok := yuccaforecast.Choose(now, size, candidates)
	if !ok {
		s, start, _ = yuccaforecast.Choose(now, size, avoided)
	}
	return s, start
}

func (b *Broker) holdsReservationAt(s *side) bool {
	return slices.ContainsFunc(b.reservations, func(r *reservation) bool { return r.side == s })
}

func (b *Broker) addReservation(now time.Time, t *task, s *side, start time.Time) {
	// The order gets the next run number of the task.
	r := &reservation{task: t, run: b.nextRun(t), side: s, number: s.lastOrder + 1, madeAt: now, start: start}
	t.reservation = r
	b.reservations = append(b.reservations, r)
	b.metrics.Add("reservations_made", 1)
	b.options.Logger.Info("task reserved", "job", t.job.ID, "task", t.name, "run", r.run, "side", s.name, "tier", t.tier, "cpu_milli", t.step.CPUMilli,
		"waited_ms", now.Sub(t.unplacedSince).Milliseconds(), "forecast_ms", r.forecast().Milliseconds(), "held", len(b.reservations))
}

// forecast returns how long the reservation was expected to be held, -1 ms if unknown.
func (r *reservation) forecast() time.Duration {
	if r.start.IsZero() {
		return -time.Millisecond
	}
	return r.start.Sub(r.madeAt)
}

// settleReservations removes the reservations that have ended: those whose task has
// started, and those whose run was refused, withdrawn or lost.
func (b *Broker) settleReservations(now time.Time) {
	b.reservations = slices.DeleteFunc(b.reservations, func(r *reservation) bool {
		t := r.task
		alive := b.runs[runKey{task: t.name, run: r.run}] == t
		switch {
		case !alive && t.state == taskQueued:
			// It is reserved elsewhere without another wait.
			t.avoid, t.unplacedAt = r.side, now
			b.endReservation(now, r, "reservations_failed", "refused or lost")
		case !alive && t.state == taskDone:
			b.endReservation(now, r, "reservations_started", "started")
		case t.isHeldBack():
			b.endReservation(now, r, "reservations_failed", "run lost that may still start")
		case !alive || t.job.ended:
			b.endReservation(now, r, "reservations_failed", "job ended")
		case r.side.ordersSeen >= r.number && !r.side.reserved && t.sideIncarnation == r.side.Incarnation:
			// Stragglers are found by the time since the start.
			t.sentAt = now
			b.endReservation(now, r, "reservations_started", "started")
		default:
			return false
		}
		return true
	})
}

func (b *Broker) endReservation(now time.Time, r *reservation, counter, reason string) {
	if r.task.reservation == r {
		r.task.reservation = nil
	}
	held := now.Sub(r.madeAt)
	b.metrics.Add(counter, 1)
	if counter == "reservations_started" {
		r.task.job.dispatched = true
	}
	if counter == "reservations_started" && !r.start.IsZero() {
		b.metrics.Observe("reservation_forecast_error", (held - r.forecast()).Abs())
	}
	b.options.Logger.Info("reservation released", "job", r.task.job.ID, "task", r.task.name, "run", r.run, "side", r.side.name, "why", reason,
		"forecast_ms", r.forecast().Milliseconds(), "actual_ms", held.Milliseconds())
}

// Reservations returns the reservations of this entry, the oldest first.
func (b *Broker) Reservations(now time.Time) []ReservationStatus {
	status := make([]ReservationStatus, 0, len(b.reservations))
	for _, r := range b.reservations {
		step := r.task.step
		status = append(status, ReservationStatus{
			Job: r.task.job.ID, Task: r.task.name, Queue: r.task.job.Queue.Name, Side: r.side.name, Run: r.run,
			CPUMilli: step.CPUMilli, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators, Age: now.Sub(r.madeAt), Forecast: r.forecast(),
		})
	}
	return status
}
