package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// cluster is a small deployment on loopback addresses: three entries with a disk in three zones,
// and workers, each with its side on the same address. Every machine has an address of its own,
// the ports are the same on all.
type cluster struct {
	program, self, folder, recordPath string
	net                               byte
	ports                             ports
	record                            *record
	processes                         map[string]*process
	links                             map[int]*link
}

type ports struct{ frontend, readiness, control, first, app, worker, beat int }

type process struct {
	command *exec.Cmd
	done    chan struct{}
}

var zones = []string{"sofia", "plovdiv", "varna"}

const service = "counter"

// newCluster prepares a cluster with its files in folder. recordPath is the record of the case.
func newCluster(root, folder, recordPath string) (*cluster, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	file, err := openRecord(recordPath)
	if err != nil {
		return nil, err
	}
	c := &cluster{program: filepath.Join(root, "target", "yuccaturn"), self: self, folder: folder, recordPath: recordPath, record: file, processes: map[string]*process{}, links: map[int]*link{}}
	for c.net = byte(20 + os.Getpid()%200); ; c.net++ {
		base := 21000 + (os.Getpid()%400)*50
		c.ports = ports{frontend: base, readiness: base + 1, control: base + 2, app: base + 3, worker: base + 4, beat: base + 5, first: base + 10}
		if c.isFree() {
			return c, nil
		}
	}
}

