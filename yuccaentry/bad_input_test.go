package yuccaentry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccaentry"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccamux"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// newIdleEntry starts the HTTP server of an entry whose loop does not run. A
// request that reaches the loop stays unanswered, so the handler must refuse it.
func newIdleEntry(t *testing.T) *httptest.Server {
	t.Helper()
	e := yuccaentry.New(yuccaentry.Options{
		Network: yuccamux.New(yuccamux.Options{}), Self: &yuccawire.Node{Name: "entry-1", Incarnation: 1},
		Controls: []string{"127.0.0.1:1"}, Random: rand.New(rand.NewPCG(1, 1)), Metrics: yuccametric.New("entry-1"),
	})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return server
}

func jobBody(fields string) string {
	return fmt.Sprintf(`{"team": "parishes", "service": "regulation", "id": "j", "submitted_at": %q, %s}`,
		time.Now().UTC().Format(time.RFC3339), fields)
}

const singleTask = `"tasks": [{"id": "a"}]`

var invalidJobs = []struct {
	name, body, finding string
}{
	{"not JSON", `hello`, "job:1:1"},
	{"truncated JSON", `{"team": "parishes", "tasks": [`, "job:1:"},
	{"no tasks", jobBody(`"deadline": "1s", "tasks": []`), "tasks: has no tasks"},
	{"duplicate task id", jobBody(`"deadline": "1s", "tasks": [{"id": "a"}, {"id": "a"}]`), `tasks[1].id: "a" is the id of tasks[0] too`},
	{"duplicate field", jobBody(`"deadline": "1s", "deadline": "2s", ` + singleTask), "deadline: is given twice"},
	{"unknown field", jobBody(`"deadline": "1s", "colour": 1, ` + singleTask), "colour: is not a known field"},
	{"deadline without unit", jobBody(`"deadline": "10", ` + singleTask), `deadline: is "10", expected a duration with a unit`},
	{"zero deadline", jobBody(`"deadline": "0s", ` + singleTask), "deadline: is 0s"},
	{"deadline above the maximum", jobBody(`"deadline": "24h", ` + singleTask), "deadline: is 24h0m0s"},
	{"relative path", jobBody(`"deadline": "1s", "tasks": [{"id": "a", "path": "x"}]`), `tasks[0].path: is "x"`},
	{"no id", `{"team": "p", "service": "s", "deadline": "1s", ` + singleTask + `}`, "id: is missing"},
	{"no submitted_at", `{"team": "p", "service": "s", "id": "j", "deadline": "1s", ` + singleTask + `}`, "submitted_at: is missing"},
}

