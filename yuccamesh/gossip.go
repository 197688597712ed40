package yuccamesh

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// firstRoster returns the first message of a new link: the full roster and, for
// another entry, the versions of the configuration sections. The caller must hold
// m.mu.
func (m *Mesh) firstRoster(now time.Time, p *Peer) *yuccawire.Envelope {
	roster := m.roster.ToWire(now)
	p.rosterVersion = m.roster.Version()
	if !p.isEntry() || m.options.Self.GetRole() != yuccawire.Role_ROLE_ENTRY {
		return rosterEnvelope(roster)
	}
	roster.WantSections = true
	roster.Versions = m.sectionVersions()
	return rosterEnvelope(roster)
}

func (m *Mesh) sectionVersions() []*yuccawire.SectionVersion {
	var versions []*yuccawire.SectionVersion
	for _, s := range m.sections() {
		versions = append(versions, &yuccawire.SectionVersion{Name: s.GetName(), Version: s.GetVersion()})
	}
	return versions
}

// sections returns the configuration sections of this process.
func (m *Mesh) sections() []*yuccawire.Section {
	if m.options.Sections == nil {
		return nil
	}
	return m.options.Sections()
}

func rosterEnvelope(roster *yuccawire.Roster) *yuccawire.Envelope {
	return &yuccawire.Envelope{Body: &yuccawire.Envelope_Roster{Roster: roster}}
}

func (m *Mesh) receiveRoster(now time.Time, p *Peer, roster *yuccawire.Roster) {
	m.mu.Lock()
	before := m.roster.Version()
	m.roster.RecordContact(now, p.node)
	invalid := m.roster.Merge(now, roster)
	if p.rosterVersion == before {
		// The peer need not be told what it has just said.
		p.rosterVersion = m.roster.Version()
	}
	changed := m.roster.Version() != before
	m.mu.Unlock()
	if invalid > 0 {
		m.options.Metrics.Add("mesh_members_invalid", int64(invalid))
		m.options.Logger.Warn("invalid members in a roster ignored", "peer", p.node.GetName(), "members", invalid)
	}
	if changed {
		m.wakeUp()
	}
	switch {
	case roster.GetWantSections():
		m.sendNewerSections(p, roster.GetVersions())
	case len(roster.GetVersions()) > 0:
		m.requestNewerSections(now, p, roster.GetVersions())
	}
	if len(roster.GetSections()) > 0 {
		m.emit(ReceivedSections{Sections: roster.GetSections()})
	}
}

// sendNewerSections sends an entry the configuration sections that it lacks.
func (m *Mesh) sendNewerSections(p *Peer, known []*yuccawire.SectionVersion) {
	versions := make(map[string]uint64, len(known))
	for _, v := range known {
		versions[v.GetName()] = v.GetVersion()
	}
	newer := slices.DeleteFunc(m.sections(), func(s *yuccawire.Section) bool { return s.GetVersion() <= versions[s.GetName()] })
	if len(newer) > 0 {
		p.Send(rosterEnvelope(&yuccawire.Roster{Sections: newer}))
	}
}

// AnnounceSections tells all linked entries the versions of the sections of this
// process. Those that lack one request it from the first entry that announces it.
func (m *Mesh) AnnounceSections() {
	announcement := rosterEnvelope(&yuccawire.Roster{Versions: m.sectionVersions()})
	for _, p := range m.peerList() {
		if p.isEntry() {
			p.Send(announcement)
		}
	}
}

// requestNewerSections requests the sections of an entry that has announced newer
// versions, unless another one was asked for them just now.
func (m *Mesh) requestNewerSections(now time.Time, p *Peer, announced []*yuccawire.SectionVersion) {
	own := m.sectionVersions()
	versions := make(map[string]uint64, len(own))
	for _, v := range own {
		versions[v.GetName()] = v.GetVersion()
	}
	m.mu.Lock()
	isNew := false
	for _, v := range announced {
		r := m.requested[v.GetName()]
		if v.GetVersion() > versions[v.GetName()] && (v.GetVersion() > r.version || now.Sub(r.at) > sectionRequestTimeout) {
			m.requested[v.GetName()] = sectionRequest{version: v.GetVersion(), at: now}
			isNew = true
		}
	}
	m.mu.Unlock()
	if isNew {
		p.Send(rosterEnvelope(&yuccawire.Roster{WantSections: true, Versions: own}))
	}
}

// sectionRequest is the latest request for a section.
type sectionRequest struct {
	version uint64
	at      time.Time
}

