package yuccasuspend_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccasuspend"
)

func TestTickWatchNoticesAStandstill(t *testing.T) {
	var w yuccasuspend.TickWatch
	now := time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)
	for _, step := range []struct{ passed, want time.Duration }{
		{0, 0}, {20 * time.Millisecond, 0}, {100 * time.Millisecond, 0}, {2 * time.Second, 2 * time.Second}, {20 * time.Millisecond, 0},
	} {
		now = now.Add(step.passed)
		if got := w.Advance(now); got != step.want {
			t.Errorf("%v after the last tick: got %v, want %v", step.passed, got, step.want)
		}
	}
}
