package yuccaload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccahistory"
)

const (
	// maxResponseMicros and maxRatio are the largest values that the histograms can
	// record, significantFigures is their precision. Ratios are in units of
	// 1/ratioScale.
	maxResponseMicros  = int64(time.Hour / time.Microsecond)
	maxRatio           = 1_000_000
	ratioScale         = 1000
	significantFigures = 3
	// changeWindow is the length of the window around a change of a data centre.
	changeWindow    = 10 * time.Second
	countersTimeout = 5 * time.Second
	startsRefused   = "starts_refused"
)

// counters holds the counters of one entry or the sums over all entries, by name.
type counters map[string]int64

// wastedCounters names the counters of messages that did not advance a job.
var wastedCounters = []string{startsRefused, "answers_late", "answers_crossed", "jobs_resubmitted", "attempts_queried"}

// messageCounters names the counters of all messages that entries sent or received
// for tasks.
var messageCounters = []string{"starts_sent", "tasks_finished", startsRefused, "answers_late", "answers_crossed", "claims_sent", "cancel_messages", "attempts_queried"}

// Percentiles holds percentiles and the maximum of a distribution.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is the result of a run.
type Report struct {
	Jobs         int            `json:"jobs"`
	Complete     int            `json:"complete"`
	Tasks        int            `json:"tasks_finished"`
	Outcomes     map[string]int `json:"outcomes"`
	NotRun       int            `json:"refused_not_run"`
	Late         int            `json:"answered_late"`
	Partial      int            `json:"partial_answers"`
	StartedTwice int            `json:"starts_twice"`
	// Journals is set if journals were read. StartedTwice is only valid then.
	Journals bool `json:"journals_read"`
	// Response is the response time of complete jobs, in milliseconds.
	Response Percentiles `json:"response_ms"`
	// Ratio is the response time of complete jobs divided by the ideal response time.
	Ratio Percentiles `json:"response_over_ideal"`
	// MessagesPerTask is the number of messages between entries, sides and controls
	// for each finished task.
	MessagesPerTask float64          `json:"messages_per_task"`
	WastedShare     float64          `json:"wasted_share"`
	Wasted          map[string]int64 `json:"wasted"`
	Changes         []ChangeReport   `json:"data_centre_changes"`
}

// ChangeReport is the work done in the ten seconds around the draining or
// restoring of a data centre.
type ChangeReport struct {
	DataCentre string `json:"data_centre"`
	Drained    bool   `json:"out"`
	// Offered is the number of tasks of the jobs that arrived within the window.
	// Done counts those whose jobs were completed before their deadline.
	Offered int     `json:"tasks_offered"`
	Done    int     `json:"tasks_done"`
	Share   float64 `json:"share"`
}

// sumCounters fetches the counters of all entries and adds them up.
func (r *Run) sumCounters(ctx context.Context) (counters, error) {
	total := make(counters)
	for _, address := range r.settings.EntryOperators {
		entryCounters, err := fetchCounters(ctx, address)
		if err != nil {
			return nil, merry.Prependf(err, "reading the counters of %s", address)
		}
		for name, value := range entryCounters {
			total[name] += value
		}
	}
	return total, nil
}

func fetchCounters(ctx context.Context, address string) (counters, error) {
	ctx, cancel := context.WithTimeout(ctx, countersTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Prependf(yuccaclient.ErrUnreachable, "%v", err)
	}
	defer response.Body.Close()
	var vars struct {
		Yuccaturn counters `json:"yuccaturn"`
	}
	err = json.NewDecoder(response.Body).Decode(&vars)
	return vars.Yuccaturn, merry.Prepend(err, "reading the counters")
}

func (r *Run) report(before, after counters) (*Report, error) {
	p := &Report{Jobs: len(r.results), Outcomes: make(map[string]int), Wasted: make(map[string]int64)}
	response := hdrhistogram.New(1, maxResponseMicros, significantFigures)
	ratio := hdrhistogram.New(1, maxRatio, significantFigures)
	for _, res := range r.results {
		p.count(res)
		if res.complete {
			_ = response.RecordValue(res.elapsed.Microseconds())
			_ = ratio.RecordValue(int64(ratioScale * float64(res.elapsed) / float64(res.ideal)))
		}
	}
	p.Response = percentiles(response, 1000)
	p.Ratio = percentiles(ratio, ratioScale)
	p.countMessages(before, after)
	for _, change := range r.settings.DataCentres {
		p.Changes = append(p.Changes, r.changeReport(change.Name, change.Drained, change.At))
	}
	return p, p.countDoubleStarts(r.settings.Journals)
}

