package yuccaedge

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// NotLeaderError is returned for a change that only the leader can commit.
type NotLeaderError struct {
	// Address is the operators' address of the leader, or empty if no leader is
	// known.
	Address string
}

// Error includes the address of the leader.
func (n *NotLeaderError) Error() string {
	if n.Address == "" {
		return "no leading control is known"
	}
	return "the control at " + n.Address + " leads"
}

func (e *Edge) handleLeaseUpdate(u yuccalease.Update) {
	confirmedAt := u.Lease.Expires().Add(-yuccalease.Duration)
	if u.Lease.Expires().IsZero() {
		confirmedAt = time.Time{}
	}
	var newer []*yuccawire.Section
	current := e.config.Load().view
	for _, name := range yuccadocument.WholeDocumentSections {
		if u.View.Version(name) > current.Version(name) {
			newer = append(newer, encodeSection(u.View, name))
		}
	}
	e.applySections(newer, confirmedAt, "control")
}

func encodeSection(view *yuccadocument.View, name string) *yuccawire.Section {
	s := &yuccawire.Section{Name: name, Version: view.Version(name)}
	switch name {
	case yuccadocument.SectionWholeDocument:
		s.Body = view.WholeDocument()
	case yuccadocument.SectionDrainedDataCentres:
		s.Body = yuccadocument.EncodeDrained(view.Drained())
	}
	return s
}

// Sections returns the current sections. They are sent to peers, which may have
// restarted without a configuration.
func (e *Edge) Sections() []*yuccawire.Section {
	view := e.config.Load().view
	var sections []*yuccawire.Section
	for _, name := range yuccadocument.WholeDocumentSections {
		if view.Version(name) > 0 {
			sections = append(sections, encodeSection(view, name))
		}
	}
	return sections
}

// applySections replaces the current sections by those that are newer.
// confirmedAt is the last time at which control had no newer section, or zero if
// control has not confirmed them. source is logged.
func (e *Edge) applySections(sections []*yuccawire.Section, confirmedAt time.Time, source string) {
	current := e.config.Load()
	next := *current
	for _, s := range sections {
		view, err := next.view.With(s)
		if err != nil {
			e.options.Logger.Error("invalid section, keeping the previous version", "section", s.GetName(), "version", s.GetVersion(), "error", err)
			continue
		}
		if view == next.view {
			continue
		}
		if s.GetName() == yuccadocument.SectionWholeDocument {
			catalog, err := e.options.Decode(s.GetBody())
			if err != nil {
				e.options.Logger.Error("invalid document, keeping the previous version", "version", s.GetVersion(), "error", err)
				continue
			}
			next.catalog = catalog
		}
		next.view = view
		e.metrics.Add("sections_taken", 1)
		e.options.Logger.Info("section applied", "section", s.GetName(), "version", s.GetVersion(), "source", source)
	}
	if confirmedAt.After(next.confirmedAt) {
		next.confirmedAt = confirmedAt
	}
	if next.view != current.view {
		e.broker.SetDrained(next.view.Drained())
	}
	e.config.Store(&next)
}

// ApplyRecovered applies committed sections that were read from the disk of this
// process. Control may have newer ones, so [Edge.Document] does not return them
// until control confirms them.
func (e *Edge) ApplyRecovered(sections []*yuccawire.Section) {
	e.events <- recoveredSections{sections: sections}
}

// Catalog returns the current document in decoded form, or nil if there is none.
func (e *Edge) Catalog() *yuccacatalog.Catalog { return e.config.Load().catalog }

// Document returns the text of the current document. It returns
// ErrNoConfiguration if there is none, and ErrStaleConfiguration if control has
// not confirmed it within Options.MaxConfigurationAge, since a newer document
// may have been acknowledged.
func (e *Edge) Document() ([]byte, error) {
	c := e.config.Load()
	if c.catalog == nil {
		return nil, ErrNoConfiguration
	}
	if age := time.Since(c.confirmedAt); age > e.options.MaxConfigurationAge-responseMargin {
		e.metrics.Add("reads_refused", 1)
		e.options.Logger.Info("read of the configuration refused", "version", c.catalog.Version(), "control_heard_ms", age.Milliseconds())
		return nil, ErrStaleConfiguration
	}
	return c.view.WholeDocument(), nil
}

// ReplaceDocument commits a whole document if its version is the highest. The
// document must be valid. It returns a *NotLeaderError if this process does not
// run the leader.
func (e *Edge) ReplaceDocument(ctx context.Context, version uint64, document []byte) (*yuccastate.ChangeResult, error) {
	replace := &yuccawire.ReplaceDocument{Version: version, Body: document}
	return e.apply(ctx, &yuccawire.Command{Body: &yuccawire.Command_ReplaceDocument{ReplaceDocument: replace}})
}

// SetDrained commits that a data centre is drained or in service. The data centre
// must be a known one. It returns a *NotLeaderError if this process does not run
// the leader.
func (e *Edge) SetDrained(ctx context.Context, dataCentre string, drained bool) (*yuccastate.ChangeResult, error) {
	change := &yuccawire.SetDataCentre{DataCentre: dataCentre, Out: drained, Known: true, AtUnixMs: time.Now().UnixMilli()}
	return e.apply(ctx, &yuccawire.Command{Body: &yuccawire.Command_SetDataCentre{SetDataCentre: change}})
}

func (e *Edge) apply(ctx context.Context, command *yuccawire.Command) (*yuccastate.ChangeResult, error) {
	if e.options.Replica != nil {
		result, err := e.options.Replica.Apply(ctx, command)
		if !errors.Is(err, yuccacontrol.ErrNotLeader) {
			return result, err
		}
	}
	return nil, &NotLeaderError{Address: e.leaderOperatorAddress()}
}

// leaderOperatorAddress returns the operators' address of the leader, or an empty
// string if no leader is known.
func (e *Edge) leaderOperatorAddress() string {
	leader := e.options.Lease.Leader()
	for _, r := range e.options.Mesh.Replicas() {
		if leader != "" && r.GetAddress() == leader {
			return r.GetOperatorAddress()
		}
	}
	return ""
}
