package yuccacontrol

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccareplica"
)

const (
	// lagInterval is the time between two looks at what the replicas lack.
	lagInterval = 250 * time.Millisecond
	// snapshotAdvantage is how many times as long as a snapshot the missing part of the log has to be for a snapshot to be
	// made for it.
	snapshotAdvantage = 2
	// lagTimeout is how long a replica may take to get the log before operators are told.
	lagTimeout = 4 * time.Second
	// lagLogInterval is the time between two lines about the same replica.
	lagLogInterval = 10 * time.Second
)

// lag is since when a replica has not had the log as it was then, and when that was last logged.
type lag struct {
	since     time.Time
	lastIndex uint64
	loggedAt  time.Time
}

// checkLags tells operators of replicas that don't catch up, and makes a snapshot for one that would get it sooner than the
// rest of the log.
func (c *Control) checkLags(now time.Time) {
	if now.Before(c.nextLagCheck) {
		return
	}
	c.nextLagCheck = now.Add(lagInterval)
	lags := c.core.Lags(now)
	c.reportLags(now, lags)
	for _, l := range lags {
		if l.InContact && l.Bytes > c.options.MaxLinkBytes/linkShare {
			c.compactIfSmaller(l.Bytes / snapshotAdvantage)
			return
		}
	}
}

// reportLags updates the gauges and logs which replicas have lacked entries for lagTimeout.
func (c *Control) reportLags(now time.Time, lags []yuccareplica.Lag) {
	lagging, entries, bytes := 0, 0, 0
	for _, l := range lags {
		known := c.lags[l.ID]
		if known == nil {
			known = &lag{}
			c.lags[l.ID] = known
		}
		if l.Confirmed >= known.lastIndex {
			if !known.loggedAt.IsZero() {
				c.options.Logger.Info("replica holds the log again", "name", c.core.Address(l.ID).GetName(), "after_ms", now.Sub(known.since).Milliseconds())
			}
			*known = lag{since: now, lastIndex: l.Confirmed + uint64(l.Entries)}
		}
		entries, bytes = max(entries, l.Entries), max(bytes, l.Bytes+l.SnapshotBytes)
		if now.Sub(known.since) < lagTimeout {
			continue
		}
		lagging++
		if now.Sub(known.loggedAt) >= lagLogInterval {
			known.loggedAt = now
			c.logLag(now, l, known)
		}
	}
	for id := range c.lags {
		if c.core.Address(id) == nil {
			delete(c.lags, id)
		}
	}
	c.metrics.Gauge("replicas_lagging", int64(lagging))
	c.metrics.Gauge("replica_missing_entries", int64(entries))
	c.metrics.Gauge("replica_missing_bytes", int64(bytes))
}

func (c *Control) logLag(now time.Time, l yuccareplica.Lag, known *lag) {
	address := c.core.Address(l.ID)
	losses, cause := int64(0), ""
	if p := c.peers[address.GetAddress()]; p != nil {
		losses = p.losses.Load()
		if err := p.lastLoss.Load(); err != nil {
			cause = (*err).Error()
		}
	}
	c.options.Logger.Warn("replica doesn't hold the log, the group may not survive the next loss", "name", address.GetName(), "address", address.GetAddress(),
		"missing_entries", l.Entries, "missing_bytes", l.Bytes+l.SnapshotBytes, "since_ms", now.Sub(known.since).Milliseconds(), "in_contact", l.InContact, "links_lost", losses, "last_cause", cause)
}

// forgetLags is called when this replica no longer leads.
func (c *Control) forgetLags() {
	clear(c.lags)
	for _, gauge := range []string{"replicas_lagging", "replica_missing_entries", "replica_missing_bytes"} {
		c.metrics.Gauge(gauge, 0)
	}
}
