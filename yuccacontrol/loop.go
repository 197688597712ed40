package yuccacontrol

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaask"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaregistry"
	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func (c *Control) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.connectPeers(ctx)
	c.advance(time.Now())
	c.tellRecovered()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.watch()
			c.connectPeers(ctx)
			c.tick(time.Now())
		case e := <-c.events:
			c.watch()
			c.handleAll(e)
		case s := <-c.disk.done:
			c.finishSync(time.Now(), s)
		}
		c.advance(time.Now())
		if c.diskErr != nil {
			return c.fatal(c.diskErr)
		}
	}
}

// tellRecovered shows what the disk holds as committed.
func (c *Control) tellRecovered() {
	if c.options.Recovered == nil {
		return
	}
	var all []*yuccawire.SectionVersion
	for _, name := range yuccadocument.WholeSections {
		all = append(all, &yuccawire.SectionVersion{Name: name})
	}
	if sections := c.state.NewerSections(all); len(sections) > 0 {
		c.options.Recovered(sections)
	}
}

// watch gives the leadership up after the machine has stood still: others may
// lead by now, and the clock of the leader's lease did not count.
func (c *Control) watch() {
	if c.options.Watch == nil {
		return
	}
	if stood := c.options.Watch.Stood(); stood > 0 && c.core != nil {
		c.options.Logger.Warn("the machine was suspended, giving up any leadership", "stood_ms", stood.Milliseconds())
		c.core.StepDown(time.Now())
	}
}

// handleAll handles the event and those that wait behind it, so that they
// share one sync.
func (c *Control) handleAll(e event) {
	c.handle(time.Now(), e)
	for range min(len(c.events), maxBatchedEvents) {
		c.handle(time.Now(), <-c.events)
	}
}

func (c *Control) handle(now time.Time, e event) {
	switch e := e.(type) {
	case received:
		c.receive(now, e.from, e.message)
	case closed:
		c.dropSession(e.from.session)
	case change:
		c.propose(now, e)
	case yuccaask.Question[*Control]:
		e.Answer(c)
	}
}

func (c *Control) receive(now time.Time, from *conn, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Replica:
		c.receiveReplica(now, from, body.Replica)
	case *yuccawire.Envelope_Renew:
		c.renew(now, from, body.Renew)
	case *yuccawire.Envelope_ClaimBatch:
		c.takeClaims(from, body.ClaimBatch)
	}
}

func (c *Control) tick(now time.Time) {
	if c.ungrouped() {
		c.probe(now)
	}
	if c.core == nil {
		return
	}
	c.core.Tick(now)
	if !c.core.IsLeader() {
		return
	}
	c.expireMembers(now)
	c.expireClaims(now)
	c.promote(now)
	if !now.Before(c.pushAt) {
		c.pushAt = now.Add(pushInterval)
		c.pushMembers(now)
	}
}

// ungrouped tells whether this replica knows of no group, or of nobody in it yet.
func (c *Control) ungrouped() bool {
	if c.core == nil {
		return true
	}
	if c.core.Leader() != 0 {
		c.leaderSeen = time.Now()
		return false
	}
	if c.options.Discover != nil && time.Since(c.leaderSeen) > lonelyTimeout {
		return true
	}
	return len(c.core.Replicas().GetVoters()) == 0
}

// advance carries out what the core has decided.
func (c *Control) advance(now time.Time) {
	if c.core == nil {
		return
	}
	c.noticeLeadership(now)
	c.flushClaims(now)
	for ready := c.core.Ready(now); !ready.IsEmpty(); ready = c.core.Ready(now) {
		c.carryOut(now, ready)
	}
	c.noticeLeadership(now)
	c.compact()
	if group := c.writes.next(); group != nil {
		c.disk.groups <- group
	}
}

