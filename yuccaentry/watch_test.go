package yuccaentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// cancelAt cancels a job at an entry. Control answers with the reply, and the owner with joined,
// unless these are nil. It returns the status of the response.
func cancelAt(linked bool, reply *yuccawire.ClaimReply, joined *yuccawire.Joined) int {
	e := New(Options{
		Network: yuccamemnet.New(yuccamemnet.Options{}).Host("entry-1"), Self: &yuccawire.Node{Name: "entry-1", Incarnation: 1},
		Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("entry-1"),
	})
	update := yuccalease.Update{Incarnation: 1, View: yuccadocument.NewView(), Lease: yuccalease.Lease{}.Extend(time.Now(), time.Minute)}
	update.Members = &yuccawire.MembersDelta{Epoch: 1, Version: 1, Full: true, Changed: []*yuccawire.Member{{
		Node: &yuccawire.Node{Name: "entry-2", Role: yuccawire.Role_ROLE_ENTRY, Incarnation: 1},
	}}}
	e.handleLeaseUpdate(update)
	if linked {
		e.dispatcher.HandleLinkUp(time.Now(), "entry-2")
	}
	response, done := httptest.NewRecorder(), make(chan struct{})
	go func() {
		e.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodDelete, "/v1/jobs/parishes/j", nil))
		close(done)
	}()
	e.handleEvent(time.Now(), <-e.events)
	if reply != nil {
		update.Members, update.Claims = nil, []*yuccawire.ClaimReply{reply}
		e.handleLeaseUpdate(update)
	}
	if joined != nil {
		e.dispatcher.HandleJoined(time.Now(), joined)
	}
	time.Sleep(3 * time.Second)
	e.tick(time.Now())
	for _, action := range e.dispatcher.Actions() {
		if _, opens := action.(yuccadispatch.OpenLink); !opens {
			e.executeAction(context.Background(), action)
		}
	}
	<-done
	return response.Code
}

func TestJobOfAnOwnerThatStandsStillIsSaidNotToExist(t *testing.T) {
	job := &yuccawire.JobKey{Team: "parishes", Id: "j"}
	held := &yuccawire.ClaimReply{Job: job, Result: yuccawire.ClaimResult_CLAIM_HELD, Owner: "entry-2", Incarnation: 1}
	for _, c := range []struct {
		name   string
		linked bool
		reply  *yuccawire.ClaimReply
		joined *yuccawire.Joined
		want   int
	}{
		{"owner stands still", true, held, nil, http.StatusGatewayTimeout},
		{"no link to the owner", false, held, nil, http.StatusGatewayTimeout},
		{"control stands still", true, nil, nil, http.StatusGatewayTimeout},
		{"owner of a finished job is gone", true, &yuccawire.ClaimReply{
			Job: job, Result: yuccawire.ClaimResult_CLAIM_HELD, Owner: "entry-3", Incarnation: 1, Finished: true,
		}, nil, http.StatusNotFound},
		{"owner is gone", true, &yuccawire.ClaimReply{
			Job: job, Result: yuccawire.ClaimResult_CLAIM_HELD, Owner: "entry-3", Incarnation: 1,
		}, nil, http.StatusGatewayTimeout},
		{"no claim", true, &yuccawire.ClaimReply{Job: job, Result: yuccawire.ClaimResult_CLAIM_ABSENT}, nil, http.StatusNotFound},
		{"owner doesn't have it", true, held, &yuccawire.Joined{Job: job, Watch: true}, http.StatusNotFound},
		{"owner has it", true, held, &yuccawire.Joined{Job: job, Watch: true, Known: true}, http.StatusAccepted},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := cancelAt(c.linked, c.reply, c.joined); got != c.want {
					t.Errorf("got status %d, want %d", got, c.want)
				}
			})
		})
	}
}
