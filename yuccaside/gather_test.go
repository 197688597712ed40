package yuccaside

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// resultLink counts the results and gathered states that are sent.
type resultLink struct {
	yuccawire.Link
	finished, gathered int
}

func (l *resultLink) Send(m *yuccawire.Envelope) error {
	if m.GetFinished() != nil {
		l.finished++
	}
	if m.GetGathered() != nil {
		l.gathered++
	}
	return nil
}

// newGatheredSide returns a side with a target and a lease.
func newGatheredSide(t *testing.T) *Side {
	t.Helper()
	s := New(Options{
		Network: yuccamemnet.New(yuccamemnet.Options{}).Host("side-1"), Self: &yuccawire.Node{Name: "side-1", Incarnation: 1},
		Runner: &blockingRunner{}, Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("side-1"),
	})
	if err := s.addTarget(time.Now(), Announcement{Service: "regulation", Address: "http://127.0.0.1:1", Slots: 4, Connections: 4}); err != nil {
		t.Fatal(err)
	}
	s.handleLeaseUpdate(yuccalease.Update{Lease: yuccalease.Lease{}.Extend(time.Now(), yuccalease.Duration), View: yuccadocument.NewView()})
	return s
}

func openLink(s *Side, name string, link yuccawire.Link) *ownerLink {
	o := &ownerLink{node: &yuccawire.Node{Name: name, Incarnation: 1}, link: link, openedAt: time.Now()}
	s.handleLinkOpened(o)
	return o
}

// entry-2 takes the job of entry-1 over, stands still, and loses it to entry-3.
func TestEntryThatStoodStillTakesARunFromTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newGatheredSide(t)
		links := make(map[string]*resultLink)
		owners := make(map[string]*ownerLink)
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			links[name] = &resultLink{}
			owners[name] = openLink(s, name, links[name])
		}
		key := &yuccawire.TaskKey{Job: &yuccawire.JobKey{Team: "parishes", Id: "j"}, Task: "t", Attempt: 1}
		s.handleStart(ctx, time.Now(), owners["entry-1"], &yuccawire.Start{
			Key: key, Owner: "entry-1", OwnerIncarnation: 1, SideIncarnation: 1, Service: "regulation", DeadlineMs: 60_000,
		})
		gather := func(name, former string) {
			m := &yuccawire.Gather{Job: key.GetJob(), Fence: &yuccawire.Fence{Owner: former, Incarnation: 1}}
			s.handleMessage(ctx, time.Now(), owners[name], &yuccawire.Envelope{Body: &yuccawire.Envelope_Gather{Gather: m}})
		}
		gather("entry-3", "entry-2")
		gather("entry-2", "entry-1")
		s.handleFinished(runFinished{
			run: s.running[runKeyOf(key)], result: &yuccawire.Finished{Key: key, Service: "regulation", State: yuccawire.TaskState_TASK_FINISHED, Status: 200},
		})
		if links["entry-3"].finished != 1 || links["entry-2"].finished+links["entry-2"].gathered != 0 {
			t.Errorf("entry-3 was sent %+v, entry-2 %+v, want the result for entry-3 and nothing for entry-2", links["entry-3"], links["entry-2"])
		}
		cancel()
		synctest.Wait()
	})
}

// entry-1 has answered the job, and asks the side to forget it after entry-2 has taken it over.
func TestEntryThatStoodStillForgetsAResultOfTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newGatheredSide(t)
		former := openLink(s, "entry-1", &resultLink{})
		key := &yuccawire.TaskKey{Job: &yuccawire.JobKey{Team: "parishes", Id: "j"}, Task: "t", Attempt: 1}
		s.handleStart(ctx, time.Now(), former, &yuccawire.Start{
			Key: key, Owner: "entry-1", OwnerIncarnation: 1, SideIncarnation: 1, Service: "regulation", DeadlineMs: 60_000,
		})
		result := &yuccawire.Finished{Key: key, Service: "regulation", State: yuccawire.TaskState_TASK_FINISHED, Status: 200, Body: []byte("toll")}
		s.handleFinished(runFinished{run: s.running[runKeyOf(key)], result: result})
		s.handleLeaseUpdate(yuccalease.Update{
			Lease: s.gate.Lease(), View: s.gate.View(), Fences: []*yuccawire.Fence{{Owner: "entry-1", Incarnation: 1}},
		})
		forget := &yuccawire.Forget{Jobs: []*yuccawire.JobKey{key.GetJob()}}
		s.handleMessage(ctx, time.Now(), former, &yuccawire.Envelope{Body: &yuccawire.Envelope_Forget{Forget: forget}})
		finished := s.gate.Gather(key.GetJob()).GetFinished()
		if len(finished) != 1 || string(finished[0].GetBody()) != "toll" {
			t.Errorf("the next owner gets %v, want the result", finished)
		}
		cancel()
		synctest.Wait()
	})
}
