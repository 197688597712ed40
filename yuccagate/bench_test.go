package yuccagate_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// BenchmarkStartFinish measures the admission and completion of an attempt, and
// the heap size of its record without a result body.
func BenchmarkStartFinish(b *testing.B) {
	g := newGate()
	before := heapBytes()
	n := 0
	for b.Loop() {
		n++
		s := newStart("t", 1)
		s.Key.Job = &yuccawire.JobKey{Team: "parishes", Id: fmt.Sprintf("job-%d", n)}
		if !g.Start(startTime, jobDeadline, s).Admitted() {
			b.Fatal("refused")
		}
		g.Finish(&yuccawire.Finished{Key: s.Key, State: yuccawire.TaskState_TASK_FINISHED, Status: 200})
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-B/record")
	runtime.KeepAlive(g)
}

// heapBytes returns the size of live heap objects after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
