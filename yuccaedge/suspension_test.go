package yuccaedge

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// A configuration is read after a suspension, before the entry has heard of control again. An
// update may have been confirmed before the suspension.
func TestSuspendedEntryShowsAnOldConfiguration(t *testing.T) {
	var total time.Duration
	metrics, logger := yuccametric.New("e"), slog.New(slog.DiscardHandler)
	e := New(Options{
		Broker: yuccabroker.New(yuccabroker.Options{Metrics: metrics, Logger: logger}), MaxConfigurationAge: time.Second,
		Suspensions: yuccasuspend.NewMonitorOf(func() time.Duration { return total }), Metrics: metrics, Logger: logger,
	})
	e.config.Store(&config{view: yuccadocument.NewView(), catalog: &yuccacatalog.Catalog{}})
	confirm := func(suspensions int) {
		e.handleLeaseUpdate(yuccalease.Update{
			View: yuccadocument.NewView(), Lease: yuccalease.Lease{}.Extend(time.Now(), yuccalease.Duration), Suspensions: suspensions,
		})
	}
	for _, step := range []struct {
		name  string
		event func()
		want  error
	}{
		{"confirmed", func() { confirm(0) }, nil},
		{"suspended", func() { total = 5 * time.Second }, ErrStaleConfiguration},
		{"suspension noticed", func() { e.checkSuspension(time.Now()) }, ErrStaleConfiguration},
		{"by an update from before", func() { confirm(0) }, ErrStaleConfiguration},
		{"by the next update", func() { confirm(1) }, nil},
	} {
		step.event()
		if _, err := e.Document(); !errors.Is(err, step.want) {
			t.Errorf("%s: got %v, want %v", step.name, err, step.want)
		}
	}
}

// The counts of the other entries' pending jobs are from before a suspension, which strikes
// within a batch of events, or came with an update from before it.
func TestSuspendedEntryAddsPendingJobsFromBefore(t *testing.T) {
	var total time.Duration
	e := newTestEdge(Options{Suspensions: yuccasuspend.NewMonitorOf(func() time.Duration { return total })})
	inquiry := &yuccawire.Inquiry{Kind: yuccawire.InquiryKind_INQUIRY_KIND_PENDING, Queue: "trim"}
	pending := func() int {
		done := make(chan inquiryResult, 1)
		e.events <- inquiryRequest{inquiry: inquiry, done: done}
		e.handleBatch()
		return (<-done).pendingJobs
	}
	count := func(requestedAt time.Time, suspensions int) {
		counts := []*yuccawire.QueueCount{{Queue: "trim", Jobs: 3}}
		e.handleLeaseUpdate(yuccalease.Update{View: yuccadocument.NewView(), Pending: counts, PendingAt: requestedAt, Suspensions: suspensions})
	}
	for _, step := range []struct {
		name  string
		event func()
		want  int
	}{
		{"counted", func() { count(time.Now(), 0) }, 3},
		{"suspended", func() { total = 5 * time.Second }, 0},
		{"counted before the suspension", func() { count(time.Now(), 0) }, 0},
		{"counted since", func() { count(time.Now(), 1) }, 3},
		{"requested long ago", func() { count(time.Now().Add(-2*maxPendingAge), 1) }, 0},
	} {
		step.event()
		if got := pending(); got != step.want {
			t.Errorf("%s: %d pending jobs, want %d", step.name, got, step.want)
		}
	}
}
