package yuccamesh_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the synctest bubbles on one processor. With more, timers of one
// bubble that fire at the same time share a context of the race detector and
// crash it (Go 1.26). One processor also makes the schedule of a seed more
// reproducible.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