// receiveHeartbeat adopts the interval of the peer, and sends the roster if the
// peer wants it.
func (m *Mesh) receiveHeartbeat(now time.Time, p *Peer, h *yuccawire.Heartbeat) {
	interval := time.Duration(h.GetIntervalMs()) * time.Millisecond
	p.heartbeatInterval.Store(int64(min(max(interval, minHeartbeatInterval), maxHeartbeatInterval)))
	m.mu.Lock()
	m.roster.RecordContact(now, p.node)
	var roster *yuccawire.Roster
	if h.GetWantRoster() {
		roster = m.roster.ToWire(now)
		p.rosterVersion = m.roster.Version()
	}
	m.mu.Unlock()
	if roster != nil {
		p.Send(rosterEnvelope(roster))
	}
}

// heartbeatInterval returns the longest time that this process leaves a link idle.
// A side has few links, but an entry of a large deployment has many sides, so the
// number of known entries counts as well. The caller must hold m.mu.
func (m *Mesh) heartbeatInterval() time.Duration {
	size := max(len(m.peers), m.roster.Len())
	return min(max(time.Duration(size)*heartbeatPerLink, minHeartbeatInterval), maxHeartbeatInterval)
}

// maintainLinks closes silent links, records the contact with the others, sends a heartbeat
// on the idle ones, and tells peers of changed members.
func (m *Mesh) maintainLinks(now time.Time) {
	m.mu.Lock()
	interval := m.heartbeatInterval()
	version := m.roster.Version()
	m.mu.Unlock()
	sinceStart := now.Sub(m.startedAt)
	for _, p := range m.peerList() {
		silent := p.silence(sinceStart)
		if silent > p.maxSilence() {
			m.options.Metrics.Add("mesh_links_silent", 1)
			m.options.Logger.Warn("closing silent link", "peer", p.node.GetName(), "silent_ms", silent.Milliseconds())
			m.disconnect(p)
			continue
		}
		// A link that is never idle gets no heartbeats.
		m.mu.Lock()
		m.roster.RecordContact(now.Add(-silent), p.node)
		m.mu.Unlock()
		m.sendChanges(now, p, version)
		m.sendHeartbeat(sinceStart, p, interval)
	}
}

// sendChanges sends the members that have changed since the last roster to the
// peer.
func (m *Mesh) sendChanges(now time.Time, p *Peer, version uint64) {
	m.mu.Lock()
	if p.rosterVersion >= version {
		m.mu.Unlock()
		return
	}
	roster := m.roster.Changes(now, p.rosterVersion)
	p.rosterVersion = m.roster.Version()
	m.mu.Unlock()
	if len(roster.GetMembers()) > 0 {
		p.Send(rosterEnvelope(roster))
	}
}

// sendHeartbeat sends a heartbeat if the link would otherwise be idle for longer
// than the interval, or if the interval has changed.
func (m *Mesh) sendHeartbeat(sinceStart time.Duration, p *Peer, interval time.Duration) {
	idle := sinceStart-time.Duration(p.lastSent.Load()) > interval-tickInterval
	m.mu.Lock()
	changed := p.announcedInterval != interval
	p.announcedInterval = interval
	m.mu.Unlock()
	if idle || changed {
		p.Send(heartbeatEnvelope(&yuccawire.Heartbeat{IntervalMs: uint32(interval.Milliseconds())}))
	}
}

func heartbeatEnvelope(h *yuccawire.Heartbeat) *yuccawire.Envelope {
	return &yuccawire.Envelope{Body: &yuccawire.Envelope_Heartbeat{Heartbeat: h}}
}

// syncInterval returns the time between two requests for a full roster.
func (m *Mesh) syncInterval() time.Duration {
	if m.options.Self.GetRole() == yuccawire.Role_ROLE_ENTRY {
		return entrySyncInterval
	}
	return sideSyncInterval
}

// firstSyncDelay returns the time before the first request for a full roster. It
// differs between processes that start at the same time.
func (m *Mesh) firstSyncDelay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(m.options.Self.GetName()))
	interval := m.syncInterval()
	return interval/2 + time.Duration(h.Sum32())%interval/2
}

// syncRoster requests the full roster of the next linked entry, by name.
func (m *Mesh) syncRoster() {
	entries := slices.DeleteFunc(m.peerList(), func(p *Peer) bool { return !p.isEntry() })
	if len(entries) == 0 {
		return
	}
	slices.SortFunc(entries, func(a, b *Peer) int { return cmp.Compare(a.node.GetName(), b.node.GetName()) })
	m.syncCount++
	m.mu.Lock()
	interval := m.heartbeatInterval()
	m.mu.Unlock()
	entries[m.syncCount%len(entries)].Send(heartbeatEnvelope(&yuccawire.Heartbeat{IntervalMs: uint32(interval.Milliseconds()), WantRoster: true}))
}
