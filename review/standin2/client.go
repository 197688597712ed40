package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const host = "shop.example"

type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Type            string  `json:"type"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Stretch         float64 `json:"stretch"`
}

func newRoute(name, prefix string) route {
	return route{Name: name, Host: host, PathPrefix: prefix, Type: "unsafe", TimeoutMs: 1500, TargetLatencyMs: 60, Service: serviceKey, MaxAttempts: 4, Stretch: 1.6}
}

// document returns a configuration as in the operator's API of PROTOCOL.md.
func document(version int, routes ...route) []byte {
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": serviceKey, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return text
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

type response struct {
	status int
	body   string
	err    error
}

func (r response) String() string {
	if r.err != nil {
		return "no response"
	}
	return fmt.Sprintf("%d %s", r.status, strings.TrimSpace(r.body))
}

// do sends one request on a connection of its own.
func do(method, address, path, hostHeader string, body []byte, deadlineMs int, timeout time.Duration) response {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: timeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+address+path, reader)
	if err != nil {
		return response{err: err}
	}
	if hostHeader != "" {
		req.Host = hostHeader
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if deadlineMs > 0 {
		req.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMs))
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode, body: string(text)}
}

// job returns a best-effort job with one step of count tasks of workMs each.
func job(count, workMs int) []byte {
	text, _ := json.Marshal(map[string]any{
		"spec": fmt.Sprintf("%d text", workMs), "bestEffort": true,
		"steps": []map[string]any{{"count": count, "cpu": 1600, "memMb": 256, "estimatedMs": workMs}},
	})
	return text
}

// operate sends an operator's order until it is acknowledged.
func (c *cluster) operate(method, path string, body []byte, within time.Duration) error {
	entries := c.byRole("entry")
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		n := entries[i%len(entries)]
		r := do(method, c.control(n), path, "", body, 0, time.Second)
		if r.err == nil && r.status/100 == 2 {
			c.rec.log("operator: %s %s acknowledged by %s", method, path, n.name)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("order was not acknowledged: " + method + " " + path)
}

// awaitReady waits until all entries report that they are ready and a job is done at each.
func (c *cluster) awaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, n := range c.byRole("entry") {
		for {
			if r := do("GET", c.ready(n), "/-/ready", "", nil, 0, time.Second); r.err == nil && r.status == 200 {
				if r := do("POST", c.frontend(n), "/q0/"+newID(), host, job(1, 20), 1500, 2*time.Second); r.err == nil && r.status == 200 {
					break
				}
			}
			if time.Now().After(until) {
				return errors.New(n.name + " did not get ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// allStarts returns the starts of all workers whose task belongs to the job.
func (c *cluster) allStarts(id string) []begun {
	var l []begun
	for _, w := range c.workers {
		for _, b := range w.starts() {
			if strings.HasPrefix(b.task, id+".") {
				l = append(l, b)
			}
		}
	}
	return l
}
