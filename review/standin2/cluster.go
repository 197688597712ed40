package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as in the settings of rakavitsa-hq.
const (
	cancelMs   = 3000
	contactMs  = 3000
	maxHoldMs  = 1000
	stopMs     = 50
	heartbeat  = 1500 * time.Millisecond
	graceS     = 6
	applyMs    = 2000
	drainMs    = 2000
	serviceKey = "svc0"
)

var zones = []string{"za", "zb", "zc"}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is a process of the system under test.
type node struct {
	name, role, zone, ip string
	disk                 bool
	settings, dataDir    string
	cmd                  *exec.Cmd
	done                 chan struct{}
	startedAt            time.Time
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	rec     *recorder
	root    string
	binary  string
	net1    int
	net2    int
	base    int
	seeds   []string
	nodes   []*node
	workers []*worker
	procs   []*procWorker
}

func (c *cluster) frontend(n *node) string { return fmt.Sprintf("%s:%d", n.ip, c.base) }
func (c *cluster) ready(n *node) string    { return fmt.Sprintf("%s:%d", n.ip, c.base+1) }
func (c *cluster) control(n *node) string  { return fmt.Sprintf("%s:%d", n.ip, c.base+2) }
func (c *cluster) appAddr(n *node) string  { return fmt.Sprintf("%s:%d", n.ip, c.base+3) }

// newCluster describes coreEntries entries with a disk, one a zone, plainEntries
// without one, and sides in turn over the zones.
func newCluster(rec *recorder, binary string, coreEntries, plainEntries, sides int) (*cluster, error) {
	root, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, root: root, binary: binary, net1: 16 + rand.IntN(200), net2: 1 + rand.IntN(250)}
	for range 50 {
		c.base = 20000 + rand.IntN(8000)
		if portsFree(fmt.Sprintf("127.%d.%d.1", c.net1, c.net2), c.base, 24) {
			break
		}
	}
	id := 0
	add := func(name, role, zone string, disk bool) *node {
		id++
		n := &node{name: name, role: role, zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", c.net1, c.net2, id), disk: disk}
		n.settings = filepath.Join(root, name+".conf")
		if disk {
			n.dataDir = filepath.Join(root, name+".data")
		}
		c.nodes = append(c.nodes, n)
		return n
	}
	for i := range coreEntries {
		n := add(fmt.Sprintf("edge-%s-1", zones[i]), "entry", zones[i], true)
		c.seeds = append(c.seeds, c.control(n))
	}
	for i := range plainEntries {
		add(fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+2), "entry", zones[i%len(zones)], false)
	}
	for i := range sides {
		add(fmt.Sprintf("side-%s-%d", zones[i%len(zones)], i/len(zones)+1), "side", zones[i%len(zones)], false)
	}
	return c, nil
}

func portsFree(ip string, base, n int) bool {
	for p := base; p < base+n; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// writeSettings writes the settings file of a node, with the fields of DEPLOY.md.
func (c *cluster) writeSettings(n *node, bootstrap bool) error {
	var b strings.Builder
	p := func(k string, v any) { fmt.Fprintf(&b, "%s=%v\n", k, v) }
	p("nodeName", n.name)
	p("role", n.role)
	p("ip", n.ip)
	p("zone", n.zone)
	p("region", "r1")
	for _, z := range zones {
		p("zones."+z, "r1")
	}
	if n.role == "entry" {
		p("machineClass", "edge")
		p("serves", "edge,control_plane")
		p("bindAddrs.frontend", c.frontend(n))
		p("bindAddrs.readiness", c.ready(n))
		p("limits.memoryMb", 284)
	} else {
		p("machineClass", "side")
		p("serves", "side")
		p("app", c.appAddr(n))
		p("service", serviceKey)
		p("limits.memoryMb", 152)
	}
	p("bindAddrs.control", c.control(n))
	p("portRange", fmt.Sprintf("%d,%d", c.base+8, c.base+23))
	p("seeds", strings.Join(c.seeds, ","))
	p("bootstrap", bootstrap)
	p("countsAsLoss", n.disk)
	p("limits.maxFds", 4100)
	if n.disk {
		p("dataDir", n.dataDir)
		p("limits.diskMb", 128)
	}
	p("discovery", "local")
	p("entry", "vip")
	p("heartbeatMs", heartbeat.Milliseconds())
	p("contracts", "base,drain,config,cost,recover,sched,places,advice,upkeep,sharing")
	p("faultTolerance.machines", 1)
	p("faultTolerance.zones", 1)
	p("faultTolerance.regions", 0)
	for _, kv := range []string{
		"seedLagS=3", "addrReuseS=2", "contactMs=3000", "ackTimeoutMs=4000", "catchUpS=4", "drainMs=2000", "graceS=6", "lossSlackMs=200",
		"configApplyMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000", "evacuateMs=5000", "recoveryS=12", "maxHoldMs=1000", "stopTimeoutMs=50",
		"gangTimeoutMs=3000", "cancel_ms=3000", "visible_ms=3000", "early_ms=250", "finish_s=14", "status_s=120", "remoteFactor=1.5", "retransmitMs=1300",
	} {
		fmt.Fprintf(&b, "bounds.%s\n", kv)
	}
	p("config_mode", "highest")
	p("commandMode", "call")
	return os.WriteFile(n.settings, []byte(b.String()), 0o600)
}

// start starts the process of a node.
func (c *cluster) start(n *node, bootstrap bool) error {
	if err := c.writeSettings(n, bootstrap); err != nil {
		return err
	}
	if n.disk {
		if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(c.root, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(c.binary, "deployed", n.role)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YUCCATURN_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.startedAt = time.Now()
	n.done = make(chan struct{})
	c.rec.log("process %s started, pid %d", n.name, n.cmd.Process.Pid)
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		out.Close()
		c.rec.log("process %s ended: %s", n.name, cmd.ProcessState)
		close(done)
	}(n.cmd, n.done)
	return nil
}

func (c *cluster) signal(n *node, s syscall.Signal) {
	c.rec.log("signal %s to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

func (n *node) waitEnd() { <-n.done }

func (n *node) running() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// startAll starts all processes and a worker beside each side.
func (c *cluster) startAll() error {
	for _, n := range c.nodes {
		if err := c.start(n, true); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if n.role == "side" {
			w := newWorker(c.rec, c.appAddr(n), c.control(n), n.zone)
			if err := w.serve(); err != nil {
				return err
			}
			c.workers = append(c.workers, w)
		}
	}
	return nil
}

// stopAll ends all processes and removes the folder. keep leaves the logs.
func (c *cluster) stopAll() {
	for _, w := range c.workers {
		w.close()
	}
	for _, p := range c.procs {
		p.end()
	}
	for _, n := range c.nodes {
		if n.cmd != nil && n.running() {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			n.waitEnd()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.root)
	} else {
		fmt.Println(c.root)
	}
}

func (c *cluster) byRole(role string) []*node {
	var l []*node
	for _, n := range c.nodes {
		if n.role == role {
			l = append(l, n)
		}
	}
	return l
}
