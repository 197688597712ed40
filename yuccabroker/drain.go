package yuccabroker

import "github.com/yuccaturn/yuccaturn/yuccawire"

// SetDrained replaces the set of drained data centres, which get no new runs. Their sides have to
// refuse those that wait there, which may be told by an entry that did not order them.
func (b *Broker) SetDrained(version uint64, dataCentres []string) {
	clear(b.drained)
	for _, name := range dataCentres {
		b.drained[name] = true
	}
	b.needsPlacement = true
	if version <= b.drainedVersion {
		return
	}
	b.drainedVersion = version
	for _, s := range b.sideList {
		if s.linked {
			b.sendDrained(s)
		}
	}
}

// sendDrained tells a side whether its data centre is drained, unless none ever was.
func (b *Broker) sendDrained(s *side) {
	if b.drainedVersion == 0 {
		return
	}
	beat := &yuccawire.Beat{DrainedVersion: b.drainedVersion, Drained: b.drained[s.DataCentre]}
	b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Beat{Beat: beat}})
}
