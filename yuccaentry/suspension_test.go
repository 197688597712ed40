package yuccaentry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// sentLink keeps the last message.
type sentLink struct {
	yuccawire.Link
	sent *yuccawire.Envelope
}

func (l *sentLink) Send(m *yuccawire.Envelope) error {
	l.sent = m
	return nil
}

// An update waits while the machine is suspended for 5 s, and starts are sent on a link
// from before, whose other end has counted on.
func TestSuspendedEntry(t *testing.T) {
	var total time.Duration
	e := New(Options{
		Network: yuccamemnet.New(yuccamemnet.Options{}).Host("entry-1"), Self: &yuccawire.Node{Name: "entry-1", Incarnation: 1},
		Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("entry-1"),
		Suspensions: yuccasuspend.NewMonitorOf(func() time.Duration { return total }),
	})
	now := time.Now()
	update := yuccalease.Update{Incarnation: 1, View: yuccadocument.NewView(), Lease: yuccalease.Lease{}.Extend(now, time.Minute)}
	e.handleLeaseUpdate(update)
	if !e.dispatcher.Lease().Valid(now) {
		t.Fatal("the lease was not applied")
	}
	total = 5 * time.Second
	for _, when := range []struct {
		name  string
		event func()
	}{{"suspended", func() { e.tick(now) }}, {"by an update from before", func() { e.handleLeaseUpdate(update) }}} {
		if when.event(); e.dispatcher.Lease().Valid(now) {
			t.Errorf("%s: the lease is still used", when.name)
		}
	}
	update.Suspensions = 1
	if e.handleLeaseUpdate(update); !e.dispatcher.Lease().Valid(now) {
		t.Error("the next lease was not applied")
	}
	link := &sentLink{}
	d := &dialer{entry: e, link: link, helloSentAt: now.Add(-time.Second)}
	d.sendStart(yuccadispatch.SendStart{Start: &yuccawire.Start{}, Deadline: now.Add(2 * time.Second)})
	if got := link.sent.GetStart().GetDeadlineMs(); got != 8000 {
		t.Errorf("the deadline is %d ms after the hello, want 8000", got)
	}
}

// slowCaller takes its answer after the duration of a lease.
type slowCaller struct{ answer chan yuccadispatch.Answer }

func (c *slowCaller) run() {
	time.Sleep(yuccalease.Duration)
	<-c.answer
}

// The process stands still within a batch of events for longer than the lease lasts.
func TestEntryUsesAnExpiredLeaseAfterAStandstillWithinABatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{
			Network: yuccamemnet.New(yuccamemnet.Options{}).Host("entry-1"), Self: &yuccawire.Node{Name: "entry-1", Incarnation: 1},
			Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("entry-1"),
		})
		e.handleLeaseUpdate(yuccalease.Update{
			Incarnation: 1, View: yuccadocument.NewView(), Lease: yuccalease.Lease{}.Extend(time.Now(), yuccalease.Duration),
		})
		held, answer := &slowCaller{answer: make(chan yuccadispatch.Answer)}, make(chan yuccadispatch.Answer, 1)
		go held.run()
		unnamed := yuccadispatch.Submission{Unnamed: true}
		e.events <- submitRequest{submission: unnamed, answer: answer}
		e.handleBatch(submitRequest{submission: unnamed, answer: held.answer})
		if a := <-answer; a.Rejection != yuccadispatch.NoLease {
			t.Errorf("after the standstill a job was rejected as %v, want %v", a.Rejection, yuccadispatch.NoLease)
		}
	})
}
