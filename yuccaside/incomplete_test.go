package yuccaside

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The side can't decode which data centres are drained; its own may be one of them.
func TestSideStartsTasksWithoutKnowingTheDrainedDataCentres(t *testing.T) {
	s := New(Options{
		Network: yuccamemnet.New(yuccamemnet.Options{}).Host("side-1"), Self: &yuccawire.Node{Name: "side-1", Incarnation: 1},
		Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("side-1"),
	})
	for _, incomplete := range []bool{false, true, false} {
		s.handleLeaseUpdate(yuccalease.Update{
			Lease: yuccalease.Lease{}.Extend(time.Now(), yuccalease.Duration), View: yuccadocument.NewView(), Incomplete: incomplete,
		})
		if got := s.permit.Load().lease.Valid(time.Now()); got == incomplete {
			t.Errorf("with an incomplete view %v, the side may start tasks: %v", incomplete, got)
		}
	}
}
