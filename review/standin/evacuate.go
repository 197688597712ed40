package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// evacuation lets tasks wait at the sides of busy workers. With the disruption, the operator evacuates a
// zone while they wait.
func evacuation(c *cluster, trouble bool) (bool, error) {
	labels := []string{"a,r1-1", "a,r1-1", "a,r1-2", "a,r1-2", "a,r1-3", "a,r1-3"}
	if err := c.startAll(labels); err != nil {
		return false, err
	}
	if !c.configure(document(1, 30000), 20*time.Second) || !c.awaitReady(10*time.Second, 1, 2, 3) {
		return false, errors.New("the deployment did not start")
	}
	time.Sleep(5 * time.Second)
	done := make(chan bool, 2)
	send := func(id string, count int) {
		body := fmt.Sprintf(`{"spec":"{\"ms\":8000}","bestEffort":true,"steps":[{"count":%d,"cpu":2000,"memMb":64,"estimatedMs":8000}]}`, count)
		done <- c.submit(id, []byte(body), 30*time.Second, 1, 2, 3)
	}
	go send("5c0e7a21d94b36f8", 48)
	time.Sleep(time.Second)
	go send("6d1f8b32ea5c4709", 6)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		status, _ := c.do(http.MethodPost, "http://"+c.at(2, c.ports.control)+"/-/evacuations/"+zones[0], "", nil, nil, time.Second)
		if status/100 != 2 {
			return false, fmt.Errorf("the evacuation was answered with %d", status)
		}
		c.record.write("evacuation of %s acknowledged", zones[0])
	}
	for range 2 {
		if !<-done && !trouble {
			return false, errors.New("a job was not answered")
		}
	}
	return c.neverInZone(zones[0], 5*time.Second)
}

// neverInZone reads the record and reports whether no task started in the zone later than the bound
// after its evacuation was acknowledged.
func (c *cluster) neverInZone(zone string, bound time.Duration) (bool, error) {
	file, err := os.Open(c.recordPath)
	if err != nil {
		return false, err
	}
	defer file.Close()
	var acknowledged time.Time
	held := true
	for s := bufio.NewScanner(file); s.Scan(); {
		f := strings.Fields(s.Text())
		at, err := time.Parse("15:04:05.000", f[0])
		switch {
		case err != nil:
		case strings.HasSuffix(s.Text(), "evacuation of "+zone+" acknowledged"):
			acknowledged = at
		case len(f) == 6 && f[1] == "worker" && f[5] == "starts" && !acknowledged.IsZero():
			var n int
			if _, err := fmt.Sscanf(f[2], "i-%d", &n); err != nil || zones[(n-1)%len(zones)] != zone {
				continue
			}
			if since := at.Sub(acknowledged); since > bound {
				held = false
				c.record.write("EVAC: task %s starts on worker %s in %s %d ms after the acknowledgement", f[4], f[2], zone, since.Milliseconds())
			}
		}
	}
	return held, nil
}
