package yuccacommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
)

const (
	machines       = 3
	jobInterval    = 70 * time.Millisecond
	startupTimeout = 2 * time.Minute
	answerTimeout  = 2 * time.Minute
	// Ports of the processes, the same on all machines. They are below those of outgoing connections.
	callersPort, operatorsPort, meshPort, controlPort, workerPort = 7411, 7412, 7421, 7431, 7471
)

// cluster is a deployment of real processes on loopback addresses of its own. All workers append to one
// record, in which a line is there before anyone can know of what it says.
type cluster struct {
	t            *testing.T
	folder       string
	network      string
	processes    map[string]*exec.Cmd
	mu           sync.Mutex
	answers      map[int]int
	notAnswered  []string
	jobsInFlight sync.WaitGroup
}

// recordLine is a line of a worker's log.
type recordLine struct {
	Message string `json:"msg"`
	Worker  string `json:"process"`
	Task    string `json:"task"`
	Run     uint64 `json:"run"`
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), processes: make(map[string]*exec.Cmd), answers: make(map[int]int)}
	for host := os.Getpid(); c.network == ""; host++ {
		network := fmt.Sprintf("127.%d.%d", 20+host%200, host/200%250)
		if listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, callersPort)); err == nil {
			_ = listener.Close()
			c.network = network
		}
	}
	if out, err := exec.Command("go", "build", "-o", c.path("yuccaturn"), "github.com/yuccaturn/yuccaturn").CombinedOutput(); err != nil {
		t.Fatalf("building the program: %v\n%s", err, out)
	}
	return c
}

func (c *cluster) path(name string) string { return filepath.Join(c.folder, name) }

func (c *cluster) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.network, machine, port)
}

