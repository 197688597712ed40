package yuccasized

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccadriver"
	"github.com/yuccaturn/yuccaturn/yuccajsonpost"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// WorkerClient calls the worker of a side over HTTP. It implements
// [yuccadriver.WorkerClient].
type WorkerClient struct {
	address string
	client  *yuccajsonpost.Client
	logger  *slog.Logger
}

// NewWorkerClient returns a client for the worker at the address, a host and port.
func NewWorkerClient(address string, logger *slog.Logger) *WorkerClient {
	return &WorkerClient{address: address, logger: logger, client: yuccajsonpost.NewClient(yuccajsonpost.Options{MaxConnections: maxConnections})}
}

// call posts a body and decodes the reply. After an error it is unknown whether
// the worker has executed the call.
func (w *WorkerClient) call(ctx context.Context, path string, timeout time.Duration, body any) (*replyBody, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, answer, err := w.client.Post(ctx, "http://"+w.address+path, nil, body)
	if err != nil {
		return nil, err
	}
	reply := new(replyBody)
	if status != http.StatusOK {
		err = merry.Errorf("status %d", status)
	} else {
		err = json.Unmarshal(answer, reply)
	}
	if err != nil {
		w.logger.Warn("invalid reply from the worker", "path", path, "status", status, "error", err)
		return nil, err
	}
	return reply, nil
}

// Start asks the worker to start a run. It returns the result and the worker's
// clock in milliseconds, [yuccaworker.ResultUnknown] if there was no valid reply, or
// [yuccaworker.ResultUnreachable] if no process accepted the call.
func (w *WorkerClient) Start(ctx context.Context, c yuccaworker.CallStart) (yuccaworker.Result, int64) {
	reply, err := w.call(ctx, "/v1/start", c.Timeout, startBody{
		Incarnation: encodeIncarnation(c.Incarnation), Task: c.Key.Task, Run: c.Key.Run, Payload: c.Payload, DeadlineMS: c.DeadlineMS, Token: c.Token,
	})
	if err != nil {
		return yuccadriver.ResultOfError(err), 0
	}
	result := resultNames.byName[reply.Result]
	if result != yuccaworker.ResultOK {
		w.logger.Info("start refused by the worker", "task", c.Key.Task, "run", c.Key.Run, "result", reply.Result,
			"clock_ms", reply.ClockMS, "deadline_ms", c.DeadlineMS, "token", c.Token)
	}
	return result, reply.ClockMS
}

// Stop asks the worker to stop a run. It reports whether the worker confirmed the
// stop, and returns the worker's clock in milliseconds if it did.
func (w *WorkerClient) Stop(ctx context.Context, c yuccaworker.CallStop) (bool, int64) {
	reply, err := w.call(ctx, "/v1/stop", c.Timeout, stopBody{
		Incarnation: encodeIncarnation(c.Incarnation), Task: c.Key.Task, Run: c.Key.Run, Token: c.Token,
	})
	if err != nil || resultNames.byName[reply.Result] != yuccaworker.ResultOK {
		return false, 0
	}
	return true, reply.ClockMS
}

// Connect finds out whether the worker's machine accepts connections.
func (w *WorkerClient) Connect(ctx context.Context, c yuccaworker.CallConnect) yuccaworker.Result {
	return yuccadriver.ResultOfConnect(w.client.Connect(ctx, w.address, c.Since, c.Timeout))
}

// Hold renews the worker's lease and returns the runs in progress and the
// completions that the worker reports. An unknown outcome counts as a lost run.
func (w *WorkerClient) Hold(ctx context.Context, c yuccaworker.CallHold) yuccaworker.HoldResult {
	result := yuccaworker.HoldResult{Incarnation: c.Incarnation, SentAt: c.SentAt}
	reply, err := w.call(ctx, "/v1/hold", c.Timeout, holdBody{
		Incarnation: encodeIncarnation(c.Incarnation), DeadlineMS: c.DeadlineMS, Token: c.Token, Cursor: c.Cursor, WaitMS: c.Wait.Milliseconds(),
	})
	if err != nil {
		result.Result = yuccadriver.ResultOfError(err)
		return result
	}
	result.Result, result.ClockMS = resultNames.byName[reply.Result], reply.ClockMS
	for _, r := range reply.Running {
		result.Running = append(result.Running, yuccaworker.Key{Task: r.Task, Run: r.Run})
	}
	for _, e := range reply.Completions {
		outcome, known := outcomeNames.byName[e.Outcome]
		if !known {
			w.logger.Warn("unknown outcome of a run, counting it as lost", "end", e.Outcome, "task", e.Task)
			outcome = yuccawire.RunEnd_RUN_END_LOST
		}
		result.Completions = append(result.Completions, yuccaworker.Completion{Number: e.Number, Key: yuccaworker.Key{Task: e.Task, Run: e.Run}, Outcome: outcome})
	}
	return result
}
