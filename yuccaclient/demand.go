package yuccaclient

import (
	"context"
	"net/http"
)

// DemandAmount is an amount of demand for processors, in thousandths of a core, and the
// work of the waiting tasks, in core-milliseconds.
type DemandAmount struct {
	WaitingCPUMilli int64 `json:"waiting_cpu_milli"`
	RunningCPUMilli int64 `json:"running_cpu_milli"`
	WaitingWorkMS   int64 `json:"waiting_work_ms"`
}

// DemandFlow is the demand for a queue from the callers of a data centre. Service and
// Queue are empty for the sum of the small queues of other entries.
type DemandFlow struct {
	Service    string `json:"service"`
	Queue      string `json:"queue"`
	DataCentre string `json:"data_centre"`
	DemandAmount
	// OldestMS is how long the oldest waiting task has waited, in milliseconds.
	OldestMS int64 `json:"oldest_ms"`
	// SharePercent is its part of the processors that all flows use.
	SharePercent float64 `json:"share_percent"`
	// Own is the part of the called entry.
	Own DemandAmount `json:"own"`
}

// EntryDemand is the newest digest of an entry that the called entry knows.
type EntryDemand struct {
	Entry       string `json:"entry"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation,string"`
	Sequence    uint64 `json:"sequence"`
	AgeMS       int64  `json:"age_ms"`
	// WeightPercent is how much of it counts, by its age.
	WeightPercent int64 `json:"weight_percent"`
	// Queues is the number of its rows.
	Queues int `json:"queues"`
	DemandAmount
}

// Demand is the demand at all entries, as the called entry knows it.
type Demand struct {
	// IntervalMS is the time between two reports to the linked entries.
	IntervalMS int64         `json:"interval_ms"`
	Flows      []DemandFlow  `json:"flows"`
	Entries    []EntryDemand `json:"entries"`
}

// Demand returns the demand at all entries for sized jobs, as the called one knows it.
func (c *Client) Demand(ctx context.Context) (Demand, error) {
	var response Demand
	_, err := c.call(ctx, http.MethodGet, "/v1/demand", nil, &response)
	return response, err
}
