package yuccaside

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func TestCallersWaitForALoopThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{
			Network: yuccamemnet.New(yuccamemnet.Options{}).Host("side-1"), Self: &yuccawire.Node{Name: "side-1", Incarnation: 1},
			Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("side-1"),
		})
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_ = s.loop(ended)
		target := Announcement{Service: "regulation", Address: "http://127.0.0.1:1", Slots: 4, Connections: 4}
		if err := s.Announce(t.Context(), target); !errors.Is(err, yuccaquery.ErrEnded) {
			t.Errorf("announcement: %v", err)
		}
		if err := s.Withdraw(t.Context(), "regulation"); !errors.Is(err, yuccaquery.ErrEnded) {
			t.Errorf("withdrawal: %v", err)
		}
		if running := s.Drain(t.Context()); running != 0 {
			t.Errorf("%d attempts are running", running)
		}
	})
}
