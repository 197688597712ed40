package yuccasized

import (
	"context"
	"math"
	"net/http"

	"github.com/yuccaturn/yuccaturn/yuccademand"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
)

// demandBody is the response with the demand at all entries, as an entry knows it.
type demandBody struct {
	// IntervalMS is the time between two reports to the linked entries.
	IntervalMS int64             `json:"interval_ms"`
	Flows      []flowBody        `json:"flows"`
	Entries    []entryDemandBody `json:"entries"`
}

// amountBody is an amount of demand. The work is in core-milliseconds.
type amountBody struct {
	WaitingCPUMilli int64 `json:"waiting_cpu_milli"`
	RunningCPUMilli int64 `json:"running_cpu_milli"`
	WaitingWorkMS   int64 `json:"waiting_work_ms"`
}

// flowBody is the demand for a queue from the callers of a data centre. Service and
// queue are empty for the sum of the small queues of other entries.
type flowBody struct {
	Service    string `json:"service"`
	Queue      string `json:"queue"`
	DataCentre string `json:"data_centre"`
	amountBody
	OldestMS int64 `json:"oldest_ms"`
	// SharePercent is its part of the processors that all flows use.
	SharePercent float64    `json:"share_percent"`
	Own          amountBody `json:"own"`
}

// entryDemandBody is the newest known digest of an entry.
type entryDemandBody struct {
	Entry       string `json:"entry"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation,string"`
	Sequence    uint64 `json:"sequence"`
	AgeMS       int64  `json:"age_ms"`
	// WeightPercent is how much of it counts, by its age.
	WeightPercent int64 `json:"weight_percent"`
	Queues        int   `json:"queues"`
	amountBody
}

// NewDemand returns the handler that shows the demand at all entries.
func NewDemand(demand func(context.Context) (yuccademand.Status, error)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/demand", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
		defer cancel()
		status, err := demand(ctx)
		if err != nil {
			yuccaproblem.Write(w, yuccaproblem.Newf(http.StatusServiceUnavailable, yuccaproblem.OutcomeUnknown, "reading the demand: %v", err).WithRetryAfter(retryAfter))
			return
		}
		writeJSON(w, encodeDemand(status))
	})
	return mux
}

func encodeDemand(status yuccademand.Status) demandBody {
	body := demandBody{IntervalMS: status.Interval.Milliseconds(), Flows: []flowBody{}, Entries: []entryDemandBody{}}
	running := 0.0
	for _, f := range status.Flows {
		running += f.Total.RunningMilli
	}
	for _, f := range status.Flows {
		body.Flows = append(body.Flows, flowBody{
			Service: f.Service, Queue: f.Queue, DataCentre: f.DataCentre, amountBody: encodeAmount(f.Total), OldestMS: f.Oldest.Milliseconds(),
			SharePercent: math.Round(1000*f.Total.RunningMilli/max(running, 1)) / 10, Own: encodeAmount(f.Own),
		})
	}
	for _, e := range status.Entries {
		body.Entries = append(body.Entries, entryDemandBody{
			Entry: e.Entry, DataCentre: e.DataCentre, Incarnation: e.Incarnation, Sequence: e.Sequence, AgeMS: e.Age.Milliseconds(),
			WeightPercent: int64(math.Round(100 * e.Weight)), Queues: e.Queues, amountBody: encodeAmount(e.Demand),
		})
	}
	return body
}

func encodeAmount(a yuccademand.Amount) amountBody {
	return amountBody{
		WaitingCPUMilli: int64(math.Round(a.WaitingMilli)), RunningCPUMilli: int64(math.Round(a.RunningMilli)),
		WaitingWorkMS: int64(math.Round(milli * a.WaitingWork)),
	}
}