func TestInvalidJobsAreRefused(t *testing.T) {
	server := newIdleEntry(t)
	for _, tc := range invalidJobs {
		t.Run(tc.name, func(t *testing.T) {
			response, err := http.Post(server.URL+"/v1/jobs", "application/json", strings.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			problem := yuccaproblem.Read(response)
			if response.StatusCode != http.StatusBadRequest || !problem.NotRun || problem.Type != yuccaproblem.BadRequest {
				t.Errorf("response is %s, %+v, want a bad request that was not run", response.Status, problem)
			}
			if !strings.Contains(strings.Join(problem.Findings, "\n"), tc.finding) {
				t.Errorf("findings are %q, want %q", problem.Findings, tc.finding)
			}
		})
	}
}

// An entry whose clock is right may have run the job before.
func TestJobAheadOfTheClockIsNotReportedAsNotRun(t *testing.T) {
	server := newIdleEntry(t)
	body := fmt.Sprintf(`{"team": "p", "service": "s", "id": "j", "deadline": "1s", "submitted_at": %q, %s}`,
		time.Now().Add(time.Minute).UTC().Format(time.RFC3339), singleTask)
	response, err := http.Post(server.URL+"/v1/jobs", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	problem := yuccaproblem.Read(response)
	if problem.Type != yuccaproblem.BadRequest || problem.NotRun || !strings.Contains(problem.Detail, "submitted_at") {
		t.Errorf("response is %+v, want a bad request that names submitted_at and may have been run", problem)
	}
}

// Its claim would be dropped while a resubmission still counts as recent.
func TestRequestAheadOfTheClockIsRefused(t *testing.T) {
	request, err := http.NewRequest(http.MethodPost, newIdleEntry(t).URL+"/v1/services/regulation/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header = http.Header{"Yucca-Team": {"p"}, "Idempotency-Key": {"k"}, "Yucca-Submitted-At": {"9999-12-31T23:59:59Z"}, "Yucca-Timeout": {"1s"}}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	problem := yuccaproblem.Read(response)
	if problem.Type != yuccaproblem.BadRequest || problem.NotRun || !strings.Contains(problem.Detail, "Yucca-Submitted-At") {
		t.Errorf("response is %+v, want a bad request that names the header and may have been run", problem)
	}
}

func TestAllFindingsOfJobAreReported(t *testing.T) {
	server := newIdleEntry(t)
	body := "{\n\"team\": 7,\n\"service\": \"s\",\n\"deadline\": \"1\",\n\"wrong\": 1,\n\"tasks\": [{}]}"
	response, err := http.Post(server.URL+"/v1/jobs", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	problem := yuccaproblem.Read(response)
	for _, finding := range []string{"job:2:9: team", "job:4:13: deadline", "job:5:1: wrong", "job:6:11: tasks[0].id"} {
		if !strings.Contains(strings.Join(problem.Findings, "\n"), finding) {
			t.Errorf("missing finding %q in %q", finding, problem.Findings)
		}
	}
}

func TestOversizedBodiesAreRefused(t *testing.T) {
	server := newIdleEntry(t)
	for path, size := range map[string]int{"/v1/jobs": yuccaentry.MaxJobBytes, "/v1/services/regulation/x": yuccaentry.MaxRequestBytes} {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(strings.Repeat(" ", size+1)))
		if err != nil {
			t.Fatal(err)
		}
		problem := yuccaproblem.Read(response)
		response.Body.Close()
		if problem.Type != yuccaproblem.TooLarge || !problem.NotRun {
			t.Errorf("response of %s is %+v, want it too large and not run", path, problem)
		}
	}
}

// A body that ends before its Content-Length is refused and not run.
func TestTruncatedBodyIsRefused(t *testing.T) {
	server := newIdleEntry(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{\"team\":")
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(conn)
	_, body, _ := strings.Cut(string(text), "\r\n\r\n")
	var problem yuccaproblem.Problem
	if err := json.Unmarshal([]byte(body), &problem); err != nil || !problem.NotRun || !strings.Contains(problem.Detail, "cut off after 8 bytes") {
		t.Errorf("response is %q, %v, want a truncated body that was not run", text, err)
	}
}

// Nobody has such a job, and a question about it ended the links to the other entries.
func TestJobNameThatIsNotUTF8IsUnknown(t *testing.T) {
	response, err := http.Get(newIdleEntry(t).URL + "/v1/jobs/parishes/%ff")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNotFound {
		t.Errorf("response is %s, want not found", response.Status)
	}
}

func TestInvalidHeadersAreRefused(t *testing.T) {
	server := newIdleEntry(t)
	for name, value := range map[string]string{"Yucca-Timeout": "soon", "Yucca-Submitted-At": "yesterday", "Yucca-Team": "", "Idempotency-Key": "\xff"} {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/services/regulation/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Yucca-Team", "parishes")
		request.Header[name] = []string{value}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		problem := yuccaproblem.Read(response)
		response.Body.Close()
		if problem.Type != yuccaproblem.BadRequest || !strings.Contains(problem.Detail, name) {
			t.Errorf("header %s: response is %+v, want a bad request that names the header", name, problem)
		}
	}
}

func TestQueryThatIsNotUTF8IsEscaped(t *testing.T) {
	request := httptest.NewRequest(http.MethodGet, "/v1/services/regulation/x?q=caf\xe9&r=%ff&s=é", nil)
	message := yuccaentry.WireRequest(request, nil)
	if _, err := proto.Marshal(message); err != nil || message.GetQuery() != "q=caf%E9&r=%ff&s=%C3%A9" {
		t.Errorf("the query is %q, %v", message.GetQuery(), err)
	}
	request = httptest.NewRequest(http.MethodGet, "/v1/services/regulation/x?s=é", nil)
	if got := yuccaentry.WireRequest(request, nil).GetQuery(); got != "s=é" {
		t.Errorf("a query in UTF-8 is changed to %q", got)
	}
}
