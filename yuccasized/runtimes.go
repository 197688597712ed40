package yuccasized

import (
	"context"
	"net/http"

	"github.com/yuccaturn/yuccaturn/yuccaestimate"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
)

// runTimesBody is the response with the learned run times of an entry.
type runTimesBody struct {
	Queues  []queueRunTimesBody `json:"queues"`
	Workers []workerSpeedBody   `json:"workers"`
}

// queueRunTimesBody describes the ratios of run time to estimate of a queue on a worker
// of usual speed, in the rack of its data.
type queueRunTimesBody struct {
	Queue  string  `json:"queue"`
	Runs   int     `json:"runs"`
	P25    float64 `json:"p25"`
	Median float64 `json:"median"`
	P75    float64 `json:"p75"`
	P99    float64 `json:"p99"`
	// RemoteRuns are the runs outside the rack of their data. RackFactor is zero until
	// it is learned.
	RemoteRuns int     `json:"remote_runs"`
	RackFactor float64 `json:"rack_factor"`
	IdleMS     int64   `json:"idle_ms"`
}

// workerSpeedBody describes the worker of a side; its speed is a multiple of the usual.
type workerSpeedBody struct {
	Side   string  `json:"side"`
	Speed  float64 `json:"speed"`
	Runs   int     `json:"runs"`
	IdleMS int64   `json:"idle_ms"`
}

// NewRunTimes returns the handler that shows what an entry has learned of run times.
func NewRunTimes(runTimes func(ctx context.Context) (yuccaestimate.Status, error)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/run-times", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
		defer cancel()
		status, err := runTimes(ctx)
		if err != nil {
			yuccaproblem.Write(w, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.OutcomeUnknown, err.Error()).WithRetryAfter(retryAfter))
			return
		}
		writeJSON(w, encodeRunTimes(status))
	})
	return mux
}

func encodeRunTimes(status yuccaestimate.Status) runTimesBody {
	body := runTimesBody{Queues: []queueRunTimesBody{}, Workers: []workerSpeedBody{}}
	for _, q := range status.Queues {
		body.Queues = append(body.Queues, queueRunTimesBody{
			Queue: q.Queue, Runs: q.Runs, P25: q.P25, Median: q.Median, P75: q.P75, P99: q.P99,
			RemoteRuns: q.RemoteRuns, RackFactor: q.RackFactor, IdleMS: q.SinceObserved.Milliseconds(),
		})
	}
	for _, s := range status.Workers {
		body.Workers = append(body.Workers, workerSpeedBody{Side: s.Worker, Speed: s.Speed, Runs: s.Runs, IdleMS: s.SinceObserved.Milliseconds()})
	}
	return body
}