// isFree reports whether nothing listens at the ports of the first machines.
func (c *cluster) isFree() bool {
	for n := 1; n <= 3; n++ {
		for _, port := range []int{c.ports.frontend, c.ports.readiness, c.ports.control, c.ports.app, c.ports.worker, c.ports.beat, c.ports.first, c.ports.first + 1, c.ports.first + 2} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(n), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// ip returns the address of machine n, counted from 1.
func (c *cluster) ip(n int) string { return fmt.Sprintf("127.%d.0.%d", c.net, n) }

func (c *cluster) at(n, port int) string { return fmt.Sprintf("%s:%d", c.ip(n), port) }

func (c *cluster) settings(name, role, class, serves string, n int, extra map[string]string) (string, error) {
	zone := zones[(n-1)%len(zones)]
	lines := []string{
		"nodeName=" + name, "role=" + role, "machineClass=" + class, "serves=" + serves, "ip=" + c.ip(n), "zone=" + zone, "region=bg-south",
		"zones.sofia=bg-south", "zones.plovdiv=bg-south", "zones.varna=bg-south",
		"bindAddrs.control=" + c.at(n, c.ports.control),
		fmt.Sprintf("portRange=%d,%d", c.ports.first, c.ports.first+15),
		fmt.Sprintf("seeds=%s,%s,%s", c.at(1, c.ports.control), c.at(2, c.ports.control), c.at(3, c.ports.control)),
		"limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "discovery=local", "entry=vip", "heartbeatMs=1500",
		"contracts=base,drain,config,cost,recover,sched,places,advice,upkeep,sharing",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
		"bounds.evacuateMs=5000", "bounds.maxHoldMs=1000", "bounds.stopTimeoutMs=50", "bounds.remoteFactor=1.5", "bounds.retransmitMs=1300",
		"config_mode=highest", "commandMode=call",
	}
	for k, v := range extra {
		lines = append(lines, k+"="+v)
	}
	path := filepath.Join(c.folder, name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// startEntry starts the entry on machine n. Only the first start has the licence to form a group.
func (c *cluster) startEntry(n int, bootstrap bool) error {
	name := fmt.Sprintf("edge-%d", n)
	path, err := c.settings(name, "entry", "edge", "edge,control_plane", n, map[string]string{
		"bindAddrs.frontend": c.at(n, c.ports.frontend), "bindAddrs.readiness": c.at(n, c.ports.readiness), "bootstrap": fmt.Sprint(bootstrap),
		"countsAsLoss": "true", "dataDir": filepath.Join(c.folder, "data-"+name), "limits.diskMb": "128",
	})
	if err != nil {
		return err
	}
	return c.spawn(name, c.program, []string{"deployed", "entry"}, "YUCCATURN_BOOT="+path)
}

func (c *cluster) startSide(n int) error {
	name := fmt.Sprintf("side-%d", n)
	path, err := c.settings(name, "side", "side", "side", n, map[string]string{
		"bootstrap": "true", "countsAsLoss": "false", "limits.diskMb": "0", "limits.memoryMb": "152", "app": c.at(n, c.ports.app), "service": service,
	})
	if err != nil {
		return err
	}
	return c.spawn(name, c.program, []string{"deployed", "side"}, "YUCCATURN_BOOT="+path)
}

// startLink starts what stands between the side and the worker of machine n.
func (c *cluster) startLink(n int) error {
	l, err := newLink(c.record, fmt.Sprintf("side-%d", n), c.at(n, c.ports.app), c.at(n, c.ports.worker), c.at(n, c.ports.beat), c.at(n, c.ports.control))
	c.links[n] = l
	return err
}

// startWorker starts the worker of machine n.
func (c *cluster) startWorker(n int, labels string) error {
	return c.spawn(fmt.Sprintf("worker-%d", n), c.self, []string{
		"worker", "-id", fmt.Sprintf("i-%d", n), "-service", service, "-listen", c.at(n, c.ports.worker), "-zone", zones[(n-1)%len(zones)],
		"-control", c.at(n, c.ports.beat), "-labels", labels, "-record", c.recordPath,
	})
}

func (c *cluster) spawn(name, program string, args []string, env ...string) error {
	output, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(program, args...)
	command.Env = append(os.Environ(), env...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(p.done)
	}()
	c.processes[name] = p
	c.record.write("start %s, process %d", name, command.Process.Pid)
	return nil
}

// kill ends a process and waits for its end.
func (c *cluster) kill(name string) {
	_ = c.processes[name].command.Process.Kill()
	<-c.processes[name].done
	c.record.write("killed %s", name)
}

func (c *cluster) hasEnded(name string) bool {
	select {
	case <-c.processes[name].done:
		return true
	default:
		return false
	}
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, p := range c.processes {
		_ = p.command.Process.Kill()
		<-p.done
	}
	for _, l := range c.links {
		l.close()
	}
}

// startAll starts three entries, and a side and a worker for each of the labels, on the machines
// after those of the entries.
func (c *cluster) startAll(labels []string) error {
	for n := 1; n <= 3; n++ {
		if err := c.startEntry(n, true); err != nil {
			return err
		}
	}
	for i, label := range labels {
		if err := c.startLink(4 + i); err != nil {
			return err
		}
		if err := c.startSide(4 + i); err != nil {
			return err
		}
		if err := c.startWorker(4+i, label); err != nil {
			return err
		}
	}
	return nil
}

// do sends a request and returns the status and the body, zero without an answer.
func (c *cluster) do(method, url, host string, header map[string]string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		request.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

const host = "shop.example"

// document returns a configuration with one queue.
func document(version int, timeoutMs int) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"%s","pathPrefix":"/jobs/","type":"unsafe","timeoutMs":%d,"targetLatencyMs":60,"priority":0,"service":"%s","maxAttempts":4,"stretch":1.6}],`+
		`"services":[{"name":"%s","healthPath":"/healthz","maxConnections":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"enforcesCapacity":false,"standby":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, host, timeoutMs, service, service))
}

// configure sends a configuration, as the operator does, until an entry acknowledges it.
func (c *cluster) configure(body []byte, patience time.Duration) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		for n := 1; n <= 3; n++ {
			status, _ := c.do(http.MethodPut, "http://"+c.at(n, c.ports.control)+"/-/config", "", nil, body, time.Second)
			if status == http.StatusOK {
				c.record.write("configuration acknowledged by edge-%d", n)
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// awaitReady waits until the entries on the machines say that they are ready.
func (c *cluster) awaitReady(patience time.Duration, machines ...int) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range machines {
			if status, _ := c.do(http.MethodGet, "http://"+c.at(n, c.ports.readiness)+"/-/ready", "", nil, nil, time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(machines) {
			return true
		}
	}
	return false
}
