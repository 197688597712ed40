package yuccasized_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccasized"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

// standingWorker executes calls until goOn is open. Only its kernel accepts connections then.
type standingWorker struct {
	net.Listener
	mu      sync.Mutex
	goOn    chan struct{}
	born    time.Time
	running []map[string]any
}

func newStandingWorker(t *testing.T, backlog int) *standingWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), backlog) }); err != nil {
		t.Fatal(err)
	}
	w := &standingWorker{Listener: listener, goOn: make(chan struct{}), born: time.Now()}
	close(w.goOn)
	server := &http.Server{Handler: w, ReadHeaderTimeout: callTimeout}
	go func() { _ = server.Serve(w) }()
	t.Cleanup(func() { _ = server.Close() })
	return w
}

func (w *standingWorker) standStill(t *testing.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	goOn := make(chan struct{})
	w.goOn = goOn
	t.Cleanup(func() { close(goOn) })
}

func (w *standingWorker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

func (w *standingWorker) await() {
	w.mu.Lock()
	goOn := w.goOn
	w.mu.Unlock()
	<-goOn
}

func (w *standingWorker) Accept() (net.Conn, error) {
	connection, err := w.Listener.Accept()
	w.await()
	return connection, err
}

func (w *standingWorker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	var body struct {
		Task string `json:"task"`
		Run  uint64 `json:"run"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	w.await()
	w.mu.Lock()
	defer w.mu.Unlock()
	if body.Task != "" {
		w.running = append(w.running, map[string]any{"task": body.Task, "run": body.Run})
	}
	_ = json.NewEncoder(response).Encode(map[string]any{"result": "ok", "clock_ms": time.Since(w.born).Milliseconds(), "running": w.running})
}

// callingSide executes the actions of a worker's core with a client.
type callingSide struct {
	core   *yuccaworker.Worker
	client *yuccasized.WorkerClient
	owner  yuccaworker.Owner
	// replies are handled in the loop, ended are the runs that are reported as ended.
	replies chan func(now time.Time)
	ended   []*yuccawire.Ended
}

func (s *callingSide) run(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.core.HandleHeartbeat(time.Now(), s.owner, &yuccawire.Beat{UntilMs: s.core.Clock(time.Now()) + 500})
		s.core.Tick(time.Now())
		for len(s.replies) > 0 {
			(<-s.replies)(time.Now())
		}
		for _, a := range s.core.Actions() {
			if m, isSend := a.(yuccaworker.Send); isSend {
				s.ended = append(s.ended, m.Message.GetEnds().GetEnds()...)
				continue
			}
			go func() { s.replies <- s.call(t, a) }()
		}
	}
}

func (s *callingSide) call(t *testing.T, a yuccaworker.Action) func(now time.Time) {
	switch a := a.(type) {
	case yuccaworker.CallStart:
		result, clock := s.client.Start(t.Context(), a)
		return func(now time.Time) { s.core.HandleStartReply(now, a.Incarnation, a.Key, result, clock) }
	case yuccaworker.CallStop:
		answered, clock := s.client.Stop(t.Context(), a)
		return func(now time.Time) { s.core.HandleStopReply(now, a.Incarnation, a.Key, answered, clock) }
	case yuccaworker.CallHold:
		result := s.client.Hold(t.Context(), a)
		result.SentAt = a.SentAt
		return func(now time.Time) { s.core.HandleHoldReply(now, result) }
	case yuccaworker.CallConnect:
		result := s.client.Connect(t.Context(), a)
		return func(now time.Time) { s.core.HandleConnectReply(now, a, result) }
	}
	return func(time.Time) {}
}

func (s *callingSide) order(names ...string) {
	job := &yuccawire.JobOrder{Job: "j", Service: "belfry", ExpiresMs: s.core.Clock(time.Now()) + 60_000}
	for _, name := range names {
		job.Tasks = append(job.Tasks, &yuccawire.TaskOrder{Task: name, Run: 1, CpuMilli: 500, MemoryMb: 64, EstimateMs: 200})
	}
	s.core.HandleOrders(time.Now(), s.owner, &yuccawire.Orders{UntilMs: s.core.Clock(time.Now()) + 500, Jobs: []*yuccawire.JobOrder{job}})
}

// The unanswered calls of the side itself fill the queue of connections that wait to be accepted.
func TestRunOfAStandingWorkerWithAShortQueueIsNotReportedAsEnded(t *testing.T) {
	for _, backlog := range []int{5, 128} {
		t.Run(fmt.Sprint(backlog), func(t *testing.T) {
			worker := newStandingWorker(t, backlog)
			s := &callingSide{
				core:    yuccaworker.New(yuccaworker.Options{Metrics: yuccametric.New(t.Name()), Logger: slog.New(slog.DiscardHandler)}, time.Now()),
				client:  yuccasized.NewWorkerClient(worker.Addr().String(), slog.New(slog.DiscardHandler)),
				owner:   yuccaworker.Owner{Name: "entry-1", Incarnation: 1},
				replies: make(chan func(now time.Time), 1000),
			}
			s.core.HandleLinkUp(time.Now(), s.owner)
			s.core.HandleReport(time.Now(), yuccaworker.Report{ID: "w", StartedAtMS: 100, Service: "belfry", CPUMilli: 16000, MemoryMB: 32768, Sequence: 1})
			s.run(t, 300*time.Millisecond)
			s.order("a")
			for worker.runs() == 0 {
				s.run(t, 20*time.Millisecond)
			}
			worker.standStill(t)
			s.order("b", "c", "d", "e")
			s.run(t, 1200*time.Millisecond)
			if len(s.ended) != 0 {
				t.Errorf("reported %v while the worker stands still, want nothing", s.ended)
			}
		})
	}
}
