package yuccabroker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccademand"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// demandInterval is the time between two updates of the demand of this entry, half of
// the time between two exchanges.
const demandInterval = 100 * time.Millisecond

// Demand returns the table of the demand at all entries.
func (b *Broker) Demand() *yuccademand.Table { return b.demand }

// ExchangesDemand reports whether a part of the scheduling needs the demand of other
// entries.
func (b *Broker) ExchangesDemand() bool {
	return b.options.Scheduling.FairShares || b.options.Scheduling.AdmissionForecast
}

// HandleDemand applies what another entry reports of the demand.
func (b *Broker) HandleDemand(now time.Time, report *yuccawire.DemandReport) {
	if b.ExchangesDemand() {
		b.demand.Merge(now, report)
	}
}

// updateDemand sets the demand of this entry from its queued tasks and its runs.
func (b *Broker) updateDemand(now time.Time) {
	if !b.ExchangesDemand() || now.Sub(b.demandUpdatedAt) < demandInterval {
		return
	}
	b.demandUpdatedAt = now
	rows := make([]yuccademand.Row, 0, len(b.queueList))
	for _, q := range b.queueList {
		rows = append(rows, yuccademand.Row{
			Service: q.service, Queue: q.name, Oldest: q.oldest(now),
			Amount: yuccademand.Amount{WaitingMilli: float64(q.cpu), RunningMilli: float64(q.runningCPU), WaitingWork: b.expectedWork(q)},
		})
	}
	b.demand.SetOwn(now, rows)
}

// oldest returns how long the oldest task of the queue has waited.
func (q *taskQueue) oldest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, t := range q.tasks {
		oldest = max(oldest, now.Sub(t.queuedAt))
	}
	return oldest
}
