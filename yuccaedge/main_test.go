package yuccaedge_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain limits the tests to one processor. With more, synctest timers of one
// bubble that fire at the same time share a race detector context and crash it
// (Go 1.26). A single processor also makes the schedule of a seed more
// reproducible.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
