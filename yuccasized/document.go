package yuccasized

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// documentBody is the JSON form of a configuration document.
type documentBody struct {
	Version  uint64               `json:"version"`
	Services []string             `json:"services"`
	Queues   map[string]queueBody `json:"queues"`
}

type queueBody struct {
	Service       string        `json:"service"`
	Priority      int           `json:"priority"`
	MaxAttempts   int           `json:"max_attempts"`
	Stretch       float64       `json:"stretch"`
	TargetLatency time.Duration `json:"target_latency"`
	Timeout       time.Duration `json:"timeout"`
}

// DecodeDocument decodes and validates a configuration document in JSON with
// comments. The error lists all findings.
func DecodeDocument(text []byte) (*yuccacatalog.Catalog, error) {
	return ParseDocument("document", text)
}

// ParseDocument is like [DecodeDocument], but the findings name the given file.
func ParseDocument(file string, text []byte) (*yuccacatalog.Catalog, error) {
	draft, _, err := ParseDraft(file, text)
	if err != nil {
		return nil, err
	}
	return yuccacatalog.New(draft)
}

// ParseDraft is like [ParseDocument], but returns the draft of the catalog, its
// routes sorted by queue, and the positions of the document's fields.
func ParseDraft(file string, text []byte) (yuccacatalog.Draft, *yuccajsonc.Document, error) {
	var body documentBody
	d := yuccajsonc.Decode(file, text, &body)
	body.check(d)
	if err := d.Err(); err != nil {
		return yuccacatalog.Draft{}, nil, err
	}
	draft := yuccacatalog.Draft{Version: body.Version, Services: body.Services}
	for _, name := range slices.Sorted(maps.Keys(body.Queues)) {
		q := body.Queues[name]
		draft.Routes = append(draft.Routes, yuccacatalog.Route{
			Prefix: queuePrefix(name), Timeout: q.Timeout,
			Queue: yuccabroker.Queue{
				Name: name, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
				Stretch: q.Stretch, TargetLatency: q.TargetLatency,
			},
		})
	}
	return draft, d, nil
}

func (b documentBody) check(d *yuccajsonc.Document) {
	if b.Version == 0 {
		d.Report("version", "is missing or 0", "a version above that in force")
	}
	for i, name := range b.Services {
		if name == "" {
			d.Report(fmt.Sprintf("services[%d]", i), "is empty", "the name of a service")
		}
	}
	for name, q := range b.Queues {
		field := "queues." + name
		if problem, expected := checkName(name); problem != "" {
			d.Report(field, problem, expected)
		}
		if !slices.Contains(b.Services, q.Service) {
			d.Report(field+".service", fmt.Sprintf("is %q", q.Service), "one of services")
		}
		if q.Priority < 0 {
			d.Report(field+".priority", fmt.Sprintf("is %d", q.Priority), "0, which goes first, or more")
		}
		if q.MaxAttempts < 1 {
			d.Report(field+".max_attempts", fmt.Sprintf("is %d", q.MaxAttempts), "1 or more")
		}
		if q.Stretch < 1 {
			d.Report(field+".stretch", fmt.Sprintf("is %g", q.Stretch), "1 or more")
		}
		if q.Timeout <= 0 || q.Timeout > maxDeadline {
			d.Report(field+".timeout", fmt.Sprintf("is %s", q.Timeout), fmt.Sprintf("a duration above zero, at most %s", maxDeadline))
		}
	}
}

// queuePrefix returns the path prefix of the jobs of a queue.
func queuePrefix(queue string) string { return "/v1/queues/" + queue + "/jobs/" }
