package yuccasuspend_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccasuspend"
)

func TestMonitorCountsSuspensions(t *testing.T) {
	total := time.Hour
	m := yuccasuspend.NewMonitorOf(func() time.Duration { return total })
	for _, step := range []struct {
		suspended time.Duration
		want      yuccasuspend.Suspensions
	}{
		{0, yuccasuspend.Suspensions{}},
		{20 * time.Millisecond, yuccasuspend.Suspensions{}},
		{2 * time.Second, yuccasuspend.Suspensions{Count: 1, Total: 2020 * time.Millisecond}},
		{0, yuccasuspend.Suspensions{Count: 1, Total: 2020 * time.Millisecond}},
		{time.Second, yuccasuspend.Suspensions{Count: 2, Total: 3020 * time.Millisecond}},
	} {
		total += step.suspended
		for range 2 {
			if got := m.Check(); got != step.want {
				t.Errorf("after %s: got %+v, want %+v", step.suspended, got, step.want)
			}
		}
	}
	if got := (*yuccasuspend.Monitor)(nil).Check(); got != (yuccasuspend.Suspensions{}) {
		t.Errorf("no monitor: got %+v", got)
	}
}
