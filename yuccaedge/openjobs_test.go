package yuccaedge_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// openEntry is an entry that a side reports to, which keeps the orders that it gets.
type openEntry struct {
	t       *testing.T
	fabric  *yuccamemnet.Fabric
	name    string
	edge    *yuccaedge.Edge
	cancel  context.CancelFunc
	stopped <-chan error
	side    yuccawire.Link
	orders  chan *yuccawire.TaskOrder
}

func startOpenEntry(t *testing.T, fabric *yuccamemnet.Fabric, name string, incarnation uint64) *openEntry {
	ctx, cancel := context.WithCancel(t.Context())
	e := &openEntry{t: t, fabric: fabric, name: name, cancel: cancel, orders: make(chan *yuccawire.TaskOrder, 100)}
	e.edge, e.stopped = serveEntry(ctx, fabric.Host(name), entryNode(name, incarnation), []string{"e0:1", "e1:1"}, yuccametric.New(name))
	time.Sleep(100 * time.Millisecond)
	e.side = dialSideOf(t, fabric.Host("s"), name+":1", 1)
	go e.report(ctx)
	go e.receive()
	return e
}

func (e *openEntry) report(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for clockMS := uint64(1100); ctx.Err() == nil; clockMS += 100 {
		select {
		case <-ticker.C:
			_ = e.side.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_WorkerState{WorkerState: workerState(clockMS)}})
		case <-ctx.Done():
		}
	}
}

func (e *openEntry) receive() {
	for {
		m, err := e.side.Receive()
		if err != nil {
			return
		}
		if query := m.GetRunsQuery(); query != nil {
			reply := &yuccawire.RunsReply{Number: query.GetNumber(), Absent: query.GetJobs()}
			_ = e.side.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_RunsReply{RunsReply: reply}})
		}
		for _, j := range m.GetOrders().GetJobs() {
			for _, order := range j.GetTasks() {
				e.orders <- order
			}
		}
	}
}

// submit submits the job of waitingCaller, whose request is as old as given.
func (e *openEntry) submit(age time.Duration) *waitingCaller {
	caller := &waitingCaller{edge: e.edge, receivedAt: time.Now().Add(-age), outcome: make(chan yuccabroker.Outcome, 1)}
	go caller.run(e.t.Context())
	return caller
}

// receiveOrder returns the order that the side gets within the time, nil if it gets none.
func (e *openEntry) receiveOrder(within time.Duration) *yuccawire.TaskOrder {
	select {
	case order := <-e.orders:
		return order
	case <-time.After(within):
		return nil
	}
}

func (e *openEntry) mustReceiveOrder(within time.Duration) *yuccawire.TaskOrder {
	order := e.receiveOrder(within)
	if order == nil {
		e.t.Fatalf("the side of %s gets no order within %v", e.name, within)
	}
	return order
}

// end tells the entry that the run of an order is done.
func (e *openEntry) end(order *yuccawire.TaskOrder) {
	done := &yuccawire.Ended{Run: &yuccawire.RunKey{Task: order.GetTask(), Run: order.GetRun()}, End: yuccawire.RunEnd_RUN_END_DONE}
	_ = e.side.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Ends{Ends: &yuccawire.Ends{Ends: []*yuccawire.Ended{done}}}})
}

func (e *openEntry) stop() {
	e.cancel()
	<-e.stopped
	e.fabric.Crash(e.name)
}

func checkCompleted(t *testing.T, callers ...*waitingCaller) {
	for i, c := range callers {
		if outcome := <-c.outcome; outcome.State != yuccabroker.Completed {
			t.Errorf("caller %d is answered %v, %q, want completed", i, outcome.State, outcome.Reason)
		}
	}
}

