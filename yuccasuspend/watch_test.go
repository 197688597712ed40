package yuccasuspend

import (
	"testing"
	"time"
)

// machine has the two clocks, and stands still once, before a reading.
type machine struct {
	monotonic, boot  time.Duration
	readings         int
	standsStillAt    int
	standsStillUntil time.Duration
}

func (m *machine) pass(d time.Duration) { m.monotonic, m.boot = m.monotonic+d, m.boot+d }

func (m *machine) countReading() {
	m.readings++
	if m.readings == m.standsStillAt {
		m.pass(m.standsStillUntil - m.monotonic)
	}
	m.pass(time.Microsecond)
}

func (m *machine) readMonotonic() time.Duration { m.countReading(); return m.monotonic }

func (m *machine) readBoot() time.Duration { m.countReading(); return m.boot }

func TestStandstillBetweenReadingsHidesALaterSuspension(t *testing.T) {
	for reading := 1; reading <= 4; reading++ {
		m := &machine{boot: time.Hour, standsStillAt: reading, standsStillUntil: 3 * time.Second}
		w := &watch{lastTotal: time.Hour}
		if got := w.advance(measureSuspended(m.readMonotonic, m.readBoot)); got != 0 {
			t.Errorf("standstill before reading %d: got a suspension of %v, want none", reading, got)
		}
		m.boot += 2 * time.Second
		if got := w.advance(measureSuspended(m.readMonotonic, m.readBoot)); got.Round(time.Millisecond) != 2*time.Second {
			t.Errorf("suspended after a standstill before reading %d: got %v, want 2s", reading, got)
		}
	}
}
