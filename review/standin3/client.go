package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

type stepBody struct {
	Count       int `json:"count"`
	CPU         int `json:"cpu"`
	MemMb       int `json:"memMb"`
	EstimatedMs int `json:"estimatedMs"`
}

type jobBody struct {
	Spec       string     `json:"spec"`
	Steps      []stepBody `json:"steps"`
	BestEffort bool       `json:"bestEffort"`
}

// resendAfter is how long after a broken connection a client sends its job again.
const resendAfter = 1300 * time.Millisecond

// submitter submits jobs at a steady rate, each at the next entry. After no answer, a broken connection, a 502 or a 504 it
// sends a job again, at the next of the entries for that.
type submitter struct {
	entries, again     []string
	host, prefix       string
	rate               float64
	tasks, cpu, taskMs int
	deadline, leave    time.Duration
	leaveShare         float64
	record             *recorder
	client             *http.Client
	pending            sync.WaitGroup
}

func runSubmit(ctx context.Context, arguments []string) (int, error) {
	flags := flag.NewFlagSet("submit", flag.ContinueOnError)
	s := &submitter{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	entries := flags.String("entries", "", "addresses of the entries, separated by commas")
	again := flags.String("again", "", "addresses of the entries for jobs that are sent again, none if empty")
	flags.StringVar(&s.host, "host", "", "host of the queue")
	flags.StringVar(&s.prefix, "prefix", "", "path of the queue")
	flags.Float64Var(&s.rate, "rate", 20, "jobs a second")
	flags.IntVar(&s.tasks, "tasks", 4, "tasks of a job")
	flags.IntVar(&s.cpu, "cpu", 1000, "thousandths of a core of a task")
	flags.IntVar(&s.taskMs, "ms", 100, "run time of a task")
	flags.DurationVar(&s.deadline, "deadline", 1500*time.Millisecond, "how long the client waits")
	flags.DurationVar(&s.leave, "leave", 0, "after what time clients close the connection and send the job again, 0 for never")
	flags.Float64Var(&s.leaveShare, "leave-share", 0.35, "which part of the clients does so")
	jobs := flags.Int("jobs", 10, "number of jobs")
	path := flags.String("record", "record.txt", "file for the record")
	if err := flags.Parse(arguments); err != nil {
		return 0, err
	}
	s.entries = strings.Split(*entries, ",")
	if *again != "" {
		s.again = strings.Split(*again, ",")
	}
	record, err := newRecorder(*path, "client")
	if err != nil {
		return 0, err
	}
	s.record = record
	s.submitAll(ctx, *jobs)
	return 0, nil
}

func (s *submitter) submitAll(ctx context.Context, jobs int) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.rate))
	defer ticker.Stop()
	defer s.pending.Wait()
	for n := range jobs {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			j := &jobCall{submitter: s, number: n, id: fmt.Sprintf("%016x", rand.Uint64())}
			s.pending.Add(1)
			go j.run()
		}
	}
}

// jobCall submits one job.
type jobCall struct {
	submitter *submitter
	number    int
	id        string
}

func (j *jobCall) run() {
	s := j.submitter
	defer s.pending.Done()
	patience := s.deadline
	if s.leave > 0 && rand.Float64() < s.leaveShare {
		patience = s.leave
	}
	if !j.submit(s.entries[j.number%len(s.entries)], patience) || len(s.again) == 0 {
		return
	}
	time.Sleep(resendAfter)
	j.submit(s.again[j.number%len(s.again)], s.deadline)
}

// submit sends the job to an entry and waits for the answer as long as the client has patience. It reports whether the
// job may be sent again.
func (j *jobCall) submit(entry string, patience time.Duration) bool {
	s := j.submitter
	body, err := json.Marshal(jobBody{
		Spec: "ms=" + strconv.Itoa(s.taskMs), BestEffort: true,
		Steps: []stepBody{{Count: s.tasks, CPU: s.cpu, MemMb: 64, EstimatedMs: s.taskMs}},
	})
	if err != nil {
		s.record.note("job %s not encoded: %v", j.id, err)
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+s.prefix+j.id, bytes.NewReader(body))
	if err != nil {
		s.record.note("job %s not sent: %v", j.id, err)
		return false
	}
	request.Host = s.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(s.deadline.Milliseconds(), 10))
	s.record.note("job %s to=%s", j.id, entry)
	response, err := s.client.Do(request)
	if err != nil {
		s.record.note("job %s no answer: %v", j.id, err)
		return true
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 200))
	s.record.note("job %s status=%d %s", j.id, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusGatewayTimeout
}

// runOrder sends one call of the operator. It prints the status, 0 if there was no answer in time.
func runOrder(ctx context.Context, arguments []string) (int, error) {
	flags := flag.NewFlagSet("order", flag.ContinueOnError)
	timeout := flags.Duration("timeout", time.Second, "how long to wait for the answer")
	path := flags.String("record", "record.txt", "file for the record")
	if err := flags.Parse(arguments); err != nil {
		return 0, err
	}
	if flags.NArg() < 2 {
		return 0, errUsage
	}
	record, err := newRecorder(*path, "operator")
	if err != nil {
		return 0, err
	}
	var body io.Reader
	if flags.NArg() > 2 {
		text, err := os.ReadFile(flags.Arg(2))
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, flags.Arg(0), flags.Arg(1), body)
	if err != nil {
		return 0, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	record.note("order %s %s", flags.Arg(0), flags.Arg(1))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		record.note("order %s %s no answer", flags.Arg(0), flags.Arg(1))
		fmt.Println(0)
		return 0, nil
	}
	defer response.Body.Close()
	record.note("order %s %s status=%d", flags.Arg(0), flags.Arg(1), response.StatusCode)
	fmt.Println(response.StatusCode)
	return 0, nil
}
