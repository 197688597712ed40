package yuccadispatch

import (
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// side is the state of one side.
type side struct {
	node    *yuccawire.Node
	leaving bool
	linked  bool
	// blockedUntil is the end of the backoff after a refusal that indicates that
	// the side cannot start tasks now.
	blockedUntil time.Time
	startsSent   uint32
	endpoints    map[string]*endpoint
	outstanding  map[*task]struct{}
}

// endpoint is one service at one side.
type endpoint struct {
	side      *side
	service   *service
	slots     int
	freeSlots int
	leaving   bool
	// joining is set until all entries know of this endpoint, so that whoever takes
	// a job over asks its side.
	joining bool
	health  health
}

// hasCapacity reports whether a task may be sent to the endpoint now.
func (ep *endpoint) hasCapacity(now time.Time) bool {
	return ep.freeSlots > 0 && ep.side.linked && !ep.leaving && !ep.side.leaving && !now.Before(ep.side.blockedUntil) && ep.allowsTask(now)
}

// hasLargerFreeShare reports whether a has a larger share of free slots than b.
func hasLargerFreeShare(a, b *endpoint) bool {
	return a.freeSlots*b.slots > b.freeSlots*a.slots
}

// updateMembers applies changes to the sides and entries.
func (d *Dispatcher) updateMembers(now time.Time, delta *yuccawire.MembersDelta) {
	if d.membersSince.IsZero() {
		d.membersSince = now
	}
	if delta.GetFull() {
		d.removeMissing(now, delta.GetChanged())
	}
	for _, name := range delta.GetRemoved() {
		d.removeMember(now, name)
	}
	for _, m := range delta.GetChanged() {
		switch m.GetNode().GetRole() {
		case yuccawire.Role_ROLE_SIDE:
			d.updateSide(now, m)
		case yuccawire.Role_ROLE_ENTRY:
			d.updateEntry(now, m)
		case yuccawire.Role_ROLE_CONTROL, yuccawire.Role_ROLE_UNSPECIFIED:
		}
	}
	d.rebuildTiers()
}

func (d *Dispatcher) removeMissing(now time.Time, present []*yuccawire.Member) {
	names := make(map[string]bool, len(present))
	for _, m := range present {
		names[m.GetNode().GetName()] = true
	}
	for name := range d.sides {
		if !names[name] {
			d.removeMember(now, name)
		}
	}
	for name := range d.entries {
		if !names[name] {
			d.removeMember(now, name)
		}
	}
}

func (d *Dispatcher) removeMember(now time.Time, name string) {
	if s := d.sides[name]; s != nil {
		delete(d.sides, name)
		d.handleSideLoss(now, s)
		d.emit(CloseLink{Name: name})
	}
	if d.entries[name] != nil {
		delete(d.entries, name)
		d.emit(CloseLink{Name: name})
		d.reclaimJobsOf(now, name)
	}
}

func (d *Dispatcher) updateSide(now time.Time, m *yuccawire.Member) {
	name := m.GetNode().GetName()
	s := d.sides[name]
	if s != nil && s.node.GetIncarnation() != m.GetNode().GetIncarnation() {
		d.removeMember(now, name)
		s = nil
	}
	if s == nil {
		s = &side{endpoints: make(map[string]*endpoint), outstanding: make(map[*task]struct{})}
		d.sides[name] = s
		d.lastSideJoin = now
		d.emit(OpenLink{Node: m.GetNode()})
	}
	s.node = m.GetNode()
	s.leaving = m.GetLeaving()
	s.updateEndpoints(d, m)
}

// updateEndpoints applies the targets of the side. What a former leader has told to
// all entries is joining again under the next one, and is used on.
func (s *side) updateEndpoints(d *Dispatcher, m *yuccawire.Member) {
	announced := make(map[string]bool, len(m.GetTargets()))
	for _, t := range m.GetTargets() {
		announced[t.GetService()] = true
		ep := s.endpoints[t.GetService()]
		if ep == nil {
			ep = &endpoint{side: s, service: d.service(t.GetService()), freeSlots: int(t.GetSlots()), joining: true}
			s.endpoints[t.GetService()] = ep
		}
		ep.slots = int(t.GetSlots())
		ep.leaving = t.GetLeaving()
		ep.joining = ep.joining && slices.Contains(m.GetJoining(), t.GetService())
	}
	for name, ep := range s.endpoints {
		if !announced[name] {
			ep.leaving, ep.joining = true, true
		}
	}
}

func (d *Dispatcher) updateEntry(now time.Time, m *yuccawire.Member) {
	name := m.GetNode().GetName()
	if name == d.options.Self.GetName() {
		return
	}
	e := d.entries[name]
	if e != nil && e.node.GetIncarnation() != m.GetNode().GetIncarnation() {
		d.removeMember(now, name)
		e = nil
	}
	if e == nil {
		d.entries[name] = &entry{node: m.GetNode()}
		d.emit(OpenLink{Node: m.GetNode()})
	}
}

// rebuildTiers groups the endpoints of each service by distance: the same data
// centre, the same region, all others. Endpoints in drained data centres are
// left out.
func (d *Dispatcher) rebuildTiers() {
	for _, sv := range d.services {
		sv.tiers = make([][]*endpoint, 3)
		sv.slots = 0
		sv.full = false
	}
	for _, s := range d.sides {
		for _, ep := range s.endpoints {
			if !d.isEligible(ep.service, ep) {
				continue
			}
			tier := d.tier(s.node.GetDataCentre())
			ep.service.tiers[tier] = append(ep.service.tiers[tier], ep)
			ep.service.slots += ep.slots
		}
	}
}

// isEligible reports whether the configuration and the side permit tasks of the
// service at the endpoint, regardless of its capacity.
func (d *Dispatcher) isEligible(sv *service, ep *endpoint) bool {
	dataCentre := ep.side.node.GetDataCentre()
	settings, known := d.view.Service(sv.name)
	return known && !ep.leaving && !ep.joining && !ep.side.leaving && !d.view.IsDrained(dataCentre) && settings.Allows(dataCentre)
}

func (d *Dispatcher) tier(dataCentre string) int {
	own := d.options.Self.GetDataCentre()
	dataCentres := d.view.Document().DataCentres
	switch {
	case dataCentre == own:
		return 0
	case dataCentres[dataCentre].Region == dataCentres[own].Region:
		return 1
	}
	return 2
}

// handleSideLoss retries or settles the tasks that were sent to a side that lost
// its lease or was replaced by a new incarnation.
func (d *Dispatcher) handleSideLoss(now time.Time, s *side) {
	for name := range s.endpoints {
		d.service(name).lastSideLoss = now
	}
	for t := range s.outstanding {
		d.metrics.Add("tasks_lost", 1)
		d.handleLostAnswer(now, t, "the side was lost")
	}
	for j := range d.unsettled {
		if j.state == gathering {
			d.handleGatherSideLoss(now, j, s.node.GetName())
		}
	}
}

// reclaimJobsOf claims the jobs owned by an entry that is gone.
func (d *Dispatcher) reclaimJobsOf(now time.Time, name string) {
	for j := range d.unsettled {
		if j.state == joined && j.owner.name == name {
			j.state = claiming
			d.sendClaim(now, j)
		}
	}
}

// HandleLinkUp processes the opening of a link to the named process. It queries
// the attempts that were sent on an earlier link, since their starts or answers
// may be lost.
func (d *Dispatcher) HandleLinkUp(now time.Time, name string) {
	if e := d.entries[name]; e != nil {
		e.linked = true
		d.resendJoins(now, name)
		return
	}
	s := d.sides[name]
	if s == nil {
		return
	}
	s.linked = true
	s.startsSent = 0
	for _, ep := range s.endpoints {
		ep.service.full = false
	}
	if len(s.outstanding) > 0 {
		query := &yuccawire.Query{}
		for t := range s.outstanding {
			query.Keys = append(query.Keys, t.key())
		}
		d.metrics.Add("attempts_queried", int64(len(query.GetKeys())))
		d.send(name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Query{Query: query}})
	}
	for j := range d.unsettled {
		if j.state == gathering {
			d.sendGather(j, name)
		}
	}
	d.placeAll(now)
}

