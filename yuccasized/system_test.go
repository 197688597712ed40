package yuccasized_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccadriver"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamemnet"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccasized"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// system runs two entries and a side with a simulated worker on an in-memory
// network.
type system struct {
	t       *testing.T
	fabric  *yuccamemnet.Fabric
	callers [2]http.Handler
	edges   [2]*yuccaedge.Edge
	worker  *yuccasized.SimulatedWorker
}

func newSystem(t *testing.T) *system {
	s := &system{t: t, fabric: yuccamemnet.New(yuccamemnet.Options{Delay: time.Millisecond, Seed: 1})}
	supervisor := suture.NewSimple("system")
	logger := slog.New(slog.DiscardHandler)
	for i := range s.callers {
		name := fmt.Sprintf("e%d", i)
		metrics := yuccametric.New(name)
		mesh := yuccamesh.New(yuccamesh.Options{
			Network: s.fabric.Host(name), Self: node(name, yuccawire.Role_ROLE_ENTRY), Listen: true,
			Seeds: func() []string { return []string{"e0:1"} }, Metrics: metrics, Logger: logger,
		})
		lease := yuccalease.New(yuccalease.Options{
			Network: s.fabric.Host(name), Self: node(name, yuccawire.Role_ROLE_ENTRY), Random: rand.New(rand.NewPCG(1, uint64(i))), Logger: logger,
			Discover: func() []string { return nil },
		})
		edge := yuccaedge.New(yuccaedge.Options{
			Mesh: mesh, Lease: lease, Decode: yuccasized.DecodeDocument, MaxConfigurationAge: time.Second,
			Broker:  yuccabroker.New(yuccabroker.Options{Name: name, Incarnation: 1, Scheduling: yuccabroker.DefaultScheduling(), Random: rand.New(rand.NewPCG(2, uint64(i))), Metrics: metrics, Logger: logger}),
			Metrics: metrics, Logger: logger,
		})
		edge.ApplyRecovered([]*yuccawire.Section{{Name: yuccadocument.SectionWholeDocument, Version: 3, Body: []byte(document)}})
		s.edges[i] = edge
		s.callers[i] = yuccasized.NewCallers(edge, metrics, logger)
		supervisor.Add(mesh)
		supervisor.Add(edge)
	}
	mesh := yuccamesh.New(yuccamesh.Options{
		Network: s.fabric.Host("s"), Self: node("s", yuccawire.Role_ROLE_SIDE),
		Seeds: func() []string { return []string{"e1:1"} }, Metrics: yuccametric.New("s"), Logger: logger,
	})
	s.worker = yuccasized.NewSimulatedWorker(yuccasized.SimulatedWorkerOptions{ID: "w", Service: "belfry", CPU: 4, MemoryMB: 1000, Logger: logger})
	driver := yuccadriver.New(yuccadriver.Options{Name: "s", Mesh: mesh, Client: s.worker, Metrics: yuccametric.New("s"), Logger: logger})
	supervisor.Add(mesh)
	supervisor.Add(driver)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := supervisor.ServeBackground(ctx)
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	r := &reporter{driver: driver, worker: s.worker}
	go r.run(ctx)
	time.Sleep(3 * time.Second)
	return s
}

func node(name string, role yuccawire.Role) *yuccawire.Node {
	return &yuccawire.Node{Name: name, Role: role, Address: name + ":1", Incarnation: 1, DataCentre: "puno"}
}

// reporter passes the worker's reports to the driver at a fixed interval.
type reporter struct {
	driver *yuccadriver.Driver
	worker *yuccasized.SimulatedWorker
}

