package yuccaside

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// lateTarget accepts connections after a delay, and counts the tasks that it starts.
type lateTarget struct {
	delay   time.Duration
	started atomic.Int64
}

func (l *lateTarget) dial(context.Context, string, string) (net.Conn, error) {
	time.Sleep(l.delay)
	near, far := net.Pipe()
	go l.serve(far)
	return near, nil
}

func (l *lateTarget) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	l.started.Add(1)
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
}

// startLate lets a side admit a start, and renews its lease and changes what is out or suspended
// before the target accepts the connection.
func startLate(t *testing.T, target *lateTarget, body string, renewed bool, drained []string, suspended time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var total atomic.Int64
	s := New(Options{
		Network: yuccamemnet.New(yuccamemnet.Options{}).Host("side-1"),
		Self:    &yuccawire.Node{Name: "side-1", Incarnation: 1, DataCentre: "cusco"},
		Runner:  newHTTPRunner(target.dial), Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("side-1"),
		Suspensions: yuccasuspend.NewMonitorOf(func() time.Duration { return time.Duration(total.Load()) }),
	})
	if err := s.addTarget(time.Now(), Announcement{Service: "regulation", Address: "http://127.0.0.1:1", Slots: 4, Connections: 4}); err != nil {
		t.Fatal(err)
	}
	renew := func(version uint64, drained []string) {
		section := &yuccawire.Section{
			Name: yuccadocument.SectionDrainedDataCentres, Version: version, Body: yuccadocument.EncodeDrained(drained),
		}
		view, err := yuccadocument.NewView().With(section)
		if err != nil {
			t.Fatal(err)
		}
		s.handleLeaseUpdate(yuccalease.Update{Lease: yuccalease.Lease{}.Extend(time.Now(), yuccalease.Duration), View: view})
	}
	renew(1, nil)
	owner := &ownerLink{node: &yuccawire.Node{Name: "entry-1", Incarnation: 1}, link: &discardingLink{}, openedAt: time.Now()}
	s.handleLinkOpened(owner)
	s.handleStart(ctx, time.Now(), owner, &yuccawire.Start{
		Key: &yuccawire.TaskKey{Job: &yuccawire.JobKey{Team: "parishes", Id: "j"}, Task: "t", Attempt: 1}, Owner: "entry-1",
		OwnerIncarnation: 1, SideIncarnation: 1, Service: "regulation", DeadlineMs: 60_000,
		Request: &yuccawire.Request{Method: http.MethodPut, Path: "/toll", Body: []byte(body)},
	})
	if len(s.running) != 1 {
		t.Errorf("%d runs, want 1", len(s.running))
	}
	time.Sleep(4 * time.Second)
	if renewed {
		renew(2, drained)
	}
	total.Add(int64(suspended))
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

// The side has admitted the start, and sends it once its target accepts the connection.
func TestTaskStartsAfterItsSideMayStartNothing(t *testing.T) {
	for _, c := range []struct {
		name      string
		renewed   bool
		drained   []string
		suspended time.Duration
		want      int64
	}{
		{name: "lease expired"},
		{name: "data centre out", renewed: true, drained: []string{"cusco"}},
		{name: "machine suspended", renewed: true, suspended: 4 * time.Second},
		{name: "lease renewed", renewed: true, want: 1},
	} {
		for _, body := range []string{"", "toll"} {
			t.Run(c.name+", body "+body, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					target := &lateTarget{delay: 5 * time.Second}
					startLate(t, target, body, c.renewed, c.drained, c.suspended)
					if got := target.started.Load(); got != c.want {
						t.Errorf("%d tasks started, want %d", got, c.want)
					}
				})
			})
		}
	}
}
