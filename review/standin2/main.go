// Program reviewstandin2 plays the scripts of the review: it starts the processes
// of the system, stand-ins of workers, clients and the operator, and the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and reports whether the rule was broken.
type scenario func(rec *recorder, binary string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"cancelled": playCancelled,
	"disks":     playDisks,
	"frozen":    playFrozen,
	"standing":  playStanding,
	"refusing":  playRefusing,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "worker" {
		workerMain(os.Args[2], os.Args[3], os.Args[4])
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: reviewstandin2 SCENARIO BINARY FOLDER")
		os.Exit(exitNotRun)
	}
	play := scenarios[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(exitNotRun)
	}
	rec, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
	time.AfterFunc(115*time.Second, func() { ends <- syscall.SIGALRM })
	result := make(chan int, 1)
	go func() {
		broken, err := play(rec, os.Args[2], os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			rec.log("could not run: %v", err)
			fmt.Println("could not run:", err)
			result <- exitNotRun
		case broken:
			rec.log("rule broken")
			fmt.Println("rule broken")
			result <- exitBroken
		default:
			rec.log("rule held")
			fmt.Println("rule held")
			result <- exitHeld
		}
	}()
	select {
	case code := <-result:
		os.Exit(code)
	case <-ends:
		// The processes get SIGKILL as their parent ends (Pdeathsig).
		os.Exit(exitNotRun)
	}
}