func (r *reporter) run(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if report, ok := r.worker.Report(); ok {
			_, _ = r.driver.Report(ctx, report)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// call sends a request to an entry and returns the status and the body of the
// response.
func (s *system) call(entry int, method, path, body string) (int, map[string]any) {
	w := httptest.NewRecorder()
	s.callers[entry].ServeHTTP(w, httptest.NewRequestWithContext(s.t.Context(), method, path, strings.NewReader(body)))
	answer := make(map[string]any)
	if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
		s.t.Errorf("%s %s: the response is not JSON: %s", method, path, w.Body)
	}
	return w.Code, answer
}

// submission submits a job and records the response.
type submission struct {
	system *system
	id     string
	body   string
	status int
	answer map[string]any
	done   chan struct{}
}

func (s *submission) run() {
	s.status, s.answer = s.system.call(0, http.MethodPost, "/v1/queues/trim/jobs/"+s.id, s.body)
	close(s.done)
}

func (s *system) submit(id, body string) *submission {
	sub := &submission{system: s, id: id, body: body, done: make(chan struct{})}
	go sub.run()
	return sub
}

// twoSteps returns the body of a job of three tasks and one that depends on them.
func twoSteps(sleep string) string {
	return `{"deadline": "4s", "payload": {"sleep": "` + sleep + `"}, "steps": [
		{"tasks": 3, "cpu": 1, "estimate": "60ms"}, {"tasks": 1, "cpu": 2, "estimate": "60ms", "after": [0]}]}`
}

func TestJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		sub := s.submit("j1", twoSteps("60ms"))
		<-sub.done
		if sub.status != http.StatusOK || sub.answer["state"] != "completed" || s.worker.Starts() != 4 {
			t.Errorf("response %d %v after %d starts, want completed after 4", sub.status, sub.answer, s.worker.Starts())
		}
		// Every entry finds the job.
		for entry := range s.callers {
			if status, answer := s.call(entry, http.MethodGet, "/v1/queues/trim/jobs/j1", ""); status != http.StatusOK || answer["state"] != "completed" {
				t.Errorf("entry %d: response %d %v, want completed", entry, status, answer)
			}
		}
		if status, answer := s.call(1, http.MethodDelete, "/v1/queues/trim/jobs/j1", ""); status != http.StatusNotFound || !strings.Contains(fmt.Sprint(answer["detail"]), "open") {
			t.Errorf("cancelling a completed job: response %d %v, want 404 because no entry has it open", status, answer)
		}
		failing := s.submit("j2", `{"payload": {"sleep": "10ms", "fail": true}, "steps": [{"tasks": 1, "cpu": 1, "estimate": "10ms"}]}`)
		<-failing.done
		if failing.status != http.StatusBadGateway || s.worker.Starts() != 6 {
			t.Errorf("failing job: status %d after %d starts, want 502 after 2", failing.status, s.worker.Starts()-4)
		}
	})
}

// An entry that does not own a job can query, count and cancel it. No task of the
// job starts after the cancellation.
func TestCancelAtOtherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		sub := s.submit("long", twoSteps("1s"))
		time.Sleep(100 * time.Millisecond)
		waiting := s.submit("waiting", `{"deadline": "4s", "steps": [{"tasks": 1, "cpu": 4, "estimate": "400ms"}]}`)
		time.Sleep(300 * time.Millisecond)
		if status, answer := s.call(1, http.MethodGet, "/v1/queues/trim/jobs/long", ""); status != http.StatusOK || answer["state"] != "running" {
			t.Errorf("query at the other entry: response %d %v, want running", status, answer)
		}
		if status, answer := s.call(1, http.MethodGet, "/v1/queues/trim", ""); status != http.StatusOK || answer["pending"] != 1.0 {
			t.Errorf("queue at the other entry: response %d %v, want one pending", status, answer)
		}
		if status, answer := s.call(1, http.MethodDelete, "/v1/queues/trim/jobs/long", ""); status != http.StatusOK || answer["state"] != "cancelled" {
			t.Errorf("cancelling at the other entry: response %d %v, want cancelled", status, answer)
		}
		<-sub.done
		if sub.status != http.StatusBadGateway {
			t.Errorf("cancelled job: response %d %v, want 502", sub.status, sub.answer)
		}
		<-waiting.done
		if waiting.status != http.StatusOK || s.worker.Starts() != 4 {
			t.Errorf("waiting job: status %d after %d starts, want 200 after 4", waiting.status, s.worker.Starts())
		}
		if status, _ := s.call(1, http.MethodDelete, "/v1/queues/trim/jobs/nobody", ""); status != http.StatusNotFound {
			t.Errorf("cancelling an unknown job: status %d, want 404", status)
		}
	})
}

