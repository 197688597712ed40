// Command yuccaturn dispatches sub-second tasks to workers and targets.
package main

import (
	"os"

	"github.com/yuccaturn/yuccaturn/yuccacommand"
)

func main() {
	os.Exit(yuccacommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
