package yuccademand

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaplacement"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Options describes this entry. Metrics is optional.
type Options struct {
	Entry       string
	Incarnation uint64
	DataCentre  string
	Metrics     *yuccametric.Set
}

// Table holds the demand of this entry and the newest digest of each other one. It is
// not safe for concurrent use.
type Table struct {
	options Options
	metrics *yuccametric.Set
	// own is the demand of this entry at ownSetAt.
	own      []Row
	ownSetAt time.Time
	// ownDigest is the latest digest of this entry, with sequence 0 until there is one.
	ownDigest *digest
	// others holds the digests of the other entries, sorted by entry.
	others []*digest
	// exchangedAt is when reports were last due.
	exchangedAt time.Time
}

// New returns an empty table.
func New(options Options) *Table {
	if options.Metrics == nil {
		options.Metrics = yuccametric.New(options.Entry)
	}
	own := &digest{
		version: version{incarnation: options.Incarnation}, entry: options.Entry, dataCentre: options.DataCentre, known: make(map[string]version),
	}
	return &Table{options: options, metrics: options.Metrics, ownDigest: own}
}

// SetOwn replaces the demand of this entry. There must be one row at most for each
// service and queue, and none without demand.
func (t *Table) SetOwn(now time.Time, rows []Row) {
	t.own, t.ownSetAt = slices.Clone(rows), now
}

// Merge adopts the digests of a report that are newer than those in the table.
func (t *Table) Merge(now time.Time, report *yuccawire.DemandReport) {
	for _, m := range report.GetEntries() {
		t.metrics.Add("demand_digests_received", 1)
		if !t.merge(now, m) {
			t.metrics.Add("demand_digests_ignored", 1)
		}
	}
}

// merge adopts a digest. It returns false if it is invalid, that of this entry, or not
// newer than that in the table.
func (t *Table) merge(now time.Time, m *yuccawire.Demand) bool {
	name := m.GetEntry()
	if name == "" || name == t.options.Entry || len(m.GetRows()) > maxRows+1 {
		return false
	}
	i, found := t.find(name)
	v := versionOf(now, m)
	if !found {
		if len(t.others) >= maxEntries {
			t.evictOldest()
			i, _ = t.find(name)
		}
		d := &digest{entry: name, known: make(map[string]version), rank: yuccaplacement.Weight(t.options.Entry, name)}
		t.others = slices.Insert(t.others, i, d)
	} else if v.compare(t.others[i].version) <= 0 {
		return false
	}
	d := t.others[i]
	d.version, d.dataCentre, d.rows, d.heardAt = v, m.GetDataCentre(), m.GetRows(), now
	return true
}

func versionOf(now time.Time, m *yuccawire.Demand) version {
	return version{
		incarnation: m.GetIncarnation(), sequence: m.GetSequence(), madeAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}

// find returns the index of the digest of an entry, or where it is to be inserted.
func (t *Table) find(entry string) (int, bool) {
	return slices.BinarySearchFunc(t.others, entry, func(d *digest, name string) int { return cmp.Compare(d.entry, name) })
}

// evictOldest removes the entry that was heard of longest ago.
func (t *Table) evictOldest() {
	oldest := slices.MinFunc(t.others, func(a, b *digest) int {
		return cmp.Or(a.heardAt.Compare(b.heardAt), cmp.Compare(a.entry, b.entry))
	})
	i, _ := t.find(oldest.entry)
	t.others = slices.Delete(t.others, i, i+1)
}

// MarkKnown records that a linked entry has the digests of a report that it has sent, so
// that they are not sent back. It has to be called after [Table.Merge].
func (t *Table) MarkKnown(now time.Time, peer string, report *yuccawire.DemandReport) {
	for _, m := range report.GetEntries() {
		if i, found := t.find(m.GetEntry()); found {
			t.others[i].markKnown(peer, versionOf(now, m))
		}
	}
}

// ForgetPeer records that a link to an entry is lost, and with it what was on its way:
// the entry is sent everything again once it is linked.
func (t *Table) ForgetPeer(peer string) {
	delete(t.ownDigest.known, peer)
	for _, d := range t.others {
		delete(d.known, peer)
	}
}

// Clear removes the digests of the other entries, whose age is unknown after the clock
// has stood still.
func (t *Table) Clear() { t.others = nil }

// Interval returns the time between two exchanges. It is short while tasks wait at any
// entry, and until the others know that none waits here any more.
func (t *Table) Interval(now time.Time) time.Duration {
	if t.ownDigest.hasWaiting() || slices.ContainsFunc(t.own, func(r Row) bool { return r.WaitingMilli > 0 }) ||
		slices.ContainsFunc(t.others, func(d *digest) bool { return d.weight(now) > 0 && d.hasWaiting() }) {
		return busyInterval
	}
	return idleInterval
}

// Due reports whether all linked entries are to be sent their reports now. It has to be
// called every few tens of milliseconds.
func (t *Table) Due(now time.Time) bool {
	if !t.exchangedAt.IsZero() && now.Sub(t.exchangedAt)+intervalSlack < t.Interval(now) {
		return false
	}
	t.exchangedAt = now
	t.renewOwn()
	t.others = slices.DeleteFunc(t.others, func(d *digest) bool { return now.Sub(d.heardAt) > retention })
	t.metrics.Gauge("demand_oldest_age_ms", t.oldestAge(now).Milliseconds())
	return true
}

// oldestAge returns the age of the oldest digest with demand that counts.
func (t *Table) oldestAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, d := range t.others {
		if d.weight(now) > 0 && len(d.rows) > 0 {
			oldest = max(oldest, d.age(now))
		}
	}
	return oldest
}
