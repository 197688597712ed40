package yuccalocal_test

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
)

// BenchmarkSingleRequest measures sequential requests through an entry, a side
// and a target that answers immediately. direct-ns is the median time of the
// same request to a plain HTTP server, added-ns the difference between the two.
func BenchmarkSingleRequest(b *testing.B) {
	benchmarkRequests(b, func(int) string { return "" })
}

// BenchmarkNamedRequest measures sequential requests with an id from the caller,
// for which the entry needs a claim.
func BenchmarkNamedRequest(b *testing.B) {
	benchmarkRequests(b, func(i int) string { return fmt.Sprintf("%d-%d", b.N, i) })
}

func benchmarkRequests(b *testing.B, requestID func(i int) string) {
	_, callers := startSystem(b, 1, 1)
	directTime := directMedian(b)
	times := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for i := range b.N {
		start := time.Now()
		sendRequest(b, "http://"+callers[0]+"/v1/services/regulation/check", requestID(i))
		times = append(times, time.Since(start))
	}
	b.StopTimer()
	slices.Sort(times)
	median := times[len(times)/2]
	b.ReportMetric(float64(median), "median-ns")
	b.ReportMetric(float64(directTime), "direct-ns")
	b.ReportMetric(float64(median-directTime), "added-ns")
}

// directMedian returns the median time of 500 requests to a plain HTTP server.
func directMedian(b *testing.B) time.Duration {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})}
	address := serve(b, server)
	times := make([]time.Duration, 0, 500)
	for range cap(times) {
		start := time.Now()
		sendRequest(b, "http://"+address+"/check", "")
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

func sendRequest(b *testing.B, url, id string) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"sleep": "0s"}`)))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Yucca-Team", "parishes")
	if id != "" {
		request.Header.Set("Idempotency-Key", id)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		b.Fatalf("%s: %s", response.Status, body)
	}
}

func jobBody(id string, tasks int, payload string) []byte {
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"team": "parishes", "service": "regulation", "id": %q, "submitted_at": %q, "deadline": "60s", "tasks": [`,
		id, time.Now().UTC().Format(time.RFC3339))
	for i := range tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"id": "t%d", "payload": %s}`, i, payload)
	}
	body.WriteString("]}")
	return body.Bytes()
}

// BenchmarkJob1600 measures a job with 1,600 tasks that end immediately.
func BenchmarkJob1600(b *testing.B) {
	_, callers := startSystem(b, 1, 3)
	client := yuccaclient.New(callers[0], "")
	b.ReportAllocs()
	b.ResetTimer()
	cpuBefore, messagesBefore := cpuTime(b), taskMessages(b)
	for i := range b.N {
		job, _, err := client.Submit(context.Background(), jobBody(fmt.Sprintf("bench-%d", i), 1600, `{"sleep": "0s"}`))
		if err != nil || !job.IsComplete() {
			b.Fatalf("%v: %+v", err, job)
		}
	}
	b.ReportMetric(float64(b.N*1600)/b.Elapsed().Seconds(), "tasks/s")
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/float64(b.N*1600), "cpu-ns/task")
	b.ReportMetric(float64(taskMessages(b)-messagesBefore)/float64(b.N*1600), "messages/task")
}

// taskMessages returns the number of messages about tasks that the first entry
// has exchanged with sides.
func taskMessages(b *testing.B) int64 {
	var counters struct {
		Sent     int64 `json:"starts_sent"`
		Finished int64 `json:"tasks_finished"`
		Refused  int64 `json:"starts_refused"`
	}
	if err := json.Unmarshal([]byte(expvar.Get("entry-1").String()), &counters); err != nil {
		b.Fatal(err)
	}
	return counters.Sent + counters.Finished + counters.Refused
}

// cpuTime returns the CPU time used by this process, which includes all roles and
// the caller.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkParallelRequests measures requests of 64 concurrent callers.
func BenchmarkParallelRequests(b *testing.B) {
	_, callers := startSystem(b, 1, 4)
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 128
	requests := make(chan struct{}, b.N)
	for range b.N {
		requests <- struct{}{}
	}
	close(requests)
	b.ResetTimer()
	var group sync.WaitGroup
	for range 64 {
		group.Go(func() {
			for range requests {
				sendRequest(b, "http://"+callers[0]+"/v1/services/regulation/check", "")
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkSmallJobs measures jobs with three tasks from 32 concurrent callers.
func BenchmarkSmallJobs(b *testing.B) {
	_, callers := startSystem(b, 1, 4)
	client := yuccaclient.New(callers[0], "")
	jobs := make(chan int, b.N)
	for i := range b.N {
		jobs <- i
	}
	close(jobs)
	cpuBefore := cpuTime(b)
	b.ResetTimer()
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			for i := range jobs {
				body := jobBody(fmt.Sprintf("small-%d-%d", b.N, i), 3, `{"sleep": "0s"}`)
				if job, _, err := client.Submit(context.Background(), body); err != nil || !job.IsComplete() {
					b.Errorf("%v: %+v", err, job)
				}
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/float64(b.N), "cpu-ns/job")
}
