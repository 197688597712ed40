package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	addedRoutes  = 4 * 350
	changes      = 93
	changePause  = 330 * time.Millisecond
	catchUp      = 4 * time.Second
	recovery     = 12 * time.Second
	readBackTime = 15 * time.Second
)

// playDisks makes many changes of a large configuration. One machine loses its disk; later
// another one does, as all processes are killed. The operator then reads the configuration.
func playDisks(rec *recorder, binary string, trouble bool) (bool, error) {
	c, err := newCluster(rec, binary, 3, 1, 3)
	if err != nil {
		return false, err
	}
	defer c.stopAll()
	if err := c.startAll(); err != nil {
		return false, err
	}
	routes := []route{newRoute("r-0", "/q0/")}
	if err := c.operate("PUT", "/-/config", document(3, routes...), 20*time.Second); err != nil {
		return false, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	for i := range addedRoutes {
		routes = append(routes, newRoute(fmt.Sprintf("r-%06d", i), fmt.Sprintf("/more%06d/", i)))
	}
	version, size := 10, 0
	for range changes {
		version++
		d := document(version, routes...)
		size += len(d)
		if err := c.operate("PUT", "/-/config", d, 10*time.Second); err != nil {
			return false, err
		}
		time.Sleep(changePause)
	}
	rec.log("operator: %d changes of %d bytes together", changes, size)
	core := c.byRole("entry")[:3]
	if trouble {
		if err := c.loseDisk(core[2], 500*time.Millisecond); err != nil {
			return false, err
		}
	}
	// The machine stops counting as lost catchUpS after it is back.
	time.Sleep(catchUp + 3*time.Second)
	version++
	if err := c.operate("PUT", "/-/config", document(version, routes...), 10*time.Second); err != nil {
		return false, err
	}
	if trouble {
		for _, n := range c.nodes {
			c.signal(n, syscall.SIGKILL)
		}
		for _, n := range c.nodes {
			n.waitEnd()
		}
		rec.log("%s loses its disk", core[1].name)
		if err := os.RemoveAll(core[1].dataDir); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range c.nodes {
			if err := c.start(n, false); err != nil {
				return false, err
			}
		}
		time.Sleep(recovery)
	}
	time.Sleep((applyMs + 500) * time.Millisecond)
	until := time.Now().Add(readBackTime)
	answers := map[string]int{}
	for time.Now().Before(until) {
		for _, n := range c.byRole("entry") {
			r := do("GET", c.control(n), "/-/config", "", nil, 0, time.Second)
			var d struct{ Version int }
			if r.err == nil && r.status == 200 && json.Unmarshal([]byte(r.body), &d) == nil {
				rec.log("operator: %s shows version %d, newest acknowledged is %d", n.name, d.Version, version)
				return d.Version < version, nil
			}
			answers[n.name+": "+r.String()]++
		}
		time.Sleep(200 * time.Millisecond)
	}
	for a, count := range answers {
		rec.log("operator: read %d times, %s", count, a)
	}
	rec.log("check: the configuration did not come for %s, %s after the machines were back", readBackTime, recovery)
	return true, nil
}

// loseDisk kills a process and starts it again with an empty disk.
func (c *cluster) loseDisk(n *node, down time.Duration) error {
	c.signal(n, syscall.SIGKILL)
	n.waitEnd()
	c.rec.log("%s loses its disk", n.name)
	if n.dataDir == "" {
		return errors.New(n.name + " has no disk")
	}
	if err := os.RemoveAll(n.dataDir); err != nil {
		return err
	}
	time.Sleep(down)
	return c.start(n, false)
}
