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

// NotLeader tells that another control has to be asked.
type NotLeaderError struct {
	// Address is the operators' address of the leader, empty where none is known.
	Address string
}

// Error says where the leader is.
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
	var sections []*yuccawire.Section
	current := e.config.Load().view
	for _, name := range yuccadocument.WholeDocumentSections {
		if u.View.Version(name) > current.Version(name) {
			sections = append(sections, encodeSection(u.View, name))
		}
	}
	e.applySections(sections, confirmedAt, "control")
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

// Sections returns what is in force here, for a peer that was started again.
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

// takeSections puts the sections in force that are newer than those held.
func (e *Edge) applySections(sections []*yuccawire.Section, confirmedAt time.Time, source string) {
	held := e.config.Load()
	next := *held
	for _, s := range sections {
		view, err := next.view.With(s)
		if err != nil {
			e.options.Logger.Error("a section can't be read", "section", s.GetName(), "version", s.GetVersion(), "error", err)
			continue
		}
		if view == next.view {
			continue
		}
		if s.GetName() == yuccadocument.SectionWholeDocument {
			catalog, err := e.options.Decode(s.GetBody())
			if err != nil {
				e.options.Logger.Error("the document in force can't be read", "version", s.GetVersion(), "error", err)
				continue
			}
			next.catalog = catalog
		}
		next.view = view
		e.metrics.Add("sections_taken", 1)
		e.options.Logger.Info("a section is in force", "section", s.GetName(), "version", s.GetVersion(), "source", source)
	}
	if confirmedAt.After(next.confirmedAt) {
		next.confirmedAt = confirmedAt
	}
	if next.view != held.view {
		e.broker.SetDrained(next.view.Drained())
	}
	e.config.Store(&next)
}

// Recovered puts in force what the disk of this process holds as committed. It
// may be older than what control has, and is shown to no operator.
func (e *Edge) ApplyRecovered(sections []*yuccawire.Section) {
	e.events <- recoveredSections{sections: sections}
}

// Catalog returns the document in force, nil before there is one.
func (e *Edge) Catalog() *yuccacatalog.Catalog { return e.config.Load().catalog }

// Document returns the text of the newest document, or an error where a newer
// one may have been acknowledged longer ago than the bound.
func (e *Edge) Document() ([]byte, error) {
	c := e.config.Load()
	if c.catalog == nil {
		return nil, ErrNoConfiguration
	}
	if age := time.Since(c.confirmedAt); age > e.options.MaxConfigurationAge-responseMargin {
		e.metrics.Add("reads_refused", 1)
		e.options.Logger.Info("refuses to show the configuration", "version", c.catalog.Version(), "control_heard_ms", age.Milliseconds())
		return nil, ErrStaleConfiguration
	}
	return c.view.WholeDocument(), nil
}

// Replace puts a whole document in force if its version is the highest. The
// document must have been checked.
func (e *Edge) ReplaceDocument(ctx context.Context, version uint64, text []byte) (*yuccastate.ChangeResult, error) {
	replace := &yuccawire.ReplaceDocument{Version: version, Body: text}
	return e.apply(ctx, &yuccawire.Command{Body: &yuccawire.Command_ReplaceDocument{ReplaceDocument: replace}})
}

// SetOut takes a data centre out or brings it back. The data centre must be
// known.
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

// leaderAddress is the operators' address of the leader as far as it is known.
func (e *Edge) leaderOperatorAddress() string {
	leader := e.options.Lease.Leader()
	for _, r := range e.options.Mesh.Replicas() {
		if leader != "" && r.GetAddress() == leader {
			return r.GetOperatorAddress()
		}
	}
	return ""
}