// resendJoins repeats the queries to an entry after a new link to it is open.
func (d *Dispatcher) resendJoins(now time.Time, name string) {
	for j := range d.unsettled {
		if j.state == joined && j.owner.name == name {
			d.sendJoin(now, j)
		}
	}
}

// HandleLinkDown processes the loss of the link to the named process.
func (d *Dispatcher) HandleLinkDown(name string) {
	if e := d.entries[name]; e != nil {
		e.linked = false
	}
	if s := d.sides[name]; s != nil {
		s.linked = false
	}
}

// HandleGoodbye processes the goodbye of a side, which runs no tasks any more.
func (d *Dispatcher) HandleGoodbye(name string) {
	if s := d.sides[name]; s != nil {
		s.leaving = true
		d.rebuildTiers()
	}
}

// HandleLoad applies the free slots that a side reports.
func (d *Dispatcher) HandleLoad(now time.Time, name string, m *yuccawire.Load) {
	s := d.sides[name]
	if s == nil {
		return
	}
	if m.GetLeaving() != s.leaving {
		s.leaving = m.GetLeaving()
		d.rebuildTiers()
	}
	for _, load := range m.GetServices() {
		d.updateFreeSlots(s, load.GetService(), load.GetFreeSlots(), m.GetStartsSeen())
	}
	d.placeAll(now)
}

// updateFreeSlots sets the free slots of an endpoint as reported by its side, less
// the starts that the side had not received when it sent the report.
func (d *Dispatcher) updateFreeSlots(s *side, service string, freeSlots, startsSeen uint32) {
	if ep := s.endpoints[service]; ep != nil {
		ep.freeSlots = int(freeSlots) - max(int(int32(s.startsSent-startsSeen)), 0)
		if ep.service.full && ep.freeSlots > 0 {
			ep.service.freedEndpoints = append(ep.service.freedEndpoints, ep)
		}
	}
}
