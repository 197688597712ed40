package yuccametric

import (
	"strconv"
	"time"
)

// bucketsMS are the upper bounds of a histogram's buckets in milliseconds.
var bucketBoundsMS = []int64{1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096}

// Observe counts a duration in the histogram of that name: the counter
// NAME_le_MS of the first bucket that holds it, NAME_count, and NAME_sum_us.
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
