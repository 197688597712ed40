package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	standTime     = 3500 * time.Millisecond
	cutTime       = 1500 * time.Millisecond
	standingWork  = 300
	standingAfter = 50 * time.Millisecond
)

// playStanding lets the worker of a run stand still, while it is cut off from its side for a part of
// that time.
func playStanding(rec *recorder, binary string, trouble bool) (bool, error) {
	return playCutWorker(rec, binary, trouble, false)
}

// playRefusing is playStanding with a cut that refuses connections.
func playRefusing(rec *recorder, binary string, trouble bool) (bool, error) {
	return playCutWorker(rec, binary, trouble, true)
}

func playCutWorker(rec *recorder, binary string, trouble, refuses bool) (bool, error) {
	c, err := newCluster(rec, binary, 3, 4, 11)
	if err != nil {
		return false, err
	}
	defer c.stopAll()
	proxies := make(map[*node]*cutProxy)
	for _, n := range c.nodes {
		if err := c.start(n, true); err != nil {
			return false, err
		}
		if n.role != "side" {
			continue
		}
		behind := fmt.Sprintf("%s:%d", n.ip, c.base+4)
		if _, err := c.startProcWorker(n, behind); err != nil {
			return false, err
		}
		if proxies[n], err = newCutProxy(c.appAddr(n), behind); err != nil {
			return false, err
		}
	}
	if err := c.operate("PUT", "/-/config", document(3, newRoute("r-0", "/q0/")), 20*time.Second); err != nil {
		return false, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactMs * time.Millisecond)
	entry := c.byRole("entry")[4]
	id := newID()
	answered := make(chan response, 1)
	go func() {
		answered <- do("POST", c.frontend(entry), "/q0/"+id, host, job(1, standingWork), 1500, 2*time.Second)
	}()
	p, err := c.awaitStart(id, time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(standingAfter)
	if trouble {
		proxy := proxies[p.side]
		p.signal(syscall.SIGSTOP)
		heal := proxy.heal
		if refuses {
			proxy.refuse()
			heal = proxy.accept
		} else if err := proxy.cut(); err != nil {
			return false, err
		}
		rec.log("the worker beside %s is cut off", p.side.name)
		time.AfterFunc(standTime, func() { p.signal(syscall.SIGCONT) })
		time.Sleep(cutTime)
		if err := heal(); err != nil {
			return false, err
		}
		rec.log("the cut of the worker beside %s is healed", p.side.name)
	}
	rec.log("client: POST %s at %s answered %s", id, entry.name, <-answered)
	time.Sleep(standTime)
	return c.overlaps(id), nil
}
