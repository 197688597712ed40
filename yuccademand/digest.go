package yuccademand

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// version identifies a digest of an entry.
type version struct {
	incarnation, sequence uint64
	// madeAt is when the digest was made, by the clock of this entry.
	madeAt time.Time
}

func (v version) compare(other version) int {
	return cmp.Or(cmp.Compare(v.incarnation, other.incarnation), cmp.Compare(v.sequence, other.sequence))
}

// digest is the newest known digest of an entry.
type digest struct {
	version
	entry      string
	dataCentre string
	// heardAt is when it was received.
	heardAt time.Time
	// rows are shared with messages and never changed.
	rows []*yuccawire.DemandRow
	// known holds the newest version that each peer is known to have.
	known map[string]version
	// rank is a hash of the names of both entries.
	rank uint64
}

func (d *digest) age(now time.Time) time.Duration { return max(now.Sub(d.madeAt), 0) }

// weight returns the share of the digest that counts, by its age.
func (d *digest) weight(now time.Time) float64 {
	age := d.age(now)
	return min(max(float64(maxAge-age)/float64(maxAge-fullWeightAge), 0), 1)
}

// isKnownTo reports whether a peer has this digest or a newer one.
func (d *digest) isKnownTo(peer string) bool {
	v, known := d.known[peer]
	return known && v.compare(d.version) >= 0
}

func (d *digest) markKnown(peer string, v version) {
	if known, ok := d.known[peer]; !ok || v.compare(known) > 0 {
		d.known[peer] = v
	}
}

// hasWaiting reports whether tasks wait at the entry.
func (d *digest) hasWaiting() bool {
	return slices.ContainsFunc(d.rows, func(r *yuccawire.DemandRow) bool { return r.GetWaitingCpuMilli() > 0 })
}

func (d *digest) toWire(now time.Time) *yuccawire.Demand {
	return &yuccawire.Demand{
		Entry: d.entry, Incarnation: d.incarnation, Sequence: d.sequence, DataCentre: d.dataCentre,
		AgeMs: saturate(float64(d.age(now).Milliseconds())), Rows: d.rows,
	}
}

// encodeRows returns the rows of a digest: those with the most work, and one without a
// queue with the sum of the others.
func encodeRows(rows []Row) []*yuccawire.DemandRow {
	if len(rows) > maxRows {
		sorted := slices.SortedFunc(slices.Values(rows), compareByWork)
		var rest Row
		for _, r := range sorted[maxRows:] {
			rest.add(r.Amount, 1)
			rest.Oldest = max(rest.Oldest, r.Oldest)
		}
		rows = append(sorted[:maxRows:maxRows], rest)
	}
	encoded := make([]*yuccawire.DemandRow, 0, len(rows))
	for _, r := range rows {
		encoded = append(encoded, &yuccawire.DemandRow{
			Service: r.Service, Queue: r.Queue,
			WaitingCpuMilli: saturate(r.WaitingMilli), RunningCpuMilli: saturate(r.RunningMilli),
			WaitingWorkMs: saturate(r.WaitingWork * milli), OldestMs: saturate(float64(r.Oldest.Milliseconds())),
		})
	}
	return encoded
}

// saturate rounds a value to the nearest one that fits into a field.
func saturate(value float64) uint32 {
	return uint32(math.Round(min(max(value, 0), math.MaxUint32)))
}
