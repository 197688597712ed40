package yuccacontrol

import (
	"context"
	"math"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccaregistry"
	"github.com/yuccaturn/yuccaturn/yuccareplica"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func (c *Control) loop(ctx context.Context) error {
	defer c.lifetime.End()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.updatePeers(ctx)
	c.advance(time.Now())
	c.reportRecovered()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.checkSuspension()
			c.updatePeers(ctx)
			c.tick(time.Now())
		case e := <-c.events:
			c.checkSuspension()
			c.handleBatch(e)
		case result := <-c.disk.results:
			c.finishSync(time.Now(), result)
		}
		c.advance(time.Now())
		if c.diskErr != nil {
			return c.fatalError(c.diskErr)
		}
	}
}

// reportRecovered passes the sections restored from the disk to OnRecovered.
func (c *Control) reportRecovered() {
	if c.options.OnRecovered == nil {
		return
	}
	var versions []*yuccawire.SectionVersion
	for _, name := range yuccadocument.WholeDocumentSections {
		versions = append(versions, &yuccawire.SectionVersion{Name: name})
	}
	if sections := c.state.NewerSections(versions); len(sections) > 0 {
		c.options.OnRecovered(sections)
	}
}

// checkSuspension steps down after the machine was suspended. The monotonic clock
// of the leader's lease stops during suspension, so another replica may have
// become leader.
func (c *Control) checkSuspension() {
	suspensions := c.options.Suspensions.Check()
	if suspensions.Count == c.suspensions.Count {
		return
	}
	suspendedFor := suspensions.Total - c.suspensions.Total
	c.suspensions = suspensions
	if c.core != nil {
		c.options.Logger.Warn("machine was suspended, stepping down", "stood_ms", suspendedFor.Milliseconds())
		c.core.StepDown(time.Now())
	}
}

// handleBatch handles the event and the events queued behind it, at most
// maxBatchedEvents, so that their log entries share one sync.
func (c *Control) handleBatch(e event) {
	c.handleEvent(time.Now(), e)
	for range min(len(c.events), maxBatchedEvents) {
		c.handleEvent(time.Now(), <-c.events)
	}
}

func (c *Control) handleEvent(now time.Time, e event) {
	switch e := e.(type) {
	case linkMessage:
		c.handleMessage(now, e.from, e.message)
	case linkClosed:
		c.dropSession(e.from.session)
	case changeRequest:
		c.propose(now, e)
	case yuccaquery.Query[*Control]:
		e.Run(c)
	}
}

func (c *Control) handleMessage(now time.Time, from *conn, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Replica:
		c.handleReplicaMessage(now, from, body.Replica)
	case *yuccawire.Envelope_Renew:
		c.renew(now, from, body.Renew)
	case *yuccawire.Envelope_ClaimBatch:
		c.queueClaims(from, body.ClaimBatch)
	case *yuccawire.Envelope_Proposal:
		c.handleProposal(now, from, body.Proposal)
	}
}

func (c *Control) tick(now time.Time) {
	if c.shouldProbe() {
		c.probe(now)
	}
	if c.core == nil {
		return
	}
	c.core.Tick(now)
	if !c.core.IsLeader() {
		return
	}
	c.checkLags(now)
	c.expireMembers(now)
	c.expireClaims(now)
	c.balanceVoters(now)
	if !now.Before(c.nextPush) {
		c.nextPush = now.Add(pushInterval)
		c.pushMembers(now)
	}
}

// shouldProbe reports whether this replica should probe for a group: it belongs
// to none, has no configuration yet, or has discovered replicas and no leader
// for leaderlessTimeout.
func (c *Control) shouldProbe() bool {
	if c.core == nil {
		return true
	}
	if c.core.Leader() != 0 {
		c.leaderLastSeen = time.Now()
		return false
	}
	if c.options.Discover != nil && time.Since(c.leaderLastSeen) > leaderlessTimeout {
		return true
	}
	return len(c.core.Replicas().GetVoters()) == 0
}

// advance proposes the queued claims, processes the output of the core until there
// is none, and starts the next disk write.
func (c *Control) advance(now time.Time) {
	if c.core == nil {
		return
	}
	c.updateLeadership(now)
	c.flushClaims(now)
	for ready := c.core.Ready(now); !ready.IsEmpty(); ready = c.core.Ready(now) {
		c.processReady(now, ready)
	}
	c.updateLeadership(now)
	c.compact()
	if batches := c.writes.next(); batches != nil {
		c.disk.queue <- batches
	}
}

