package yuccaentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func TestCallersWaitForALoopThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{
			Network: yuccamemnet.New(yuccamemnet.Options{}).Host("entry-1"), Self: &yuccawire.Node{Name: "entry-1", Incarnation: 1},
			Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("entry-1"),
		})
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_ = e.loop(ended)
		// An earlier submission may have run, which only the loop knew.
		if answer, err := e.Submit(t.Context(), yuccadispatch.Submission{}); !errors.Is(err, yuccaquery.ErrEnded) {
			t.Errorf("the job is answered %+v, %v, want nothing about whether it has run", answer, err)
		}
		if _, err := e.Watch(t.Context(), yuccadispatch.Key{}, false); !errors.Is(err, yuccaquery.ErrEnded) {
			t.Errorf("state of a job: %v", err)
		}
		if open := e.Drain(t.Context()); open != 0 {
			t.Errorf("%d jobs are open", open)
		}
	})
}