func (c *Control) carryOut(now time.Time, ready yuccareplica.Ready) {
	if ready.Snapshot != nil {
		c.restore(ready.Snapshot)
	}
	if ready.MustSync() {
		c.writes.add(batch{
			frame:   &yuccawire.DiskFrame{Snapshot: ready.Snapshot, HardState: c.hardStateFor(ready), Entries: ready.Entries},
			replace: ready.Snapshot != nil,
			after:   ready.AfterSync,
			mark:    ready.SyncMark(),
		})
	} else {
		c.sendReplicas(ready.AfterSync)
	}
	c.sendReplicas(ready.Immediate)
	for _, e := range ready.Committed {
		c.apply(now, e)
	}
}

// hardStateFor keeps the hard state beside each snapshot, since a new log
// begins with it.
func (c *Control) hardStateFor(ready yuccareplica.Ready) *yuccawire.HardState {
	if ready.HardState == nil && ready.Snapshot != nil {
		return c.core.HardState()
	}
	return ready.HardState
}

func (c *Control) finishSync(now time.Time, s synced) {
	c.writes.writing = false
	if s.err != nil {
		c.diskErr = s.err
		return
	}
	c.metrics.Add("syncs", 1)
	for _, b := range s.batches {
		c.core.Synced(now, b.mark)
		c.sendReplicas(b.after)
	}
}

func (c *Control) restore(snapshot *yuccawire.InstallSnapshot) {
	state, err := yuccastate.Decode(snapshot.GetState())
	if err != nil {
		c.diskErr = err
		return
	}
	c.state = state
	c.metrics.Add("snapshots_installed", 1)
}

func (c *Control) apply(now time.Time, e *yuccawire.Entry) {
	result, err := c.state.Apply(e.GetCommand())
	if err != nil {
		c.diskErr = err
		return
	}
	c.metrics.Add("entries_applied", 1)
	if w, ok := c.waiters[e.GetIndex()]; ok {
		delete(c.waiters, e.GetIndex())
		if w.term == e.GetTerm() {
			w.done(result, nil)
		} else {
			w.done(yuccastate.Result{}, ErrUnknownOutcome)
		}
	}
	if c.core.IsLeader() && (result.Change != nil || len(result.Claims) == 0) {
		c.pushSections(now)
	}
}

// noticeLeadership starts a registry for each term that this replica leads,
// and ends what a lost leadership leaves open.
func (c *Control) noticeLeadership(now time.Time) {
	switch {
	case c.core.IsLeader() && c.led != c.core.Term():
		c.led = c.core.Term()
		c.registry = yuccaregistry.New(c.led, now, c.core.IsFirstLeader())
		c.metrics.Add("leaderships", 1)
		c.options.Logger.Info("leads", "term", c.led)
	case !c.core.IsLeader() && c.led != 0:
		c.options.Logger.Info("no longer leads", "term", c.led)
		c.led = 0
		c.registry = nil
		c.endLeadership()
	}
}

func (c *Control) endLeadership() {
	for index, w := range c.waiters {
		delete(c.waiters, index)
		w.done(yuccastate.Result{}, ErrUnknownOutcome)
	}
	c.claims = nil
	for s := range c.sessions {
		s.sendGoodbye()
		c.dropSession(s)
	}
}

// leads tells whether this replica may answer reads and grant leases now.
func (c *Control) leads(now time.Time) bool {
	return c.core != nil && c.led != 0 && c.core.LeaseValid(now) && c.core.HasAppliedOwnTerm()
}

// compact replaces a long log by a snapshot of the state.
func (c *Control) compact() {
	if c.core.LogEntries() < c.options.CompactEntries {
		return
	}
	text, err := c.state.Encode()
	if err != nil {
		c.diskErr = err
		return
	}
	snapshot := c.core.Compact(c.core.Commit(), text)
	if snapshot == nil {
		return
	}
	c.metrics.Add("snapshots_written", 1)
	frame := &yuccawire.DiskFrame{Snapshot: snapshot, HardState: c.core.HardState(), Entries: c.core.Entries()}
	c.writes.add(batch{frame: frame, replace: true})
}
