package yuccasized_test

import (
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccasized"
)

const document = `{
  "version": 3, // a comment
  "services": ["belfry"],
  "queues": {
    "trim": {"service": "belfry", "priority": 1, "max_attempts": 2, "stretch": 1.5, "target_latency": "60ms", "timeout": "4s"},
  },
}`

func TestDocument(t *testing.T) {
	c, err := yuccasized.DecodeDocument([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	route, id, ok := c.Match("", "/v1/queues/trim/jobs/j1")
	if !ok || id != "j1" || c.Version() != 3 {
		t.Fatalf("matched %v, id %q, version %d", ok, id, c.Version())
	}
	q := route.Queue
	if q.Service != "belfry" || q.Priority != 1 || q.MaxAttempts != 2 || q.Stretch != 1.5 || q.TargetLatency != 60*time.Millisecond || route.Timeout != 4*time.Second {
		t.Errorf("decoded %+v, timeout %v", q, route.Timeout)
	}
}

// All findings are reported together, each with its position.
func TestParseDocumentReportsAllFindings(t *testing.T) {
	_, err := yuccasized.ParseDocument("d.jsonc", []byte(`{
  "services": ["belfry"],
  "queues": {
    "trim": {"service": "tower", "max_attempts": 0, "stretch": 0.5, "timeout": "0s"},
    "a/b": {"service": "belfry", "max_attempts": 1, "stretch": 1, "timeout": "1s", "colour": 2},
  },
}`))
	if err == nil {
		t.Fatal("an invalid document was accepted")
	}
	for _, want := range []string{
		"d.jsonc:1:1: version: is missing or 0", "d.jsonc:4:25: queues.trim.service: is \"tower\"", "queues.trim.max_attempts", "queues.trim.stretch",
		"queues.trim.timeout", "d.jsonc:5:12: queues.a/b: is \"a/b\"", "d.jsonc:5:84: queues.a/b.colour",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing from the error:\n%v", want, err)
		}
	}
}
