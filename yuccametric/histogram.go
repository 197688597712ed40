package yuccametric

import (
	"strconv"
	"time"
)

// bucketBoundsMS holds the exclusive upper bounds of a histogram's buckets in
// milliseconds.
var bucketBoundsMS = []int64{1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096}

// Observe adds a duration to the histogram of that name, which consists of the
// counters NAME_le_MS for each bucket, NAME_count and NAME_sum_us. Unlike in
// Prometheus, buckets are not cumulative: each counts the durations from the
// previous bound up to its own. Durations beyond the last bound are in no bucket.
func (s *Set) Observe(name string, d time.Duration) {
	ms := d.Milliseconds()
	for _, bound := range bucketBoundsMS {
		if ms < bound {
			s.Add(name+"_le_"+strconv.FormatInt(bound, 10), 1)
			break
		}
	}
	s.Add(name+"_count", 1)
	s.Add(name+"_sum_us", d.Microseconds())
}