func (p *Report) count(res result) {
	p.Outcomes[res.outcome]++
	if res.complete {
		p.Complete++
		p.Tasks += res.tasks
	}
	if res.partial {
		p.Partial++
	}
	if res.notRun {
		p.NotRun++
	}
	if !res.inTime {
		p.Late++
	}
}

func percentiles(h *hdrhistogram.Histogram, scale float64) Percentiles {
	return Percentiles{
		P50: float64(h.ValueAtQuantile(50)) / scale,
		P90: float64(h.ValueAtQuantile(90)) / scale,
		P99: float64(h.ValueAtQuantile(99)) / scale,
		Max: float64(h.Max()) / scale,
	}
}

// countMessages computes the message figures from the counters before and after
// the run.
func (p *Report) countMessages(before, after counters) {
	messages, wasted := int64(0), int64(0)
	for _, name := range messageCounters {
		messages += after[name] - before[name]
	}
	for _, name := range wastedCounters {
		if n := after[name] - before[name]; n > 0 {
			p.Wasted[name] = n
			wasted += n
		}
	}
	if finished := after["tasks_finished"] - before["tasks_finished"]; finished > 0 {
		p.MessagesPerTask = float64(messages) / float64(finished)
	}
	if messages > 0 {
		p.WastedShare = float64(wasted) / float64(messages)
	}
}

// changeReport counts the tasks of the jobs that arrived in the window around a
// change.
func (r *Run) changeReport(name string, drained bool, at time.Duration) ChangeReport {
	c := ChangeReport{DataCentre: name, Drained: drained}
	from := r.startedAt.Add(at - changeWindow/2)
	to := r.startedAt.Add(at + changeWindow/2)
	for _, res := range r.results {
		if res.due.Before(from) || !res.due.Before(to) {
			continue
		}
		c.Offered += res.tasks
		if res.complete && res.inTime {
			c.Done += res.tasks
		}
	}
	if c.Offered > 0 {
		c.Share = float64(c.Done) / float64(c.Offered)
	}
	return c
}

// countDoubleStarts counts the tasks that were started twice according to the
// journals.
func (p *Report) countDoubleStarts(journals []string) error {
	var events []yuccahistory.Event
	for _, name := range journals {
		file, err := os.Open(name)
		if err != nil {
			return merry.Prepend(err, "opening a journal")
		}
		journal, err := yuccahistory.Read(name, file)
		_ = file.Close()
		if err != nil {
			return err
		}
		events = append(events, journal...)
	}
	p.Journals = len(journals) > 0
	for _, v := range yuccahistory.Check(events, yuccahistory.Bounds{}) {
		if v.Rule == yuccahistory.RuleStartOnce {
			p.StartedTwice++
		}
	}
	return nil
}

// Print writes the report as a table.
func (p *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "jobs              %d, complete %d (%d tasks)\n", p.Jobs, p.Complete, p.Tasks)
	for _, outcome := range slices.Sorted(maps.Keys(p.Outcomes)) {
		fmt.Fprintf(w, "  %-20s %d\n", outcome, p.Outcomes[outcome])
	}
	fmt.Fprintf(w, "refused, not run  %d\n", p.NotRun)
	fmt.Fprintf(w, "answered late     %d\n", p.Late)
	fmt.Fprintf(w, "partial answers   %d\n", p.Partial)
	if p.Journals {
		fmt.Fprintf(w, "started twice     %d\n", p.StartedTwice)
	}
	fmt.Fprintf(w, "response, ms      p50 %.1f  p90 %.1f  p99 %.1f  max %.1f\n", p.Response.P50, p.Response.P90, p.Response.P99, p.Response.Max)
	fmt.Fprintf(w, "response / ideal  p50 %.3f  p90 %.3f  p99 %.3f  max %.3f\n", p.Ratio.P50, p.Ratio.P90, p.Ratio.P99, p.Ratio.Max)
	fmt.Fprintf(w, "messages          %.2f for each task, %.2f%% wasted\n", p.MessagesPerTask, 100*p.WastedShare)
	for _, name := range slices.Sorted(maps.Keys(p.Wasted)) {
		fmt.Fprintf(w, "  %-20s %d\n", name, p.Wasted[name])
	}
	for _, c := range p.Changes {
		fmt.Fprintf(w, "%-17s %s: %d of %d tasks done around it (%.1f%%)\n", c.DataCentre, drainState(c.Drained), c.Done, c.Offered, 100*c.Share)
	}
}

func drainState(drained bool) string {
	if drained {
		return "out"
	}
	return "in"
}
