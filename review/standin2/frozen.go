package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	freezeTime   = 3500 * time.Millisecond
	retransmit   = 1300 * time.Millisecond
	killAfter    = 300 * time.Millisecond
	frozenWorkMs = 900
)

// startWithProcWorkers starts all processes, workers in processes of their own, and the
// configuration.
func (c *cluster) startWithProcWorkers() error {
	for _, n := range c.nodes {
		if err := c.start(n, true); err != nil {
			return err
		}
	}
	for _, n := range c.byRole("side") {
		if _, err := c.startProcWorker(n, c.appAddr(n)); err != nil {
			return err
		}
	}
	if err := c.operate("PUT", "/-/config", document(3, newRoute("r-0", "/q0/")), 20*time.Second); err != nil {
		return err
	}
	return c.awaitReady(20 * time.Second)
}

// awaitStart waits until a worker has started a task of the job.
func (c *cluster) awaitStart(id string, within time.Duration) (*procWorker, error) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, p := range c.procs {
			if len(p.runsOf(id)) > 0 {
				return p, nil
			}
		}
	}
	return nil, errors.New("no task of the job was started")
}

// playFrozen freezes the machine of a run, its side and its worker, and kills the entry of the job.
// The client submits the job again at another entry.
func playFrozen(rec *recorder, binary string, trouble bool) (bool, error) {
	c, err := newCluster(rec, binary, 3, 4, 11)
	if err != nil {
		return false, err
	}
	defer c.stopAll()
	if err := c.startWithProcWorkers(); err != nil {
		return false, err
	}
	time.Sleep(contactMs * time.Millisecond)
	entries := c.byRole("entry")
	owner, second := entries[4], entries[1]
	id := newID()
	body := job(1, frozenWorkMs)
	first := make(chan response, 1)
	go func() {
		first <- do("POST", c.frontend(owner), "/q0/"+id, host, body, 1500, 2*time.Second)
	}()
	p, err := c.awaitStart(id, time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		c.signal(p.side, syscall.SIGSTOP)
		p.signal(syscall.SIGSTOP)
		wake := time.AfterFunc(freezeTime, func() {
			p.signal(syscall.SIGCONT)
			c.signal(p.side, syscall.SIGCONT)
		})
		defer wake.Stop()
		time.Sleep(killAfter)
		c.signal(owner, syscall.SIGKILL)
		owner.waitEnd()
	}
	answer := <-first
	rec.log("client: POST %s at %s answered %s", id, owner.name, answer)
	if trouble {
		go func() {
			time.Sleep(time.Second)
			_ = c.start(owner, false)
		}()
	}
	if answer.err != nil || answer.status == 504 || answer.status == 502 {
		time.Sleep(retransmit)
		answer = do("POST", c.frontend(second), "/q0/"+id, host, body, 1500, 2*time.Second)
		rec.log("client: POST %s again at %s answered %s", id, second.name, answer)
	}
	time.Sleep(freezeTime)
	return c.overlaps(id), nil
}
