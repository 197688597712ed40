// Command standin3 holds the stand-ins of the third review: a worker, a client, an operator, and the checks of
// what they have recorded. They speak the protocol of the users' platform.
//
// # Usage
//
//	standin3 worker -id w1 -address 127.0.0.21:8080 -control 127.0.0.21:8166 -record record.txt ...
//	standin3 submit -entries 127.0.0.11:8161,... -record record.txt ...
//	standin3 order -record record.txt -timeout 1s METHOD URL [BODY-FILE]
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// commands are the stand-ins and checks, by name. Each gets its arguments and returns its exit code.
var commands = map[string]func(ctx context.Context, arguments []string) (int, error){
	"worker":    runWorker,
	"submit":    runSubmit,
	"order":     runOrder,
	"twice":     runTwice,
	"evacuated": runEvacuated,
}

// errUsage is returned for a command line that names no command.
var errUsage = errors.New("expected the name of a stand-in or check")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code, err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin3:", err)
		os.Exit(exitUnusable)
	}
	os.Exit(code)
}

// exitUnusable is the exit code of a case that could not run.
const exitUnusable = 2

func run(ctx context.Context, arguments []string) (int, error) {
	if len(arguments) == 0 {
		return 0, errUsage
	}
	command, known := commands[arguments[0]]
	if !known {
		return 0, fmt.Errorf("%w, got %q", errUsage, arguments[0])
	}
	return command(ctx, arguments[1:])
}
