package yuccaworker

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaforecast"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// A forecast has failed if the reserved task has not started forecastFactor times
	// the forecast wait plus forecastSlack after the reservation was made. Estimates are
	// off by 40%.
	forecastFactor = 1.5
	forecastSlack  = 100 * time.Millisecond
	// releasesBelow is the free share of the processors below which releases are
	// reported.
	releasesBelow = 0.2
)

// reservation is the capacity that is kept for a queued run. A side has one at most.
type reservation struct {
	run    *run
	madeAt time.Time
	// start is the forecast start, failsAt when the forecast has failed.
	start   time.Time
	failsAt time.Time
}

func (r resources) amount() yuccaforecast.Resources {
	return yuccaforecast.Resources{CPUMilli: r.cpuMilli, MemoryMB: r.memoryMB, Accelerators: r.accelerators}
}

// releases returns the expected releases of the active runs, sorted by time.
func (w *Worker) releases(now time.Time) []yuccaforecast.Release {
	releases := make([]yuccaforecast.Release, 0, len(w.runs))
	for _, r := range w.runs {
		releases = append(releases, yuccaforecast.Release{
			At: yuccaforecast.ExpectedEnd(now, r.startSentAt, r.estimate, w.health.slowdown), Amount: r.demand.amount(),
		})
	}
	yuccaforecast.Sort(releases)
	return releases
}

// reservedRefusal returns why the order of a task that fits nowhere is refused, or
// RUN_REFUSAL_UNSPECIFIED. A queued task that has waited for one reservation doesn't wait
// for the next, or a succession of reservations would starve it.
func (w *Worker) reservedRefusal(r *run) yuccawire.RunRefusal {
	hasWaited := func(q *run) bool { return q.tier <= r.tier && q.orderedAt.Before(w.reservationEndedAt) }
	if w.reservation != nil || slices.ContainsFunc(w.queue, hasWaited) {
		return yuccawire.RunRefusal_RUN_REFUSAL_RESERVED
	}
	return yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED
}

// addQueued counts the demand of a run that is queued, or reserves capacity for it.
func (w *Worker) addQueued(now time.Time, r *run) {
	if r.reserved {
		w.reserve(now, r)
		return
	}
	w.queued[r.tier] = w.queued[r.tier].plus(r.demand)
}

// removeQueued is the reverse of addQueued. The reservation ends with the run's refusal
// or start, which follows.
func (w *Worker) removeQueued(r *run) {
	if !r.reserved {
		w.queued[r.tier] = w.queued[r.tier].minus(r.demand)
	}
}

// reserve makes a queued run the reservation of the worker.
func (w *Worker) reserve(now time.Time, r *run) {
	free := w.capacity().minus(w.used)
	start, ok := yuccaforecast.New(free.amount()).Start(now, r.demand.amount(), w.releases(now))
	if !ok {
		start = now
	}
	wait := start.Sub(now)
	w.reservation = &reservation{run: r, madeAt: now, start: start, failsAt: now.Add(time.Duration(forecastFactor*float64(wait)) + forecastSlack)}
	w.metrics.Add("reservations_made", 1)
	w.options.Logger.Info("task reserved", "task", r.key.Task, "run", r.key.Run, "owner", r.owner.id.Name, "cpu_milli", r.demand.cpuMilli,
		"free_cpu_milli", free.cpuMilli, "runs", len(w.runs), "forecast_ms", wait.Milliseconds())
}

// heldCapacity returns the free capacity that is kept from tasks of the tier for the
// reserved run. More urgent tasks may go before it.
func (w *Worker) heldCapacity(tier int) resources {
	if w.reservation == nil || tier < w.reservation.run.tier {
		return resources{}
	}
	held := w.reservation.run.demand.amount().Within(w.capacity().minus(w.used).amount())
	return resources{cpuMilli: held.CPUMilli, memoryMB: held.MemoryMB, accelerators: held.Accelerators}
}

