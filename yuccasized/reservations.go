package yuccasized

import (
	"context"
	"net/http"

	"github.com/yuccaturn/yuccaturn/yuccaproblem"
)

// reservationsBody is the response with the reservations of an entry.
type reservationsBody struct {
	Reservations []reservationBody `json:"reservations"`
}

// reservationBody describes a reservation. Times are in milliseconds, processors in
// thousandths.
type reservationBody struct {
	Job          string `json:"job"`
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Queue        string `json:"queue"`
	Side         string `json:"side"`
	CPUMilli     int    `json:"cpu_milli"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
	HeldMS       int64  `json:"held_ms"`
	// ForecastMS is omitted if the side had reported no releases.
	ForecastMS *int64 `json:"forecast_ms,omitempty"`
}

func (o *Operators) reservations(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	held, err := o.edge.Reservations(ctx)
	if err != nil {
		o.refuse(w, r, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.OutcomeUnknown, "listing the reservations: "+err.Error()).WithRetryAfter(retryAfter))
		return
	}
	body := reservationsBody{Reservations: []reservationBody{}}
	for _, h := range held {
		b := reservationBody{
			Job: h.Job, Task: h.Task, Run: h.Run, Queue: h.Queue, Side: h.Side, CPUMilli: h.CPUMilli, MemoryMB: h.MemoryMB, Accelerators: h.Accelerators, HeldMS: h.Age.Milliseconds(),
		}
		if h.Forecast >= 0 {
			forecast := h.Forecast.Milliseconds()
			b.ForecastMS = &forecast
		}
		body.Reservations = append(body.Reservations, b)
	}
	writeJSON(w, body)
}
