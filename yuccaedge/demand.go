package yuccaedge

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccademand"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// exchangeDemand sends each linked entry the demand that it does not know, when that is
// due. An entry with two links gets it over one of them.
func (e *Edge) exchangeDemand(now time.Time) {
	table := e.broker.Demand()
	if !e.broker.ExchangesDemand() || !table.Due(now) {
		return
	}
	for p := range e.entryPeers {
		if report := table.ReportFor(now, p.Node().GetName()); report != nil {
			p.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Demand{Demand: report}})
		}
	}
}

func (e *Edge) handleDemand(now time.Time, from *yuccamesh.Peer, report *yuccawire.DemandReport) {
	e.broker.HandleDemand(now, report)
	e.broker.Demand().MarkKnown(now, from.Node().GetName(), report)
}

// Demand returns the demand at all entries, as far as this entry knows it.
func (e *Edge) Demand(ctx context.Context) (yuccademand.Status, error) {
	return yuccaquery.Do(ctx, e.postQuery, func(e *Edge) yuccademand.Status { return e.broker.Demand().Status(time.Now()) })
}