// backfillLimit returns how many queued tasks are considered for a start. While there
// is a reservation these are all, as capacity would stay idle behind some that have to
// wait for it.
func (w *Worker) backfillLimit() int {
	if w.reservation != nil {
		return len(w.queue)
	}
	return maxBackfill
}

// startReserved starts the reserved run if it fits and no task before the tier is left.
func (w *Worker) startReserved(now time.Time, tier int) bool {
	if w.reservation == nil || tier < w.reservation.run.tier {
		return false
	}
	r := w.reservation.run
	if !r.demand.fitsIn(w.capacity().minus(w.used)) || r.staleReason(now) != yuccawire.RunRefusal_RUN_REFUSAL_UNSPECIFIED {
		return false
	}
	w.dequeue(slices.Index(w.queue, r))
	w.startRun(now, r)
	return true
}

// mayStart reports whether a queued task fits now and doesn't delay the reserved run.
func (w *Worker) mayStart(now time.Time, r *run) bool {
	free := w.capacity().minus(w.used)
	if !r.demand.fitsIn(free) {
		return false
	}
	if w.reservation == nil || r.tier < w.reservation.run.tier {
		return true
	}
	forecast := yuccaforecast.New(free.amount())
	forecast.Reserve(w.reservation.run.demand.amount(), w.reservation.start, w.releases(now))
	until := yuccaforecast.ExpectedEnd(now, now, r.estimate, w.health.slowdown)
	return forecast.MayBackfill(now, r.demand.amount(), until, w.reservation.start)
}

// checkReservation refuses the reserved run if its forecast has failed, so that its
// owner tries elsewhere.
func (w *Worker) checkReservation(now time.Time) {
	if w.reservation == nil || now.Before(w.reservation.failsAt) {
		return
	}
	r := w.reservation.run
	w.dequeue(slices.Index(w.queue, r))
	w.refuseQueued(now, r, yuccawire.RunRefusal_RUN_REFUSAL_NO_ROOM)
}

// releaseReservation ends the reservation of a run that has left the queue.
func (w *Worker) releaseReservation(now time.Time, r *run, reason string) {
	held := w.reservation
	if held == nil || held.run != r {
		return
	}
	w.reservation, w.reservationEndedAt = nil, now
	r.reserved = false
	forecastError := now.Sub(held.start).Abs()
	counter := "reservations_failed"
	if reason == startedReason {
		counter = "reservations_started"
		w.metrics.Observe("reservation_forecast_error", forecastError)
	}
	w.metrics.Add(counter, 1)
	w.options.Logger.Info("reservation released", "task", r.key.Task, "run", r.key.Run, "owner", r.owner.id.Name, "why", reason,
		"forecast_ms", held.start.Sub(held.madeAt).Milliseconds(), "actual_ms", now.Sub(held.madeAt).Milliseconds())
}

// startedReason is the reason for the release of a reservation whose task has started.
const startedReason = "started"

// addForecast adds the reservation and, while little is free, the expected releases to
// the state of the worker.
func (w *Worker) addForecast(now time.Time, state *yuccawire.WorkerState) {
	if w.reservation != nil {
		tier := w.reservation.run.tier
		state.Reserved = true
		state.QueuedCpuMilli[tier] += int32(w.heldCapacity(tier).cpuMilli)
	}
	capacity := w.capacity()
	if float64(capacity.minus(w.used).cpuMilli) >= releasesBelow*float64(capacity.cpuMilli) {
		return
	}
	for _, r := range yuccaforecast.Merge(w.releases(now)) {
		state.Releases = append(state.Releases, &yuccawire.Release{
			InMs: uint32(max(r.At.Sub(now).Milliseconds(), 0)), CpuMilli: uint32(r.Amount.CPUMilli), MemoryMb: uint32(r.Amount.MemoryMB), Accelerators: uint32(r.Amount.Accelerators),
		})
	}
}