// A query does not return 404 while an entry that may have the job is unreachable.
// Otherwise the caller would take a running job for one that does not exist.
func TestUnreachableEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.fabric.Partition("e0", "e1")
		start := time.Now()
		status, answer := s.call(1, http.MethodGet, "/v1/queues/trim/jobs/j1", "")
		if status != http.StatusServiceUnavailable || answer["not_run"] != false {
			t.Errorf("response %d %v, want 503", status, answer)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("the query took %v, want 1s at most", took)
		}
	})
}

// Requests that are invalid or can't be served are refused immediately, and the
// response says that the job was not run.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		for _, tc := range []struct {
			path, body string
			status     int
			kind       yuccaproblem.Type
			finding    string
		}{
			{"/v1/queues/nobody/jobs/a", twoSteps("1s"), http.StatusNotFound, yuccaproblem.UnknownService, ""},
			{"/v1/queues/trim/jobs/" + strings.Repeat("x", 201), twoSteps("1s"), http.StatusBadRequest, yuccaproblem.BadRequest, ""},
			{"/v1/queues/trim/jobs/%ff", twoSteps("1s"), http.StatusBadRequest, yuccaproblem.BadRequest, ""},
			{"/v1/queues/trim/jobs/a", "{", http.StatusBadRequest, yuccaproblem.BadRequest, "job:1:2"},
			{"/v1/queues/trim/jobs/a", `{"steps": []}`, http.StatusBadRequest, yuccaproblem.BadRequest, "job:1:11: steps: has no steps"},
			{"/v1/queues/trim/jobs/a", `{"steps": [{"tasks": 1, "cpu": 1, "estimate": "1ms", "after": [0]}]}`, http.StatusBadRequest, yuccaproblem.BadRequest, "steps[0].after: names step 0"},
			{"/v1/queues/trim/jobs/a", `{"steps": [{"tasks": 1, "cpu": 1, "estimate": "9s"}]}`, http.StatusServiceUnavailable, yuccaproblem.PastDeadline, ""},
			{"/v1/queues/trim/jobs/a", strings.Repeat(" ", 2<<20), http.StatusRequestEntityTooLarge, yuccaproblem.TooLarge, ""},
		} {
			start := time.Now()
			status, answer := s.call(0, http.MethodPost, tc.path, tc.body)
			if status != tc.status || answer["type"] != string(tc.kind) || answer["not_run"] != true {
				t.Errorf("%.60s: response %d %v", tc.body, status, answer)
			}
			if tc.finding != "" && !strings.Contains(fmt.Sprint(answer["findings"]), tc.finding) {
				t.Errorf("%q is missing from the findings %v", tc.finding, answer["findings"])
			}
			if took := time.Since(start); took > 50*time.Millisecond {
				t.Errorf("%.60s: refused after %v, want 50ms at most", tc.body, took)
			}
		}
		if s.worker.Starts() != 0 {
			t.Errorf("%d starts, want none", s.worker.Starts())
		}
	})
}

// A job whose task crashes its worker is answered as failed after two crashes. The
// other entry then refuses to start it again.
func TestCrashingTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		crashing := `{"deadline": "8s", "payload": {"sleep": "10ms", "crash": true}, "steps": [{"tasks": 1, "cpu": 1, "estimate": "10ms"}]}`
		sub := s.submit("j1", crashing)
		<-sub.done
		if sub.status != http.StatusBadGateway || s.worker.Starts() != 2 || !strings.Contains(fmt.Sprint(sub.answer), "crashed 2 workers") {
			t.Errorf("response %d %v after %d starts, want 502 after 2", sub.status, sub.answer, s.worker.Starts())
		}
		if status, answer := s.call(1, http.MethodPost, "/v1/queues/trim/jobs/j1", crashing); status != http.StatusBadGateway || s.worker.Starts() != 2 {
			t.Errorf("response of the other entry %d %v after %d starts, want 502 after 2", status, answer, s.worker.Starts())
		}
		time.Sleep(2 * time.Second)
		good := s.submit("j2", twoSteps("60ms"))
		<-good.done
		if good.status != http.StatusOK {
			t.Errorf("response to the next job %d %v, want completed", good.status, good.answer)
		}
	})
}
