package yuccasuspend

import (
	"sync"
	"time"
)

// Suspensions are those of the machine that a [Monitor] has noticed.
type Suspensions struct {
	Count int
	Total time.Duration
}

// Monitor notices suspensions for several goroutines. They compare counts to find out
// which of them knows of the latest suspension. A nil Monitor notices none.
type Monitor struct {
	total   func() time.Duration
	mu      sync.Mutex
	watch   watch
	noticed Suspensions
}

// NewMonitor returns a monitor that ignores suspensions before the call.
func NewMonitor() *Monitor { return NewMonitorOf(totalSuspended) }

// NewMonitorOf is NewMonitor for a source of the time that the machine was suspended
// in total.
func NewMonitorOf(total func() time.Duration) *Monitor {
	return &Monitor{total: total, watch: watch{lastTotal: total()}}
}

// Check returns the suspensions up to now.
func (m *Monitor) Check() Suspensions {
	if m == nil {
		return Suspensions{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if suspended := m.watch.advance(m.total()); suspended > 0 {
		m.noticed.Count++
		m.noticed.Total += suspended
	}
	return m.noticed
}
