package yuccaentry

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccaheader"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Headers of a single request that are read by the entry.
const (
	headerTeam           = "Yucca-Team"
	headerTimeout        = "Yucca-Timeout"
	headerRepeatable     = "Yucca-Repeatable"
	headerSubmittedAt    = "Yucca-Submitted-At"
	headerIdempotencyKey = "Idempotency-Key"
)

// singleTaskID is the id of the only task of a single request.
const singleTaskID = "request"

// serveRequest runs a single request as a job with one task. Method, headers, body
// and response are passed through unchanged.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, problem := readBody(w, r, MaxRequestBytes)
	if problem != nil {
		e.refuse(w, problem)
		return
	}
	now := time.Now()
	submission, problem := decodeRequest(now, r, body)
	if problem != nil {
		e.refuse(w, problem)
		return
	}
	if e.refuseAheadOfClock(w, now, "header "+headerSubmittedAt, submission) {
		return
	}
	e.submitAndWrite(w, r, "entry.request", submission, func(o *yuccawire.Outcome) {
		if !o.GetComplete() {
			yuccaproblem.Write(w, outcomeProblem(o))
			return
		}
		writePassthrough(w, o.GetTasks()[0])
	})
}

func writePassthrough(w http.ResponseWriter, t *yuccawire.TaskOutcome) {
	yuccaheader.Apply(t.GetHeaders(), w.Header())
	w.WriteHeader(int(t.GetStatus()))
	_, _ = w.Write(t.GetBody())
}

func decodeRequest(now time.Time, r *http.Request, body []byte) (yuccadispatch.Submission, *yuccaproblem.Problem) {
	timeout, err := requestTimeout(r)
	if err != nil {
		return yuccadispatch.Submission{}, invalidHeader(headerTimeout, "is "+r.Header.Get(headerTimeout)+", expected a duration such as 500ms, at most "+MaxDeadline.String())
	}
	submittedAt, err := requestSubmittedAt(r)
	if err != nil {
		return yuccadispatch.Submission{}, invalidHeader(headerSubmittedAt, "is "+r.Header.Get(headerSubmittedAt)+", expected a time such as 2026-03-02T09:30:00Z")
	}
	id := r.Header.Get(headerIdempotencyKey)
	if id == "" {
		id = rand.Text()
	}
	var document yuccajsonc.Document
	validateName(&document, headerTeam, r.Header.Get(headerTeam))
	validateName(&document, headerIdempotencyKey, id)
	if findings := document.Findings(); len(findings) > 0 {
		return yuccadispatch.Submission{}, invalidHeader(findings[0].Field, findings[0].Problem+", expected "+findings[0].Expected)
	}
	s := yuccadispatch.Submission{
		Key:         yuccadispatch.Key{Team: r.Header.Get(headerTeam), ID: id},
		Service:     r.PathValue("service"),
		SubmittedAt: submittedAt,
		Deadline:    now.Add(timeout),
		Repeatable:  isRepeatable(r),
		Unnamed:     r.Header.Get(headerIdempotencyKey) == "",
		Passthrough: true,
		Tasks:       []yuccadispatch.TaskRequest{{ID: singleTaskID, Request: wireRequest(r, body)}},
	}
	s.Digest = digest(s)
	return s, nil
}

func invalidHeader(name, detail string) *yuccaproblem.Problem {
	return yuccaproblem.Newf(http.StatusBadRequest, yuccaproblem.BadRequest, "header %s: %s", name, detail)
}

func requestTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return defaultDeadline, nil
	}
	timeout, err := time.ParseDuration(text)
	if err == nil && (timeout <= 0 || timeout > MaxDeadline) {
		err = http.ErrNotSupported
	}
	return timeout, err
}

func requestSubmittedAt(r *http.Request) (time.Time, error) {
	text := r.Header.Get(headerSubmittedAt)
	if text == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339, text)
}

// isRepeatable reports whether the request may be sent to a target more than once.
// The header decides; without it, only requests with a safe method are
// repeatable.
func isRepeatable(r *http.Request) bool {
	switch r.Header.Get(headerRepeatable) {
	case "true":
		return true
	case "false":
		return false
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}

func wireRequest(r *http.Request, body []byte) *yuccawire.Request {
	return &yuccawire.Request{
		Method:  r.Method,
		Path:    targetPath(r.URL.EscapedPath()),
		Query:   escapedQuery(r.URL.RawQuery),
		Headers: yuccaheader.ToWire(r.Header),
		Body:    body,
	}
}

// escapedQuery returns the query with all bytes beyond ASCII escaped, unless it is UTF-8:
// messages hold nothing else.
func escapedQuery(query string) string {
	if utf8.ValidString(query) {
		return query
	}
	var escaped strings.Builder
	for _, b := range []byte(query) {
		if b < utf8.RuneSelf {
			escaped.WriteByte(b)
			continue
		}
		fmt.Fprintf(&escaped, "%%%02X", b)
	}
	return escaped.String()
}

// targetPath returns the escaped path after /v1/services/NAME.
func targetPath(path string) string {
	const segments = 5
	parts := strings.SplitN(path, "/", segments)
	return "/" + parts[segments-1]
}
