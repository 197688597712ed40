package yuccademand

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaplacement"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// renewOwn makes a new digest of this entry if its demand was set since the last one. An
// entry without demand keeps its digest.
func (t *Table) renewOwn() {
	own := t.ownDigest
	if !t.ownSetAt.After(own.madeAt) || own.sequence > 0 && len(t.own)+len(own.rows) == 0 {
		return
	}
	own.sequence++
	own.madeAt = t.ownSetAt
	own.rows = encodeRows(t.own)
}

// ReportFor returns the digests that a linked entry is not known to have, or nil if there
// is none: that of this entry, and those of others that are newest compared with what the
// peer has. The digests count as known to the peer from then on.
func (t *Table) ReportFor(now time.Time, peer string) *yuccawire.DemandReport {
	t.renewOwn()
	digests := t.forwardable(now, peer)
	if t.ownDigest.sequence > 0 && !t.ownDigest.isKnownTo(peer) {
		digests = append(digests, t.ownDigest)
	}
	if len(digests) == 0 {
		return nil
	}
	report := &yuccawire.DemandReport{}
	for _, d := range digests {
		d.markKnown(peer, d.version)
		report.Entries = append(report.Entries, d.toWire(now))
	}
	t.metrics.Add("demand_messages_sent", 1)
	t.metrics.Add("demand_digests_sent", int64(len(digests)))
	return report
}

// forwardable returns the digests of other entries for a peer: at most maxForwarded, those
// first that make the greatest difference in age.
func (t *Table) forwardable(now time.Time, peer string) []*digest {
	interval := forwardInterval
	if len(t.others) <= fullMeshEntries {
		interval = meshForwardInterval
	}
	link := yuccaplacement.Weight(t.options.Entry, peer)
	var candidates []candidate
	for _, d := range t.others {
		if d.entry == peer || d.weight(now) == 0 {
			continue
		}
		known, isKnown := d.known[peer]
		if isKnown && (known.compare(d.version) >= 0 || d.madeAt.Sub(known.madeAt) < interval && len(d.rows) > 0) {
			continue
		}
		// What no longer counts is as good as nothing.
		gain := min(d.madeAt.Sub(known.madeAt), d.madeAt.Sub(now.Add(-maxAge)))
		candidates = append(candidates, candidate{digest: d, gain: gain / gainStep, order: (d.rank ^ link) * (2*d.sequence + 1)})
	}
	if len(candidates) > maxForwarded {
		slices.SortFunc(candidates, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.order, b.order), cmp.Compare(a.entry, b.entry))
		})
		candidates = candidates[:maxForwarded]
	}
	digests := make([]*digest, 0, len(candidates)+1)
	for _, c := range candidates {
		digests = append(digests, c.digest)
	}
	return digests
}

// candidate is a digest to forward. gain is by how much it is newer than what the peer is
// known to have, in steps of gainStep.
type candidate struct {
	*digest
	gain time.Duration
	// order is the order among those of equal gain. It differs between links and between
	// digests of an entry, so that a peer gets different ones first from its links.
	order uint64
}