func (c *Control) processReady(now time.Time, ready yuccareplica.Ready) {
	if ready.Snapshot != nil {
		c.installSnapshot(ready.Snapshot)
	}
	if ready.MustSync() {
		c.writes.add(writeBatch{
			frame:     &yuccawire.DiskFrame{Snapshot: ready.Snapshot, HardState: c.hardStateFor(ready), Entries: ready.Entries},
			replace:   ready.Snapshot != nil,
			afterSync: ready.AfterSync,
			syncMark:  ready.SyncMark(),
		})
	} else {
		c.sendReplicaMessages(ready.AfterSync)
	}
	c.sendReplicaMessages(ready.Immediate)
	for _, e := range ready.Committed {
		c.apply(now, e)
	}
}

// hardStateFor returns the hard state to write. A snapshot always comes with one,
// because it starts a new log file.
func (c *Control) hardStateFor(ready yuccareplica.Ready) *yuccawire.HardState {
	if ready.HardState == nil && ready.Snapshot != nil {
		return c.core.HardState()
	}
	return ready.HardState
}

func (c *Control) finishSync(now time.Time, result syncResult) {
	c.writes.writing = false
	if result.err != nil {
		c.diskErr = result.err
		return
	}
	c.metrics.Add("syncs", 1)
	for _, b := range result.batches {
		c.core.Synced(now, b.syncMark)
		c.sendReplicaMessages(b.afterSync)
	}
}

func (c *Control) installSnapshot(snapshot *yuccawire.InstallSnapshot) {
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
		c.pushUpdates(now)
	}
}

// updateLeadership creates a registry for each term that this replica leads, and
// ends pending proposals and sessions when it loses leadership.
func (c *Control) updateLeadership(now time.Time) {
	switch {
	case c.core.IsLeader() && c.leadingTerm != c.core.Term():
		c.leadingTerm = c.core.Term()
		c.registry = yuccaregistry.New(c.leadingTerm, now, c.core.IsFirstLeader())
		c.pushedVersion = 0
		c.metrics.Add("leaderships", 1)
		c.options.Logger.Info("became leader", "term", c.leadingTerm)
	case !c.core.IsLeader() && c.leadingTerm != 0:
		c.options.Logger.Info("lost leadership", "term", c.leadingTerm)
		c.leadingTerm = 0
		c.registry = nil
		c.endLeadership()
	}
}

// endLeadership completes the pending proposals with ErrUnknownOutcome, drops the
// queued claims, and sends Goodbye to every session, so that the processes look
// for the new leader.
func (c *Control) endLeadership() {
	c.forgetLags()
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

// isActiveLeader reports whether this replica can answer reads and grant leases:
// its leader lease is valid and it has applied an entry of its own term. The machine may
// have been suspended since the event loop has last asked, even within a batch.
func (c *Control) isActiveLeader(now time.Time) bool {
	c.checkSuspension()
	return c.core != nil && c.leadingTerm != 0 && c.core.LeaseValid(now) && c.core.HasAppliedOwnTerm()
}

// compact replaces the log with a snapshot of the state once the log has
// MaxLogEntries entries or MaxLogBytes bytes.
func (c *Control) compact() {
	if c.core.LogEntries() < c.options.MaxLogEntries && c.core.LogBytes() < c.options.MaxLogBytes {
		return
	}
	c.compactIfSmaller(math.MaxInt)
}

// compactIfSmaller replaces the log with a snapshot if that has fewer bytes than given. To encode a large state for nothing
// would hold up heartbeats, so that it isn't tried again unless the last size would do.
func (c *Control) compactIfSmaller(maxBytes int) {
	if c.core.Commit() <= c.core.SnapshotIndex() || c.stateBytes >= maxBytes {
		return
	}
	c.metrics.Add("states_encoded", 1)
	data, err := c.state.Encode()
	if err != nil {
		c.diskErr = err
		return
	}
	c.stateBytes = len(data)
	if c.stateBytes >= maxBytes {
		return
	}
	snapshot := c.core.Compact(c.core.Commit(), data)
	if snapshot == nil {
		return
	}
	c.metrics.Add("snapshots_written", 1)
	frame := &yuccawire.DiskFrame{Snapshot: snapshot, HardState: c.core.HardState(), Entries: c.core.Entries()}
	c.writes.add(writeBatch{frame: frame, replace: true})
}