func TestJobThatIsOpenAtAnEntryRunsAtAnotherOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		e0, e1 := startOpenEntry(t, fabric, "e0", 1), startOpenEntry(t, fabric, "e1", 1)
		defer e0.stop()
		defer e1.stop()
		time.Sleep(2 * time.Second)
		first := e0.submit(0)
		order := e0.mustReceiveOrder(100 * time.Millisecond)
		time.Sleep(700 * time.Millisecond)
		second := e1.submit(0)
		if other := e1.receiveOrder(time.Second); other != nil {
			t.Errorf("the other entry orders %v beside the run", other)
		}
		e0.end(order)
		checkCompleted(t, first, second)
	})
}

// The job is told before the other entry starts, and nothing is told after its link has come up.
func TestEntryThatIsLinkedLaterRunsAnOpenJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		e0 := startOpenEntry(t, fabric, "e0", 1)
		defer e0.stop()
		time.Sleep(time.Second)
		first := e0.submit(0)
		order := e0.mustReceiveOrder(100 * time.Millisecond)
		time.Sleep(700 * time.Millisecond)
		e1 := startOpenEntry(t, fabric, "e1", 1)
		defer e1.stop()
		time.Sleep(700 * time.Millisecond)
		second := e1.submit(0)
		if other := e1.receiveOrder(500 * time.Millisecond); other != nil {
			t.Errorf("the entry that was linked later orders %v beside the run", other)
		}
		e0.end(order)
		checkCompleted(t, first, second)
	})
}

// Without the restart the job would be free only once its caller has stopped waiting.
func TestJobOfAnEntryThatHasRestartedWaitsForItsDeadline(t *testing.T) {
	const leases = 670 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		e0, e1 := startOpenEntry(t, fabric, "e0", 1), startOpenEntry(t, fabric, "e1", 1)
		defer e1.stop()
		time.Sleep(2 * time.Second)
		e0.submit(0)
		e0.mustReceiveOrder(100 * time.Millisecond)
		time.Sleep(700 * time.Millisecond)
		e0.stop()
		second := e1.submit(0)
		if order := e1.receiveOrder(200 * time.Millisecond); order != nil {
			t.Errorf("%v is ordered before the other entry has restarted", order)
		}
		restarted := startOpenEntry(t, fabric, "e0", 2)
		defer restarted.stop()
		if order := e1.receiveOrder(leases - 100*time.Millisecond); order != nil {
			t.Errorf("%v is ordered before the leases of the other entry have expired", order)
		}
		e1.end(e1.mustReceiveOrder(500 * time.Millisecond))
		checkCompleted(t, second)
	})
}

// The request has waited in the socket, and messages between the entries are delayed as it is read.
func TestWaitingJobIsPlacedBeforeTheOtherEntryKnowsOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		e0, e1 := startOpenEntry(t, fabric, "e0", 1), startOpenEntry(t, fabric, "e1", 1)
		defer e0.stop()
		defer e1.stop()
		time.Sleep(2 * time.Second)
		fabric.Isolate("e0", "e1")
		caller := e0.submit(1100 * time.Millisecond)
		if order := e0.receiveOrder(400 * time.Millisecond); order != nil {
			t.Errorf("%v is ordered before the other entry has confirmed the job", order)
		}
		fabric.Rejoin("e0", "e1")
		e0.end(e0.mustReceiveOrder(200 * time.Millisecond))
		checkCompleted(t, caller)
	})
}

// The link to the entry at which the job is open is cut, that to a side that both reach is not.
func TestJobIsPlacedThoughASideTellsThatItIsOpenAtAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})
		e0 := startOpenEntry(t, fabric, "e0", 1)
		defer e0.stop()
		time.Sleep(2 * time.Second)
		list := &yuccawire.OpenJobs{Sequence: 1, Whole: true, Opened: []*yuccawire.OpenJob{{Job: "a", AgeMs: 1500, RemainingMs: 500, LastRun: 1}}}
		_ = e0.side.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Forward{Forward: &yuccawire.Forward{To: "e0", From: "e1", Incarnation: 1, OpenJobs: list}}})
		time.Sleep(100 * time.Millisecond)
		caller := e0.submit(0)
		if order := e0.receiveOrder(500 * time.Millisecond); order != nil {
			t.Errorf("ordered %v", order)
		}
		<-caller.outcome
	})
}
