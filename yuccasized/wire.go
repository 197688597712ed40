package yuccasized

import (
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// The bodies of the calls between a side and its worker. Deadlines and clocks are
// in milliseconds of the worker's monotonic clock.

// incarnationBody identifies one start of a worker. A worker refuses calls for
// another incarnation, such as those sent before its restart.
type incarnationBody struct {
	ID          string `json:"id"`
	StartedAtMS int64  `json:"born"`
}

type startBody struct {
	Incarnation incarnationBody `json:"life"`
	Task        string          `json:"task"`
	Run         uint64          `json:"run"`
	Payload     []byte          `json:"payload"`
	DeadlineMS  int64           `json:"deadline_ms"`
	Token       int64           `json:"token"`
}

type stopBody struct {
	Incarnation incarnationBody `json:"life"`
	Task        string          `json:"task"`
	Run         uint64          `json:"run"`
	Token       int64           `json:"token"`
}

type holdBody struct {
	Incarnation incarnationBody `json:"life"`
	DeadlineMS  int64           `json:"deadline_ms"`
	Token       int64           `json:"token"`
	// Cursor is the number of the last completion that the side has processed.
	Cursor int64 `json:"cursor"`
	// WaitMS is how long the worker waits for a completion before it replies.
	WaitMS int64 `json:"wait_ms"`
}

// replyBody is the reply to a start, stop or hold call. Only a hold call returns
// Running and Completions.
type replyBody struct {
	ClockMS     int64            `json:"clock_ms"`
	Result      string           `json:"result"`
	Running     []runBody        `json:"running,omitempty"`
	Completions []completionBody `json:"ends,omitempty"`
}

type runBody struct {
	Task string `json:"task"`
	Run  uint64 `json:"run"`
}

type completionBody struct {
	Number  int64  `json:"number"`
	Task    string `json:"task"`
	Run     uint64 `json:"run"`
	Outcome string `json:"end"`
}

// reportBody is a worker's report of its capacity, which may change, and its state.
type reportBody struct {
	ID           string   `json:"id"`
	StartedAtMS  int64    `json:"born"`
	Service      string   `json:"service"`
	CPU          *float64 `json:"cpu"`
	MemoryMB     int      `json:"memory_mb"`
	Accelerators int      `json:"accelerators"`
	Labels       []string `json:"labels,omitempty"`
	Leaving      bool     `json:"leaving"`
	// RemainingMS is how long a leaving worker has at least.
	RemainingMS *int64 `json:"remaining_ms,omitempty"`
	ClockMS     int64  `json:"clock_ms"`
	Sequence    int64  `json:"sequence"`
}

// nameTable maps values to their names on the wire and back.
type nameTable[T comparable] struct {
	byName  map[string]T
	byValue map[T]string
}

func newNameTable[T comparable](byName map[string]T) nameTable[T] {
	n := nameTable[T]{byName: byName, byValue: make(map[T]string, len(byName))}
	for name, value := range byName {
		n.byValue[value] = name
	}
	return n
}

// resultNames has no name for [yuccaworker.ResultUnknown], the result of a missing
// or invalid reply, and [yuccaworker.ResultUnreachable], which are never sent. The
// former is the zero value, so unknown names decode to it.
var resultNames = newNameTable(map[string]yuccaworker.Result{
	"ok":         yuccaworker.ResultOK,
	"no_room":    yuccaworker.ResultNoCapacity,
	"late":       yuccaworker.ResultExpired,
	"old":        yuccaworker.ResultOldRun,
	"unhealthy":  yuccaworker.ResultUnhealthy,
	"fenced":     yuccaworker.ResultFenced,
	"other_life": yuccaworker.ResultOtherIncarnation,
	"invalid":    yuccaworker.ResultInvalid,
})

var outcomeNames = newNameTable(map[string]yuccawire.RunEnd{
	"done":    yuccawire.RunEnd_RUN_END_DONE,
	"failed":  yuccawire.RunEnd_RUN_END_FAILED,
	"stopped": yuccawire.RunEnd_RUN_END_STOPPED,
	"lost":    yuccawire.RunEnd_RUN_END_LOST,
})

func decodeIncarnation(b incarnationBody) yuccaworker.Incarnation {
	return yuccaworker.Incarnation{ID: b.ID, StartedAtMS: b.StartedAtMS}
}

func encodeIncarnation(incarnation yuccaworker.Incarnation) incarnationBody {
	return incarnationBody{ID: incarnation.ID, StartedAtMS: incarnation.StartedAtMS}
}
