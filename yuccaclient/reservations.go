package yuccaclient

import (
	"context"
	"net/http"
)

// Reservation is capacity that an entry has reserved for a task. Times are in
// milliseconds, processors in thousandths.
type Reservation struct {
	Job          string `json:"job"`
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Queue        string `json:"queue"`
	Side         string `json:"side"`
	CPUMilli     int    `json:"cpu_milli"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
	HeldMS       int64  `json:"held_ms"`
	// ForecastMS is nil if the start could not be forecast.
	ForecastMS *int64 `json:"forecast_ms,omitempty"`
}

// Reservations returns the reservations that an entry for sized jobs holds, the oldest
// first.
func (c *Client) Reservations(ctx context.Context) ([]Reservation, error) {
	var response struct {
		Reservations []Reservation `json:"reservations"`
	}
	_, err := c.call(ctx, http.MethodGet, "/v1/reservations", nil, &response)
	return response.Reservations, err
}
