// Package yuccacheck examines a valid configuration document for sized jobs: it
// finds entries and limits that have no effect, and compares two documents.
//
// # Usage
//
//	draft, document, err := yuccasized.ParseDraft("document.jsonc", text)
//	warnings := yuccacheck.Check(draft, document)
//	differences := yuccacheck.Compare(inForce, draft)
package yuccacheck

import (
	"fmt"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// shortestPath is the critical path below which no job is expected. Response
// times are reported in whole milliseconds.
const shortestPath = time.Millisecond

// Check returns the warnings for a draft without errors. The document gives the
// positions of its fields.
func Check(draft yuccacatalog.Draft, document *yuccajsonc.Document) yuccajsonc.Findings {
	if len(draft.Routes) == 0 {
		document.Report("queues", "has no queues, every submission is refused", "one queue at least")
	}
	checkServices(draft, document)
	for _, r := range draft.Routes {
		checkQueue(r, document)
	}
	return document.Findings()
}

// CheckVersion adds a warning if the draft differs from the base but its version is
// not higher, so that it would be acknowledged without effect.
func CheckVersion(base, draft yuccacatalog.Draft, document *yuccajsonc.Document) yuccajsonc.Findings {
	if draft.Version <= base.Version && len(Compare(base, draft)) > 0 {
		document.Report("version", fmt.Sprintf("is %d, the differences would be acknowledged without effect", draft.Version),
			fmt.Sprintf("a version above %d", base.Version))
	}
	return document.Findings()
}

func checkServices(draft yuccacatalog.Draft, document *yuccajsonc.Document) {
	used := make(map[string]bool, len(draft.Services))
	for _, r := range draft.Routes {
		used[r.Queue.Service] = true
	}
	listed := make(map[string]bool, len(draft.Services))
	for i, name := range draft.Services {
		field := fmt.Sprintf("services[%d]", i)
		switch {
		case listed[name]:
			document.Report(field, fmt.Sprintf("lists %q again", name), "each service once")
		case !used[name]:
			document.Report(field, fmt.Sprintf("is %q, which no queue names", name), "the service of a queue")
		}
		listed[name] = true
	}
}

// checkQueue reports limits of the queue that leave no job in time, or that have no
// effect. The timeout counts for jobs without a deadline of their own, which are
// answered AnswerMargin before it.
func checkQueue(r yuccacatalog.Route, document *yuccajsonc.Document) {
	q, field := r.Queue, "queues."+r.Queue.Name
	// HTTP servers and clients remove these path segments before routing. No other
	// valid name is hidden: a queue's prefix has its whole name between slashes.
	if q.Name == "." || q.Name == ".." {
		document.Report(field, fmt.Sprintf("is named %q, only a request that encodes the dots in its path reaches it", q.Name), "another name")
	}
	wait := r.Timeout - yuccabroker.AnswerMargin
	shortest := time.Duration(min(q.Stretch*float64(shortestPath), float64(wait)+1))
	switch {
	case wait <= 0:
		document.Report(field+".timeout", fmt.Sprintf("is %s, every job without a deadline of its own is refused", r.Timeout),
			fmt.Sprintf("more than %s, which are kept for the answer", yuccabroker.AnswerMargin))
	case q.TargetLatency >= wait:
		document.Report(field+".target_latency", fmt.Sprintf("is %s, but a job without a deadline of its own is answered after %s at most, before its objective", q.TargetLatency, wait),
			fmt.Sprintf("less than timeout - %s", yuccabroker.AnswerMargin))
	case shortest > wait-q.TargetLatency:
		document.Report(field+".stretch", fmt.Sprintf("is %g, but a job without a deadline of its own is answered after %s at most, before its objective even with a critical path of %s", q.Stretch, wait, shortestPath),
			"an objective before the timeout")
	case q.Stretch == 1 && q.TargetLatency == 0:
		document.Report(field+".target_latency", "is missing or 0 with a stretch of 1, the objective leaves no time for dispatch", "a target latency above zero or a stretch above 1")
	}
}