// start starts a process, which ends with the test, also if that is killed. Its log is appended to the file.
func (c *cluster) start(role string, machine int, logFile, section string) {
	name := fmt.Sprintf("%s-%d", role, machine)
	settings := fmt.Sprintf(`{"process": {"name": %q, "data_centre": "cusco"}, "log": {"format": "json", "level": "debug"}, "trace": {"exporter": "none"}, "sized_%s": %s}`, name, role, section)
	if err := os.WriteFile(c.path(name+".jsonc"), []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	output, err := os.OpenFile(c.path(logFile), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer output.Close()
	command := exec.Command(c.path("yuccaturn"), "sized", role, "--settings", c.path(name+".jsonc"))
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.processes[name] = command
	c.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}

// startAll starts two entries, the first with a control, and sides with their workers.
func (c *cluster) startAll() {
	seeds := fmt.Sprintf("[%q]", c.address(1, meshPort))
	for n := 1; n <= 2; n++ {
		control := ""
		if n == 1 {
			control = fmt.Sprintf(`"control": %q, "bootstrap": true, "data_folder": %q, `, c.address(1, controlPort), c.path("data"))
		}
		c.start("entry", n, fmt.Sprintf("entry-%d.log", n), fmt.Sprintf(`{"callers": %q, "operators": %q, "mesh": %q, "seeds": %s, %s"losses_borne": 0, "data_centres": ["cusco"]}`,
			c.address(n, callersPort), c.address(n, operatorsPort), c.address(n, meshPort), seeds, control))
	}
	for n := 1; n <= machines; n++ {
		side, worker := c.address(10+n, meshPort), c.address(10+n, workerPort)
		c.start("side", n, fmt.Sprintf("side-%d.log", n), fmt.Sprintf(`{"listen": %q, "operators": %q, "worker": %q, "seeds": %s}`, side, c.address(10+n, operatorsPort), worker, seeds))
		c.start("worker", n, "record", fmt.Sprintf(`{"listen": %q, "side": %q, "service": "belfry", "cpu": 16, "memory_mb": 32768, "sleep": "600ms"}`, worker, side))
	}
	c.await("a document in force", func() bool {
		_, err := yuccaclient.New(c.address(1, operatorsPort), "").ApplyDocument(context.Background(), []byte(
			`{"version": 1, "services": ["belfry"], "queues": {"trim": {"service": "belfry", "priority": 0, "max_attempts": 4, "stretch": 1.6, "target_latency": "60ms", "timeout": "8s"}}}`))
		return err == nil
	})
	for n := 1; n <= 2; n++ {
		c.await("a ready entry", func() bool {
			response, err := http.Get("http://" + c.address(n, callersPort) + "/readyz")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

func (c *cluster) await(what string, isThere func() bool) {
	c.t.Helper()
	for end := time.Now().Add(startupTimeout); !isThere(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("no %s within %v", what, startupTimeout)
		}
	}
}

// runJobs submits jobs, to the entries in turn, until the context ends.
func (c *cluster) runJobs(ctx context.Context) {
	defer c.jobsInFlight.Done()
	ticker := time.NewTicker(jobInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.jobsInFlight.Add(1)
			go c.runJob(fmt.Sprintf("%04d", n), 1+n%2)
		}
	}
}

func (c *cluster) runJob(id string, entry int) {
	defer c.jobsInFlight.Done()
	body := []byte(`{"payload": {"sleep": "600ms"}, "steps": [{"tasks": 2, "cpu": 1, "memory_mb": 64, "estimate": "600ms"}]}`)
	client := &http.Client{Timeout: answerTimeout}
	response, err := client.Post("http://"+c.address(entry, callersPort)+"/v1/queues/trim/jobs/"+id, "application/json", bytes.NewReader(body))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.notAnswered = append(c.notAnswered, fmt.Sprintf("job %s: %v", id, err))
		return
	}
	_ = response.Body.Close()
	c.answers[response.StatusCode]++
}

// record returns the starts and ends of runs so far, in the order in which they happened.
func (c *cluster) record() []recordLine {
	text, err := os.ReadFile(c.path("record"))
	if err != nil {
		c.t.Fatal(err)
	}
	lines := make([]recordLine, 0)
	for _, line := range bytes.SplitAfter(text, []byte("\n")) {
		var r recordLine
		if !bytes.HasSuffix(line, []byte("\n")) {
			continue
		}
		if err := json.Unmarshal(line, &r); err != nil {
			c.t.Fatalf("line of the record %q: %v", line, err)
		}
		if r.Message == "run started" || r.Message == "run ended" {
			lines = append(lines, r)
		}
	}
	return lines
}

// runsAt returns the number of runs in progress on the worker.
func (c *cluster) runsAt(worker string) int {
	runs := 0
	for _, r := range c.record() {
		switch {
		case r.Worker != worker:
		case r.Message == "run started":
			runs++
		default:
			runs--
		}
	}
	return runs
}

// pause stops the processes of a machine while its worker has runs, and lets them go on later.
func (c *cluster) pause(d time.Duration, machine int, roles ...string) {
	c.t.Helper()
	worker := fmt.Sprintf("worker-%d", machine)
	c.await("run on "+worker, func() bool {
		c.signal(syscall.SIGSTOP, machine, roles)
		time.Sleep(50 * time.Millisecond)
		if c.runsAt(worker) > 1 {
			return true
		}
		c.signal(syscall.SIGCONT, machine, roles)
		return false
	})
	time.Sleep(d)
	c.t.Logf("%s of machine %d stood still for %v with %d runs", strings.Join(roles, " and "), machine, d, c.runsAt(worker))
	c.signal(syscall.SIGCONT, machine, roles)
}

func (c *cluster) signal(signal syscall.Signal, machine int, roles []string) {
	for _, role := range roles {
		if err := c.processes[fmt.Sprintf("%s-%d", role, machine)].Process.Signal(signal); err != nil {
			c.t.Fatal(err)
		}
	}
}

// checkRecord reports tasks with two runs at once, the first of them with all that the logs say of its job.
func (c *cluster) checkRecord() {
	running, twice := make(map[string]recordLine), 0
	for _, r := range c.record() {
		other, isRunning := running[r.Task]
		switch {
		case r.Message == "run started" && isRunning:
			if twice++; twice == 1 {
				c.t.Errorf("run %d of %s starts on %s beside run %d on %s", r.Run, r.Task, r.Worker, other.Run, other.Worker)
				c.logLinesOf(strings.Split(r.Task, ".")[0])
			}
		case r.Message == "run started":
			running[r.Task] = r
		case isRunning && other.Worker == r.Worker && other.Run == r.Run:
			delete(running, r.Task)
		}
	}
	if twice > 0 {
		c.t.Errorf("%d runs started beside another one of their task", twice)
	}
}

func (c *cluster) logLinesOf(job string) {
	files, _ := filepath.Glob(c.path("*.log"))
	for _, file := range append(files, c.path("record")) {
		text, err := os.ReadFile(file)
		if err != nil {
			c.t.Fatal(err)
		}
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte(`"`+job)) {
				c.t.Logf("%s: %s", filepath.Base(file), bytes.TrimSpace(line))
			}
		}
	}
}

// A worker is stopped alone, then one with its side, as real processes.
func TestRunOfAStoppedWorkerProcessOverlapsTheNextOne(t *testing.T) {
	c, random := newCluster(t), rand.New(rand.NewPCG(1, 41))
	duration := func() time.Duration {
		return 2*time.Second + time.Duration(random.IntN(500))*time.Millisecond
	}
	c.startAll()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.jobsInFlight.Add(1)
	go c.runJobs(ctx)
	order := random.Perm(machines)
	c.pause(duration(), 1+order[0], "worker")
	time.Sleep(time.Second)
	c.pause(duration(), 1+order[1], "worker", "side")
	time.Sleep(time.Second)
	cancel()
	c.jobsInFlight.Wait()
	t.Logf("answers by status: %v", c.answers)
	for _, problem := range c.notAnswered {
		t.Error(problem)
	}
	c.checkRecord()
}
