package yuccalocal_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalocal"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
)

const exampleDocument = "../examples/document.jsonc"

// startSystem runs a system with two data centres until the test ends and
// returns it with the addresses of its entries.
func startSystem(t testing.TB, entries, sides int) (*yuccalocal.System, []string) {
	t.Helper()
	system, err := yuccalocal.New(yuccalocal.Options{
		DataFolder: t.TempDir(), Service: "regulation", DataCentres: []string{"cusco", "puno"}, Entries: entries,
		SidesPerDataCentre: sides, Slots: 8, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := system.Supervisor().ServeBackground(ctx)
	t.Cleanup(func() {
		cancel()
		<-stopped
		_ = system.Close()
	})
	applyDocument(ctx, t, system)
	if err := system.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	callers, err := system.CallerAddresses(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return system, callers
}

func applyDocument(ctx context.Context, t testing.TB, system *yuccalocal.System) {
	t.Helper()
	address, err := system.OperatorAddress(ctx)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(exampleDocument)
	if err != nil {
		t.Fatal(err)
	}
	client := yuccaclient.New(address, "test")
	for _, section := range []string{yuccadocument.SectionDataCentres, yuccadocument.SectionServices, yuccadocument.SectionLimits} {
		body, err := yuccadocument.ExtractSection(exampleDocument, text, section)
		if err != nil {
			t.Fatal(err)
		}
		for {
			if _, err = client.ApplySection(ctx, section, 0, section, body); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// submit submits the job until it has an outcome. On a loaded machine a lease may
// expire; a resubmission then joins the job.
func submit(t testing.TB, caller string, body []byte) yuccaclient.Job {
	t.Helper()
	for {
		job, _, err := yuccaclient.New(caller, "").Submit(context.Background(), body)
		var problem *yuccaproblem.Problem
		if errors.As(err, &problem) && (problem.Type == yuccaproblem.NoControl || problem.Type == yuccaproblem.OutcomeUnknown) {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		return job
	}
}

func TestJobReturnsAllResults(t *testing.T) {
	_, callers := startSystem(t, 2, 2)
	body := []byte(`{"team": "parishes", "service": "regulation", "id": "j1", "submitted_at": "` +
		time.Now().UTC().Format(time.RFC3339) + `", "deadline": "20s",
		"tasks": [{"id": "a", "payload": {"result": 1}}, {"id": "b", "payload": {"result": 2}}]}`)
	for _, caller := range callers {
		job := submit(t, caller, body)
		if !job.IsComplete() || len(job.Tasks) != 2 || string(job.Tasks[0].Result) != "1" || string(job.Tasks[1].Result) != "2" {
			t.Errorf("entry %s answered %+v", caller, job)
		}
	}
}

// serve runs an HTTP server on a loopback address until the test ends.
func serve(t testing.TB, server *http.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}
