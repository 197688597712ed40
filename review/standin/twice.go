package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// lateStart submits a job of one task. With the disruption, the worker that is told to start the task
// leaves the first call unanswered, is cut off from its side, crashes behind the cut and starts again
// under its id, and the entry that has the job is killed. The caller, whose connection broke, comes
// again at another entry. The unanswered start is carried out 2.2 s after it was sent.
func lateStart(c *cluster, trouble bool) (bool, error) {
	labels := []string{"a,r1-1", "a,r1-1", "a,r1-2", "a,r1-2", "a,r1-3", "a,r1-3"}
	if err := c.startAll(labels); err != nil {
		return false, err
	}
	if !c.configure(document(1, 1500), 20*time.Second) || !c.awaitReady(10*time.Second, 1, 2, 3) {
		return false, errors.New("the deployment did not start")
	}
	time.Sleep(5 * time.Second)
	const id = "5c0e7a21d94b36f8"
	var wg sync.WaitGroup
	if trouble {
		c.delayFirstStart(&wg, id, 2200*time.Millisecond, func(n int) {
			time.Sleep(200 * time.Millisecond)
			c.links[n].setCut(true)
			c.kill(fmt.Sprintf("worker-%d", n))
			c.kill("edge-1")
			c.restartBehindCut(n, labels[n-4])
		})
	}
	body := []byte(`{"spec":"{\"ms\":900}","bestEffort":true,"steps":[{"count":1,"cpu":1600,"memMb":64,"estimatedMs":900}]}`)
	answered := c.submit(id, body, 3*time.Second, 1, 2, 3)
	time.Sleep(2 * time.Second)
	wg.Wait()
	if !answered && !trouble {
		return false, errors.New("the job was not answered")
	}
	return c.neverTwice()
}

// delayFirstStart leaves the first start of the job unanswered at whichever worker gets it, has it
// carried out after the delay, and then calls happens with the number of the machine.
func (c *cluster) delayFirstStart(wg *sync.WaitGroup, id string, delay time.Duration, happens func(n int)) {
	var once sync.Once
	for n, l := range c.links {
		l.setLate(func(path string, body []byte) (time.Duration, bool) {
			isLate := false
			if path == "/-/run-start" && strings.Contains(string(body), id) {
				once.Do(func() {
					isLate = true
					wg.Add(1)
					go func() {
						defer wg.Done()
						happens(n)
					}()
				})
			}
			return delay, isLate
		})
	}
}

// restartBehindCut starts a worker again whose link is cut, and heals the link later.
func (c *cluster) restartBehindCut(n int, labels string) {
	time.Sleep(500 * time.Millisecond)
	if err := c.startWorker(n, labels); err != nil {
		c.record.write("worker not started: %v", err)
	}
	time.Sleep(3 * time.Second)
	c.links[n].setCut(false)
}

// failedRun submits a job of one task, whose first run fails by its own fault. With the disruption, the
// worker that is told to start it leaves the first call unanswered. Later, while the second run is on
// at another worker, it is cut off from its side, crashes behind the cut and starts again under its id.
// The unanswered start is carried out 2.2 s after it was sent.
func failedRun(c *cluster, trouble bool) (bool, error) {
	labels := []string{"a,r1-1", "a,r1-1", "a,r1-2", "a,r1-2", "a,r1-3", "a,r1-3"}
	if err := c.startAll(labels); err != nil {
		return false, err
	}
	if !c.configure(document(1, 5000), 20*time.Second) || !c.awaitReady(10*time.Second, 1, 2, 3) {
		return false, errors.New("the deployment did not start")
	}
	time.Sleep(5 * time.Second)
	const id = "5c0e7a21d94b36f8"
	var wg sync.WaitGroup
	if trouble {
		c.delayFirstStart(&wg, id, 2200*time.Millisecond, func(n int) {
			time.Sleep(600 * time.Millisecond)
			c.links[n].setCut(true)
			c.kill(fmt.Sprintf("worker-%d", n))
			c.restartBehindCut(n, labels[n-4])
		})
	}
	body := []byte(`{"spec":"{\"ms\":2500,\"failedRun\":1,\"failedAfterMs\":300}","bestEffort":true,"steps":[{"count":1,"cpu":1600,"memMb":64,"estimatedMs":2500}]}`)
	answered := c.submit(id, body, 5*time.Second, 1, 2, 3)
	time.Sleep(2 * time.Second)
	wg.Wait()
	if !answered && !trouble {
		return false, errors.New("the job was not answered")
	}
	return c.neverTwice()
}

// submit sends a job as a client does: to the first of the entries, and after no response, a broken
// connection, 502 or 504 again 1,300 ms later to the next one, until the deadline.
func (c *cluster) submit(id string, body []byte, patience time.Duration, entries ...int) bool {
	deadline := time.Now().Add(patience)
	for i := 0; time.Now().Before(deadline); i++ {
		n := entries[i%len(entries)]
		left := time.Until(deadline)
		c.record.write("client sends job %s to edge-%d, Deadline-Ms %d", id, n, left.Milliseconds())
		status, answer := c.do(http.MethodPost, "http://"+c.at(n, c.ports.frontend)+"/jobs/"+id, host, map[string]string{"Deadline-Ms": fmt.Sprint(left.Milliseconds())}, body, left)
		c.record.write("client gets %d %s", status, answer)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status == http.StatusOK
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return false
}

// neverTwice reads the record and reports whether no two runs of a task were on at the same time, on
// workers that are up.
func (c *cluster) neverTwice() (bool, error) {
	file, err := os.Open(c.recordPath)
	if err != nil {
		return false, err
	}
	defer file.Close()
	running := map[string]map[string]string{} // by task: the worker and the run
	held := true
	for s := bufio.NewScanner(file); s.Scan(); {
		f := strings.Fields(s.Text())
		switch {
		case len(f) == 3 && f[1] == "killed" && strings.HasPrefix(f[2], "worker-"):
			for _, workers := range running {
				delete(workers, "i-"+strings.TrimPrefix(f[2], "worker-"))
			}
		case len(f) >= 6 && f[1] == "worker" && f[3] == "run":
			worker := f[2]
			task, run, _ := strings.Cut(f[4], "/")
			if f[5] == "ends" {
				delete(running[task], worker)
				continue
			}
			if running[task] == nil {
				running[task] = map[string]string{}
			}
			for other, otherRun := range running[task] {
				held = false
				c.record.write("TWICE: at %s run %s of task %s starts on worker %s while run %s is on worker %s", f[0], run, task, worker, otherRun, other)
			}
			running[task][worker] = run
		}
	}
	return held, nil
}
