package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// procWorker is a stand-in of a worker in a process of its own, which can be stopped and
// continued. It prints what it starts and ends.
type procWorker struct {
	rec  *recorder
	zone string
	side *node
	cmd  *exec.Cmd

	mu    sync.Mutex
	begun []*begun
}

// workerMain is the process: it serves a worker until it is ended.
func workerMain(addr, side, zone string) {
	rec := &recorder{file: os.Stderr, start: time.Now()}
	w := newWorker(rec, addr, side, zone)
	w.onStart = func(task string, run int64) { fmt.Printf("start %s %d %d\n", task, run, time.Now().UnixNano()) }
	w.onEnd = func(task string, run int64, how string) {
		fmt.Printf("end %s %d %d %s\n", task, run, time.Now().UnixNano(), how)
	}
	if err := w.serve(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	select {}
}

func (c *cluster) startProcWorker(side *node, listen string) (*procWorker, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &procWorker{rec: c.rec, zone: side.zone, side: side}
	p.cmd = exec.Command(self, "worker", listen, c.control(side), side.zone)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	c.procs = append(c.procs, p)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			p.note(strings.Fields(lines.Text()))
		}
	}()
	return p, nil
}

func (p *procWorker) note(f []string) {
	if len(f) < 4 {
		return
	}
	run, _ := strconv.ParseInt(f[2], 10, 64)
	ns, _ := strconv.ParseInt(f[3], 10, 64)
	at := time.Unix(0, ns)
	p.mu.Lock()
	defer p.mu.Unlock()
	if f[0] == "start" {
		p.begun = append(p.begun, &begun{at: at, worker: p.side.name, zone: p.zone, task: f[1], run: run})
		p.rec.log("worker beside %s: start %s run %d at %.3f", p.side.name, f[1], run, at.Sub(p.rec.start).Seconds())
		return
	}
	for _, b := range p.begun {
		if b.task == f[1] && b.run == run && b.endAt.IsZero() {
			b.endAt, b.how = at, f[4]
		}
	}
	p.rec.log("worker beside %s: end %s run %d %s at %.3f", p.side.name, f[1], run, f[4], at.Sub(p.rec.start).Seconds())
}

// runsOf returns the starts of the tasks of a job.
func (p *procWorker) runsOf(id string) []begun {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l []begun
	for _, b := range p.begun {
		if strings.HasPrefix(b.task, id+".") {
			l = append(l, *b)
		}
	}
	return l
}

func (p *procWorker) signal(s syscall.Signal) {
	p.rec.log("signal %s to the worker beside %s", s, p.side.name)
	_ = p.cmd.Process.Signal(s)
}

func (p *procWorker) end() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// overlaps reports whether two runs of one task were there at the same time, and logs them.
func (c *cluster) overlaps(id string) bool {
	var all []begun
	for _, p := range c.procs {
		all = append(all, p.runsOf(id)...)
	}
	now := time.Now()
	broken := false
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.task != b.task {
				continue
			}
			aEnd, bEnd := a.endAt, b.endAt
			if aEnd.IsZero() {
				aEnd = now
			}
			if bEnd.IsZero() {
				bEnd = now
			}
			if a.at.Before(bEnd) && b.at.Before(aEnd) {
				from, to := a.at, aEnd
				if b.at.After(from) {
					from = b.at
				}
				if bEnd.Before(to) {
					to = bEnd
				}
				c.rec.log("check: %s run %d at %s and run %d at %s are there at the same time for %.3f s", a.task, a.run, a.worker, b.run, b.worker, to.Sub(from).Seconds())
				broken = true
			}
		}
	}
	return broken
}
