package yuccaedge

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaestimate"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func (e *Edge) handleLeaseUpdate(u yuccalease.Update) {
	if u.Proposal != nil {
		e.finishProposal(u.Proposal)
	}
	if !u.PendingAt.IsZero() && u.Suspensions == e.suspensions.Count {
		e.pendingElsewhere, e.pendingElsewhereAt = u.Pending, u.PendingAt
	}
	confirmedAt := u.Lease.Expires().Add(-yuccalease.Duration)
	if u.Lease.Expires().IsZero() || u.Suspensions != e.suspensions.Count || u.Incomplete {
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

// applySections replaces the current sections by those that are newer, and announces
// them to the linked entries.
// confirmedAt is the last time at which control had no newer section, or zero if
// control has not confirmed them; it counts only if all of them can be decoded. source
// is logged.
func (e *Edge) applySections(sections []*yuccawire.Section, confirmedAt time.Time, source string) {
	current := e.config.Load()
	next := *current
	for _, s := range sections {
		view, err := next.view.With(s)
		if err != nil {
			confirmedAt = time.Time{}
			e.options.Logger.Error("invalid section, keeping the previous version", "section", s.GetName(), "version", s.GetVersion(), "error", err)
			continue
		}
		if view == next.view {
			continue
		}
		if s.GetName() == yuccadocument.SectionWholeDocument {
			catalog, err := e.options.Decode(s.GetBody())
			if err != nil {
				confirmedAt = time.Time{}
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
	e.config.Store(&next)
	if next.view != current.view {
		e.broker.SetDrained(next.view.Version(yuccadocument.SectionDrainedDataCentres), next.view.Drained())
		e.options.Mesh.AnnounceSections()
	}
}

// ApplyRecovered applies committed sections that were read from the disk of this
// process. Control may have newer ones, so [Edge.Document] does not return them
// until control confirms them.
func (e *Edge) ApplyRecovered(sections []*yuccawire.Section) {
	_ = yuccaquery.Post(context.Background(), e.lifetime, e.events, event(recoveredSections{sections: sections}))
}

// Links returns the links of this entry to sides and other entries.
func (e *Edge) Links() []yuccamesh.LinkStatus { return e.options.Mesh.Links() }

// RunTimes returns the run times and speeds of workers that this entry has learned.
func (e *Edge) RunTimes(ctx context.Context) (yuccaestimate.Status, error) {
	return yuccaquery.Do(ctx, e.postQuery, func(e *Edge) yuccaestimate.Status { return e.broker.RunTimes(time.Now()) })
}

// Catalog returns the current document in decoded form, or nil if there is none.
func (e *Edge) Catalog() *yuccacatalog.Catalog { return e.config.Load().catalog }

// Document returns the text of the current document. It returns
// ErrNoConfiguration if there is none, and ErrStaleConfiguration if control has
// not confirmed it within Options.MaxConfigurationAge, or since the machine was
// suspended, since a newer document may have been acknowledged.
func (e *Edge) Document() ([]byte, error) {
	c := e.config.Load()
	if c.catalog == nil {
		return nil, ErrNoConfiguration
	}
	age := time.Since(c.confirmedAt)
	wasSuspended := e.options.Suspensions.Check().Count != c.suspensions
	logger := e.options.Logger.With("version", c.catalog.Version(), "control_heard_ms", age.Milliseconds(), "was_suspended", wasSuspended)
	if age > e.options.MaxConfigurationAge-responseMargin || wasSuspended {
		e.metrics.Add("reads_refused", 1)
		logger.Info("read of the configuration refused")
		return nil, ErrStaleConfiguration
	}
	e.metrics.Add("reads", 1)
	logger.Info("configuration read")
	return c.view.WholeDocument(), nil
}
