// Package yuccademand holds what is known of the demand at all entries: what waits and
// runs there, by queue and data centre.
//
// Each entry makes digests of its own demand and sends them to the entries that it is
// linked to, which forward them. A [Table] holds the newest digest of each entry. The
// weight of a digest decreases with its age, so that the demand of a silent entry no
// longer counts within 2 s.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	table := yuccademand.New(yuccademand.Options{...})
//	table.SetOwn(now, rows)
//	table.Merge(now, received)
//	table.MarkKnown(now, peer, received)
//	if table.Due(now) {
//		for _, peer := range peers {
//			send(peer, table.ReportFor(now, peer))
//		}
//	}
//	flows := table.Flows(now)
package yuccademand

import "time"

const (
	// fullWeightAge is the age up to which a digest counts fully, maxAge that from which
	// on it does not count. The weight decreases linearly in between. A digest over four
	// hops is a second old, and the share of a silent entry is to return within 2 s.
	fullWeightAge = 500 * time.Millisecond
	maxAge        = 2 * time.Second
	// busyInterval is the time between two exchanges while tasks wait at any entry,
	// idleInterval that while none does.
	busyInterval = 200 * time.Millisecond
	idleInterval = time.Second
	// intervalSlack is half of the tick of an entry, so that an exchange is not delayed
	// by a tick.
	intervalSlack = 10 * time.Millisecond
	// maxRows is the number of rows of a digest, without the row of the remaining queues.
	maxRows = 32
	// maxForwarded is the number of digests of other entries in a report.
	maxForwarded = 16
	// forwardInterval is the least difference in age at which a peer is sent another digest
	// of an entry that has demand. Most peers get them from others as well: with 40 entries, four in five of the
	// digests received were known when there was no such limit.
	forwardInterval = 300 * time.Millisecond
	// gainStep is the difference in age between digests for one of them to be forwarded
	// before the other. With 220 entries at which tasks wait, a strict order by age let
	// entries forward the same digests at the same time: 0.94 of the demand counted, with
	// steps 0.97.
	gainStep = 250 * time.Millisecond
	// fullMeshEntries is the number of other entries up to which all entries are linked
	// with each other, see package yuccatopology. Digests are then forwarded only in case
	// a link is missing, every meshForwardInterval.
	fullMeshEntries     = 16
	meshForwardInterval = time.Second
	// maxEntries limits the number of digests in the table.
	maxEntries = 1024
	// retention is how long a digest is kept after its last renewal. An entry that
	// returns with an earlier incarnation, after its clock was set back, counts again
	// after that time.
	retention = time.Minute
	// milli is the number of thousandths in one.
	milli = 1000
)
