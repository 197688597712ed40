package yuccasystemtest

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the synctest bubbles on one processor. With more, timers of one
// bubble that fire at the same time share a context of the race detector and
// crash it (Go 1.26). One processor also makes a seed reproduce the same schedule
// more often.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
