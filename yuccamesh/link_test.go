package yuccamesh

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The end of a link is reported also if its dialer has been stopped in the meantime,
// as happens when a surplus link is released. Otherwise the receiver would go on
// using it.
func TestEndOfStoppedLinkIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		listener, err := fabric.Host("e").Listen("e:1")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		side := &yuccawire.Node{Name: "s", Role: yuccawire.Role_ROLE_SIDE}
		entry := &yuccawire.Node{Name: "e", Role: yuccawire.Role_ROLE_ENTRY, Address: "e:1"}
		m := New(Options{
			Network: fabric.Host("s"), Self: side, Seeds: func() []string { return nil }, Metrics: yuccametric.New("s"), Logger: slog.New(slog.DiscardHandler),
		})
		for i := range 30 {
			link, err := m.options.Network.Dial(t.Context(), "e:1")
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			stop()
			m.serveLink(ctx, newPeer(m, link, entry, "e:1", 0))
			for _, want := range []string{"up", "down"} {
				select {
				case e := <-m.Events():
					if _, isDown := e.(LinkDown); isDown != (want == "down") {
						t.Errorf("link %d: got event %T, want link %s", i, e, want)
					}
				default:
					t.Errorf("link %d: no event, want link %s", i, want)
				}
			}
		}
	})
}
