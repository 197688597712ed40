package yuccaedge

import (
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

var errUndecodable = errors.New("unexpected end of the document")

// newTestEdge returns an edge that can decode all documents but an empty one.
func newTestEdge(options Options) *Edge {
	metrics, logger := yuccametric.New("e"), slog.New(slog.DiscardHandler)
	options.Broker = yuccabroker.New(yuccabroker.Options{Metrics: metrics, Logger: logger})
	options.Mesh = yuccamesh.New(yuccamesh.Options{Self: &yuccawire.Node{Name: "e"}, Metrics: metrics, Logger: logger})
	options.Metrics, options.Logger, options.MaxConfigurationAge = metrics, logger, 2*time.Second
	options.Decode = func(body []byte) (*yuccacatalog.Catalog, error) {
		if len(body) == 0 {
			return nil, errUndecodable
		}
		return &yuccacatalog.Catalog{}, nil
	}
	return New(options)
}

func viewOf(t *testing.T, version uint64, body string) *yuccadocument.View {
	section := &yuccawire.Section{Name: yuccadocument.SectionWholeDocument, Version: version, Body: []byte(body)}
	view, err := yuccadocument.NewView().With(section)
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// Control goes on confirming that there is no newer configuration than the one which it has sent.
func TestEntryShowsAnOldConfigurationAsItCannotDecodeTheNewOne(t *testing.T) {
	for _, c := range []struct {
		name       string
		body       string
		incomplete bool
	}{{"its lease can't decode it", "old", true}, {"the entry can't decode it", "", false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEdge(Options{})
				confirm := func(view *yuccadocument.View, incomplete bool) {
					lease := yuccalease.Lease{}.Extend(time.Now(), yuccalease.Duration)
					e.handleLeaseUpdate(yuccalease.Update{Lease: lease, View: view, Incomplete: incomplete})
				}
				confirm(viewOf(t, 1, "old"), false)
				if _, err := e.Document(); err != nil {
					t.Errorf("with version 1: got %v", err)
				}
				version := uint64(2)
				if c.incomplete {
					version = 1 // the view keeps the previous version
				}
				for range 3 {
					time.Sleep(time.Second)
					confirm(viewOf(t, version, c.body), c.incomplete)
				}
				if document, err := e.Document(); !errors.Is(err, ErrStaleConfiguration) {
					t.Errorf("3s after version 2: got %q, %v, want %v", document, err, ErrStaleConfiguration)
				}
				confirm(viewOf(t, 3, "new"), false)
				if document, err := e.Document(); err != nil || string(document) != "new" {
					t.Errorf("with version 3: got %q, %v", document, err)
				}
			})
		})
	}
}
