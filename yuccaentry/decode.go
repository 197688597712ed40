package yuccaentry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash"
	"net/http"
	"net/url"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// jobRequest is the body of POST /v1/jobs.
type jobRequest struct {
	Team        string        `json:"team"`
	Service     string        `json:"service"`
	ID          string        `json:"id"`
	SubmittedAt string        `json:"submitted_at"`
	Deadline    time.Duration `json:"deadline"`
	Repeatable  bool          `json:"repeatable"`
	Tasks       []taskRequest `json:"tasks"`
}

// taskRequest is one task of a job.
type taskRequest struct {
	ID      string          `json:"id"`
	Path    string          `json:"path"`
	Payload json.RawMessage `json:"payload"`
}

// decodeJob decodes and validates a job. The error contains all findings.
func decodeJob(now time.Time, body []byte) (yuccadispatch.Submission, error) {
	var request jobRequest
	d := yuccajsonc.Decode("job", body, &request)
	submittedAt := request.validate(d)
	if err := d.Err(); err != nil {
		return yuccadispatch.Submission{}, err
	}
	return request.toSubmission(now, submittedAt), nil
}

// validate reports all findings to d and returns the submission time.
func (r jobRequest) validate(d *yuccajsonc.Document) time.Time {
	validateName(d, "team", r.Team)
	validateName(d, "service", r.Service)
	validateName(d, "id", r.ID)
	if r.Deadline <= 0 || r.Deadline > MaxDeadline {
		d.Report("deadline", fmt.Sprintf("is %s", r.Deadline), fmt.Sprintf("a duration above zero, at most %s", MaxDeadline))
	}
	if len(r.Tasks) == 0 {
		d.Report("tasks", "has no tasks", "one task at least")
	}
	if len(r.Tasks) > MaxTasks {
		d.Report("tasks", fmt.Sprintf("has %d tasks", len(r.Tasks)), fmt.Sprintf("%d at most", MaxTasks))
	}
	r.validateTasks(d)
	return parseSubmittedAt(d, r.SubmittedAt)
}

func (r jobRequest) validateTasks(d *yuccajsonc.Document) {
	firstIndex := make(map[string]int, len(r.Tasks))
	for i, t := range r.Tasks {
		field := fmt.Sprintf("tasks[%d]", i)
		validateName(d, field+".id", t.ID)
		if j, duplicate := firstIndex[t.ID]; duplicate {
			d.Report(field+".id", fmt.Sprintf("%q is the id of tasks[%d] too", t.ID, j), "ids that differ")
		}
		firstIndex[t.ID] = i
		if !isValidPath(t.Path) {
			d.Report(field+".path", fmt.Sprintf("is %q", t.Path), "a path that begins with /")
		}
	}
}

// isValidPath reports whether the path is absolute, without query and fragment, or
// empty, which means /.
func isValidPath(path string) bool {
	if path == "" {
		return true
	}
	_, err := url.Parse(path)
	return err == nil && strings.HasPrefix(path, "/") && !strings.ContainsAny(path, "?#")
}

func validateName(d *yuccajsonc.Document, field, name string) {
	switch {
	case name == "":
		d.Report(field, "is missing", "a name")
	case len(name) > maxNameBytes:
		d.Report(field, fmt.Sprintf("has %d bytes", len(name)), fmt.Sprintf("%d at most", maxNameBytes))
	case !utf8.ValidString(name):
		d.Report(field, fmt.Sprintf("is %q", name), "a name in UTF-8")
	case strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f || r == '/' }):
		d.Report(field, fmt.Sprintf("is %q", name), "a name without control characters and /")
	}
}

func parseSubmittedAt(d *yuccajsonc.Document, value string) time.Time {
	submittedAt, err := time.Parse(time.RFC3339, value)
	switch {
	case value == "":
		d.Report("submitted_at", "is missing", "the time of the first submission, such as 2026-03-02T09:30:00Z, the same in each resubmission")
	case err != nil:
		d.Report("submitted_at", fmt.Sprintf("is %q", value), "a time such as 2026-03-02T09:30:00Z")
	}
	return submittedAt
}

// maxClockSkew is how far the clock of a caller may be ahead.
const maxClockSkew = 15 * time.Second

func (r jobRequest) toSubmission(now, submittedAt time.Time) yuccadispatch.Submission {
	s := yuccadispatch.Submission{
		Key:         yuccadispatch.Key{Team: r.Team, ID: r.ID},
		Service:     r.Service,
		SubmittedAt: submittedAt,
		Deadline:    now.Add(r.Deadline),
		Repeatable:  r.Repeatable,
		Tasks:       make([]yuccadispatch.TaskRequest, len(r.Tasks)),
	}
	for i, t := range r.Tasks {
		s.Tasks[i] = yuccadispatch.TaskRequest{ID: t.ID, Request: t.toWire()}
	}
	s.Digest = digest(s)
	return s
}

func (t taskRequest) toWire() *yuccawire.Request {
	path := t.Path
	if path == "" {
		path = "/"
	}
	return &yuccawire.Request{
		Method:  http.MethodPost,
		Path:    path,
		Headers: []*yuccawire.Header{{Name: "Content-Type", Values: []string{"application/json"}}},
		Body:    t.Payload,
	}
}

// digest returns a hash of the fields in which two submissions with the same id
// must agree to be the same job.
func digest(s yuccadispatch.Submission) []byte {
	h := sha256.New()
	hashField(h, s.Service)
	hashField(h, s.SubmittedAt.UTC().Format(time.RFC3339Nano))
	hashField(h, fmt.Sprint(s.Repeatable))
	for _, t := range s.Tasks {
		r := t.Request
		for _, field := range []string{t.ID, r.GetMethod(), r.GetPath(), r.GetQuery(), string(r.GetBody())} {
			hashField(h, field)
		}
	}
	return h.Sum(nil)
}

// hashField hashes the field with its length as prefix, so that adjacent fields
// can't be confused.
func hashField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write([]byte(field))
}
