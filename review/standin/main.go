// Command standin holds the stand-ins of the review: workers, clients and the operator of a small
// deployment, and the cases that are put as scripts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// A case returns whether the rule held. An error means that it could not run.
var cases = map[string]func(c *cluster, trouble bool) (bool, error){
	"late-start": lateStart, "failed-run": failedRun, "evacuation": evacuation, "cancelled": cancelled, "slow-request": slowRequest,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		os.Exit(2)
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, root, recordPath string) int {
	_ = os.Remove(recordPath)
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	c, err := newCluster(root, folder, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.stop()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		c.stop()
		os.Exit(2)
	}()
	held, err := cases[name](c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		c.record.write("could not run: %v", err)
		return 2
	case !held:
		c.record.write("the rule was broken")
		return 1
	}
	c.record.write("the rule held")
	return 0
}
