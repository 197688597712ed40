package yuccademand

import "time"

// Status describes the table.
type Status struct {
	// Interval is the time between two exchanges.
	Interval time.Duration
	// Flows are those of [Table.Flows].
	Flows []Flow
	// Entries holds this entry and then the others, sorted by name.
	Entries []EntryStatus
}

// EntryStatus describes the newest known digest of an entry.
type EntryStatus struct {
	Entry, DataCentre     string
	Incarnation, Sequence uint64
	Age                   time.Duration
	// Weight is the share of the digest that counts, from 0 to 1.
	Weight float64
	// Queues is the number of rows, and Demand their sum.
	Queues int
	Demand Amount
}

// Status returns the flows, and the newest known digest of each entry.
func (t *Table) Status(now time.Time) Status {
	status := Status{Interval: t.Interval(now), Flows: t.Flows(now)}
	own := EntryStatus{
		Entry: t.options.Entry, DataCentre: t.options.DataCentre, Incarnation: t.options.Incarnation, Sequence: t.ownDigest.sequence,
		Weight: 1, Queues: len(t.own),
	}
	if !t.ownSetAt.IsZero() {
		own.Age = now.Sub(t.ownSetAt)
	}
	for _, r := range t.own {
		own.Demand.add(r.Amount, 1)
	}
	status.Entries = append(status.Entries, own)
	for _, d := range t.others {
		e := EntryStatus{
			Entry: d.entry, DataCentre: d.dataCentre, Incarnation: d.incarnation, Sequence: d.sequence,
			Age: d.age(now), Weight: d.weight(now), Queues: len(d.rows),
		}
		for _, r := range d.rows {
			e.Demand.add(amountOf(r), 1)
		}
		status.Entries = append(status.Entries, e)
	}
	return status
}
