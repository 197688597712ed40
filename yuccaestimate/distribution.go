package yuccaestimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// atHand are the percentiles of which a distribution keeps the values.
var atHand = []float64{Quartile, Median, UpperQuartile, StoppedFrom, Tail}

// distribution holds the ratios of one to two halves of the observation period: those
// of the last half and of the current one in window, those of the current one also in
// current, which becomes the window when the next half begins.
type distribution struct {
	window    *hdrhistogram.Histogram
	current   *hdrhistogram.Histogram
	halfStart time.Time
	// values are the ratios at the percentiles atHand, computed from valuesOf runs.
	values   []int64
	valuesOf int64
}

func newDistribution(now time.Time) *distribution {
	return &distribution{window: newHistogram(), current: newHistogram(), halfStart: now}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio*ratioUnits, significantDigits)
}

// record adds a ratio. It can't fail, as ratios are limited to the range of the
// histograms.
func (d *distribution) record(now time.Time, half time.Duration, ratio float64) {
	d.rotate(now, half)
	units := int64(min(max(ratio, minRatio), maxRatio) * ratioUnits)
	_ = d.window.RecordValue(units)
	_ = d.current.RecordValue(units)
}

// rotate drops the older half once the current one is over, and both after a pause.
func (d *distribution) rotate(now time.Time, half time.Duration) {
	age := now.Sub(d.halfStart)
	if age < half {
		return
	}
	d.window, d.current = d.current, d.window
	d.current.Reset()
	if age >= 2*half {
		d.window.Reset()
	}
	d.halfStart = now
	d.valuesOf = 0
}

// runs returns the number of runs in the window.
func (d *distribution) runs() int {
	if d == nil {
		return 0
	}
	return int(d.window.TotalCount())
}

// ratio returns the ratio at a percentile.
func (d *distribution) ratio(percentile float64) float64 {
	for i, p := range atHand {
		if p == percentile {
			d.refresh()
			return float64(d.values[i]) / ratioUnits
		}
	}
	return float64(d.window.ValueAtPercentile(percentile)) / ratioUnits
}

func (d *distribution) refresh() {
	runs := d.window.TotalCount()
	if d.valuesOf == 0 || runs-d.valuesOf > d.valuesOf/refreshDivisor {
		d.values = d.window.ValueAtPercentilesSlice(atHand)
		d.valuesOf = runs
	}
}
