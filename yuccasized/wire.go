package yuccasized

import (
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// The calls between a side and its worker. Times are milliseconds of the
// worker's own steady clock.

// lifeBody names one life of a worker; a call for another one is refused.
type lifeBody struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

type startBody struct {
	Life       lifeBody `json:"life"`
	Task       string   `json:"task"`
	Run        uint64   `json:"run"`
	Payload    []byte   `json:"payload"`
	DeadlineMS int64    `json:"deadline_ms"`
	Token      int64    `json:"token"`
}

type stopBody struct {
	Life  lifeBody `json:"life"`
	Task  string   `json:"task"`
	Run   uint64   `json:"run"`
	Token int64    `json:"token"`
}

type holdBody struct {
	Life       lifeBody `json:"life"`
	DeadlineMS int64    `json:"deadline_ms"`
	Token      int64    `json:"token"`
	// Cursor is the number of the last end that was taken note of.
	Cursor int64 `json:"cursor"`
	// WaitMS is how long to wait for an end.
	WaitMS int64 `json:"wait_ms"`
}

// replyBody answers all three.
type replyBody struct {
	ClockMS int64     `json:"clock_ms"`
	Result  string    `json:"result"`
	Running []runBody `json:"running,omitempty"`
	Ends    []endBody `json:"ends,omitempty"`
}

type runBody struct {
	Task string `json:"task"`
	Run  uint64 `json:"run"`
}

type endBody struct {
	Number int64  `json:"number"`
	Task   string `json:"task"`
	Run    uint64 `json:"run"`
	End    string `json:"end"`
}

// reportBody is what a worker says of itself.
type reportBody struct {
	ID           string   `json:"id"`
	Born         int64    `json:"born"`
	Service      string   `json:"service"`
	CPU          float64  `json:"cpu"`
	MemoryMB     int      `json:"memory_mb"`
	Accelerators int      `json:"accelerators"`
	Labels       []string `json:"labels,omitempty"`
	Leaving      bool     `json:"leaving"`
	ClockMS      int64    `json:"clock_ms"`
	Sequence     int64    `json:"sequence"`
}

// names translates between values and their names on the wire.
type names[T comparable] struct {
	byName  map[string]T
	byValue map[T]string
}

func newNames[T comparable](byName map[string]T) names[T] {
	n := names[T]{byName: byName, byValue: make(map[T]string, len(byName))}
	for name, value := range byName {
		n.byValue[value] = name
	}
	return n
}

// results holds no name for [yuccaworker.ResultUnknown]: that is no answer.
var results = newNames(map[string]yuccaworker.Result{
	"ok":         yuccaworker.ResultOK,
	"no_room":    yuccaworker.ResultNoCapacity,
	"late":       yuccaworker.ResultExpired,
	"old":        yuccaworker.ResultOldRun,
	"unhealthy":  yuccaworker.ResultUnhealthy,
	"fenced":     yuccaworker.ResultFenced,
	"other_life": yuccaworker.ResultOtherIncarnation,
	"invalid":    yuccaworker.ResultInvalid,
})

var ends = newNames(map[string]yuccawire.RunEnd{
	"done":    yuccawire.RunEnd_RUN_END_DONE,
	"failed":  yuccawire.RunEnd_RUN_END_FAILED,
	"stopped": yuccawire.RunEnd_RUN_END_STOPPED,
	"lost":    yuccawire.RunEnd_RUN_END_LOST,
})

func lifeOf(b lifeBody) yuccaworker.Incarnation {
	return yuccaworker.Incarnation{ID: b.ID, StartedAtMS: b.Born}
}

func lifeBodyOf(l yuccaworker.Incarnation) lifeBody { return lifeBody{ID: l.ID, Born: l.StartedAtMS} }
