package main

import (
	"errors"
	"syscall"
	"time"
)

// playCancelled cancels a job, kills all processes of the system at once, starts them
// again, and lets the request of the job arrive once more.
func playCancelled(rec *recorder, binary string, trouble bool) (bool, error) {
	c, err := newCluster(rec, binary, 3, 2, 3)
	if err != nil {
		return false, err
	}
	defer c.stopAll()
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.operate("PUT", "/-/config", document(3, newRoute("r-0", "/q0/")), 20*time.Second); err != nil {
		return false, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactMs * time.Millisecond)
	entries := c.byRole("entry")
	id := newID()
	body := job(2, 1000)
	first := make(chan response, 1)
	go func() {
		first <- do("POST", c.frontend(entries[0]), "/q0/"+id, host, body, 1500, 3*time.Second)
	}()
	time.Sleep(300 * time.Millisecond)
	answer := do("DELETE", c.frontend(entries[1]), "/q0/"+id, host, nil, 1500, 2*time.Second)
	acknowledgedAt := time.Now()
	rec.log("client: DELETE %s at %s answered %s", id, entries[1].name, answer)
	rec.log("client: POST %s at %s answered %s", id, entries[0].name, <-first)
	if answer.err != nil || answer.status/100 != 2 {
		return false, errNoAck
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		for _, n := range c.nodes {
			c.signal(n, syscall.SIGKILL)
		}
		for _, n := range c.nodes {
			n.waitEnd()
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range c.nodes {
			if err := c.start(n, false); err != nil {
				return false, err
			}
		}
		if err := c.awaitReady(12 * time.Second); err != nil {
			return false, err
		}
	}
	// All machines are in touch again twice contactMs after they are back.
	time.Sleep(time.Until(acknowledgedAt.Add(8 * time.Second)))
	again := do("POST", c.frontend(entries[2]), "/q0/"+id, host, body, 1500, 3*time.Second)
	rec.log("client: POST %s again at %s answered %s", id, entries[2].name, again)
	time.Sleep(500 * time.Millisecond)
	broken := false
	for _, b := range c.allStarts(id) {
		late := b.at.Sub(acknowledgedAt)
		rec.log("check: %s run %d was started %.3f s after the cancelling was acknowledged", b.task, b.run, late.Seconds())
		broken = broken || late > cancelMs*time.Millisecond
	}
	return broken, nil
}

var errNoAck = errors.New("the cancelling was not acknowledged")
